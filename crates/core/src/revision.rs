//! Which revision of the configuration is in force here, and whether it may be trusted.

pub mod exchange;
pub mod message;

pub use exchange::Exchange;
pub use message::Message;

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name;

/// What the entry should do about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// There is none yet: serve no one.
    Empty,
    /// The one in force was confirmed lately: serve.
    Confirmed,
    /// Nobody confirmed it for longer than the limit: take no new work.
    Unconfirmed,
}

/// A revision that another entry has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRevision {
    /// The revision.
    pub revision: u64,
    /// Who has it.
    pub holder: name::Incarnation,
}

/// Follows what the table service and the other entries say.
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
    /// Nothing is known; a confirmation counts for as long as the limit.
    pub fn new(limit: Millis) -> Self {
        Self {
            limit,
            in_force: None,
            confirmed: None,
            others: BTreeMap::new(),
        }
    }

    /// A revision was put in force here. One that is not higher changes nothing.
    ///
    /// Returns whether it is the new one.
    pub fn applied(&mut self, revision: u64) -> bool {
        if self.in_force.is_some_and(|in_force| revision <= in_force) {
            return false;
        }
        self.in_force = Some(revision);
        true
    }

    /// The change log was read up to its end, and all of it is in force here.
    /// `asked` is when the read was sent, since its answer may be late.
    ///
    /// A log that lacks what another entry has in force was read in an old
    /// state, and confirms nothing.
    pub fn log_read(&mut self, asked: Millis) {
        if self.newer().is_none() {
            self.confirm(asked);
        }
    }

    /// Another entry is said to have a revision in force; confirms nothing.
    pub fn peer_reported(&mut self, now: Millis, holder: name::Incarnation, revision: u64) {
        let known = self
            .others
            .get(&holder)
            .is_some_and(|(_, known)| *known >= revision);
        if !known {
            self.others.insert(holder, (now, revision));
        }
    }

    /// Another entry was heard of first hand, with what it has in force.
    ///
    /// One that has no higher revision confirms ours; one that has is news.
    pub fn peer_heard(&mut self, now: Millis, holder: name::Incarnation, revision: u64) {
        self.others.insert(holder, (now, revision));
        if self.in_force.is_some_and(|in_force| revision <= in_force) {
            self.confirm(now);
        }
    }

    /// Another entry's life ended.
    pub fn gone(&mut self, holder: name::Incarnation) {
        self.others.remove(&holder);
    }

    fn confirm(&mut self, at: Millis) {
        if self.confirmed.is_none_or(|confirmed| confirmed < at) {
            self.confirmed = Some(at);
        }
    }

    /// The highest revision that another entry has and this one lacks.
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

    /// The revision in force here.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// Until when new work may be taken on the word of the last confirmation.
    pub fn trusted_until(&self) -> Option<Millis> {
        self.in_force?;
        self.confirmed.map(|confirmed| confirmed + self.limit)
    }

    /// Whether new work may be taken.
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
