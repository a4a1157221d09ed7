//! Periodic maintenance: updates estimates and removes expired state.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::pool::Pool;
use crate::pool::allocation::Use;

/// Interval of the maintenance.
pub const INTERVAL: Millis = Millis::from_secs(1);
/// Upper bound of a single run's ratio of elapsed time to the class's 95th
/// percentile.
const MAX_OVERDUE_FACTOR: f64 = 20.0;

impl Pool {
    pub(super) fn run_maintenance(&mut self, now: Millis) {
        self.update_reserve(now);
        self.find_overdue(now);
        self.allocations.forget_ended(now);
        self.waiting.forget_idle(now);
        for class in self.classes.evict_old(now) {
            self.waiting.forget_class(class);
        }
        self.endpoints.evict_old(now);
    }

    /// Recomputes the expected concurrent runs of each recently active class.
    fn update_reserve(&mut self, now: Millis) {
        self.reserve.clear_expected();
        for class in self.classes.iter_mut() {
            class.update_bucket();
            if let Some(runs) = class.expected_concurrency(now) {
                let (tier, bucket) = (class.tier, class.bucket);
                self.reserve.add_expected(tier, bucket, runs, class.target);
            }
        }
    }

    /// Detects endpoints whose active runs take far longer than nearly all runs
    /// of their class, before any of them ends.
    fn find_overdue(&mut self, now: Millis) {
        let mut sums: BTreeMap<u32, (f64, u32)> = BTreeMap::new();
        for (_, allocation) in self.allocations.iter() {
            let Use::Run(run) = allocation.purpose else {
                continue;
            };
            let Some(p95) = self.classes.get(run.class).history.p95() else {
                continue;
            };
            let factor = (now - allocation.since).0 as f64 / p95.0.max(1) as f64;
            let sum = sums.entry(allocation.endpoint).or_default();
            sum.0 += factor.min(MAX_OVERDUE_FACTOR);
            sum.1 += 1;
        }
        for id in self.endpoints.ids() {
            let (sum, count) = sums.get(&id).copied().unwrap_or((0.0, 1));
            let overdue = sum / f64::from(count);
            self.endpoints.set_overdue(now, id, overdue);
        }
    }
}
