//! What is done once a second: estimates renewed, old things forgotten.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::pool::Pool;
use crate::pool::place::Use;

/// How often it is done.
pub const PERIOD: Millis = Millis::from_secs(1);
/// Longest that one run's lateness counts for, beside the usual time.
const MOST_OVERDUE: f64 = 20.0;

impl Pool {
    pub(super) fn keep_up(&mut self, now: Millis) {
        self.renew_reserve(now);
        self.find_overdue(now);
        self.places.forget_ended(now);
        self.waiting.forget_idle(now);
        for class in self.classes.forget_old(now) {
            self.waiting.forget_class(class);
        }
        self.endpoints.forget_old(now);
    }

    /// Counts the runs to be expected at once of each class that has been
    /// about of late.
    fn renew_reserve(&mut self, now: Millis) {
        self.reserve.clear();
        for class in self.classes.iter_mut() {
            class.renew_lane();
            if let Some(runs) = class.runs_at_once(now) {
                let (tier, lane) = (class.tier, class.lane);
                self.reserve.expect(tier, lane, runs, class.target);
            }
        }
    }

    /// Finds endpoints whose runs take far longer than nearly all of their
    /// class, before any of them ends.
    fn find_overdue(&mut self, now: Millis) {
        let mut sums: BTreeMap<u32, (f64, u32)> = BTreeMap::new();
        for (_, place) in self.places.iter() {
            let Use::Run(run) = place.used else {
                continue;
            };
            let Some(long) = self.classes.get(run.class).history.long() else {
                continue;
            };
            let times = (now - place.since).0 as f64 / long.0.max(1) as f64;
            let sum = sums.entry(place.endpoint).or_default();
            sum.0 += times.min(MOST_OVERDUE);
            sum.1 += 1;
        }
        for id in self.endpoints.ids() {
            let (sum, count) = sums.get(&id).copied().unwrap_or((0.0, 1));
            let overdue = sum / f64::from(count);
            self.endpoints.set_overdue(now, id, overdue);
        }
    }
}
