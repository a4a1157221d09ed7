//! How fast an endpoint is beside the others of its pool.

use crate::control::event::{Done, Outcome};
use crate::pool::estimate::{History, Sample};

/// Weight of the newest run: a tenfold slowdown is below [`SLOW`] after two answers.
const NEWEST: f64 = 0.3;
/// Bounds of one run's say, so that a single hung run does not outweigh ten good ones.
const BOUND: f64 = 20.0;
/// An endpoint slower than this, beside 1.0 for the pool's usual speed, gets
/// work only as a trial or where there is time enough.
pub const SLOW: f64 = 0.35;

/// The pool's usual pace.
#[derive(Clone, Debug, Default)]
pub struct Usual {
    per_token: Sample,
}

impl Usual {
    /// How long the run would have taken at the usual pace, in ms; none while
    /// too little is known.
    pub fn expected(&self, history: &History, done: &Done) -> Option<f64> {
        let by_tokens = self.by_tokens(history, done);
        by_tokens.or_else(|| history.median().map(|median| median.0 as f64))
    }

    fn by_tokens(&self, history: &History, done: &Done) -> Option<f64> {
        per_token(done)?;
        let first = history.first_token()?.0 as f64;
        let per_token = self.per_token.quantile(0.5)?;
        Some(first + per_token * (done.tokens - 1) as f64)
    }

    /// Takes in the end of a run.
    pub fn add(&mut self, done: &Done) {
        if let Some(per_token) = per_token(done) {
            self.per_token.add(per_token);
        }
    }

    /// Milliseconds a token.
    pub fn per_token(&self) -> Option<f64> {
        self.per_token.quantile(0.5)
    }
}

/// Milliseconds a token after the first one, if there were any.
fn per_token(done: &Done) -> Option<f64> {
    let first = done.first_token?;
    if done.outcome != Outcome::Complete || done.tokens < 2 {
        return None;
    }
    Some((done.elapsed - first).0 as f64 / (done.tokens - 1) as f64)
}

/// One endpoint's pace; means are of logarithms, so that it is as quick to
/// recover as to fall.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    log: f64,
}

impl Pace {
    /// Takes in a run that was expected to take so long and took so long, in ms.
    ///
    /// ```
    /// use woodgap_core::pool::speed::Pace;
    ///
    /// let mut pace = Pace::default();
    /// assert!((pace.speed() - 1.0).abs() < 1e-9);
    /// for _ in 0..3 {
    ///     pace.add(100.0, 1_000.0);
    /// }
    /// assert!(pace.speed() < 0.35);
    /// ```
    pub fn add(&mut self, expected: f64, observed: f64) {
        // A millisecond each way keeps the clock's grain out of short runs.
        let ratio = (expected + 1.0) / (observed + 1.0);
        let log = ratio.clamp(1.0 / BOUND, BOUND).ln();
        self.log += NEWEST * (log - self.log);
    }

    /// Its speed; 1.0 is the usual one.
    pub fn speed(&self) -> f64 {
        self.log.exp()
    }
}
