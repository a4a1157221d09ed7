//! What the ended runs of a class tell of its next one.

use crate::clock::Millis;
use crate::control::event::{Done, Outcome};

/// Runs that are remembered: enough for a stable 95th percentile, and forgotten
/// within a minute or so when a class changes its ways.
const KEPT: usize = 64;
/// Runs between two sorts of what is remembered.
const RENEW: usize = 8;
/// Tokens that a run is taken for before any has ended.
const UNKNOWN_TOKENS: f64 = 64.0;

/// The last values of one kind, and where most of them lie.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    kept: Vec<f64>,
    next: usize,
    sorted: Vec<f64>,
}

impl Sample {
    /// Takes in a value.
    ///
    /// ```
    /// use woodgap_core::pool::estimate::Sample;
    ///
    /// let mut sample = Sample::default();
    /// assert_eq!(sample.quantile(0.5), None);
    /// for value in [3.0, 1.0, 2.0] {
    ///     sample.add(value);
    /// }
    /// assert_eq!(sample.quantile(0.5), Some(2.0));
    /// ```
    pub fn add(&mut self, value: f64) {
        if self.kept.len() < KEPT {
            self.kept.push(value);
        } else {
            self.kept[self.next % KEPT] = value;
        }
        self.next += 1;
        if self.next <= RENEW || self.next.is_multiple_of(RENEW) {
            self.sort();
        }
    }

    /// The value below which this share of the remembered ones lies.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let last = self.sorted.len().checked_sub(1)?;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (share.clamp(0.0, 1.0) * last as f64).round() as usize;
        self.sorted.get(index).copied()
    }

    /// The mean of the remembered values.
    pub fn mean(&self) -> Option<f64> {
        if self.sorted.is_empty() {
            return None;
        }
        let sum: f64 = self.sorted.iter().sum();
        Some(sum / self.sorted.len() as f64)
    }

    fn sort(&mut self) {
        self.sorted.clone_from(&self.kept);
        self.sorted.sort_by(f64::total_cmp);
    }
}

/// The ended runs of one class.
#[derive(Clone, Debug, Default)]
pub struct History {
    tokens: Sample,
    elapsed: Sample,
    first: Sample,
    mean_tokens: Option<f64>,
}

impl History {
    /// Takes in the end of a run. Only whole answers tell how long answers are.
    pub fn add(&mut self, done: &Done) {
        if done.outcome != Outcome::Complete {
            return;
        }
        self.tokens.add(done.tokens.max(1) as f64);
        self.elapsed.add(done.elapsed.0 as f64);
        if let Some(first) = done.first_token {
            self.first.add(first.0 as f64);
        }
        self.mean_tokens = self.tokens.mean();
    }

    /// What a run is expected to cost, in tokens (or calls).
    pub fn cost(&self) -> f64 {
        self.mean_tokens.unwrap_or(UNKNOWN_TOKENS)
    }

    /// Time that a quarter of the runs stay below: the least that one is
    /// planned with.
    pub fn short(&self) -> Option<Millis> {
        self.elapsed.quantile(0.25).map(millis)
    }

    /// The usual time of a run.
    pub fn median(&self) -> Option<Millis> {
        self.elapsed.quantile(0.5).map(millis)
    }

    /// Mean time of a run.
    pub fn mean(&self) -> Option<Millis> {
        self.elapsed.mean().map(millis)
    }

    /// Time that few runs exceed.
    pub fn long(&self) -> Option<Millis> {
        self.elapsed.quantile(0.95).map(millis)
    }

    /// The usual time to the first token.
    pub fn first_token(&self) -> Option<Millis> {
        self.first.quantile(0.5).map(millis)
    }
}

fn millis(value: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Millis(value.max(0.0).round() as u64)
}
