//! Which lives of entries may know of an identity while the table can't be asked.
//!
//! Without the table, an entry may say that a request did not run only if every
//! life that could have run it says so. One that is gone says nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name::Incarnation;

/// How long a life that went is held against a verdict, and how long each life
/// remembers what it ran: as long as callers may come back with an identity.
pub const HORIZON: Millis = Millis::from_secs(600);

/// Whether a life knows of an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// It never sent it to an endpoint, and has no submission that it could send.
    None,
    /// It may send it yet, or has forgotten some of what it sent.
    Unsure,
    /// It has the running answer, the kept one, or the verdict.
    Has,
}

/// What an entry answers to the question whether it knows of an identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The life that answers.
    pub life: Incarnation,
    /// What it knows.
    pub knowledge: Knowledge,
    /// The lives that it has seen within the horizon.
    pub seen: Vec<Incarnation>,
}

/// What all answers come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The entry at this address has the identity.
    Found(SocketAddr),
    /// No life has sent it, or can.
    NotSent,
    /// A life that could have is gone, did not answer, or is not sure.
    Inconclusive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    address: SocketAddr,
    last: Millis,
}

/// The lives of other entries that one life has seen.
#[derive(Clone, Debug)]
pub struct Sightings {
    own: Incarnation,
    seen: BTreeMap<Incarnation, Sighting>,
}

impl Sightings {
    /// A new life, which has seen no other.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            seen: BTreeMap::new(),
        }
    }

    /// Takes in the lives that are there now.
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

    /// Where to ask: every life that was seen within the horizon.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.seen.values().map(|sighting| sighting.address)
    }

    /// The lives that were seen within the horizon.
    pub fn seen(&self) -> Vec<Incarnation> {
        self.seen.keys().copied().collect()
    }

    /// What the answers come to.
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
