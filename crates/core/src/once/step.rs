//! Steps and inputs of the state machines that work on a claim's row.

use crate::clock::Millis;
use crate::once::Claim;

/// The next step of a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Write the row if it has this version; 0 if the row must not exist.
    Write {
        /// The required version.
        over: u64,
        /// Delay before the call.
        after: Millis,
    },
    /// Read the row.
    Read {
        /// Delay before the call.
        after: Millis,
    },
    /// The machine has finished, with this result.
    Done(T),
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect; the row now has this version (0 after a delete).
    Committed(u64),
    /// The row had a different version; nothing was written.
    Conflict,
    /// There was no response: it may have taken effect, or may still do so.
    Unknown,
    /// The call failed and nothing was written.
    Unavailable,
}

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The claim.
    pub claim: Claim,
    /// The row's version.
    pub version: u64,
}

/// Doubles a delay up to a maximum.
pub(super) fn doubled(wait: Millis, max: Millis) -> Millis {
    Millis(wait.0 * 2).min(max)
}
