//! Membership of the fleet: the other entries, as known from gossip.
//!
//! Each round, an entry contacts a fixed number of others, whatever the size of the fleet. Of
//! these, as many are in its own data centre as it takes to hear from each of them in time, since
//! callers are sent to them and messages between data centres are billed. The rest are in other
//! data centres. In a fleet of 295 entries in five data centres, an entry that ends is no longer
//! listed in its own data centre after 4.2 s, compared to 15.3 s with one rotation over all
//! entries. Traffic between data centres falls by 0.13 of 0.54 GB in a test day of 58 s.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::load_report;
use crate::relay::warming::{self, Ring, RingRange};

/// Rounds that an entry may miss before it is considered gone: one message may be lost and one
/// late.
const MAX_MISSED_ROUNDS: u64 = 3;
/// Rounds over which contacts are counted to estimate the number of reachable entries. In a small
/// fleet, a reachable entry may miss two rounds.
const REACHABLE_WINDOW_ROUNDS: u64 = 3;
/// An entry expires after `EXPIRY_ROUNDS` without a message, but not before each entry was
/// contacted `EXPIRY_CYCLES` times: the size of the fleet counts all entries that have not expired.
const EXPIRY_ROUNDS: u64 = 150;
const EXPIRY_CYCLES: u64 = 10;
/// How often a stopping entry notifies the others, one round apart: notices may be lost and are not
/// acknowledged.
const STOP_NOTICES: u32 = 3;
/// How long a message of an earlier incarnation may arrive after one of a later incarnation; longer
/// than a datagram is in transit. Afterwards, a lower incarnation is accepted, as the entry's clock
/// may have been set back.
const REORDER_WINDOW: Millis = Millis(1_000);
/// If fewer entries are live in a caller's data centre, entries of other data centres are listed to
/// it too, so that the loss of one entry does not leave the caller without any.
pub const MIN_LOCAL_ENTRIES: usize = 2;
/// How many entries are contacted in one round, whatever the size of the fleet.
pub const FANOUT: usize = 6;
/// All entries of the own data centre are contacted within this many rounds, if [`FANOUT`] allows
/// it. As each of them also contacts the others, load reports are then renewed as fast as they age.
const LOCAL_CYCLE_ROUNDS: usize = 10;
/// The least number of entries in other data centres that are contacted in one round.
const MIN_REMOTE_FANOUT: usize = 1;
/// How many entries are contacted in addition that are known only from gossip. After a start all
/// others are, and every entry of the own data centre must be contacted within two seconds.
const UNCONFIRMED_FANOUT: usize = 6;
/// An entry that knows fewer than this fraction of the reachable entries has just started, or was
/// partitioned from them.
const NEWCOMER_RATIO: f64 = 0.8;

/// An entry, as described in its own messages.
// The flags are independent of one another.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique in the fleet.
    pub name: name::Entry,
    /// Increases with each start of the entry.
    pub incarnation: name::Incarnation,
    /// Address for messages of other entries.
    pub peer: SocketAddr,
    /// Address for requests of callers.
    pub front: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: name::DataCentre,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether the platform answers it.
    pub reaches_platform: bool,
    /// Whether it can connect to endpoints.
    pub reaches_endpoints: bool,
}

/// The other entries.
#[derive(Debug)]
pub struct Fleet {
    own: name::Entry,
    data_centre: name::DataCentre,
    round_interval: Millis,
    members: BTreeMap<name::Entry, (Member, LastSeen)>,
    /// The number of known members, kept as a count because every message needs it.
    sizes: ByLocality<usize>,
    /// The most entries that were ever known at once, including the own one.
    peak_size: usize,
    /// Position in the rotation over the members: the number of contacts so far.
    cursor: ByLocality<usize>,
    /// How many rounds of stop notices were sent, and when the last one was.
    stop_notices_sent: u32,
    last_stop_notice: Option<Millis>,
}

/// A value for the entries of the own data centre and one for all others.
#[derive(Clone, Copy, Debug)]
struct ByLocality<T> {
    local: T,
    remote: T,
}

impl<T: Copy> ByLocality<T> {
    fn get(self, is_local: bool) -> T {
        if is_local { self.local } else { self.remote }
    }

    fn get_mut(&mut self, is_local: bool) -> &mut T {
        if is_local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}

impl ByLocality<usize> {
    /// How many of this many entries are contacted in a round.
    fn fanout(self) -> Self {
        let needed = self.local.div_ceil(LOCAL_CYCLE_ROUNDS);
        let local = needed.min(FANOUT - self.remote.min(MIN_REMOTE_FANOUT));
        let remote = self.remote.min(FANOUT - local);
        let local = self.local.min(FANOUT - remote);
        Self { local, remote }
    }

