//! Leases: one life of an entry has an exclusive right for a limited time.
//!
//! A lease is two rows of the table service. The [`Record`] is written anew with
//! each renewal. The [`Mark`] is written only when the lease is taken, so that
//! its version is the [`Fence`]: it grows with each holder and never repeats.
//! Whatever is written under a lease checks the mark's version in the same
//! transaction, which shuts out a holder that wakes late.
//!
//! No two clocks are compared. The holder counts its time on its own monotonic
//! clock from before it sent the renewal; whoever wants to take over counts the
//! whole duration, and a margin, from when it saw the record's present version.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

pub mod duty;
pub mod expired;
pub mod free;
pub mod held;
pub mod machine;
pub mod row;
pub mod tenure;

pub use duty::Duty;
pub use expired::{Expired, RenewalOutcome};
pub use free::{Free, FreeReadOutcome, Take, TakeOutcome, Unresolved};
pub use held::{Held, OwnedReadOutcome};
pub use machine::{Machine, Step, View, Want};
pub use row::{Mark, Record, Snapshot, Versioned, Write, WriteOutcome};
pub use tenure::{Renewal, Tenure};

/// Of a lease's duration, the part after which its holder stops by itself, in
/// percent: what is left covers a call that is under way, and clocks that run
/// at different rates.
const HOLD_PERCENT: u64 = 66;
/// The part after which it is renewed: one renewal may fail before the stop.
const RENEW_PERCENT: u64 = 33;
/// What others wait beyond the duration, in percent of it: quartz clocks differ
/// by less than a thousandth, steered ones by less than a hundredth.
const MARGIN_PERCENT: u64 = 10;

/// A number that grows with each holder of a lease and never repeats: the
/// version of the lease's [`Mark`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// One life of an entry, as the holder of leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The entry.
    pub entry: name::Entry,
    /// Its life.
    pub incarnation: name::Incarnation,
}

/// How long a lease is, and the times that follow from it.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::lease::Term;
///
/// let term = Term::new(Millis(15_000));
/// assert_eq!(term.hold(), Millis(9_900));
/// assert_eq!(term.wait(), Millis(16_500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    duration: Millis,
}

impl Term {
    /// The times of leases of this duration.
    pub const fn new(duration: Millis) -> Self {
        Self { duration }
    }

    /// The whole duration.
    pub const fn duration(self) -> Millis {
        self.duration
    }

    /// How long the holder acts after it sent its last renewal that is in force.
    pub const fn hold(self) -> Millis {
        Millis(self.duration.0 * HOLD_PERCENT / 100)
    }

    /// How long after a renewal the next one is due.
    pub const fn renew(self) -> Millis {
        Millis(self.duration.0 * RENEW_PERCENT / 100)
    }

    /// How long others watch an unchanged record before they take over.
    pub const fn wait(self) -> Millis {
        Millis(self.duration.0 + self.duration.0 * MARGIN_PERCENT / 100)
    }
}

/// The holder's time is over: nothing may be done under the lease until it is
/// renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease is over")]
pub struct LeaseExpired;

/// A lease in one of its states, as one life of an entry sees it.
#[derive(Clone, Debug)]
pub struct Lease<S> {
    own: Holder,
    term: Term,
    takes: row::TakeNumbers,
    state: S,
}

impl<S> Lease<S> {
    fn with<T>(self, state: T) -> Lease<T> {
        Lease {
            own: self.own,
            term: self.term,
            takes: self.takes,
            state,
        }
    }
}

/// How many of the entries come before one for some work, each by its own order:
/// 0 for the first. Entries that see the same others agree; when one goes, only
/// what it was first for moves.
///
/// ```
/// use woodgap_core::lease::rank;
///
/// let entries = ["a", "b", "c"].map(|name| name.into());
/// let ranks = entries.each_ref().map(|own| rank("deferred/07", own, &entries));
/// assert_eq!(ranks.iter().sum::<usize>(), 0 + 1 + 2);
/// ```
pub fn rank(work: &str, own: &name::Entry, entries: &[name::Entry]) -> usize {
    let own_score = score(work, own);
    let precedes = |entry: &&name::Entry| *entry != own && score(work, entry) > own_score;
    entries.iter().filter(precedes).count()
}

fn score<'a>(work: &str, entry: &'a name::Entry) -> ([u8; 8], &'a name::Entry) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(work.len() as u64).to_le_bytes());
    hasher.update(work.as_bytes());
    hasher.update(entry.as_str().as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    (bytes, entry)
}

#[cfg(test)]
mod tests;
