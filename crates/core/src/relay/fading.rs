//! A moving average that decays to a baseline without new samples.
//!
//! Without the decay, a value learnt during a fault could outlive the fault: an endpoint that
//! gets no requests because of a bad value yields no sample to correct it.

use crate::clock::Millis;

/// The weight of one sample: about the last ten samples count.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the decay to the baseline, in ms. It is many times the interval between
/// two samples of one endpoint at one entry (about a second in operation); with a short one,
/// the average would never move far from the baseline.
const DECAY_MS: f64 = 20_000.0;

/// The average.
#[derive(Clone, Copy, Debug)]
pub struct DecayingAverage {
    baseline: f64,
    value: f64,
    updated_at: Millis,
}

impl DecayingAverage {
    /// Creates an average without samples.
    pub fn new(baseline: f64) -> Self {
        Self {
            baseline,
            value: baseline,
            updated_at: Millis::ZERO,
        }
    }

    /// The current value.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::fading::DecayingAverage;
    ///
    /// let mut time = DecayingAverage::new(20.0);
    /// time.record(1_020.0, Millis(0));
    /// assert_eq!(time.value_at(Millis(0)), 120.0);
    /// assert!(time.value_at(Millis(120_000)) < 21.0);
    /// ```
    pub fn value_at(&self, now: Millis) -> f64 {
        let age = (now - self.updated_at).0 as f64;
        self.baseline + (self.value - self.baseline) * (-age / DECAY_MS).exp()
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64, now: Millis) {
        let before = self.value_at(now);
        self.value = before + SAMPLE_WEIGHT * (sample - before);
        self.updated_at = now;
    }
}
