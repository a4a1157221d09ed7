//! What the machines of a claim's row want done, and what they are told.

use crate::clock::Millis;
use crate::once::Claim;

/// The next step of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Change the row if it has this version, 0 for "no such row".
    Write {
        /// The version that the row must have.
        over: u64,
        /// How long to wait first.
        after: Millis,
    },
    /// Read the row.
    Read {
        /// How long to wait first.
        after: Millis,
    },
    /// Nothing more is to be done.
    Done(T),
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect, and the row has this version now (0 for a delete).
    Committed(u64),
    /// The row had another version; nothing was done.
    Conflict,
    /// No answer came: it may have taken effect, or may yet.
    Unknown,
    /// Nothing was done.
    Unavailable,
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The claim.
    pub claim: Claim,
    /// The row's version.
    pub version: u64,
}

/// Doubles a wait up to a bound.
pub(super) fn doubled(wait: Millis, max: Millis) -> Millis {
    Millis(wait.0 * 2).min(max)
}
