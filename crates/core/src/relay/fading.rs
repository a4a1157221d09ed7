//! A figure learnt from samples, which fades to its usual value without them.
//!
//! What was learnt while something was wrong must not outlive it: a figure that keeps
//! requests away would get no sample that corrects it.

use crate::clock::Millis;

/// The weight of one sample: about the last ten count.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The span in which a figure without samples comes nearer to its usual value, to a
/// third of the distance, in ms: many times the pause between two samples of one
/// endpoint at one entry (about a second in use), else it would never learn enough.
const DECAY_MS: f64 = 20_000.0;

/// The figure.
#[derive(Clone, Copy, Debug)]
pub struct DecayingAverage {
    baseline: f64,
    value: f64,
    updated_at: Millis,
}

impl DecayingAverage {
    /// A figure without samples.
    pub fn new(baseline: f64) -> Self {
        Self {
            baseline,
            value: baseline,
            updated_at: Millis::ZERO,
        }
    }

    /// The figure now.
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

    /// Takes a sample.
    pub fn record(&mut self, sample: f64, now: Millis) {
        let before = self.value_at(now);
        self.value = before + SAMPLE_WEIGHT * (sample - before);
        self.updated_at = now;
    }
}
