//! The endpoints that may be sent to, from the platform's list.
//!
//! An endpoint that is leaving gets nothing more. One that is merely missing from
//! the list may be leaving too, or its entry may have lapsed while the platform
//! was away, so it stays in reserve for a while.
//!
//! An endpoint may start again under its name. At most one life of a name is known: a
//! row with a later start takes its place, and a row with an earlier start than any
//! that is remembered of the name is doubted for some seconds. It is taken if no other
//! comes meanwhile, as from an endpoint whose clock was set back. A row
//! without a start is taken as it comes, since an endpoint may have been put back to a
//! program that does not tell its start. It is a life of its own beside those with one,
//! and does not make an earlier start good again.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::Evacuation;

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Endpoint {
    /// Which life of which endpoint.
    pub life: name::Life,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: name::DataCentre,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes no new requests, since it is about to leave.
    pub leaving: bool,
    /// Whether the platform may take it away at short notice.
    pub reclaimable: bool,
    /// For how long from the moment of this row it bears only few requests.
    pub cold_for: Millis,
}

impl Endpoint {
    /// Whether another row says the same but for how cold it is.
    fn is_alike(&self, other: &Self) -> bool {
        let cold_for = self.cold_for;
        *self
            == Self {
                cold_for,
                ..other.clone()
            }
    }
}

/// An endpoint as it is written: its name and start side by side, the start last, so
/// that rows without one stay readable.
#[derive(Serialize, Deserialize)]
struct Row {
    name: name::Endpoint,
    service: String,
    address: SocketAddr,
    data_centre: name::DataCentre,
    slots: u32,
    leaving: bool,
    #[serde(default)]
    reclaimable: bool,
    #[serde(default)]
    cold_for: Millis,
    #[serde(default)]
    started_unix: Option<Millis>,
}

impl From<Row> for Endpoint {
    fn from(row: Row) -> Self {
        Self {
            life: name::Life {
                id: row.name,
                started_unix: row.started_unix,
            },
            service: row.service,
            address: row.address,
            data_centre: row.data_centre,
            slots: row.slots,
            leaving: row.leaving,
            reclaimable: row.reclaimable,
            cold_for: row.cold_for,
        }
    }
}

impl From<Endpoint> for Row {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            name: endpoint.life.id,
            service: endpoint.service,
            address: endpoint.address,
            data_centre: endpoint.data_centre,
            slots: endpoint.slots,
            leaving: endpoint.leaving,
            reclaimable: endpoint.reclaimable,
            cold_for: endpoint.cold_for,
            started_unix: endpoint.life.started_unix,
        }
    }
}

/// How far an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may be used.
    Ready,
    /// It is used only where no other is ready, until the moment given.
    Reserve(Millis),
    /// It must not be used.
    Leaving,
    /// What answers at its address says that it is another one. It is used only where no
    /// other is ready, until the moment given, unless its row changes before.
    Away(Millis),
}

/// What is known of one name.
#[derive(Debug)]
struct Known {
    endpoint: Endpoint,
    standing: Standing,
    /// Until when it bears only few requests.
    cold_until: Millis,
    /// The life with the latest start that was listed. It outlasts a row without a start.
    latest: name::Life,
    /// A row that was listed after this one and tells of an earlier start, and until when
    /// that is doubted.
    doubted: Option<(Endpoint, Millis)>,
}

impl Known {
    fn new(endpoint: &Endpoint, now: Millis) -> Self {
        let standing = if endpoint.leaving {
            Standing::Leaving
        } else {
            Standing::Ready
        };
        Self {
            endpoint: endpoint.clone(),
            standing,
            cold_until: now + endpoint.cold_for,
            latest: endpoint.life.clone(),
            doubted: None,
        }
    }

    /// The row as it was last listed.
    fn listed(&self) -> &Endpoint {
        self.doubted.as_ref().map_or(&self.endpoint, |(row, _)| row)
    }

