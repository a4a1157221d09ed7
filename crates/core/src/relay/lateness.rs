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
const DOUBT: f32 = 10.0;
/// How much more engines a sort gets, as a logarithm, if all of its streams are late
/// and none of the other's.
const GAIN: f32 = 3.0;
/// The most that the division moves either way, as a logarithm: by half.
const MOST: f32 = 0.7;

/// Streams of one sort.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Those that ended.
    pub all: f32,
    /// Of them, those that were late, or turned away because they would have been.
    pub late: f32,
}

/// Streams of both sorts, the recent ones for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// Those whose events must come in quick succession.
    pub steady: Count,
    /// Those that mostly read prompts.
    pub reading: Count,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.late += other.late;
    }

    fn fade(&mut self, left: f32) {
        self.all *= left;
        self.late *= left;
    }

    fn part(self) -> f32 {
        self.late / (self.all + DOUBT)
    }
}

impl Lateness {
    /// Counts a stream.
    pub fn count(&mut self, is_steady: bool, is_late: bool) {
        let count = if is_steady {
            &mut self.steady
        } else {
            &mut self.reading
        };
        count.add(Count {
            all: 1.0,
            late: if is_late { 1.0 } else { 0.0 },
        });
    }

    /// Adds what others counted.
    pub fn add(&mut self, other: &Self) {
        self.steady.add(other.steady);
        self.reading.add(other.reading);
    }

    /// Leaves this part of what was counted.
    pub fn fade(&mut self, left: f64) {
        // A part of one.
        #[allow(clippy::cast_possible_truncation)]
        let left = left as f32;
        self.steady.fade(left);
        self.reading.fade(left);
    }

    /// How many times as many engines steady streams get as they seem to need.
    ///
    /// ```
    /// use woodgap_core::relay::lateness::Lateness;
    ///
    /// let mut lateness = Lateness::default();
    /// assert_eq!(lateness.favour_steady(), 1.0);
    /// (0..20).for_each(|at| lateness.count(true, at % 2 == 0));
    /// assert!(lateness.favour_steady() > 1.5);
    /// ```
    pub fn favour_steady(&self) -> f64 {
        let difference = self.steady.part() - self.reading.part();
        f64::from((GAIN * difference).clamp(-MOST, MOST)).exp()
    }
}
