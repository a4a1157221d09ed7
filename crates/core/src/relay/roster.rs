//! Endpoints from the platform's list, and whether requests may be sent to them.
//!
//! An endpoint that is leaving gets no more requests. One that is merely missing from the list may
//! be leaving too, or its row may have expired while the platform was away. It remains a fallback
//! for a while, counted from when its row was gone: entries tell one another for how long that is.
//!
//! A life is one run of an endpoint, identified by the endpoint's name and its start time. An
//! endpoint may start again under its name; at most one life of each name is known. A row with a
//! later start replaces the known life. A row with an earlier start than any that is remembered is
//! held unconfirmed for some seconds, and accepted if no other row arrives meanwhile: the
//! endpoint's clock was set back. A row without a start is accepted at once, since an endpoint may
//! have been rolled back to a version that does not report its start. It counts as a separate life,
//! and does not make an earlier start acceptable again.
//!
//! Revisions are [stamps](crate::era). The first list of a later era comes from an older copy, to
//! which the endpoints write again: an endpoint that is known to be leaving does not become ready
//! by it.

mod endpoint;
mod news;
mod record;

pub use endpoint::Endpoint;
pub use news::{Absence, Change, Positions, Reading, Stale};

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::clock::Millis;
use crate::era;
use crate::name;
use crate::relay::Evacuation;
use crate::relay::departure::{self, Departures};
use crate::relay::roster::record::{Availability, Record};

/// The known endpoints.
#[derive(Debug)]
pub struct Roster {
    revision: u64,
    as_of: Millis,
    fallback_period: Millis,
    /// By name, so that at most one life of each is known.
    endpoints: BTreeMap<name::Endpoint, Record>,
    /// Lives that have said in their answers that they are leaving.
    departures: Departures,
    /// Since when the rows of endpoints have been missing, as far as is known.
    absent_since: HashMap<name::Endpoint, Millis>,
    /// Lives that were listed as leaving before their rows were gone or the store came back from a
    /// copy, and when that was. After that copy only a change that lists them makes them ready again,
    /// no list.
    left: HashMap<name::Life, Millis>,
    /// When the first list of a later era came.
    restored: Option<Millis>,
    /// Lives that have ended and were not yet returned by [`Roster::expire`].
    retired: Vec<name::Life>,
    /// The latest changes with their revisions, for entries that lack only these.
    recent_changes: VecDeque<(u64, Change)>,
    /// All changes after this revision are in `recent_changes`.
    history_start: u64,
}

/// How long an endpoint is avoided after another one answered at its address. Its row outlasts it
/// by some seconds; this is longer. In four test days with endpoints that restart at their old
/// addresses, the mean score is 0.629 with this rule and 0.593 without it.
const ADDRESS_REUSE_HOLD: Millis = Millis(10_000);
/// At least `MIN_HISTORY` changes are kept, and up to the number of endpoints divided by
/// `HISTORY_DIVISOR`: that many changes take fewer bytes than the whole list.
const MIN_HISTORY: usize = 64;
const HISTORY_DIVISOR: usize = 2;

/// How long it is remembered since when a row is missing: longer than an entry takes to hear of it, or
/// a store to come back from a copy.
const ABSENCE_LIFETIME: Millis = Millis(60_000);

impl Roster {
    /// An empty roster. An unlisted endpoint remains a fallback for `fallback_period`.
    pub fn new(fallback_period: Millis) -> Self {
        Self {
            revision: 0,
            as_of: Millis::ZERO,
            fallback_period,
            endpoints: BTreeMap::new(),
            departures: Departures::default(),
            absent_since: HashMap::new(),
            left: HashMap::new(),
            restored: None,
            retired: Vec::new(),
            recent_changes: VecDeque::new(),
            history_start: 0,
        }
    }