    /// How many rounds it takes to contact all of them.
    fn cycle_rounds(self) -> ByLocality<u64> {
        let fanout = self.fanout();
        let rounds = |count: usize, fanout: usize| count.div_ceil(fanout.max(1)).max(1) as u64;
        ByLocality {
            local: rounds(self.local, fanout.local),
            remote: rounds(self.remote, fanout.remote),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LastSeen {
    /// When the last message of the entry itself arrived.
    direct: Option<Millis>,
    /// When the last message of the entry itself arrived or, if none did, when another entry first
    /// mentioned this incarnation.
    refreshed: Millis,
}

impl LastSeen {
    /// Whether a message of the entry itself arrived within the timeout.
    fn within(&self, timeout: Millis, now: Millis) -> bool {
        self.direct.is_some_and(|at| now - at < timeout)
    }
}

impl Fleet {
    /// A fleet without other entries; `round_interval` is the time between two rounds of messages.
    pub fn new(own: name::Entry, data_centre: name::DataCentre, round_interval: Millis) -> Self {
        // Each entry starts its rotation at a different position. Otherwise all would contact the
        // same few entries at the same time.
        let cursor = usize::try_from(load_report::name_key(own.as_str())).unwrap_or(0);
        let cursor = ByLocality {
            local: cursor,
            remote: cursor,
        };
        Self {
            own,
            data_centre,
            round_interval,
            members: BTreeMap::new(),
            sizes: ByLocality {
                local: 0,
                remote: 0,
            },
            peak_size: 1,
            cursor,
            stop_notices_sent: 0,
            last_stop_notice: None,
        }
    }

    /// Records a message of the entry itself. Returns whether the entry was not reachable before.
    pub fn record_contact(&mut self, mut member: Member, now: Millis) -> bool {
        if member.name == self.own {
            return false;
        }
        // A message that arrives after a stop notice but was sent before it does not undo the stop.
        member.stopping |= self.has_announced_stop(&member);
        let timeout = self.silence_timeouts().get(self.is_local(&member));
        let known = self.members.get(&member.name);
        let is_reordered = known.is_some_and(|(known, last_seen)| {
            known.incarnation > member.incarnation && last_seen.within(REORDER_WINDOW, now)
        });
        if is_reordered {
            return false;
        }
        let was_live = known.is_some_and(|(_, last_seen)| last_seen.within(timeout, now));
        let last_seen = LastSeen {
            direct: Some(now),
            refreshed: now,
        };
        self.upsert(member, last_seen);
        !was_live
    }

    /// Records that another entry mentioned this one.
    pub fn record_gossip(&mut self, member: Member, now: Millis) {
        if member.name == self.own {
            return;
        }
        let known = self.members.get(&member.name);
        if known.is_none_or(|(known, _)| known.incarnation < member.incarnation) {
            let last_seen = LastSeen {
                direct: None,
                refreshed: now,
            };
            self.upsert(member, last_seen);
        }
    }

    fn upsert(&mut self, member: Member, last_seen: LastSeen) {
        let is_local = self.is_local(&member);
        let known = self
            .members
            .insert(member.name.clone(), (member, last_seen));
        if let Some((previous, _)) = known {
            let was_local = self.is_local(&previous);
            *self.sizes.get_mut(was_local) -= 1;
        }
        *self.sizes.get_mut(is_local) += 1;
        self.peak_size = self.peak_size.max(self.size());
    }

    /// Addresses to contact in this round: some members in rotation, and some that are known only
    /// from gossip.
    pub fn gossip_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.expire(now);
        let fanout = self.sizes.fanout();
        let mut to = self.next_in_rotation(true, fanout.local);
        to.extend(self.next_in_rotation(false, fanout.remote));
        let unconfirmed = self.members.values();
        let unconfirmed = unconfirmed
            .filter(|(member, last_seen)| last_seen.direct.is_none() && !to.contains(&member.peer));
        let mut unconfirmed: Vec<_> = unconfirmed.map(|(member, _)| member).collect();
        unconfirmed.sort_by_key(|member| !self.is_local(member));
        let unconfirmed: Vec<_> = unconfirmed
            .iter()
            .take(UNCONFIRMED_FANOUT)
            .map(|it| it.peer)
            .collect();
        to.extend(unconfirmed);
        self.cursor.local = self.cursor.local.wrapping_add(fanout.local);
        self.cursor.remote = self.cursor.remote.wrapping_add(fanout.remote);
        to
    }

    /// Addresses to notify in this round, in addition to [`Fleet::gossip_targets`], that the own
    /// entry is stopping: all entries that list it to callers. Empty after `STOP_NOTICES` rounds.
    ///
    /// With notices, the last of 59 entries in a data centre learns of the stop at once; without
    /// them, after 3.0 s, when its turn in the rotation comes.
    pub fn stop_notice_targets(&mut self, now: Millis) -> Vec<SocketAddr> {
        let is_too_early = self
            .last_stop_notice
            .is_some_and(|at| now - at < self.round_interval);
        if self.stop_notices_sent >= STOP_NOTICES || is_too_early {
            return Vec::new();
        }
        self.last_stop_notice = Some(now);
        self.stop_notices_sent += 1;
        let notify_all = self.has_sparse_data_centre(now);
        let members = self.members.values().map(|(member, _)| member);
        let targets = members.filter(|member| notify_all || self.is_local(member));
        targets.map(|member| member.peer).collect()
    }

    /// Whether some data centre has so few entries that its callers may be sent to any entry.
    /// [`MIN_LOCAL_ENTRIES`] itself counts as few, since one more may go before its callers hear of
    /// this stop.
    fn has_sparse_data_centre(&self, now: Millis) -> bool {
        let mut counts = BTreeMap::from([(&self.data_centre, 0)]);
        for (member, _) in self.members.values() {
            counts.entry(&member.data_centre).or_insert(0);
        }
        for member in self.live(now) {
            *counts.entry(&member.data_centre).or_insert(0) += 1;
        }
        counts.into_values().any(|count| count <= MIN_LOCAL_ENTRIES)
    }

    /// The next `count` entries in the rotation over the own data centre, or over all others.
    fn next_in_rotation(&self, is_local: bool, count: usize) -> Vec<SocketAddr> {
        let members = self.members.values().map(|(member, _)| member);
        let side: Vec<_> = members
            .filter(|member| self.is_local(member) == is_local)
            .collect();
        let first = self.cursor.get(is_local) % side.len().max(1);
        let rotation = side.iter().cycle().skip(first).take(count);
        rotation.map(|member| member.peer).collect()
    }

    fn expire(&mut self, now: Millis) {
        let cycle_rounds = self.sizes.cycle_rounds();
        let expiry = |cycle_rounds: u64| {
            Millis(self.round_interval.0 * EXPIRY_ROUNDS.max(EXPIRY_CYCLES * cycle_rounds))
        };
        let expiry = ByLocality {
            local: expiry(cycle_rounds.local),
            remote: expiry(cycle_rounds.remote),
        };
        let own = &self.data_centre;
        let sizes = &mut self.sizes;
        self.members.retain(|_, (member, last_seen)| {
            let is_local = member.data_centre == *own;
            let stays = now - last_seen.refreshed < expiry.get(is_local);
            *sizes.get_mut(is_local) -= usize::from(!stays);
            stays
        });
    }

    fn is_local(&self, member: &Member) -> bool {
        member.data_centre == self.data_centre
    }

    /// How long an entry may be silent before it is considered gone. This grows with the number of
    /// entries, as each is contacted less often.
    fn silence_timeouts(&self) -> ByLocality<Millis> {
        let cycle_rounds = self.sizes.cycle_rounds();
        let timeout = |cycle_rounds: u64| {
            Millis(self.round_interval.0 * (MAX_MISSED_ROUNDS + cycle_rounds - 1))
        };
        ByLocality {
            local: timeout(cycle_rounds.local),
            remote: timeout(cycle_rounds.remote),
        }
    }

    /// How long an entry of the own data centre may be silent before it is considered gone.
    pub fn local_timeout(&self) -> Millis {
        self.silence_timeouts().local
    }

    /// Whether this incarnation of the entry has announced before that it is stopping.
    pub fn has_announced_stop(&self, life: &Member) -> bool {
        let known = self.members.get(&life.name);
        known.is_some_and(|(it, _)| it.stopping && it.incarnation == life.incarnation)
    }

    /// The other entries that are not silent and not stopping, whether or not they accept requests
    /// yet.
    pub fn reachable(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let timeouts = self.silence_timeouts();
        let all = self.members.values();
        all.filter(move |known| self.is_reachable(known, timeouts, now))
            .map(|(member, _)| member)
    }

    fn is_reachable(
        &self,
        known: &(Member, LastSeen),
        timeouts: ByLocality<Millis>,
        now: Millis,
    ) -> bool {
        let (member, last_seen) = known;
        last_seen.within(timeouts.get(self.is_local(member)), now) && !member.stopping
    }

    /// All other reachable entries in rotation: from the one after `last` by name, wrapping around.
    pub fn reachable_after<'a>(
        &'a self,
        last: Option<&'a name::Entry>,
        now: Millis,
    ) -> impl Iterator<Item = &'a Member> {
        let lower_bound = last.map_or(Bound::Unbounded, Bound::Excluded);
        let up_to_last = last.map(|last| self.members.range::<name::Entry, _>(..=last));
        let from_last = self
            .members
            .range::<name::Entry, _>((lower_bound, Bound::Unbounded));
        let rotation = from_last.chain(up_to_last.into_iter().flatten());
        let timeouts = self.silence_timeouts();
        let all = rotation.map(|(_, known)| known);
        all.filter(move |known| self.is_reachable(known, timeouts, now))
            .map(|(member, _)| member)
    }

