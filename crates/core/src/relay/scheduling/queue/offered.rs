//! The part of the recently offered cost that belongs to each class.

use std::collections::HashMap;

use crate::clock::Millis;

/// Time constant of the decay: short enough to follow a burst, and long enough to cover the gaps
/// between the requests of a class at a small entry.
const TIME_CONSTANT_MS: f64 = 2_000.0;

/// An exponentially decaying sum.
#[derive(Debug, Default)]
struct Sum {
    value: f64,
    updated_at: Millis,
}

impl Sum {
    fn add(&mut self, cost: f64, now: Millis) -> f64 {
        let age = (now - self.updated_at).0 as f64;
        self.value = self.value * (-age / TIME_CONSTANT_MS).exp() + cost;
        self.updated_at = now;
        self.value
    }
}

/// Offered cost by class.
#[derive(Debug, Default)]
pub(super) struct Offered {
    total: Sum,
    classes: HashMap<u32, Sum>,
}

impl Offered {
    /// Records a request and returns its class's part of the offered cost, from 0 to 1.
    pub(super) fn record(&mut self, class: u32, cost: f64, now: Millis) -> f64 {
        let total = self.total.add(cost, now);
        let own = self.classes.entry(class).or_default().add(cost, now);
        if total > 0.0 { own / total } else { 1.0 }
    }

    pub(super) fn forget(&mut self, class: u32) {
        self.classes.remove(&class);
    }
}
