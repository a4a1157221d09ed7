//! The other entries, as far as their messages tell.
//!
//! Each round a fixed number of them is asked, whatever the size of the fleet: as many in
//! the own data centre as are needed to hear of each in time, since callers are sent to
//! these and messages between data centres are paid for, and the rest in others. With a
//! fleet of 295 in five data centres, one that ends is taken off the lists nearby after
//! 4.2 s, where 15.3 s passed when all were asked in the same turns, and entries send 0.13
//! of 0.54 GB less between data centres in a day of 58 s.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::tidings;
use crate::relay::warming::{self, RingRange};

/// How many rounds of messages an entry may miss before it is taken for gone:
/// one may be lost and one late.
const MISSED_ROUNDS: u64 = 3;
/// Over so many rounds it is counted who is heard: one in a small fleet may miss two.
const HEARD_ROUNDS: u64 = 3;
/// After so many rounds without a word an entry is forgotten, and not before each was
/// asked so many times: the fleet's size is counted by those that are not.
const FORGOTTEN_ROUNDS: u64 = 150;
const FORGOTTEN_TURNS: u64 = 10;
/// So many times an entry that stops tells the others, a round apart, since messages are lost
/// and not answered.
const FAREWELLS: u32 = 3;
/// How long a message of an entry's earlier life may come after one of the later life: longer
/// than a datagram is under way. A life that looks earlier, by a clock that was set back, is
/// heard afterwards.
const OVERTAKEN: Millis = Millis(1_000);
/// With fewer live entries in a caller's data centre, others are named to it too, so that the
/// loss of one does not leave the caller without any.
pub const MIN_LOCAL_ENTRIES: usize = 2;
/// How many entries are asked in one round, whatever the size of the fleet.
pub const FANOUT: usize = 6;
/// In so many rounds all of the own data centre are asked, if one round's number allows
/// it: as each also asks, what they tell of their load is then renewed as fast as it ages.
const NEAR_TURNS: usize = 10;
/// How many are asked in other data centres, at least.
const ASKED_FAR: usize = 1;
/// How many entries that were never heard are asked beside them: after a start the others
/// are known from hearsay, and all of a data centre are to be heard within two seconds.
const ASKED_NEW: usize = 6;
/// One that knows fewer entries than this part of those that answer another one has just
/// started, or was cut off.
const NEWCOMER_PART: f64 = 0.8;

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
    data_centre: name::DataCentre,
    round: Millis,
    members: BTreeMap<name::Entry, (Member, Heard)>,
    /// How many of them there are: asked for with each message.
    sizes: Split<usize>,
    /// The most entries that were ever known at once, the own one included.
    largest: usize,
    /// Whose turn it is, by counts of those that were asked.
    next: Split<usize>,
    /// How often the others were told that this entry stops, and when last.
    farewells: u32,
    took_leave: Option<Millis>,
}

/// A figure for the entries of the own data centre and one for all others.
#[derive(Clone, Copy, Debug)]
struct Split<T> {
    near: T,
    far: T,
}

impl<T: Copy> Split<T> {
    fn of(self, is_near: bool) -> T {
        if is_near { self.near } else { self.far }
    }

    fn of_mut(&mut self, is_near: bool) -> &mut T {
        if is_near {
            &mut self.near
        } else {
            &mut self.far
        }
    }
}

impl Split<usize> {
    /// How many of so many are asked in a round.
    fn asked(self) -> Self {
        let needed = self.near.div_ceil(NEAR_TURNS);
        let near = needed.min(FANOUT - self.far.min(ASKED_FAR));
        let far = self.far.min(FANOUT - near);
        let near = self.near.min(FANOUT - far);
        Self { near, far }
    }

    /// How many rounds pass until all are asked.
    fn turns(self) -> Split<u64> {
        let asked = self.asked();
        let turns = |count: usize, asked: usize| count.div_ceil(asked.max(1)).max(1) as u64;
        Split {
            near: turns(self.near, asked.near),
            far: turns(self.far, asked.far),
        }
    }
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
    pub fn new(own: name::Entry, data_centre: name::DataCentre, round: Millis) -> Self {
        // Entries begin their turns at different places: else all would ask the
        // same few at the same moment, and the others at none.
        let next = usize::try_from(tidings::key(own.as_str())).unwrap_or(0);
        let next = Split {
            near: next,
            far: next,
        };
        Self {
            own,
            data_centre,
            round,
            members: BTreeMap::new(),
            sizes: Split { near: 0, far: 0 },
            largest: 1,
            next,
            farewells: 0,
            took_leave: None,
        }
    }

    /// Takes in that an entry was heard itself. Gives back whether it was not
    /// heard for a while before.
    pub fn record_contact(&mut self, mut member: Member, now: Millis) -> bool {
        if member.name == self.own {
            return false;
        }
        // A message that was overtaken by the news of a stop does not undo it.
        member.stopping |= self.has_announced_stop(&member);
        let patience = self.patience().of(self.is_near(&member));
        let known = self.members.get(&member.name);
        let is_overtaken = known.is_some_and(|(known, heard)| {
            known.incarnation > member.incarnation && heard.within(OVERTAKEN, now)
        });
        if is_overtaken {
            return false;
        }
        let was_live = known.is_some_and(|(_, heard)| heard.within(patience, now));
        let heard = Heard {
            directly: Some(now),
            known: now,
        };
        self.know(member, heard);
        !was_live
    }