    /// The entries to introduce to a newcomer, in order: those of its own data centre first, in
    /// rotation from the one after `last`, the last entry that newcomers of that data centre were
    /// told of.
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

    /// Whether an entry that knows `known` others lacks many of the reachable ones.
    pub fn is_newcomer(&self, known: usize, now: Millis) -> bool {
        let lacks = |of: usize| (known as f64) < NEWCOMER_RATIO * of as f64;
        // The number of members bounds the number of reachable ones and is known without counting.
        lacks(self.members.len()) && lacks(self.reachable(now).count())
    }

    /// The other entries that are reachable and accept requests.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.reachable(now).filter(|member| member.ready)
    }

    /// How many reachable entries precede this one in reading from the platform: those that the
    /// platform answers precede the others, and ties are ordered by name.
    pub fn rank(&self, reaches_platform: bool, now: Millis) -> usize {
        let own = (!reaches_platform, &self.own);
        let reachable = self.reachable(now);
        let preceding = reachable.filter(|it| (!it.reaches_platform, &it.name) < own);
        preceding.count()
    }

    /// Estimates how many other entries this one is connected to. The estimate is zero as soon as
    /// no entry is heard, long before silent entries reach their timeout.
    ///
    /// In a large fleet, only a few entries are heard within the window. Since all entries have the
    /// same fan-out, the expected fraction of the connected entries that is heard is known, which
    /// gives their number.
    pub fn estimate_reachable(&self, now: Millis) -> usize {
        let window = Millis(self.round_interval.0 * REACHABLE_WINDOW_ROUNDS);
        let members = self.members.values();
        let seen = members.filter(|(_, last_seen)| last_seen.within(window, now));
        let seen: Vec<_> = seen.map(|(member, _)| self.is_local(member)).collect();
        let local = seen.iter().filter(|is_local| **is_local).count();
        let remote = seen.len() - local;
        let (sizes, fanout) = (self.sizes, self.sizes.fanout());
        let local = estimate_population(local, fanout.local, sizes.local);
        let remote = estimate_population(remote, fanout.remote, sizes.remote);
        // The estimate is at most a few times the number of known entries.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let peers = (local + remote).round() as usize;
        peers
    }

