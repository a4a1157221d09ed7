//! The other entries, as far as their messages tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::tidings;

/// How many rounds of messages an entry may miss before it is taken for gone:
/// one may be lost and one late.
const MISSED_ROUNDS: u64 = 3;
/// Over so many rounds it is counted who is heard: one in a small fleet may miss two.
const HEARD_ROUNDS: u64 = 3;
/// After so many rounds without a word an entry is forgotten.
const FORGOTTEN_ROUNDS: u64 = 150;
/// How many entries are asked in one round, whatever the size of the fleet.
pub const ASKED: usize = 6;

/// An entry as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique in the fleet.
    pub name: name::Entry,
    /// Grows with each start of the entry.
    pub incarnation: name::Incarnation,
    /// Where it takes messages of other entries.
    pub peer: SocketAddr,
    /// Where it takes requests of callers.
    pub front: SocketAddr,
    /// Where it runs.
    pub data_centre: name::DataCentre,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether the platform answers it.
    pub reaches_platform: bool,
}

/// The other entries.
#[derive(Debug)]
pub struct Fleet {
    own: name::Entry,
    round: Millis,
    members: BTreeMap<name::Entry, (Member, Heard)>,
    next: usize,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    /// When the entry itself was last heard.
    directly: Option<Millis>,
    /// When another entry last told of it.
    known: Millis,
}

impl Heard {
    /// Whether the entry itself was heard within a span.
    fn within(&self, patience: Millis, now: Millis) -> bool {
        self.directly.is_some_and(|at| now - at < patience)
    }
}

impl Fleet {
    /// Knows no other entry yet; `round` is the time between two rounds of messages.
    pub fn new(own: name::Entry, round: Millis) -> Self {
        // Entries begin their turns at different places: else all would ask the
        // same few at the same moment, and the others at none.
        let next = usize::try_from(tidings::key(own.as_str())).unwrap_or(0);
        Self {
            own,
            round,
            members: BTreeMap::new(),
            next,
        }
    }

    /// Takes in that an entry was heard itself. Gives back whether it was not
    /// heard for a while before.
    pub fn heard(&mut self, member: Member, now: Millis) -> bool {
        if member.name == self.own {
            return false;
        }
        let patience = self.patience();
        let known = self.members.get(&member.name);
        let was_live = known.is_some_and(|(_, heard)| heard.within(patience, now));
        let heard = Heard {
            directly: Some(now),
            known: now,
        };
        self.members.insert(member.name.clone(), (member, heard));
        !was_live
    }

    /// Takes in that another entry told of this one.
    pub fn told(&mut self, member: Member, now: Millis) {
        if member.name == self.own {
            return;
        }
        let known = self.members.get(&member.name);
        if known.is_none_or(|(known, _)| known.incarnation < member.incarnation) {
            let heard = Heard {
                directly: None,
                known: now,
            };
            self.members.insert(member.name.clone(), (member, heard));
        }
    }

    /// Whom to ask in this round, in turns over all that are known.
    pub fn round(&mut self, now: Millis) -> Vec<SocketAddr> {
        let longest = Millis(self.round.0 * FORGOTTEN_ROUNDS);
        self.members
            .retain(|_, (_, heard)| now - heard.known < longest);
        let count = self.members.len();
        let addresses = self.members.values().map(|(member, _)| member.peer);
        let asked = addresses.cycle().skip(self.next % count.max(1));
        let asked = asked.take(count.min(ASKED)).collect();
        self.next = self.next.wrapping_add(ASKED);
        asked
    }

    /// How long an entry may be silent: the more there are, the rarer each is asked.
    pub fn patience(&self) -> Millis {
        let rounds = self.members.len().div_ceil(ASKED).max(1) as u64;
        Millis(self.round.0 * (MISSED_ROUNDS + rounds - 1))
    }

    /// The other entries that answer and are not about to stop, whether or not they
    /// take requests yet.
    pub fn answering(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let patience = self.patience();
        let all = self.members.values();
        all.filter(move |(member, heard)| heard.within(patience, now) && !member.stopping)
            .map(|(member, _)| member)
    }

    /// The other entries that answer and take requests.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.answering(now).filter(|member| member.ready)
    }

    /// How many answering entries come before this one as readers of the platform: those
    /// that it answers first, and among equals by their names.
    pub fn rank(&self, reaches_platform: bool, now: Millis) -> usize {
        let own = (!reaches_platform, &self.own);
        let answering = self.answering(now);
        let before = answering.filter(|it| (!it.reaches_platform, &it.name) < own);
        before.count()
    }

    /// How many other entries this one is in touch with, about: none once it hears none,
    /// long before silent ones are taken off.
    ///
    /// In a large fleet few are heard in a short while. The part that is heard of those
    /// within reach is known, since each asks equally many; so their number follows.
    pub fn peers(&self, now: Millis) -> usize {
        let known = self.members.len();
        let lately = Millis(self.round.0 * HEARD_ROUNDS);
        let members = self.members.values();
        let heard = members
            .filter(|(_, heard)| heard.within(lately, now))
            .count();
        let asked = (ASKED as u64 * HEARD_ROUNDS) as f64 / known.max(1) as f64;
        let silent = (1.0 - asked).max(0.0);
        let part = 1.0 - silent * silent;
        // Not more than a few times what is known.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let peers = (heard as f64 / part).round() as usize;
        peers
    }

    /// All other entries that are not forgotten.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|(member, _)| member)
    }

    /// How long news take to reach all entries: each round, those that have them
    /// are asked by as many others as are asked in one.
    pub fn spread(&self) -> Millis {
        let mut rounds = 0;
        let mut reached = 1;
        while reached < self.size() {
            reached *= ASKED + 1;
            rounds += 1;
        }
        Millis(self.round.0 * rounds)
    }

    /// How many entries share what is counted for the whole fleet, the own one included.
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }
}
