//! A figure learnt from samples, which fades to its usual value without them.
//!
//! What was learnt while something was wrong must not outlive it: a figure that keeps
//! requests away would get no sample that corrects it.

use crate::clock::Millis;

/// The weight of one sample: about the last ten count.
const WEIGHT: f64 = 0.1;
/// The span in which a figure without samples comes nearer to its usual value, to a
/// third of the distance, in ms: many times the pause between two samples of one
/// endpoint at one entry (about a second in use), else it would never learn enough.
const SPAN: f64 = 20_000.0;

/// The figure.
#[derive(Clone, Copy, Debug)]
pub struct Fading {
    usual: f64,
    value: f64,
    at: Millis,
}

impl Fading {
    /// A figure without samples.
    pub fn new(usual: f64) -> Self {
        Self {
            usual,
            value: usual,
            at: Millis::ZERO,
        }
    }

    /// The figure now.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::fading::Fading;
    ///
    /// let mut time = Fading::new(20.0);
    /// time.learn(1_020.0, Millis(0));
    /// assert_eq!(time.now(Millis(0)), 120.0);
    /// assert!(time.now(Millis(120_000)) < 21.0);
    /// ```
    pub fn now(&self, now: Millis) -> f64 {
        let age = (now - self.at).0 as f64;
        self.usual + (self.value - self.usual) * (-age / SPAN).exp()
    }

    /// Takes a sample.
    pub fn learn(&mut self, sample: f64, now: Millis) {
        let before = self.now(now);
        self.value = before + WEIGHT * (sample - before);
        self.at = now;
    }
}
