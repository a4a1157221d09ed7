//! Whether an endpoint answers, judged by what its answers and connections show.

use crate::clock::Millis;

/// The first pause after a lost connection: about two round trips of a connect
/// within a region, so that a restart is noticed soon.
const FIRST_PAUSE: Millis = Millis(250);
/// The longest pause between two tries.
const LONGEST_PAUSE: Millis = Millis(2_000);
/// The weight of one attempt in the share of failures: about the last ten count.
const WEIGHT: f64 = 0.1;

/// How an attempt at an endpoint ended, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered as it should, or declined as it should.
    Good,
    /// It answered with an error of its own, or not to the point, or too late.
    Bad,
    /// It can't be connected to, or does not answer at all.
    Lost,
}

/// The health of one endpoint.
#[derive(Debug, Default)]
pub struct Health {
    strikes: u32,
    suspended_until: Millis,
    failing: f64,
}

impl Health {
    /// Takes in how an attempt ended.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::health::{Health, Sign};
    ///
    /// let mut health = Health::default();
    /// health.note(Sign::Lost, Millis(0));
    /// assert!(health.suspended());
    /// health.note(Sign::Good, Millis(300));
    /// assert!(!health.suspended());
    /// ```
    pub fn note(&mut self, sign: Sign, now: Millis) {
        let failed = match sign {
            Sign::Good => 0.0,
            Sign::Bad | Sign::Lost => 1.0,
        };
        self.failing += WEIGHT * (failed - self.failing);
        match sign {
            Sign::Good => self.strikes = 0,
            Sign::Bad => {}
            Sign::Lost => self.suspend(now),
        }
    }

    fn suspend(&mut self, now: Millis) {
        let doublings = self.strikes.min(8);
        let pause = FIRST_PAUSE.0.saturating_mul(1 << doublings);
        self.suspended_until = now + Millis(pause.min(LONGEST_PAUSE.0));
        self.strikes += 1;
    }

    /// Whether requests are kept away until a connection comes about.
    pub fn suspended(&self) -> bool {
        self.strikes > 0
    }

    /// Whether it is time for another try to connect.
    pub fn due(&self, now: Millis) -> bool {
        self.suspended() && now >= self.suspended_until
    }

    /// The share of its attempts that failed of late, from 0 to 1.
    pub fn failing(&self) -> f64 {
        self.failing
    }
}
