//! Which lives of entries may know of an identity while the table can't be asked.
//!
//! Without the table, an entry may say that a request did not run only if every
//! life that could have run it says so. One that is gone says nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// How long a life that went is held against a verdict: as long as callers are
/// expected to come back with the same identity.
pub const HORIZON: Millis = Millis::from_secs(600);
/// How much younger than its first sighting an entry may be without counting as
/// restarted: the platform may list an instance before its process is up.
const SLACK: Millis = Millis(5_000);

/// What an entry answers to the question whether it knows of an identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether this life took a submission of the identity.
    pub knows: bool,
    /// How long this life has been up.
    pub up: Millis,
    /// Addresses whose lives went, as this entry saw it.
    pub gone: Vec<SocketAddr>,
}

/// What all answers come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The entry at this address has the identity.
    Found(SocketAddr),
    /// No life took a submission of the identity.
    Clear,
    /// A life that could have is gone or did not answer.
    Doubt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    first: Millis,
    last: Millis,
}

/// The other entries that one entry has seen, and when.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    seen: BTreeMap<SocketAddr, Sighting>,
    listed: Vec<SocketAddr>,
}

impl Sightings {
    /// Takes in the addresses of the other entries as they are listed now.
    pub fn list(&mut self, now: Millis, listed: Vec<SocketAddr>) {
        for address in &listed {
            let first = Sighting {
                first: now,
                last: now,
            };
            self.seen.entry(*address).or_insert(first).last = now;
        }
        self.listed = listed;
        self.seen
            .retain(|_, sighting| now < sighting.last + HORIZON);
    }

    /// The addresses to be asked: all that were seen within the horizon.
    pub fn to_ask(&self) -> impl Iterator<Item = SocketAddr> {
        self.seen.keys().copied()
    }

    /// The lives that went, as an entry tells the one that asks. The asker itself
    /// is one of them if it is younger than its address is known.
    pub fn gone(&self, now: Millis, asker: SocketAddr, up: Millis) -> Vec<SocketAddr> {
        let is_gone = |address: &SocketAddr, sighting: &Sighting| {
            if *address == asker {
                return sighting.restarted(now, up);
            }
            !self.listed.contains(address)
        };
        let seen = self.seen.iter();
        let gone = seen.filter(|(address, sighting)| is_gone(address, sighting));
        gone.map(|(address, _)| *address).collect()
    }

    /// What the answers come to; an address without one did not answer.
    pub fn find(&self, now: Millis, replies: &BTreeMap<SocketAddr, Reply>) -> Finding {
        let knows = replies.iter().find(|(_, reply)| reply.knows);
        if let Some((address, _)) = knows {
            return Finding::Found(*address);
        }
        let answered = |address: &SocketAddr, sighting: &Sighting| {
            let reply = replies.get(address);
            reply.is_some_and(|reply| !sighting.restarted(now, reply.up))
        };
        let all_answered = self
            .seen
            .iter()
            .all(|(address, sighting)| answered(address, sighting));
        let gone = |reply: &Reply| {
            let mut gone = reply.gone.iter();
            gone.any(|address| !replies.contains_key(address))
        };
        if all_answered && !replies.values().any(gone) {
            Finding::Clear
        } else {
            Finding::Doubt
        }
    }
}

impl Sighting {
    /// Whether a life this young came after the address was first seen, so
    /// that another went.
    fn restarted(&self, now: Millis, up: Millis) -> bool {
        up < HORIZON && up + SLACK < now - self.first
    }
}

#[cfg(test)]
mod tests;
