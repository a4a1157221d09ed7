//! Which incarnations of entries may know of an identity while the table service is
//! unavailable.
//!
//! Without the table, an entry may report a request as not run only if every incarnation that
//! could have run it confirms this. An incarnation that has ended can't confirm anything.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name::Incarnation;

/// How long an incarnation that has disappeared prevents a "not run" verdict, and how long each
/// incarnation remembers what it ran: as long as callers may retry with an identity.
pub const HORIZON: Millis = Millis::from_secs(600);

/// Whether an incarnation knows of an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// It never sent the request to an endpoint, and has no submission that it could still
    /// send.
    None,
    /// It may still send the request, or has forgotten some of what it sent.
    Unsure,
    /// It has the answer in progress, the stored one, or the verdict.
    Has,
}

/// Reply of an entry that was asked about an identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The incarnation that replies.
    pub life: Incarnation,
    /// What it knows.
    pub knowledge: Knowledge,
    /// The incarnations that it has seen within [`HORIZON`].
    pub seen: Vec<Incarnation>,
}

/// Conclusion from all replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The entry at this address has the identity.
    Found(SocketAddr),
    /// No incarnation has sent the request or can still send it.
    NotSent,
    /// An incarnation that could have sent it has ended, did not reply, or is unsure.
    Inconclusive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    address: SocketAddr,
    last: Millis,
}

/// The incarnations of other entries that one incarnation has seen.
#[derive(Clone, Debug)]
pub struct Sightings {
    own: Incarnation,
    seen: BTreeMap<Incarnation, Sighting>,
}

impl Sightings {
    /// Creates an empty set for a new incarnation.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            seen: BTreeMap::new(),
        }
    }

    /// Records the incarnations that are present at `now` and drops expired ones.
    pub fn record(
        &mut self,
        now: Millis,
        lives: impl IntoIterator<Item = (Incarnation, SocketAddr)>,
    ) {
        for (life, address) in lives {
            if life != self.own {
                let last = now;
                self.seen.insert(life, Sighting { address, last });
            }
        }
        self.seen
            .retain(|_, sighting| now < sighting.last + HORIZON);
    }

    /// Returns the addresses of all incarnations seen within [`HORIZON`].
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.seen.values().map(|sighting| sighting.address)
    }

    /// Returns the incarnations seen within [`HORIZON`].
    pub fn seen(&self) -> Vec<Incarnation> {
        self.seen.keys().copied().collect()
    }

    /// Returns the conclusion from the replies.
    pub fn evaluate(&self, replies: &[Reply]) -> Finding {
        let has = |reply: &&Reply| reply.knowledge == Knowledge::Has;
        let found = replies.iter().find(has);
        if let Some(sighting) = found.and_then(|reply| self.seen.get(&reply.life)) {
            return Finding::Found(sighting.address);
        }
        let cleared = |life: &Incarnation| {
            let mut replies = replies.iter();
            *life == self.own
                || replies.any(|one| one.life == *life && one.knowledge == Knowledge::None)
        };
        let seen_by_peers = replies.iter().flat_map(|reply| &reply.seen);
        if self.seen.keys().chain(seen_by_peers).all(cleared) {
            Finding::NotSent
        } else {
            Finding::Inconclusive
        }
    }
}

#[cfg(test)]
mod tests;