    /// The list's revision; 0 before the first list was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The time since the list was last known to be current.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.as_of
    }

    /// Records that `revision` was current at `as_of`. Returns whether it is newer than the known
    /// one.
    pub fn confirm(&mut self, revision: u64, as_of: Millis) -> bool {
        if revision == self.revision {
            self.as_of = self.as_of.max(as_of);
        }
        revision > self.revision
    }

    /// All endpoints that may still run, in whatever state.
    pub fn known(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().flat_map(|record| {
            let unconfirmed = record.unconfirmed.as_ref().map(|(row, _)| row);
            std::iter::once(&record.endpoint).chain(unconfirmed)
        })
    }

    /// The endpoints as listed, without those that are unlisted.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        let listed = self.endpoints.values().filter(|record| record.is_listed());
        listed.map(Record::listed)
    }

    /// Replaces the whole list, unless `revision` is older than the known one. A list of a source is
    /// ordered by [`Self::take`] first.
    ///
    /// Returns the changes.
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
        let listed = self.endpoints.values().filter(|record| record.is_listed());
        let missing = listed
            .map(|record| &record.endpoint.life.id)
            .filter(|id| !in_list.contains(id));
        let mut changes: Vec<_> = missing.cloned().map(Change::Missing).collect();
        if era::is_restored(self.revision, revision) {
            self.keep_leaving(now);
        }
        let new_rows = list
            .into_iter()
            .filter(|endpoint| self.is_new(endpoint))
            .filter(|endpoint| endpoint.leaving || !self.has_left(&endpoint.life));
        changes.extend(new_rows.map(Change::Listed));
        // The individual changes between the two lists are not known.
        self.recent_changes.clear();
        changes.retain(|change| self.apply_change(change, as_of, now));
        // A source whose revisions do not count removals may report a different list under the same
        // revision. A new revision lets other entries notice the difference.
        let is_new_list = !changes.is_empty() && revision == self.revision;
        self.advance_to(revision + u64::from(is_new_list), as_of);
        self.history_start = self.revision;
        changes
    }

    /// Takes a whole list that was read at the source.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::roster::{Change, Positions, Reading, Roster, Stale};
    ///
    /// let mut roster = Roster::new(Millis::ZERO);
    /// let reading = |position, known| Reading {
    ///     list: Vec::new(),
    ///     position,
    ///     positions: Positions::Complete,
    ///     known,
    /// };
    /// assert_eq!(roster.take(reading(7, 0), Millis::ZERO, Millis::ZERO), Ok(Vec::new()));
    /// let gone = Change::Missing(name::Endpoint::from("i-1"));
    /// roster.apply(vec![(9, gone)], Millis::ZERO, Millis::ZERO);
    /// // Read before that change, and answered after it.
    /// assert_eq!(roster.take(reading(8, 7), Millis::ZERO, Millis::ZERO), Err(Stale::Outdated));
    /// ```
    ///
    /// # Errors
    ///
    /// Why it was not taken: it could undo changes that are known.
    pub fn take(
        &mut self,
        reading: Reading,
        as_of: Millis,
        now: Millis,
    ) -> Result<Vec<Change>, Stale> {
        let position = reading.position;
        let is_first = self.revision == 0;
        match reading.positions {
            Positions::Complete if position <= self.revision && !is_first => {
                self.confirm(position, as_of);
                Err(Stale::Outdated)
            }
            Positions::Complete => Ok(self.replace(reading.list, position, as_of, now)),
            Positions::Partial if reading.known != self.revision => Err(Stale::Unordered),
            Positions::Partial => {
                let revision = position.max(self.revision);
                Ok(self.replace(reading.list, revision, as_of, now))
            }
        }
    }

    fn is_new(&self, endpoint: &Endpoint) -> bool {
        let record = self.endpoints.get(&endpoint.life.id);
        record.is_none_or(|it| it.listed() != endpoint || !it.is_listed())
    }

    /// Remembers which endpoints are leaving: lists of a restored store may be from before.
    fn keep_leaving(&mut self, now: Millis) {
        self.restored = Some(now);
        let records = self.endpoints.values();
        let leaving = records.filter(|it| it.availability == Availability::Leaving);
        let lives = leaving.map(|record| (record.endpoint.life.clone(), now));
        self.left.extend(lives);
    }

    /// Whether this life was leaving when the store came back from a copy, or had left before.
    fn has_left(&self, life: &name::Life) -> bool {
        let left = self.left.get(life);
        left.is_some_and(|since| self.restored.is_some_and(|restored| *since <= restored))
    }

    /// Whether a later life of the endpoint has been listed.
    fn is_superseded(&self, endpoint: &Endpoint) -> bool {
        let record = self.endpoints.get(&endpoint.life.id);
        record.is_some_and(|record| endpoint.life.is_before(&record.latest_life))
    }

    /// Applies the changes that are newer than the known revision.
    ///
    /// Returns the changes that were applied, without rows of superseded lives.
    pub fn apply(
        &mut self,
        changes: Vec<(u64, Change)>,
        as_of: Millis,
        now: Millis,
    ) -> Vec<(u64, Change)> {
        let current = self.revision;
        let newer = changes
            .into_iter()
            .filter(|(revision, _)| *revision > current);
        let mut applied = Vec::new();
        for (revision, change) in newer {
            let is_applied = self.apply_change(&change, as_of, now);
            self.advance_to(revision, as_of);
            self.recent_changes.push_back((revision, change.clone()));
            if is_applied {
                applied.push((revision, change));
            }
        }
        let max_changes = MIN_HISTORY.max(self.endpoints.len() / HISTORY_DIVISOR);
        while self.recent_changes.len() > max_changes {
            if let Some((revision, _)) = self.recent_changes.pop_front() {
                self.history_start = revision;
            }
        }
        applied
    }

    /// The changes after a revision, or `None` if some of them are no longer kept.
    pub fn since(&self, revision: u64) -> Option<Vec<(u64, Change)>> {
        if revision < self.history_start {
            return None;
        }
        let newer = self.recent_changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.cloned().collect())
    }

    /// Applies a change, unless it is of a superseded life. Returns whether it was applied.
    /// It was so at `as_of`.
    fn apply_change(&mut self, change: &Change, as_of: Millis, now: Millis) -> bool {
        match change {
            Change::Listed(endpoint) if self.is_superseded(endpoint) => {
                self.hold_unconfirmed(endpoint, now);
                return false;
            }
            Change::Listed(endpoint) => self.insert(endpoint, now),
            Change::Missing(name) => self.mark_unlisted(name, as_of.min(now)),
        }
        true
    }

    fn advance_to(&mut self, revision: u64, as_of: Millis) {
        self.revision = self.revision.max(revision);
        self.as_of = self.as_of.max(as_of);
    }

    fn insert(&mut self, endpoint: &Endpoint, now: Millis) {
        self.absent_since.remove(&endpoint.life.id);
        self.left.remove(&endpoint.life);
        let mut record = Record::new(endpoint, now);
        if let Some(previous) = self.endpoints.remove(&endpoint.life.id) {
            if endpoint.life.started_unix.is_none() {
                record.latest_life = previous.latest_life;
            }
            let is_address_reused = matches!(previous.availability, Availability::AddressReused(_));
            if is_address_reused && previous.endpoint.is_same_except_cold_for(endpoint) {
                record.availability = previous.availability;
            }
            if previous.endpoint.life != endpoint.life {
                self.retired.push(previous.endpoint.life);
            }
        }
        self.endpoints.insert(endpoint.life.id.clone(), record);
    }

    /// Holds a row with an earlier start than the known one. It may be a late write of a life that
    /// has ended, which the running one then overwrites. If no such write follows, the endpoint's
    /// clock was set back. In either case, a row that is leaving takes effect at once.
    fn hold_unconfirmed(&mut self, endpoint: &Endpoint, now: Millis) {
        let Some(record) = self.endpoints.get_mut(&endpoint.life.id) else {
            return;
        };
        if endpoint.leaving {
            record.availability = Availability::Leaving;
        }
        let until = record.confirmation_time(endpoint, now);
        record.unconfirmed = Some((endpoint.clone(), until));
    }

    /// Accepts the unconfirmed rows whose delay has passed.
    fn accept_unconfirmed(&mut self, now: Millis) {
        let due = self.endpoints.values_mut().filter_map(|record| {
            let is_due = |(_, until): &mut (Endpoint, Millis)| *until <= now;
            record.unconfirmed.take_if(is_due)
        });
        let accepted: Vec<_> = due.map(|(endpoint, _)| endpoint).collect();
        for endpoint in &accepted {
            self.insert(endpoint, now);
        }
    }

    /// Records that another endpoint answers at this one's address.
    pub fn mark_address_reused(&mut self, endpoint: &Endpoint, now: Millis) {
        let record = self.endpoints.get_mut(&endpoint.life.id);
        let record = record.filter(|record| record.endpoint.is_same_except_cold_for(endpoint));
        if let Some(record) = record.filter(|record| record.availability != Availability::Leaving) {
            record.availability = Availability::AddressReused(now + ADDRESS_REUSE_HOLD);
        }
    }

    /// The row was missing at `since`.
    fn mark_unlisted(&mut self, name: &name::Endpoint, since: Millis) {
        let known = self.absent_since.entry(name.clone()).or_insert(since);
        *known = since.min(*known);
        let until = *known + self.fallback_period;
        let Some(record) = self.endpoints.get_mut(name) else {
            return;
        };
        record.unconfirmed = None;
        match record.availability {
            Availability::Ready => record.availability = Availability::Unlisted(until),
            Availability::Leaving | Availability::AddressReused(_) => {
                if record.endpoint.leaving {
                    self.left.insert(record.endpoint.life.clone(), *known);
                }
                let removed = self.endpoints.remove(name);
                self.retired
                    .extend(removed.map(|record| record.endpoint.life));
            }
            Availability::Unlisted(known) => {
                record.availability = Availability::Unlisted(until.min(known));
            }
        }
    }

    /// For how long rows have been missing, as far as this entry knows.
    pub fn absences(&self, now: Millis) -> impl Iterator<Item = Absence> {
        self.absent_since.iter().map(move |(name, since)| Absence {
            endpoint: name.clone(),
            age: now - *since,
        })
    }

    /// Takes over for how long rows had been missing at `at`, as another entry tells with the list in
    /// which they are.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::roster::Roster;
    ///
    /// let [mut first, mut second] = [0, 1].map(|_| Roster::new(Millis(1_600)));
    /// let gone = woodgap_core::relay::roster::Change::Missing("i-1".into());
    /// first.apply(vec![(9, gone)], Millis(100), Millis(100));
    /// let told: Vec<_> = first.absences(Millis(900)).collect();
    /// second.merge_absences(&told, Millis(5_000));
    /// assert_eq!(second.absences(Millis(5_100)).next().unwrap().age, Millis(900));
    /// ```
    pub fn merge_absences(&mut self, told: &[Absence], at: Millis) {
        for absence in told.iter().filter(|it| it.age < ABSENCE_LIFETIME) {
            let record = self.endpoints.get(&absence.endpoint);
            if record.is_none_or(|record| !record.is_listed()) {
                self.mark_unlisted(&absence.endpoint, at - absence.age);
            }
        }
    }

    /// Records that an answer of the endpoint says that it is leaving. Returns whether this is new.
    pub fn record_departure(&mut self, life: &name::Life, now: Millis) -> bool {
        self.departures.record(life, now)
    }

    /// Takes over which endpoints another entry has heard to be leaving. Returns the new ones, by
    /// [`load_report::life_key`](crate::relay::load_report::life_key).
    pub fn merge_departures(&mut self, notices: &[departure::Notice], now: Millis) -> Vec<u32> {
        self.departures.merge(notices, now)
    }

    /// What to tell another entry of endpoints that are leaving, at most `max` notices.
    pub fn departure_notices(&mut self, max: usize, now: Millis) -> Vec<departure::Notice> {
        self.departures.notices(max, now)
    }

    /// Whether an endpoint is leaving, by its row or by its own word.
    pub fn is_leaving(&self, life: &name::Life) -> bool {
        let is_listed_so = self.get(life).is_some_and(|endpoint| endpoint.leaving);
        is_listed_so || self.departures.contains(life)
    }

    /// Drops the unlisted endpoints whose fallback period has passed. Returns the lives that ended
    /// since the last call: these, those that had left, and those replaced by another life.
    pub fn expire(&mut self, now: Millis) -> Vec<name::Life> {
        self.accept_unconfirmed(now);
        self.departures.expire(now);
        let is_recent = |since: Millis| now - since < ABSENCE_LIFETIME;
        self.absent_since.retain(|_, since| is_recent(*since));
        self.left.retain(|_, since| is_recent(*since));
        let mut ended = std::mem::take(&mut self.retired);
        self.endpoints.retain(|_, record| {
            let is_expired = record.is_expired(now);
            if is_expired {
                ended.push(record.endpoint.life.clone());
            }
            !is_expired
        });
        // A life may have been listed again meanwhile, as a row without a start can be.
        ended.retain(|life| self.get(life).is_none());
        ended
    }

    /// The usable endpoints of a service outside evacuated data centres: the ready ones or, if none
    /// is ready, those that are unlisted or whose address was reused. Those that have said that
    /// they are leaving are not usable, whatever their rows say.
    pub fn usable(&self, service: &str, evacuation: &Evacuation, now: Millis) -> Vec<&Endpoint> {
        let of_service = || {
            let records = self.endpoints.values();
            let of_service = records.filter(|record| record.endpoint.service == service);
            of_service
                .filter(|record| !evacuation.covers(&record.endpoint.data_centre))
                .filter(|record| !self.departures.contains(&record.endpoint.life))
        };
        let ready: Vec<_> = of_service()
            .filter(|record| record.is_ready(now))
            .map(|record| &record.endpoint)
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        of_service()
            .filter(|record| record.is_fallback(now))
            .map(|record| &record.endpoint)
            .collect()
    }

    /// Whether an endpoint can sustain only a low request rate now.
    pub fn is_cold(&self, life: &name::Life, now: Millis) -> bool {
        let record = self.endpoints.get(&life.id);
        let record = record.filter(|record| record.endpoint.life == *life);
        record.is_some_and(|record| now < record.cold_until)
    }

    /// Another life of the endpoint, if one is known, which means that this one has ended.
    pub fn other_life(&self, life: &name::Life) -> Option<&name::Life> {
        let record = self.endpoints.get(&life.id);
        let known = record.map(|record| &record.endpoint.life);
        known.filter(|known| *known != life)
    }

    /// The endpoint, if this life of it is the known one.
    pub fn get(&self, life: &name::Life) -> Option<&Endpoint> {
        let record = self.endpoints.get(&life.id);
        let endpoint = record.map(|record| &record.endpoint);
        endpoint.filter(|endpoint| endpoint.life == *life)
    }
}
