//! The fleet's budget for sending requests once more.
//!
//! The bound holds for all entries together, so each spends only its own part:
//! the ratio of the requests that it saw itself, and an equal share of the slack.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The part of the bound that is spent: the rest is for windows whose edges lie
/// otherwise than ours, and for entries that we don't know of yet.
const SPENT: f64 = 0.8;
/// The steps in which a window slides, as a part of its length.
const STEPS: u64 = 20;

/// The bound as operators set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, for the whole fleet.
    pub slack: f64,
    /// The span that both count for.
    pub window: Millis,
}

/// One service's budget at one entry.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    begins: Millis,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// An untouched budget.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::budget::{Bound, Budget};
    ///
    /// let bound = Bound { ratio: 0.0, slack: 5.0, window: Millis(10_000) };
    /// let mut budget = Budget::new(bound);
    /// // A fifth of the slack is not spent, and two entries share the rest.
    /// assert!(budget.spend(Millis(0), 2));
    /// assert!(budget.spend(Millis(0), 2));
    /// assert!(!budget.spend(Millis(0), 2));
    /// ```
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Millis) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat, if the budget of an entry among `entries` has one left.
    pub fn spend(&mut self, now: Millis, entries: usize) -> bool {
        self.slide(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let share = self.bound.slack / entries.max(1) as f64;
        let most = SPENT * (self.bound.ratio * f64::from(requests) + share);
        let granted = f64::from(repeats + 1) <= most;
        if granted {
            self.step(now).repeats += 1;
        }
        granted
    }

    fn slide(&mut self, now: Millis) {
        let window = self.bound.window;
        self.steps.retain(|step| now - step.begins < window);
    }

    fn step(&mut self, now: Millis) -> &mut Step {
        let length = (self.bound.window.0 / STEPS).max(1);
        let begins = Millis(now.0 / length * length);
        if self.steps.back().is_none_or(|step| step.begins < begins) {
            self.slide(now);
            self.steps.push_back(Step {
                begins,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
