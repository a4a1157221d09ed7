//! The rows of a lease, and the results of reading and writing them.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::lease::{Fence, Holder};

/// The row that every renewal rewrites.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder; `None` after a release.
    pub holder: Option<Holder>,
    /// Identifies the take by which the holder acquired the lease.
    pub take: u64,
    /// Duration of the lease from each renewal.
    #[serde(rename = "duration_ms")]
    pub duration: Millis,
}

/// The row that only a take writes; its version is the fencing token ([`Fence`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The holder that took the lease.
    pub holder: Holder,
    /// Identifies the take.
    pub take: u64,
}

/// Value and version of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Increases with every write; never 0.
    pub version: u64,
}

/// Result of reading both rows; it may be stale.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The record, if the row exists.
    pub record: Option<Versioned<Record>>,
    /// The mark, if the row exists.
    pub mark: Option<Versioned<Mark>>,
}

impl Snapshot {
    /// The record's version; 0 if the row does not exist.
    pub fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.version)
    }

    /// The current holder, if any.
    pub fn holder(&self) -> Option<&Holder> {
        self.record.as_ref()?.value.holder.as_ref()
    }

    /// The take of `own` that is in force, with its fencing token; `None` if another holder has
    /// the lease.
    pub(super) fn take_of(&self, own: &Holder) -> Option<(u64, Fence)> {
        let record = self.record.as_ref()?;
        let mark = self.mark.as_ref()?;
        // The two rows may have been read at different times.
        let whole = mark.value.take == record.value.take && mark.value.holder == *own;
        let is_holder = record.value.holder.as_ref() == Some(own);
        (whole && is_holder).then_some((record.value.take, Fence(mark.version)))
    }
}

/// A transaction that takes, renews or releases a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Version that the record must have; 0 if the row must not exist.
    pub over: u64,
    /// The new record.
    pub record: Record,
    /// The new mark; only a take writes it.
    pub mark: Option<Mark>,
}

/// Outcome of a [`Write`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Committed {
        /// The record's new version.
        version: u64,
        /// The mark's new version, if it was written.
        fence: Option<Fence>,
    },
    /// The record has a different version; nothing was written.
    Conflict,
    /// The call failed and nothing was written.
    Unavailable,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// Generates the numbers of one incarnation's takes, so that it recognises its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakeNumbers {
    first: u64,
    next: u64,
}

impl TakeNumbers {
    /// Starts at a random number.
    pub(super) fn new(first: u64) -> Self {
        Self { first, next: first }
    }

    pub(super) fn next(&mut self) -> u64 {
        let take = self.next;
        self.next = self.next.wrapping_add(1);
        take
    }

    /// Whether this incarnation issued the number.
    pub(super) fn contains(self, take: u64) -> bool {
        take.wrapping_sub(self.first) < self.next.wrapping_sub(self.first)
    }
}
