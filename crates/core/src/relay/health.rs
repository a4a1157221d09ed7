//! Endpoint health, as observed from answers and connections.

use crate::clock::Millis;

/// The first backoff after a lost connection: about two round trips of a connect within a
/// region, so that a restart is noticed soon.
const INITIAL_BACKOFF: Millis = Millis(250);
/// The longest backoff between two connection attempts.
const MAX_BACKOFF: Millis = Millis(2_000);
/// The weight of one attempt in the failure rate: about the last ten attempts count.
const SAMPLE_WEIGHT: f64 = 0.1;

/// What the result of an attempt shows about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The endpoint answered, or declined, as it should.
    Success,
    /// The endpoint answered with an error of its own, with an invalid answer, or too late.
    Failure,
    /// No connection can be established, or the endpoint does not answer at all.
    Lost,
}

/// The health of one endpoint.
#[derive(Debug, Default)]
pub struct Health {
    losses_since_success: u32,
    suspended_until: Millis,
    failure_rate: f64,
}

impl Health {
    /// Records the result of an attempt.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::health::{Health, HealthSignal};
    ///
    /// let mut health = Health::default();
    /// health.record(HealthSignal::Lost, Millis(0));
    /// assert!(health.is_suspended());
    /// health.record(HealthSignal::Success, Millis(300));
    /// assert!(!health.is_suspended());
    /// ```
    pub fn record(&mut self, signal: HealthSignal, now: Millis) {
        let sample = match signal {
            HealthSignal::Success => 0.0,
            HealthSignal::Failure | HealthSignal::Lost => 1.0,
        };
        self.failure_rate += SAMPLE_WEIGHT * (sample - self.failure_rate);
        match signal {
            HealthSignal::Success => self.losses_since_success = 0,
            HealthSignal::Failure => {}
            HealthSignal::Lost => self.suspend(now),
        }
    }

    fn suspend(&mut self, now: Millis) {
        let doublings = self.losses_since_success.min(8);
        let backoff = INITIAL_BACKOFF.0.saturating_mul(1 << doublings);
        self.suspended_until = now + Millis(backoff.min(MAX_BACKOFF.0));
        self.losses_since_success += 1;
    }

    /// Whether the endpoint gets no requests until a connection succeeds.
    pub fn is_suspended(&self) -> bool {
        self.losses_since_success > 0
    }

    /// Whether the next connection attempt is due.
    pub fn is_reconnect_due(&self, now: Millis) -> bool {
        self.is_suspended() && now >= self.suspended_until
    }

    /// Makes the next connection attempt due: that the endpoint was lost showed nothing about it.
    pub fn end_backoff(&mut self, now: Millis) {
        self.suspended_until = self.suspended_until.min(now);
        self.losses_since_success = self.losses_since_success.min(1);
    }

    /// The recent share of failed attempts, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
