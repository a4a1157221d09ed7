//! The fleet's budget for sending requests once more.
//!
//! The bound holds for all entries together, so each spends only its own part:
//! the ratio of the requests that it saw itself, and an equal share of the slack.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The part of the bound that is spent: the rest is for windows whose edges lie
/// otherwise than ours, and for entries that we don't know of yet.
const USABLE_SHARE: f64 = 0.8;
/// The steps in which a window slides, as a part of its length.
const STEPS_PER_WINDOW: u64 = 20;

/// The bound as operators set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, for the whole fleet.
    pub slack: f64,
    /// The span that both count for.
    pub window: Millis,
}

/// One service's budget at one entry.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    start: Millis,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// An untouched budget.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::budget::{RetryLimit, RetryBudget};
    ///
    /// let limit = RetryLimit { ratio: 0.0, slack: 5.0, window: Millis(10_000) };
    /// let mut budget = RetryBudget::new(limit);
    /// // A fifth of the slack is not spent, and two entries share the rest.
    /// assert!(budget.try_spend(Millis(0), 2));
    /// assert!(budget.try_spend(Millis(0), 2));
    /// assert!(!budget.try_spend(Millis(0), 2));
    /// ```
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Millis) {
        self.current_step(now).requests += 1;
    }

    /// Takes one repeat, if the budget of an entry among `entries` has one left.
    pub fn try_spend(&mut self, now: Millis, entries: usize) -> bool {
        self.evict_expired(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let share = self.limit.slack / entries.max(1) as f64;
        let allowed = USABLE_SHARE * (self.limit.ratio * f64::from(requests) + share);
        let granted = f64::from(retries + 1) <= allowed;
        if granted {
            self.current_step(now).retries += 1;
        }
        granted
    }

    fn evict_expired(&mut self, now: Millis) {
        let window = self.limit.window;
        self.steps.retain(|step| now - step.start < window);
    }

    fn current_step(&mut self, now: Millis) -> &mut Step {
        let length = (self.limit.window.0 / STEPS_PER_WINDOW).max(1);
        let start = Millis(now.0 / length * length);
        if self.steps.back().is_none_or(|step| step.start < start) {
            self.evict_expired(now);
            self.steps.push_back(Step {
                start,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
