//! Selects the admitted fraction of the requests of workspaces that ask for more than their share.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::pool::choice::splitmix64;
use crate::relay::load_report::name_hash;
use crate::relay::prefix::mix;

/// The most workspaces whose fractions are tracked: 50 KB.
const MAX_TRACKED: usize = 1_024;

#[derive(Debug)]
struct Accumulator {
    value: f64,
    used_at: Millis,
}

/// Fractions of requests by workspace and priority.
#[derive(Debug, Default)]
pub(super) struct Selection {
    accumulators: HashMap<u64, Accumulator>,
}

impl Selection {
    /// Whether a request is among the fraction that is let through.
    ///
    /// The first value of an accumulator depends on the request's number, because each of 400
    /// entries sees only a few requests of a workspace: if all began at 0, a workspace with fewer
    /// requests per entry than 1 / fraction would get nothing.
    pub(super) fn lets_through(
        &mut self,
        workspace: &str,
        priority: u8,
        fraction: f64,
        number: u64,
        now: Millis,
    ) -> bool {
        if fraction.is_nan() || fraction >= 1.0 {
            return true;
        }
        let key = mix(name_hash(workspace), u64::from(priority));
        if !self.accumulators.contains_key(&key) {
            self.make_room();
        }
        let accumulator = self.accumulators.entry(key).or_insert_with(|| Accumulator {
            value: uniform(splitmix64(number ^ key)),
            used_at: now,
        });
        accumulator.used_at = now;
        accumulator.value += fraction.max(0.0);
        let passes = accumulator.value >= 1.0;
        if passes {
            accumulator.value -= 1.0;
        }
        passes
    }

    fn make_room(&mut self) {
        if self.accumulators.len() < MAX_TRACKED {
            return;
        }
        let accumulators = self.accumulators.iter();
        let oldest = accumulators.min_by_key(|(key, it)| (it.used_at, **key));
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.accumulators.remove(&key);
        }
    }
}

/// A number from 0 up to, but not including, 1.
fn uniform(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}
