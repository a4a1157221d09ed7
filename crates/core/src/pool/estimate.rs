//! Estimates for a class's next run from its completed runs.

use crate::clock::Millis;
use crate::control::event::{Done, Outcome};

/// Number of runs kept: enough for a stable 95th percentile, and replaced
/// within about a minute when a class changes its behaviour.
const WINDOW: usize = 64;
/// Number of new values after which the window is sorted again.
const SORT_INTERVAL: usize = 8;
/// Cost in tokens assumed before any run has completed.
const DEFAULT_TOKENS: f64 = 64.0;

/// Sliding window over the last values of one quantity.
#[derive(Clone, Debug, Default)]
pub struct SampleWindow {
    values: Vec<f64>,
    next: usize,
    sorted: Vec<f64>,
}

impl SampleWindow {
    /// Adds a value.
    ///
    /// ```
    /// use woodgap_core::pool::estimate::SampleWindow;
    ///
    /// let mut window = SampleWindow::default();
    /// assert_eq!(window.quantile(0.5), None);
    /// for value in [3.0, 1.0, 2.0] {
    ///     window.add(value);
    /// }
    /// assert_eq!(window.quantile(0.5), Some(2.0));
    /// ```
    pub fn add(&mut self, value: f64) {
        if self.values.len() < WINDOW {
            self.values.push(value);
        } else {
            self.values[self.next % WINDOW] = value;
        }
        self.next += 1;
        if self.next <= SORT_INTERVAL || self.next.is_multiple_of(SORT_INTERVAL) {
            self.sort();
        }
    }

    /// Returns the value at this quantile, 0 to 1.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let last = self.sorted.len().checked_sub(1)?;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (share.clamp(0.0, 1.0) * last as f64).round() as usize;
        self.sorted.get(index).copied()
    }

    /// Returns the mean of the window.
    pub fn mean(&self) -> Option<f64> {
        if self.sorted.is_empty() {
            return None;
        }
        let sum: f64 = self.sorted.iter().sum();
        Some(sum / self.sorted.len() as f64)
    }

    fn sort(&mut self) {
        self.sorted.clone_from(&self.values);
        self.sorted.sort_by(f64::total_cmp);
    }
}

/// Statistics of the completed runs of one class.
#[derive(Clone, Debug, Default)]
pub struct History {
    tokens: SampleWindow,
    elapsed: SampleWindow,
    first_token: SampleWindow,
    mean_tokens: Option<f64>,
}

impl History {
    /// Adds a run. Only complete answers are counted, because others say
    /// nothing about the length of an answer.
    pub fn add(&mut self, done: &Done) {
        if done.outcome != Outcome::Complete {
            return;
        }
        self.tokens.add(done.tokens.max(1) as f64);
        self.elapsed.add(done.elapsed.0 as f64);
        if let Some(first_token) = done.first_token {
            self.first_token.add(first_token.0 as f64);
        }
        self.mean_tokens = self.tokens.mean();
    }

    /// Returns the expected cost of a run, in tokens (or calls).
    pub fn expected_cost(&self) -> f64 {
        self.mean_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns the 25th percentile of run durations: the shortest duration that
    /// is planned with.
    pub fn p25(&self) -> Option<Millis> {
        self.elapsed.quantile(0.25).map(millis)
    }

    /// Returns the median run duration.
    pub fn median(&self) -> Option<Millis> {
        self.elapsed.quantile(0.5).map(millis)
    }

    /// Returns the mean run duration.
    pub fn mean(&self) -> Option<Millis> {
        self.elapsed.mean().map(millis)
    }

    /// Returns the 95th percentile of run durations.
    pub fn p95(&self) -> Option<Millis> {
        self.elapsed.quantile(0.95).map(millis)
    }

    /// Returns the median time to the first token.
    pub fn median_first_token(&self) -> Option<Millis> {
        self.first_token.quantile(0.5).map(millis)
    }
}

fn millis(value: f64) -> Millis {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Millis(value.max(0.0).round() as u64)
}
