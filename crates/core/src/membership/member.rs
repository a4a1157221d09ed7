//! The members and what is known of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// Whether a member takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Answers.
    Live,
    /// Missed probes, but may come back.
    Suspect,
    /// Stops as planned: takes no new work and is home to nothing.
    Leaving,
    /// Gone; a later life is another member of the same name.
    Gone,
}

/// One life of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry's name.
    pub name: name::Entry,
    /// This life; larger than that of any earlier life of the name.
    pub incarnation: name::Incarnation,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Where it takes other entries' messages.
    pub peer: SocketAddr,
    /// Where it takes callers' requests.
    pub http: SocketAddr,
    /// Whether it takes part.
    pub standing: Standing,
    /// When this was last heard of, on the own clock.
    pub heard: Millis,
}

/// All members, the own entry included.
#[derive(Clone, Debug)]
pub struct Members {
    own: name::Entry,
    members: BTreeMap<name::Entry, Member>,
}

impl Members {
    /// Only the own entry is known.
    pub fn new(own: Member) -> Self {
        let name = own.name.clone();
        Self {
            members: BTreeMap::from([(name.clone(), own)]),
            own: name,
        }
    }

    /// The own entry.
    ///
    /// # Panics
    ///
    /// Never: the own entry is never removed.
    pub fn own(&self) -> &Member {
        &self.members[&self.own]
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member by its life.
    pub fn by_incarnation(&self, incarnation: name::Incarnation) -> Option<&Member> {
        self.members
            .values()
            .find(|member| member.incarnation == incarnation)
    }

    /// The members that take part: live, and those that are only suspected.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        let takes_part =
            |member: &&Member| matches!(member.standing, Standing::Live | Standing::Suspect);
        self.members.values().filter(takes_part)
    }

    /// Puts a member in place of what was known of its name.
    pub fn put(&mut self, member: Member) {
        self.members.insert(member.name.clone(), member);
    }
}
