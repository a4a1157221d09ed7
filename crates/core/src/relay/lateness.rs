//! Which part of the streams was late of late, and how that moves engines.
//!
//! The load pattern: the demand of both sorts of streams is known, but not what an
//! engine of this make can do of each; the division of the engines is then right for
//! some engines, and on others leaves one sort late while the other has room. Lateness
//! tells which. All entries count it together, so that all divide alike.
//!
//! Worth of two days under load on 112 engines of 12 slots, a play each: 0.66 and 0.60
//! with it, 0.61 and 0.54 without; on engines of 64 slots within chance.

use serde::{Deserialize, Serialize};

/// So many streams without lateness are added to those seen: one late stream among a
/// few moves nothing.
const PRIOR_ON_TIME: f32 = 10.0;
/// How much more engines a sort gets, as a logarithm, if all of its streams are late
/// and none of the other's.
const GAIN: f32 = 3.0;
/// The most that the division moves either way, as a logarithm: by half.
const MAX_LOG_WEIGHT: f32 = 0.7;

/// Streams of one sort.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamCount {
    /// Those that ended.
    pub total: f32,
    /// Of them, those that were late, or turned away because they would have been.
    pub late: f32,
}

/// Streams of both sorts, the recent ones for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// Those whose events must come in quick succession.
    pub decode_heavy: StreamCount,
    /// Those that mostly read prompts.
    pub prefill_heavy: StreamCount,
}

impl StreamCount {
    fn add(&mut self, other: Self) {
        self.total += other.total;
        self.late += other.late;
    }

    fn decay(&mut self, factor: f32) {
        self.total *= factor;
        self.late *= factor;
    }

    fn late_ratio(self) -> f32 {
        self.late / (self.total + PRIOR_ON_TIME)
    }
}

impl Lateness {
    /// Counts a stream.
    pub fn record(&mut self, is_decode_heavy: bool, is_late: bool) {
        let count = if is_decode_heavy {
            &mut self.decode_heavy
        } else {
            &mut self.prefill_heavy
        };
        count.add(StreamCount {
            total: 1.0,
            late: if is_late { 1.0 } else { 0.0 },
        });
    }

    /// Adds what others counted.
    pub fn add(&mut self, other: &Self) {
        self.decode_heavy.add(other.decode_heavy);
        self.prefill_heavy.add(other.prefill_heavy);
    }

    /// Leaves this part of what was counted.
    pub fn decay(&mut self, factor: f64) {
        // A part of one.
        #[allow(clippy::cast_possible_truncation)]
        let factor = factor as f32;
        self.decode_heavy.decay(factor);
        self.prefill_heavy.decay(factor);
    }

    /// How many times as many engines steady streams get as they seem to need.
    ///
    /// ```
    /// use woodgap_core::relay::lateness::Lateness;
    ///
    /// let mut lateness = Lateness::default();
    /// assert_eq!(lateness.decode_weight(), 1.0);
    /// (0..20).for_each(|at| lateness.record(true, at % 2 == 0));
    /// assert!(lateness.decode_weight() > 1.5);
    /// ```
    pub fn decode_weight(&self) -> f64 {
        let difference = self.decode_heavy.late_ratio() - self.prefill_heavy.late_ratio();
        f64::from((GAIN * difference).clamp(-MAX_LOG_WEIGHT, MAX_LOG_WEIGHT)).exp()
    }
}
