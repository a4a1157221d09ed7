//! The rows of a lease, and what reading and writing them brings.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::lease::{Fence, Holder};

/// The row that each renewal writes anew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who holds the lease; none once it was given back.
    pub holder: Option<Holder>,
    /// Names the take by which the holder came to it.
    pub take: u64,
    /// How long the lease lasts after each renewal.
    #[serde(rename = "duration_ms")]
    pub duration: Millis,
}

/// The row that each take writes; its version is the [`Fence`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Who took the lease.
    pub holder: Holder,
    /// Names the take.
    pub take: u64,
}

/// A row's value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Grows with every write; never 0.
    pub version: u64,
}

/// What a read of both rows showed; it may be an older state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The record; none where there is none.
    pub record: Option<Versioned<Record>>,
    /// The mark; none where there is none.
    pub mark: Option<Versioned<Mark>>,
}

impl Snapshot {
    /// The record's version; 0 where there is none.
    pub fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.version)
    }

    /// The holder, if there is one.
    pub fn holder(&self) -> Option<&Holder> {
        self.record.as_ref()?.value.holder.as_ref()
    }

    /// The take of this holder that is in force, with its fence.
    pub(super) fn take_of(&self, own: &Holder) -> Option<(u64, Fence)> {
        let record = self.record.as_ref()?;
        let mark = self.mark.as_ref()?;
        // Both rows may have been read at different times.
        let whole = mark.value.take == record.value.take && mark.value.holder == *own;
        let is_holder = record.value.holder.as_ref() == Some(own);
        (whole && is_holder).then_some((record.value.take, Fence(mark.version)))
    }
}

/// A transaction that takes, renews or gives back a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The version that the record must have; 0 for "no such row".
    pub over: u64,
    /// The record.
    pub record: Record,
    /// The mark, written only by a take.
    pub mark: Option<Mark>,
}

/// What became of a [`Write`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Committed {
        /// The record's new version.
        version: u64,
        /// The mark's new version, if it was written.
        fence: Option<Fence>,
    },
    /// The record has another version; nothing was written.
    Conflict,
    /// Nothing was written.
    Unavailable,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// Numbers the takes of one life of a branch, so that it knows its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakeNumbers {
    first: u64,
    next: u64,
}

impl TakeNumbers {
    /// Takes from a number that is drawn at random.
    pub(super) fn new(first: u64) -> Self {
        Self { first, next: first }
    }

    pub(super) fn next(&mut self) -> u64 {
        let take = self.next;
        self.next = self.next.wrapping_add(1);
        take
    }

    /// Whether a take is one of these.
    pub(super) fn contains(self, take: u64) -> bool {
        take.wrapping_sub(self.first) < self.next.wrapping_sub(self.first)
    }
}
