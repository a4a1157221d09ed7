//! A token bucket that may go negative by one request.

use crate::clock::Millis;

/// A token bucket in units of cost.
#[derive(Debug)]
pub(super) struct Bucket {
    /// How much it may save up, as a span of its rate.
    depth: Millis,
    per_ms: f64,
    level: f64,
    updated_at: Millis,
}

impl Bucket {
    /// Creates an empty bucket without a rate.
    pub(super) fn new(depth: Millis) -> Self {
        Self {
            depth,
            per_ms: 0.0,
            level: 0.0,
            updated_at: Millis::ZERO,
        }
    }

    /// Sets the cost per second by which it is filled from now on.
    pub(super) fn set_rate(&mut self, rate: f64, now: Millis) {
        self.refill(now);
        self.per_ms = rate / 1_000.0;
        self.level = self.level.min(self.capacity());
    }

    pub(super) fn refill(&mut self, now: Millis) {
        let filled = (now - self.updated_at).0 as f64 * self.per_ms;
        self.level = (self.level + filled).min(self.capacity());
        self.updated_at = self.updated_at.max(now);
    }

    pub(super) fn take(&mut self, cost: f64) {
        self.level -= cost;
    }

    pub(super) fn is_positive(&self) -> bool {
        self.level > 0.0
    }

    /// The time in ms from the last refill until the bucket is positive after `cost` was taken.
    pub(super) fn wait_after(&self, cost: f64) -> f64 {
        let missing = cost - self.level;
        if missing < 0.0 {
            0.0
        } else if self.per_ms > 0.0 {
            missing / self.per_ms
        } else {
            f64::INFINITY
        }
    }

    /// When the bucket is positive; `None` if never.
    pub(super) fn positive_at(&self) -> Option<Millis> {
        if self.is_positive() {
            return Some(self.updated_at);
        }
        let wait = self.wait_after(0.0);
        // Not negative; a value above u64::MAX saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        wait.is_finite()
            .then(|| self.updated_at + Millis(wait as u64) + Millis(1))
    }

    fn capacity(&self) -> f64 {
        self.per_ms * self.depth.0 as f64
    }
}