    /// Takes in that another entry told of this one.
    pub fn record_gossip(&mut self, member: Member, now: Millis) {
        if member.name == self.own {
            return;
        }
        let known = self.members.get(&member.name);
        if known.is_none_or(|(known, _)| known.incarnation < member.incarnation) {
            let heard = Heard {
                directly: None,
                known: now,
            };
            self.know(member, heard);
        }
    }

    fn know(&mut self, member: Member, heard: Heard) {
        let is_near = self.is_near(&member);
        let known = self.members.insert(member.name.clone(), (member, heard));
        if let Some((before, _)) = known {
            let was_near = self.is_near(&before);
            *self.sizes.of_mut(was_near) -= 1;
        }
        *self.sizes.of_mut(is_near) += 1;
        self.largest = self.largest.max(self.size());
    }

    /// Whom to ask in this round: some in turns over all that are known, and some that
    /// were never heard.
    pub fn gossip_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.forget(now);
        let asked = self.sizes.asked();
        let mut to = self.turn(true, asked.near);
        to.extend(self.turn(false, asked.far));
        let unheard = self.members.values();
        let unheard = unheard
            .filter(|(member, heard)| heard.directly.is_none() && !to.contains(&member.peer));
        let mut unheard: Vec<_> = unheard.map(|(member, _)| member).collect();
        unheard.sort_by_key(|member| !self.is_near(member));
        let unheard: Vec<_> = unheard.iter().take(ASKED_NEW).map(|it| it.peer).collect();
        to.extend(unheard);
        self.next.near = self.next.near.wrapping_add(asked.near);
        self.next.far = self.next.far.wrapping_add(asked.far);
        to
    }

    /// Whom to tell in this round, beside those that it asks, that the own entry is stopping:
    /// all that name it to callers. Some rounds after the first one all is said. The last of 59
    /// in a data centre hears of the stop at once, after 3.0 s where it waits for its turn.
    pub fn stop_notice_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let is_early = self.took_leave.is_some_and(|at| now - at < self.round);
        if self.farewells >= FAREWELLS || is_early {
            return Vec::new();
        }
        self.took_leave = Some(now);
        self.farewells += 1;
        let is_for_all = self.has_few_somewhere(now);
        let members = self.members.values().map(|(member, _)| member);
        let told = members.filter(|member| is_for_all || self.is_near(member));
        told.map(|member| member.peer).collect()
    }

    /// Whether some data centre has so few entries that its callers may be sent to all. One
    /// more may go before they hear of this one.
    fn has_few_somewhere(&self, now: Millis) -> bool {
        let mut counts = BTreeMap::from([(&self.data_centre, 0)]);
        for (member, _) in self.members.values() {
            counts.entry(&member.data_centre).or_insert(0);
        }
        for member in self.live(now) {
            *counts.entry(&member.data_centre).or_insert(0) += 1;
        }
        counts.into_values().any(|count| count <= MIN_LOCAL_ENTRIES)
    }

    /// The next so many of one side, in turns.
    fn turn(&self, is_near: bool, count: usize) -> Vec<SocketAddr> {
        let members = self.members.values().map(|(member, _)| member);
        let side: Vec<_> = members
            .filter(|member| self.is_near(member) == is_near)
            .collect();
        let first = self.next.of(is_near) % side.len().max(1);
        let turn = side.iter().cycle().skip(first).take(count);
        turn.map(|member| member.peer).collect()
    }

    fn forget(&mut self, now: Millis) {
        let turns = self.sizes.turns();
        let longest =
            |turns: u64| Millis(self.round.0 * FORGOTTEN_ROUNDS.max(FORGOTTEN_TURNS * turns));
        let longest = Split {
            near: longest(turns.near),
            far: longest(turns.far),
        };
        let own = &self.data_centre;
        let sizes = &mut self.sizes;
        self.members.retain(|_, (member, heard)| {
            let is_near = member.data_centre == *own;
            let stays = now - heard.known < longest.of(is_near);
            *sizes.of_mut(is_near) -= usize::from(!stays);
            stays
        });
    }

    fn is_near(&self, member: &Member) -> bool {
        member.data_centre == self.data_centre
    }

    /// How long an entry may be silent: the more there are, the rarer each is asked.
    fn patience(&self) -> Split<Millis> {
        let turns = self.sizes.turns();
        let patience = |turns: u64| Millis(self.round.0 * (MISSED_ROUNDS + turns - 1));
        Split {
            near: patience(turns.near),
            far: patience(turns.far),
        }
    }

    /// How long an entry of the own data centre may be silent before it is taken for gone.
    pub fn local_timeout(&self) -> Millis {
        self.patience().near
    }

    /// Whether this life of an entry has said before that it is about to stop.
    pub fn has_announced_stop(&self, life: &Member) -> bool {
        let known = self.members.get(&life.name);
        known.is_some_and(|(it, _)| it.stopping && it.incarnation == life.incarnation)
    }

    /// The other entries that answer and are not about to stop, whether or not they
    /// take requests yet.
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let patience = self.patience();
        let all = self.members.values();
        all.filter(move |known| self.answers(known, patience, now))
            .map(|(member, _)| member)
    }

    fn answers(&self, known: &(Member, Heard), patience: Split<Millis>, now: Millis) -> bool {
        let (member, heard) = known;
        heard.within(patience.of(self.is_near(member)), now) && !member.stopping
    }

    /// All other answering entries, in turns: from the one after `last` on, and around.
    pub fn reachable_after<'a>(
        &'a self,
        last: Option<&'a name::Entry>,
        now: Millis,
    ) -> impl Iterator<Item = &'a Member> {
        let after = last.map_or(Bound::Unbounded, Bound::Excluded);
        let before = last.map(|last| self.members.range::<name::Entry, _>(..=last));
        let from_last = self
            .members
            .range::<name::Entry, _>((after, Bound::Unbounded));
        let turns = from_last.chain(before.into_iter().flatten());
        let patience = self.patience();
        let all = turns.map(|(_, known)| known);
        all.filter(move |known| self.answers(known, patience, now))
            .map(|(member, _)| member)
    }

    /// Whom a newcomer is told of, the first ones first: those of its own data centre, from the
    /// one on that comes after the `last` of whom newcomers there were told.
    pub fn peers_for_newcomer<'a>(
        &'a self,
        newcomer: &Member,
        last: Option<&'a name::Entry>,
        now: Millis,
    ) -> Vec<&'a Member> {
        let others = self.reachable_after(last, now);
        let mut others: Vec<_> = others.filter(|it| it.name != newcomer.name).collect();
        others.sort_by_key(|it| it.data_centre != newcomer.data_centre);
        others
    }

    /// Whether one that knows so many entries lacks many of those that answer this one.
    pub fn is_newcomer(&self, known: usize, now: Millis) -> bool {
        let lacks = |of: usize| (known as f64) < NEWCOMER_PART * of as f64;
        // No more answer than are known, and these need not be counted.
        lacks(self.members.len()) && lacks(self.reachable(now).count())
    }

    /// The other entries that answer and take requests.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.reachable(now).filter(|member| member.ready)
    }

    /// How many answering entries come before this one as readers of the platform: those
    /// that it answers first, and among equals by their names.
    pub fn rank(&self, reaches_platform: bool, now: Millis) -> usize {
        let own = (!reaches_platform, &self.own);
        let answering = self.reachable(now);
        let before = answering.filter(|it| (!it.reaches_platform, &it.name) < own);
        before.count()
    }

    /// How many other entries this one is in touch with, about: none once it hears none,
    /// long before silent ones are taken off.
    ///
    /// In a large fleet few are heard in a short while. The part that is heard of those
    /// within reach is known, since each asks equally many; so their number follows.
    pub fn estimate_reachable(&self, now: Millis) -> usize {
        let lately = Millis(self.round.0 * HEARD_ROUNDS);
        let members = self.members.values();
        let heard = members.filter(|(_, heard)| heard.within(lately, now));
        let heard: Vec<_> = heard.map(|(member, _)| self.is_near(member)).collect();
        let near = heard.iter().filter(|is_near| **is_near).count();
        let far = heard.len() - near;
        let (sizes, asked) = (self.sizes, self.sizes.asked());
        let near = within_reach(near, asked.near, sizes.near);
        let far = within_reach(far, asked.far, sizes.far);
        // Not more than a few times what is known.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let peers = (near + far).round() as usize;
        peers
    }

    /// All other entries that are not forgotten.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|(member, _)| member)
    }

    /// The part of the cold endpoints that this entry sends to, where each bears so many
    /// requests a second, and how many requests it may send to one in a second. An entry that
    /// is cut off goes on with its part of the fleet as it was.
    pub fn warmup_share(&self, per_second: f64) -> (RingRange, usize) {
        let (senders, each) = warming::split_rate(per_second, self.largest);
        let others = self.known().filter(|it| !it.stopping).map(|it| &it.name);
        (RingRange::new(&self.own, others, senders), each)
    }

    /// How long news take to reach all entries: each round, those that have them
    /// are asked by as many others as are asked in one.
    pub fn propagation_time(&self) -> Millis {
        let mut rounds = 0;
        let mut reached = 1;
        while reached < self.size() {
            reached *= FANOUT + 1;
            rounds += 1;
        }
        Millis(self.round.0 * rounds)
    }

    /// How many entries share what is counted for the whole fleet, the own one included.
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }
}

/// How many are within reach if so many of them were heard over some rounds, in each of
/// which so many of all that are known are asked and ask.
fn within_reach(heard: usize, asked: usize, known: usize) -> f64 {
    if heard == 0 {
        return 0.0;
    }
    let asked = (asked as u64 * HEARD_ROUNDS) as f64 / known.max(1) as f64;
    let silent = (1.0 - asked).max(0.0);
    let part = 1.0 - silent * silent;
    heard as f64 / part
}
