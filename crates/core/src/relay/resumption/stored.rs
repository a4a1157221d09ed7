//! Streams as the platform stores them, for entries that start when all others are gone.
//!
//! Each entry stores its own streams in batches, under its name. A batch is written once and holds
//! for as long as its streams can be taken up; which build began a stream never changes, so that a
//! batch that is late or lost hides streams, and never sends one to another build.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::relay::resumption::inquiry::Notice;

/// The most streams that one batch holds: some 40 KB, below the least size of a row.
pub const MAX_BATCH: usize = 500;
/// The shortest time between two writes of an entry: streams that began since are lost with all
/// entries.
const MIN_SAVE_INTERVAL: Millis = Millis(500);
/// The most writes a second of all entries together: an eighth of what a platform of that many
/// entries takes.
const MAX_SAVES_PER_S: u64 = 400;
/// The most batches that are deleted by one write.
pub const MAX_DELETIONS: usize = 50;

/// How long an entry waits between two writes, by the number of entries.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::resumption::stored::save_interval;
///
/// assert_eq!(save_interval(9), Millis(500));
/// assert_eq!(save_interval(400), Millis(1_000));
/// ```
pub fn save_interval(entries: usize) -> Millis {
    let share = Millis(entries as u64 * 1_000 / MAX_SAVES_PER_S);
    MIN_SAVE_INTERVAL.max(share)
}

/// The streams of one write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The time of day of the write, in ms since the Unix epoch.
    pub written_unix: Millis,
    /// The streams; for how long each may be taken up counts from the write.
    pub streams: Vec<Notice>,
}

impl Batch {
    /// The streams that may still be taken up.
    pub fn notices(&self, unix: Millis) -> impl Iterator<Item = Notice> {
        let age = unix - self.written_unix;
        let streams = self.streams.iter();
        let left = streams.map(move |notice| Notice {
            keep_for: notice.keep_for - age,
            ..*notice
        });
        left.filter(|notice| notice.keep_for > Millis::ZERO)
    }

    /// Whether it can be a batch that an entry wrote.
    pub fn is_sound(&self) -> bool {
        self.streams.len() <= MAX_BATCH
    }
}

/// What an entry stores: the batches by their number, which rises with time.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::resumption::stored::Ledger;
///
/// let mut ledger = Ledger::default();
/// let number = ledger.number(Millis(1_000));
/// ledger.insert(number);
/// assert!(ledger.number(Millis(1_000)) > number);
/// // A batch is kept for as long as its streams can be taken up.
/// assert!(ledger.outdated(Millis(45_000), Millis(46_000)).is_empty());
/// assert_eq!(ledger.outdated(Millis(45_000), Millis(46_001)), [number]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    last: u64,
    batches: BTreeSet<u64>,
}

impl Ledger {
    /// The number of the next batch: its time of day, or more than those before.
    pub fn number(&self, unix: Millis) -> u64 {
        unix.0.max(self.last + 1)
    }

    /// Records that a batch is stored, or may be.
    pub fn insert(&mut self, number: u64) {
        self.last = self.last.max(number);
        self.batches.insert(number);
    }

    /// Some of the batches whose streams can't be taken up any more.
    pub fn outdated(&self, retention: Millis, unix: Millis) -> Vec<u64> {
        let numbers = self.batches.iter().copied();
        let outdated = numbers.take_while(|number| is_outdated(*number, retention, unix));
        outdated.take(MAX_DELETIONS).collect()
    }

    /// Records that batches are deleted.
    pub fn remove(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.batches.remove(number);
        }
    }
}

/// Whether none of a batch's streams can be taken up any more.
pub fn is_outdated(number: u64, retention: Millis, unix: Millis) -> bool {
    unix.0 > number.saturating_add(retention.0)
}
