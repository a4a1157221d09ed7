//! Tracks which revision of the configuration is in force on this entry, and whether it is
//! recent enough to act on.

pub mod exchange;
pub mod message;

pub use exchange::Exchange;
pub use message::Message;

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name;

/// Status of the entry's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// There is no configuration yet: serve no requests.
    Empty,
    /// The revision in force was confirmed within the limit: serve requests.
    Confirmed,
    /// The revision was not confirmed within the limit: accept no new work.
    Unconfirmed,
}

/// A revision that a peer has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRevision {
    /// The revision.
    pub revision: u64,
    /// The incarnation that has it.
    pub holder: name::Incarnation,
}

/// Tracks the revisions reported by the table service and by peers.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name::Incarnation;
/// use woodgap_core::revision::{Standing, Tracker};
///
/// let mut tracker = Tracker::new(Millis(10_000));
/// assert_eq!(tracker.standing(Millis(0)), Standing::Empty);
/// tracker.applied(3);
/// tracker.log_read(Millis(100));
/// assert_eq!(tracker.standing(Millis(5_000)), Standing::Confirmed);
/// tracker.peer_heard(Millis(200), Incarnation(7), 4);
/// assert_eq!(tracker.newer().unwrap().revision, 4);
/// ```
#[derive(Clone, Debug)]
pub struct Tracker {
    limit: Millis,
    in_force: Option<u64>,
    confirmed: Option<Millis>,
    others: BTreeMap<name::Incarnation, (Millis, u64)>,
}

impl Tracker {
    /// Creates a tracker without a configuration; a confirmation is valid for `limit`.
    pub fn new(limit: Millis) -> Self {
        Self {
            limit,
            in_force: None,
            confirmed: None,
            others: BTreeMap::new(),
        }
    }

    /// Records that a revision was put in force here. A revision that is not higher than the
    /// current one changes nothing.
    ///
    /// Returns whether it is the new revision.
    pub fn applied(&mut self, revision: u64) -> bool {
        if self.in_force.is_some_and(|in_force| revision <= in_force) {
            return false;
        }
        self.in_force = Some(revision);
        true
    }

    /// Records that the change log was read to its end and is fully in force here. `asked` is
    /// when the read was sent, since its answer may be late.
    ///
    /// A log that lacks a revision that a peer has in force was a stale read, and confirms
    /// nothing.
    pub fn log_read(&mut self, asked: Millis) {
        if self.newer().is_none() {
            self.confirm(asked);
        }
    }

    /// Records the revision of a peer as reported by a third party; this confirms nothing.
    pub fn peer_reported(&mut self, now: Millis, holder: name::Incarnation, revision: u64) {
        let known = self
            .others
            .get(&holder)
            .is_some_and(|(_, known)| *known >= revision);
        if !known {
            self.others.insert(holder, (now, revision));
        }
    }

    /// Records the revision that a peer reported itself.
    ///
    /// A revision that is not higher confirms the one in force here; a higher one is fetched.
    pub fn peer_heard(&mut self, now: Millis, holder: name::Incarnation, revision: u64) {
        self.others.insert(holder, (now, revision));
        if self.in_force.is_some_and(|in_force| revision <= in_force) {
            self.confirm(now);
        }
    }

    /// Removes a peer whose incarnation has ended.
    pub fn gone(&mut self, holder: name::Incarnation) {
        self.others.remove(&holder);
    }

    fn confirm(&mut self, at: Millis) {
        if self.confirmed.is_none_or(|confirmed| confirmed < at) {
            self.confirmed = Some(at);
        }
    }

    /// Returns the highest revision of a peer, if it is higher than the one in force here.
    pub fn newer(&self) -> Option<PeerRevision> {
        let peer_revision =
            |(holder, (_, revision)): (&name::Incarnation, &(Millis, u64))| PeerRevision {
                revision: *revision,
                holder: *holder,
            };
        let newest = self
            .others
            .iter()
            .map(peer_revision)
            .max_by_key(|newer| newer.revision)?;
        self.in_force
            .is_none_or(|in_force| newest.revision > in_force)
            .then_some(newest)
    }

    /// Returns the revision in force here.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// Returns until when new work may be accepted, by the last confirmation.
    pub fn trusted_until(&self) -> Option<Millis> {
        self.in_force?;
        self.confirmed.map(|confirmed| confirmed + self.limit)
    }

    /// Returns the status of the configuration at `now`.
    pub fn standing(&self, now: Millis) -> Standing {
        if self.in_force.is_none() {
            return Standing::Empty;
        }
        match self.trusted_until() {
            Some(until) if now <= until => Standing::Confirmed,
            _ => Standing::Unconfirmed,
        }
    }
}

#[cfg(test)]
mod tests;