    fn is_ready(&self, now: Millis) -> bool {
        match self.standing {
            Standing::Ready => true,
            Standing::Away(until) => until <= now,
            Standing::Reserve(_) | Standing::Leaving => false,
        }
    }

    fn is_last_resort(&self, now: Millis) -> bool {
        match self.standing {
            Standing::Reserve(until) => until > now,
            Standing::Away(_) => true,
            Standing::Ready | Standing::Leaving => false,
        }
    }

    /// Whether there is a row of it: what is in reserve has one only while that is doubted.
    fn is_listed(&self) -> bool {
        !matches!(self.standing, Standing::Reserve(_)) || self.doubted.is_some()
    }

    /// Whether it is to be forgotten. A row that is doubted outlasts the time in reserve of the
    /// life before it: it may be of an endpoint whose clock was set back, and that serves.
    fn is_over(&self, now: Millis) -> bool {
        let is_out = matches!(self.standing, Standing::Reserve(until) if until <= now);
        is_out && self.doubted.is_none()
    }

    /// Until when a row is doubted that is listed now. The doubt of one that is written again
    /// goes on: a living endpoint writes its row each second, and would be doubted for ever.
    fn doubted_until(&self, row: &Endpoint, now: Millis) -> Millis {
        let same = self.doubted.as_ref();
        let same = same.filter(|(doubted, _)| doubted.life == row.life);
        same.map_or(now + DOUBT, |(_, until)| *until)
    }
}

/// The endpoints that are known.
#[derive(Debug)]
pub struct Roster {
    revision: u64,
    as_of: Millis,
    reserve: Millis,
    /// By name, so that at most one life of each is known.
    endpoints: BTreeMap<name::Endpoint, Known>,
    /// Lives that are over and not yet given back by [`Roster::expire`].
    over: Vec<name::Life>,
    /// The latest changes with their revisions, for entries that lack only these.
    recent: VecDeque<(u64, Change)>,
    /// The revision after which all changes are among the latest.
    recent_after: u64,
}

/// How long a row is doubted that tells of an earlier start than is known: some times the
/// second or so after which a living endpoint writes its row again.
const DOUBT: Millis = Millis(4_000);
/// How long an endpoint is not used at whose address another one answers: longer than its
/// row outlasts it, some seconds. In four plays of days with endpoints that start again at
/// their old address the mean worth is 0.629 with this, 0.593 without.
const AWAY: Millis = Millis(10_000);
/// So many of the latest changes are kept at least, and as many as this part of the endpoints:
/// telling them takes fewer bytes than the whole list does.
const LEAST_RECENT: usize = 64;
const RECENT_PART: usize = 2;

/// One difference between two lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The endpoint is listed so now.
    Listed(Endpoint),
    /// It is no longer listed, whichever life of it was.
    Missing(name::Endpoint),
}

impl Roster {
    /// An empty roster; a missing endpoint stays in reserve for `reserve`.
    pub fn new(reserve: Millis) -> Self {
        Self {
            revision: 0,
            as_of: Millis::ZERO,
            reserve,
            endpoints: BTreeMap::new(),
            over: Vec::new(),
            recent: VecDeque::new(),
            recent_after: 0,
        }
    }

