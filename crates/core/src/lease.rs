//! Leases: an exclusive right of one incarnation of an entry, for a limited time.
//!
//! A lease consists of two rows in the table service. The [`Record`] is rewritten by each
//! renewal. The [`Mark`] is written only when the lease is taken, so its version serves as the
//! fencing token ([`Fence`]): it increases with each holder and never repeats. Every write made
//! under a lease checks the mark's version in the same transaction, so the writes of a former
//! holder that resumes late are rejected.
//!
//! Clocks are never compared. The holder measures its time on its own monotonic clock, starting
//! before it sends the renewal. A contender waits for the whole duration plus a margin,
//! starting when it first sees the current version of the record.

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

/// Share of the lease's duration after which the holder stops by itself, in percent. The rest
/// covers a call in flight and clocks that run at different rates.
const HOLD_PERCENT: u64 = 66;
/// Share of the duration after which the lease is renewed, in percent: one renewal may fail
/// before the holder stops.
const RENEW_PERCENT: u64 = 33;
/// Time that contenders wait beyond the duration, in percent of it: quartz clocks differ by
/// less than a thousandth, clocks under frequency correction by less than a hundredth.
const MARGIN_PERCENT: u64 = 10;

/// Fencing token: increases with each holder of a lease and never repeats. It is the version of
/// the lease's [`Mark`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// An incarnation of an entry that can hold leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The entry.
    pub entry: name::Entry,
    /// Its incarnation.
    pub incarnation: name::Incarnation,
}

/// Duration of a lease and the times derived from it.
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
    /// Creates the term of leases with this duration.
    pub const fn new(duration: Millis) -> Self {
        Self { duration }
    }

    /// The whole duration.
    pub const fn duration(self) -> Millis {
        self.duration
    }

    /// How long after sending its last successful renewal the holder may act.
    pub const fn hold(self) -> Millis {
        Millis(self.duration.0 * HOLD_PERCENT / 100)
    }

    /// How long after a renewal the next one is due.
    pub const fn renew(self) -> Millis {
        Millis(self.duration.0 * RENEW_PERCENT / 100)
    }

    /// How long a contender must see the record unchanged before it takes the lease over.
    pub const fn wait(self) -> Millis {
        Millis(self.duration.0 + self.duration.0 * MARGIN_PERCENT / 100)
    }
}

/// The lease has expired: nothing may be done under it until it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease has expired")]
pub struct LeaseExpired;

/// A lease in state `S`, from the point of view of one incarnation of an entry.
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

/// Rank of an entry for a unit of work by rendezvous hashing: the number of entries preferred
/// to it, 0 for the first. Entries that see the same peers agree on the ranks. When an entry
/// leaves, only the work it was first for moves.
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
