//! How long an endpoint stays up, estimated from its last times up.

use crate::clock::Millis;

/// The estimate for an endpoint of which nothing is known yet: a day.
const UNKNOWN: Millis = Millis::from_secs(24 * 60 * 60);
/// The weight of the last time up in the estimate. With it, three short ones in
/// a row bring an endpoint from a day down to eight hours; a higher weight takes
/// one restart for a habit.
const WEIGHT: f64 = 0.3;

/// An exponential average of the times that an endpoint was up.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::endpoint::Lifetime;
///
/// let mut lifetime = Lifetime::new(Millis(0));
/// let before = lifetime.estimate(Millis(1_000));
/// lifetime.end(Millis(60_000));
/// assert!(lifetime.estimate(Millis(61_000)) < before);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Lifetime {
    average: f64,
    since: Option<Millis>,
}

impl Lifetime {
    /// An endpoint that was first seen up at this time.
    pub fn new(now: Millis) -> Self {
        Self {
            average: UNKNOWN.0 as f64,
            since: Some(now),
        }
    }

    /// It went down.
    pub fn end(&mut self, now: Millis) {
        if let Some(since) = self.since.take() {
            let last = (now - since).0 as f64;
            self.average = (1.0 - WEIGHT) * self.average + WEIGHT * last;
        }
    }

    /// It is up, perhaps again.
    pub fn begin(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// The estimate in milliseconds, above zero: the average, or the present
    /// time up where that is longer.
    pub fn estimate(&self, now: Millis) -> f64 {
        let present = self.since.map_or(0, |since| (now - since).0);
        self.average.max(present as f64).max(1.0)
    }
}