    /// All other entries that have not expired.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|(member, _)| member)
    }

    /// The range of cold endpoints that this entry may send to, where each endpoint sustains
    /// `per_second` requests, and how many requests per second it may send to each. The split uses
    /// the peak size of the fleet, so that an entry that is partitioned keeps its share.
    pub fn warmup_share(&self, per_second: f64) -> (RingRange, usize) {
        let (senders, each) = warming::split_rate(per_second, self.peak_size);
        (self.ring().range(senders), each)
    }

    /// The entries on a hash ring: the own one, and those that have not expired and are not
    /// stopping. An entry that is partitioned thus divides rates as before, for a while.
    pub fn ring(&self) -> Ring {
        let others = self.known().filter(|it| !it.stopping).map(|it| &it.name);
        Ring::new(&self.own, others)
    }

    /// As [`Self::ring`], with those that are stopping: they still have requests at endpoints.
    pub fn ring_with_stopping(&self) -> Ring {
        Ring::new(&self.own, self.known().map(|it| &it.name))
    }

    /// How long an update takes to reach all entries: in each round, every entry that has it is
    /// contacted by [`FANOUT`] others, which have it from then on.
    pub fn propagation_time(&self) -> Millis {
        let mut rounds = 0;
        let mut reached = 1;
        while reached < self.size() {
            reached *= FANOUT + 1;
            rounds += 1;
        }
        Millis(self.round_interval.0 * rounds)
    }

    /// How many entries share what is counted for the whole fleet, including the own one.
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }
}

/// Estimates how many entries are connected, given that `seen` of them were heard within
/// [`REACHABLE_WINDOW_ROUNDS`]. In each of these rounds an entry contacts `fanout` of the `known`
/// entries, and they contact it at the same rate.
fn estimate_population(seen: usize, fanout: usize, known: usize) -> f64 {
    if seen == 0 {
        return 0.0;
    }
    let contacted = (fanout as u64 * REACHABLE_WINDOW_ROUNDS) as f64 / known.max(1) as f64;
    let missed = (1.0 - contacted).max(0.0);
    let fraction = 1.0 - missed * missed;
    seen as f64 / fraction
}
