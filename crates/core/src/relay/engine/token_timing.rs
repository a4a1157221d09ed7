//! The current time per token at one engine.
//!
//! Some engines prefill prompts all the time, or have become slow. Their streams still begin
//! on time and keep each gap within limits, but take several times as long: they hold slots
//! that others wait for, run into their deadlines, and are all lost if the engine fails. The
//! gaps between events show this within a second. Late long prompts of a burst on the engine
//! model (`placement`, twice the usual rate, two of three seeds): 0.03 and 0.02 with this,
//! 0.07 and 0.11 without.

use crate::clock::Millis;

/// Gaps between events are collected for at least this time, in ms.
const WINDOW: Millis = Millis(500);
/// The minimum number of gaps in a window, a few events of several streams, and the maximum
/// that is kept.
const MIN_GAPS: usize = 12;
const MAX_GAPS: usize = 64;
/// The weight of one window: about the last three windows count.
const WEIGHT: f64 = 0.3;
/// Time constant of the decay to the baseline while no stream yields samples, in ms: a value
/// that keeps requests away must not outlive its cause.
const SPAN: f64 = 3_000.0;
/// How long a figure is reported to other entries after it was observed, in ms.
const GOSSIP_LIFETIME: Millis = Millis(1_000);

/// The timing of one engine.
#[derive(Debug, Default)]
pub(super) struct TokenTiming {
    window_start: Millis,
    /// Gaps of the current window, in ms.
    gaps: Vec<f64>,
    /// The moving average of the time per token, in ms, and the time of its last update.
    token_time: Option<(f64, Millis)>,
}

impl TokenTiming {
    /// The current time per token, in ms; `baseline` without recent samples.
    pub fn token_time(&self, baseline: f64, now: Millis) -> f64 {
        let Some((time, at)) = self.token_time else {
            return baseline;
        };
        let age = (now - at).0 as f64;
        baseline + (time - baseline) * (-age / SPAN).exp()
    }

    /// The time per token to report to others, in ms, if it was observed recently.
    pub fn recent(&self, now: Millis) -> Option<f64> {
        let (time, at) = self.token_time?;
        (now - at < GOSSIP_LIFETIME).then_some(time)
    }

    /// Adds a time per token, in ms, measured here or by another entry.
    pub fn record(&mut self, time: f64, now: Millis) {
        let before = self.token_time(time, now);
        self.token_time = Some((before + WEIGHT * (time - before), now));
    }

    /// Adds a gap between two events. Returns the gaps of a completed window, in ms, for
    /// [`TokenTiming::evaluate`].
    pub fn record_gap(&mut self, gap: Millis, now: Millis) -> Option<Vec<f64>> {
        let is_over = now - self.window_start > WINDOW && self.gaps.len() >= MIN_GAPS;
        let window = is_over.then(|| {
            self.window_start = now;
            std::mem::take(&mut self.gaps)
        });
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap.0 as f64);
        }
        window
    }

    /// Evaluates the gaps of a window between events of `tokens` tokens each. Returns the
    /// median time per token, in ms.
    pub fn evaluate(&mut self, mut window: Vec<f64>, tokens: u32, now: Millis) -> f64 {
        let count = window.len();
        let tokens = f64::from(tokens.max(1));
        let mean = window.iter().sum::<f64>() / count as f64;
        self.record(mean / tokens, now);
        window.sort_by(f64::total_cmp);
        window[count / 2] / tokens
    }
}
