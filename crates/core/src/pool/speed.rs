//! Speed of an endpoint relative to its pool.

use crate::control::event::{Done, Outcome};
use crate::pool::estimate::{History, SampleWindow};

/// Weight of the newest run. With 0.3, a tenfold slowdown falls below
/// [`SLOW_THRESHOLD`] after two answers.
const EWMA_WEIGHT: f64 = 0.3;
/// Limit of a single run's ratio, so that one hung run does not outweigh ten
/// good ones.
const MAX_RATIO: f64 = 20.0;
/// An endpoint below this speed, relative to 1.0 for the pool's baseline, gets
/// work only as a trial or where enough time is left.
pub const SLOW_THRESHOLD: f64 = 0.35;

/// The pool's median time per token.
#[derive(Clone, Debug, Default)]
pub struct BaselineSpeed {
    per_token: SampleWindow,
}

impl BaselineSpeed {
    /// Returns the run's duration at baseline speed, in ms; none while too
    /// little is known.
    pub fn expected(&self, history: &History, done: &Done) -> Option<f64> {
        let by_tokens = self.by_tokens(history, done);
        by_tokens.or_else(|| history.median().map(|median| median.0 as f64))
    }

    fn by_tokens(&self, history: &History, done: &Done) -> Option<f64> {
        per_token(done)?;
        let first = history.median_first_token()?.0 as f64;
        let per_token = self.per_token.quantile(0.5)?;
        Some(first + per_token * (done.tokens - 1) as f64)
    }

    /// Adds a completed run.
    pub fn add(&mut self, done: &Done) {
        if let Some(per_token) = per_token(done) {
            self.per_token.add(per_token);
        }
    }

    /// Returns the median time per token, in ms.
    pub fn per_token(&self) -> Option<f64> {
        self.per_token.quantile(0.5)
    }
}

/// Returns the time per token after the first one, in ms, if there were any.
fn per_token(done: &Done) -> Option<f64> {
    let first = done.first_token?;
    if done.outcome != Outcome::Complete || done.tokens < 2 {
        return None;
    }
    Some((done.elapsed - first).0 as f64 / (done.tokens - 1) as f64)
}

/// An endpoint's speed relative to the baseline: an exponentially weighted mean
/// of logarithms, so that it recovers as fast as it falls.
#[derive(Clone, Debug, Default)]
pub struct RelativeSpeed {
    mean_log: f64,
}

impl RelativeSpeed {
    /// Adds a run with its expected and observed duration, in ms.
    ///
    /// ```
    /// use woodgap_core::pool::speed::RelativeSpeed;
    ///
    /// let mut relative_speed = RelativeSpeed::default();
    /// assert!((relative_speed.speed() - 1.0).abs() < 1e-9);
    /// for _ in 0..3 {
    ///     relative_speed.add(100.0, 1_000.0);
    /// }
    /// assert!(relative_speed.speed() < 0.35);
    /// ```
    pub fn add(&mut self, expected: f64, observed: f64) {
        // Adding a millisecond to both limits the effect of the clock's resolution
        // on short runs.
        let ratio = (expected + 1.0) / (observed + 1.0);
        let log = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.mean_log += EWMA_WEIGHT * (log - self.mean_log);
    }

    /// Returns the speed; 1.0 is the baseline.
    pub fn speed(&self) -> f64 {
        self.mean_log.exp()
    }
}
