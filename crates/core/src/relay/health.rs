//! Whether an endpoint answers, judged by what its answers and connections show.

use crate::clock::Millis;

/// The first pause after a lost connection: about two round trips of a connect
/// within a region, so that a restart is noticed soon.
const INITIAL_BACKOFF: Millis = Millis(250);
/// The longest pause between two tries.
const MAX_BACKOFF: Millis = Millis(2_000);
/// The weight of one attempt in the share of failures: about the last ten count.
const SAMPLE_WEIGHT: f64 = 0.1;

/// How an attempt at an endpoint ended, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered as it should, or declined as it should.
    Success,
    /// It answered with an error of its own, or not to the point, or too late.
    Failure,
    /// It can't be connected to, or does not answer at all.
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
    /// Takes in how an attempt ended.
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

    /// Whether requests are kept away until a connection comes about.
    pub fn is_suspended(&self) -> bool {
        self.losses_since_success > 0
    }

    /// Whether it is time for another try to connect.
    pub fn is_reconnect_due(&self, now: Millis) -> bool {
        self.is_suspended() && now >= self.suspended_until
    }

    /// The share of its attempts that failed of late, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
