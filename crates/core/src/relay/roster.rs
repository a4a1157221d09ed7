//! The endpoints that may be sent to, from the platform's list.
//!
//! An endpoint that is leaving gets nothing more. One that is merely missing from
//! the list may be leaving too, or its entry may have lapsed while the platform
//! was away, so it stays in reserve for a while.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// One life of the endpoint: a restart has another name.
    pub name: name::Endpoint,
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
}

/// The endpoints that are known.
#[derive(Debug)]
pub struct Roster {
    revision: u64,
    as_of: Millis,
    reserve: Millis,
    endpoints: BTreeMap<name::Endpoint, (Endpoint, Standing)>,
    /// The latest changes with their revisions, for entries that lack only these.
    recent: VecDeque<(u64, Change)>,
    /// The revision after which all changes are among the latest.
    recent_after: u64,
}

/// How many of the latest changes are kept.
const MOST_RECENT: usize = 64;

/// One difference between two lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The endpoint is listed so now.
    Listed(Endpoint),
    /// It is no longer listed.
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
        let listed = self.endpoints.values();
        listed
            .filter(|(_, standing)| !matches!(standing, Standing::Reserve(_)))
            .map(|(endpoint, _)| endpoint)
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
        let known = self.endpoints.values();
        let listed = |name: &name::Endpoint| list.iter().any(|it| it.name == *name);
        let mut changes: Vec<_> = known
            .filter(|(known, standing)| {
                !matches!(standing, Standing::Reserve(_)) && !listed(&known.name)
            })
            .map(|(known, _)| Change::Missing(known.name.clone()))
            .collect();
        let news = list.into_iter().filter(|endpoint| self.is_news(endpoint));
        changes.extend(news.map(Change::Listed));
        // What came between the two lists is not known change by change.
        self.recent.clear();
        for change in &changes {
            self.change(change, now);
        }
        // A source whose revisions do not count what was removed tells the same one
        // for another list; other entries must see that it is another.
        let is_other = !changes.is_empty() && revision == self.revision;
        self.reach(revision + u64::from(is_other), as_of);
        self.recent_after = self.revision;
        changes
    }

    fn is_news(&self, endpoint: &Endpoint) -> bool {
        self.endpoints
            .get(&endpoint.name)
            .is_none_or(|(known, standing)| {
                known != endpoint || matches!(standing, Standing::Reserve(_))
            })
    }

    /// Takes the changes that are newer than what is known, each with its revision.
    ///
    /// Gives back those that were.
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
        let newer: Vec<_> = newer.collect();
        for (revision, change) in &newer {
            self.change(change, now);
            self.reach(*revision, as_of);
            self.recent.push_back((*revision, change.clone()));
        }
        while self.recent.len() > MOST_RECENT {
            if let Some((revision, _)) = self.recent.pop_front() {
                self.recent_after = revision;
            }
        }
        newer
    }

    /// The changes after a revision; none if not all of them are kept.
    pub fn since(&self, revision: u64) -> Option<Vec<(u64, Change)>> {
        if revision < self.recent_after {
            return None;
        }
        let newer = self.recent.iter().filter(|(at, _)| *at > revision);
        Some(newer.cloned().collect())
    }

    fn change(&mut self, change: &Change, now: Millis) {
        match change {
            Change::Listed(endpoint) => self.list(endpoint),
            Change::Missing(name) => self.miss(name, now),
        }
    }

    fn reach(&mut self, revision: u64, as_of: Millis) {
        self.revision = self.revision.max(revision);
        self.as_of = self.as_of.max(as_of);
    }

    fn list(&mut self, endpoint: &Endpoint) {
        let standing = if endpoint.leaving {
            Standing::Leaving
        } else {
            Standing::Ready
        };
        self.endpoints
            .insert(endpoint.name.clone(), (endpoint.clone(), standing));
    }

    fn miss(&mut self, name: &name::Endpoint, now: Millis) {
        let until = now + self.reserve;
        match self.endpoints.get_mut(name) {
            Some((_, standing @ Standing::Ready)) => *standing = Standing::Reserve(until),
            Some((_, Standing::Leaving)) => {
                self.endpoints.remove(name);
            }
            Some((_, Standing::Reserve(_))) | None => {}
        }
    }

    /// Forgets endpoints whose time in reserve is over. Gives back their names.
    pub fn expire(&mut self, now: Millis) -> Vec<name::Endpoint> {
        let over =
            |standing: &Standing| matches!(standing, Standing::Reserve(until) if *until <= now);
        let known = self.endpoints.iter();
        let gone: Vec<_> = known
            .filter(|(_, (_, standing))| over(standing))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.endpoints.remove(name);
        }
        gone
    }

    /// The endpoints of a service that may be used: the ready ones, or those in
    /// reserve where none is ready.
    pub fn usable(&self, service: &str, now: Millis) -> Vec<&Endpoint> {
        let of_service = || {
            let known = self.endpoints.values();
            known.filter(|(endpoint, _)| endpoint.service == service)
        };
        let ready: Vec<_> = of_service()
            .filter(|(_, standing)| *standing == Standing::Ready)
            .map(|(endpoint, _)| endpoint)
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        of_service()
            .filter(|(_, standing)| matches!(standing, Standing::Reserve(until) if *until > now))
            .map(|(endpoint, _)| endpoint)
            .collect()
    }

    /// An endpoint by its name.
    pub fn get(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name).map(|(endpoint, _)| endpoint)
    }
}
