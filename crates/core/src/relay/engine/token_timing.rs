//! How long tokens take at one engine now.
//!
//! The load pattern: some engines read prompts all the time, or have turned slow. Their
//! streams still begin on time and keep each pause within bounds, and yet take several
//! times as long; they hold places that others wait for, run into their deadlines, and
//! all of them are lost if the engine is. The pauses between events tell of it within a
//! second. Late long prompts of a burst on the model of engines (`placement`, twice the
//! usual rate, two of three seeds): 0.03 and 0.02 with it, 0.07 and 0.11 without.

use crate::clock::Millis;

/// Over so long the pauses between events are collected at least, in ms.
const WINDOW: Millis = Millis(500);
/// So many pauses are needed for a judgement: a few events of several streams. More
/// than the most are not kept.
const MIN_GAPS: usize = 12;
const MAX_GAPS: usize = 64;
/// The weight of one judgement: about the last three count.
const WEIGHT: f64 = 0.3;
/// The span in which a figure comes nearer to what is usual, to a third, in ms, while
/// no stream tells of it: what kept requests away must not outlive its cause.
const SPAN: f64 = 3_000.0;
/// How long a figure is told to others after it was seen, in ms.
const GOSSIP_LIFETIME: Millis = Millis(1_000);

/// What is learnt of one engine.
#[derive(Debug, Default)]
pub(super) struct TokenTiming {
    window_start: Millis,
    /// Pauses of the window, in ms.
    gaps: Vec<f64>,
    /// The mean time of a token of late, in ms, and when it was judged.
    token_time: Option<(f64, Millis)>,
}

impl TokenTiming {
    /// How long a token takes there now, in ms; `usual` where it was not seen of late.
    pub fn token_time(&self, baseline: f64, now: Millis) -> f64 {
        let Some((time, at)) = self.token_time else {
            return baseline;
        };
        let age = (now - at).0 as f64;
        baseline + (time - baseline) * (-age / SPAN).exp()
    }

    /// The same for others, in ms, if it was seen of late.
    pub fn recent(&self, now: Millis) -> Option<f64> {
        let (time, at) = self.token_time?;
        (now - at < GOSSIP_LIFETIME).then_some(time)
    }

    /// Takes how long tokens take, in ms, as it was judged here or by another entry.
    pub fn record(&mut self, time: f64, now: Millis) {
        let before = self.token_time(time, now);
        self.token_time = Some((before + WEIGHT * (time - before), now));
    }

    /// Takes a pause between two events. Gives back the pauses of a window that is over,
    /// in ms, for [`TokenTiming::evaluate`].
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

    /// Learns from the pauses of a window between events of so many tokens. Gives back
    /// the median time of a token in it, in ms.
    pub fn evaluate(&mut self, mut window: Vec<f64>, tokens: u32, now: Millis) -> f64 {
        let count = window.len();
        let tokens = f64::from(tokens.max(1));
        let mean = window.iter().sum::<f64>() / count as f64;
        self.record(mean / tokens, now);
        window.sort_by(f64::total_cmp);
        window[count / 2] / tokens
    }
}
