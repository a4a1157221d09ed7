//! The fleet-wide retry budget.
//!
//! The limit applies to all entries together, so each entry spends only its own share: the
//! ratio of the requests that it received itself, plus an equal share of the slack.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The share of the limit that is used. The rest is a reserve for windows that are aligned
/// differently, and for entries that are not known yet.
const USABLE_SHARE: f64 = 0.8;
/// The number of steps into which the sliding window is divided.
const STEPS_PER_WINDOW: u64 = 20;

/// The retry limit as configured by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries for the whole fleet.
    pub slack: f64,
    /// The time window that both apply to.
    pub window: Millis,
}

/// The retry budget of one service at one entry.
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
    /// Creates a budget of which nothing is spent.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::budget::{RetryBudget, RetryLimit};
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

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Millis) {
        self.current_step(now).requests += 1;
    }

    /// Takes one retry from the budget if one is left for this entry, which is one of
    /// `entries`.
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