    /// The list's revision; 0 before the first was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How long ago the list was known to be the newest.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.as_of
    }

    /// Notes that a revision was the newest at `as_of`; gives back whether it is
    /// newer than the known one.
    pub fn confirm(&mut self, revision: u64, as_of: Millis) -> bool {
        if revision == self.revision {
            self.as_of = self.as_of.max(as_of);
        }
        revision > self.revision
    }

    /// The endpoints as they are listed, without those in reserve.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        let listed = self.endpoints.values().filter(|known| known.is_listed());
        listed.map(Known::listed)
    }

    /// Takes a whole list. An older one than the known is not taken.
    ///
    /// Gives back the changes that it brought.
    pub fn replace(
        &mut self,
        list: Vec<Endpoint>,
        revision: u64,
        as_of: Millis,
        now: Millis,
    ) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let in_list: HashSet<_> = list.iter().map(|it| &it.life.id).collect();
        let listed = self.endpoints.values().filter(|known| known.is_listed());
        let missing = listed
            .map(|known| &known.endpoint.life.id)
            .filter(|id| !in_list.contains(id));
        let mut changes: Vec<_> = missing.cloned().map(Change::Missing).collect();
        let news = list.into_iter().filter(|endpoint| self.is_news(endpoint));
        changes.extend(news.map(Change::Listed));
        // What came between the two lists is not known change by change.
        self.recent.clear();
        changes.retain(|change| self.change(change, now));
        // A source whose revisions do not count what was removed tells the same one
        // for another list; other entries must see that it is another.
        let is_other = !changes.is_empty() && revision == self.revision;
        self.reach(revision + u64::from(is_other), as_of);
        self.recent_after = self.revision;
        changes
    }

    fn is_news(&self, endpoint: &Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.life.id);
        known.is_none_or(|it| it.listed() != endpoint || !it.is_listed())
    }

    /// Whether a later life of the endpoint has been listed.
    fn is_outlived(&self, endpoint: &Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.life.id);
        known.is_some_and(|known| endpoint.life.is_before(&known.latest))
    }

    /// Takes the changes that are newer than what is known, each with its revision.
    ///
    /// Gives back those that were, without rows of lives that are over.
    pub fn apply(
        &mut self,
        changes: Vec<(u64, Change)>,
        as_of: Millis,
        now: Millis,
    ) -> Vec<(u64, Change)> {
        let known = self.revision;
        let newer = changes
            .into_iter()
            .filter(|(revision, _)| *revision > known);
        let mut taken = Vec::new();
        for (revision, change) in newer {
            let is_taken = self.change(&change, now);
            self.reach(revision, as_of);
            self.recent.push_back((revision, change.clone()));
            if is_taken {
                taken.push((revision, change));
            }
        }
        let most = LEAST_RECENT.max(self.endpoints.len() / RECENT_PART);
        while self.recent.len() > most {
            if let Some((revision, _)) = self.recent.pop_front() {
                self.recent_after = revision;
            }
        }
        taken
    }

    /// The changes after a revision; none if not all of them are kept.
    pub fn since(&self, revision: u64) -> Option<Vec<(u64, Change)>> {
        if revision < self.recent_after {
            return None;
        }
        let newer = self.recent.iter().filter(|(at, _)| *at > revision);
        Some(newer.cloned().collect())
    }

    /// Takes a change, unless it is of a life that is over; gives back whether it did.
    fn change(&mut self, change: &Change, now: Millis) -> bool {
        match change {
            Change::Listed(endpoint) if self.is_outlived(endpoint) => {
                self.doubt(endpoint, now);
                return false;
            }
            Change::Listed(endpoint) => self.list(endpoint, now),
            Change::Missing(name) => self.miss(name, now),
        }
        true
    }

    fn reach(&mut self, revision: u64, as_of: Millis) {
        self.revision = self.revision.max(revision);
        self.as_of = self.as_of.max(as_of);
    }

    fn list(&mut self, endpoint: &Endpoint, now: Millis) {
        let mut known = Known::new(endpoint, now);
        if let Some(before) = self.endpoints.remove(&endpoint.life.id) {
            if endpoint.life.started_unix.is_none() {
                known.latest = before.latest;
            }
            let is_away = matches!(before.standing, Standing::Away(_));
            if is_away && before.endpoint.is_alike(endpoint) {
                known.standing = before.standing;
            }
            if before.endpoint.life != endpoint.life {
                self.over.push(before.endpoint.life);
            }
        }
        self.endpoints.insert(endpoint.life.id.clone(), known);
    }

    /// Remembers a row with an earlier start than is known. A store may take a write late, of
    /// the life that is over; the living one then writes again. If it does not, its clock was
    /// set back. Whichever it is, one that says that it leaves gets nothing more.
    fn doubt(&mut self, endpoint: &Endpoint, now: Millis) {
        let Some(known) = self.endpoints.get_mut(&endpoint.life.id) else {
            return;
        };
        if endpoint.leaving {
            known.standing = Standing::Leaving;
        }
        let until = known.doubted_until(endpoint, now);
        known.doubted = Some((endpoint.clone(), until));
    }

    /// Takes rows whose doubt is over for what they say.
    fn believe(&mut self, now: Millis) {
        let doubted = self.endpoints.values_mut().filter_map(|known| {
            let is_over = |(_, until): &mut (Endpoint, Millis)| *until <= now;
            known.doubted.take_if(is_over)
        });
        let believed: Vec<_> = doubted.map(|(endpoint, _)| endpoint).collect();
        for endpoint in &believed {
            self.list(endpoint, now);
        }
    }

    /// Notes that another endpoint answers at this one's address.
    pub fn mark_address_reused(&mut self, endpoint: &Endpoint, now: Millis) {
        let known = self.endpoints.get_mut(&endpoint.life.id);
        let known = known.filter(|known| known.endpoint.is_alike(endpoint));
        if let Some(known) = known.filter(|known| known.standing != Standing::Leaving) {
            known.standing = Standing::Away(now + AWAY);
        }
    }

    fn miss(&mut self, name: &name::Endpoint, now: Millis) {
        let until = now + self.reserve;
        let Some(known) = self.endpoints.get_mut(name) else {
            return;
        };
        known.doubted = None;
        match known.standing {
            Standing::Ready => known.standing = Standing::Reserve(until),
            Standing::Leaving | Standing::Away(_) => {
                let gone = self.endpoints.remove(name);
                self.over.extend(gone.map(|known| known.endpoint.life));
            }
            Standing::Reserve(_) => {}
        }
    }

    /// Forgets endpoints whose time in reserve is over. Gives back these, those that had
    /// left, and the lives whose place another one has taken, since the last time.
    pub fn expire(&mut self, now: Millis) -> Vec<name::Life> {
        self.believe(now);
        let mut gone = std::mem::take(&mut self.over);
        self.endpoints.retain(|_, known| {
            let is_over = known.is_over(now);
            if is_over {
                gone.push(known.endpoint.life.clone());
            }
            !is_over
        });
        // One may have come back meanwhile, as a row without a start does.
        gone.retain(|life| self.get(life).is_none());
        gone
    }

    /// The endpoints of a service that may be used, none in data centres that are evacuated:
    /// the ready ones, or those in reserve and away where none is ready.
    pub fn usable(&self, service: &str, evacuation: &Evacuation, now: Millis) -> Vec<&Endpoint> {
        let of_service = || {
            let known = self.endpoints.values();
            let of_service = known.filter(|known| known.endpoint.service == service);
            of_service.filter(|known| !evacuation.covers(&known.endpoint.data_centre))
        };
        let ready: Vec<_> = of_service()
            .filter(|known| known.is_ready(now))
            .map(|known| &known.endpoint)
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        of_service()
            .filter(|known| known.is_last_resort(now))
            .map(|known| &known.endpoint)
            .collect()
    }

    /// Whether an endpoint bears only few requests now.
    pub fn is_cold(&self, life: &name::Life, now: Millis) -> bool {
        let known = self.endpoints.get(&life.id);
        let known = known.filter(|known| known.endpoint.life == *life);
        known.is_some_and(|known| now < known.cold_until)
    }

    /// Whether another life of the endpoint is known: this one is over.
    pub fn has_other_life(&self, life: &name::Life) -> bool {
        let known = self.endpoints.get(&life.id);
        known.is_some_and(|known| known.endpoint.life != *life)
    }

    /// An endpoint, if it is known and this life of it is the one that is.
    pub fn get(&self, life: &name::Life) -> Option<&Endpoint> {
        let known = self.endpoints.get(&life.id);
        let endpoint = known.map(|known| &known.endpoint);
        endpoint.filter(|endpoint| endpoint.life == *life)
    }
}
