//! Requests that crash the endpoints that run them.
//!
//! A caller may send one request again and again, each time under a new identity and at another
//! entry. If it crashes whatever runs it, it takes down a fleet of endpoints one by one, with all
//! that runs beside it. So entries remember by [`Fingerprint`] which requests an endpoint had when
//! it crashed, tell one another, and withhold the ones that must be the cause.
//!
//! A crash cuts off many requests, of which one at most is the cause, and endpoints crash by
//! themselves too. A request is withheld only if
//!
//! - it was sent again after each of [`CRASH_THRESHOLD`] crashes, to crash the next endpoint: many
//!   endpoints that end at the same moment are one such crash, however many had the request. All
//!   of them came at the same place of its answer: a long stream may be cut off by many crashes,
//!   but at any place;
//! - no run of it has ended well since, at any entry that has told of it. A request that ended
//!   well lately needs [`UNCERTAIN_CRASH_THRESHOLD`] crashes, as it may merely be popular;
//! - one of those crashes at least cut off no request with as many crashes as this one. Until
//!   then what only stood beside looks like the cause, and needs [`UNCERTAIN_CRASH_THRESHOLD`], as the cause does.
//!   Of two that are alike by then, the one is the cause of which fewer runs were cut off: the
//!   other is merely sent so often that it stands beside each crash.
//!
//! It is tried again after [`HOLD_DURATION`], or [`UNCERTAIN_HOLD_DURATION`], which doubles with each crash that
//! follows, and not any more after [`MAX_TRIALS`] of them, until it is forgotten.

mod message;
mod record;

pub use message::{CrashHistory, StoredHistory};
pub use record::Crash;

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;
use crate::quarantine::record::{Confidence, HoldState, Record};

/// After how many crashes in a row a request is withheld: what operators allow it.
pub const CRASH_THRESHOLD: usize = 3;
/// After how many it is withheld where another request, or chance, may be the cause. Three
/// crashes by chance in a row are seen where endpoints flap; two more cost two endpoints.
pub const UNCERTAIN_CRASH_THRESHOLD: usize = 5;
/// Crashes after more pieces of an answer need [`UNCERTAIN_CRASH_THRESHOLD`], too: a request that crashes what begins
/// to run it does so in its first pieces, and where crashes come at even intervals they cut off a
/// stream that is sent again after each one at the same place.
const MAX_EARLY_PIECES: u32 = 8;
/// How long a request is withheld after the crash that led to it: an endpoint is mended, or its
/// program replaced, in minutes.
pub const HOLD_DURATION: Millis = Millis::from_secs(600);
/// The same where another request, or chance, may be the cause.
pub const UNCERTAIN_HOLD_DURATION: Millis = Millis::from_secs(60);
/// How often it may crash an endpoint after that.
pub const MAX_TRIALS: u32 = 3;
/// After so long without a crash a request is forgotten: above the other holds.
pub const RETENTION: Millis = Millis::from_secs(2 * 3_600);
/// The most requests that are remembered with their crashes, in 0.3 kB each. A crash at the
/// planned size cuts off 47.
const MAX_RECORDS: usize = 1_024;
/// The most requests of which it is remembered that they ended well: those of a minute at an
/// entry of the planned size, in 0.1 kB each.
const MAX_SUCCESSES: usize = 2_048;
/// For how long other entries are told of a record that has changed: some rounds of messages,
/// and by then it has passed through all of them.
const SEND_WINDOW: Millis = Millis(3_000);

/// A request that is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// How many endpoints have crashed with it, one after the other.
    pub crashes: usize,
    /// When the last of them did.
    pub since: Millis,
    /// When it may be tried again.
    pub until: Millis,
}

/// What a crash, or news of some, have led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Requests that are withheld from now on.
    pub withheld: Vec<Fingerprint>,
    /// Requests that are not withheld any more.
    pub released: Vec<Fingerprint>,
    /// Whether other entries should hear of it at once: a request has crashed one endpoint
    /// after another.
    pub is_urgent: bool,
}

/// The requests that had an endpoint when it crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// When requests last ended well, as far as that is remembered.
    survived: HashMap<Fingerprint, Millis>,
    /// The same, the earliest first.
    order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Takes in that an endpoint crashed while it had the request.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::fingerprint::{Fingerprint, Request};
    /// use woodgap_core::quarantine::{Crash, Quarantine};
    ///
    /// let request = Request { caller: "", method: "GET", host: "", target: "/", body: b"" };
    /// let request = Fingerprint::of(&request);
    /// let mut quarantine = Quarantine::default();
    /// for endpoint in 1..=3 {
    ///     let sent = Millis::from_secs(u64::from(endpoint));
    ///     assert_eq!(quarantine.hold(request, sent), None);
    ///     let crash = Crash { endpoint, sent, at: sent + Millis(300), pieces: 0 };
    ///     quarantine.record_crash(request, crash, crash.at);
    /// }
    /// assert!(quarantine.hold(request, Millis(4_000)).is_some());
    /// ```
    pub fn record_crash(&mut self, request: Fingerprint, crash: Crash, now: Millis) -> Change {
        let survived = self.survived.get(&request);
        if survived.is_some_and(|at| *at >= crash.at) {
            return Change::default();
        }
        let record = self.records.entry(request).or_default();
        record.is_popular |= survived.is_some();
        let is_urgent = record.record_run(crash, now);
        self.update_holds(is_urgent, now)
    }

    /// Takes in that a run of the request has ended, and its endpoint goes on: it was not the
    /// cause of crashes before.
    pub fn record_success(&mut self, request: Fingerprint, now: Millis) -> Change {
        if self.survived.insert(request, now).is_none() {
            self.order.push_back(request);
        }
        while self.order.len() > MAX_SUCCESSES {
            if let Some(oldest) = self.order.pop_front() {
                self.survived.remove(&oldest);
            }
        }
        let Some(record) = self.records.get_mut(&request) else {
            return Change::default();
        };
        record.clear_until(now, now);
        self.update_holds(false, now)
    }

    /// Whether a request is withheld.
    pub fn hold(&self, request: Fingerprint, now: Millis) -> Option<Hold> {
        let hold = self.records.get(&request)?.hold()?;
        (now < hold.until).then_some(hold)
    }

    /// What is known of a request, as others are told; none if it is not withheld.
    pub fn withheld_history(&self, request: Fingerprint, now: Millis) -> Option<CrashHistory> {
        self.hold(request, now)?;
        Some(self.records.get(&request)?.history(request, now))
    }

    /// All requests that are withheld.
    pub fn withheld(&self, now: Millis) -> impl Iterator<Item = (Fingerprint, Hold)> {
        let all = self.records.keys();
        all.filter_map(move |request| Some((*request, self.hold(*request, now)?)))
    }

    /// Forgets what is long over, and the least of what is too much.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now - record.last() < RETENTION);
        while self.records.len() > MAX_RECORDS {
            let evicted = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.eviction_rank());
            let Some(evicted) = evicted.map(|(request, _)| *request) else {
                return;
            };
            self.records.remove(&evicted);
        }
    }

    /// What other entries should hear: of so many requests at most, the news with the most
    /// crashes first, then all that are withheld, in turns.
    pub fn histories_to_send(&mut self, limit: usize, now: Millis) -> Vec<CrashHistory> {
        let should_send =
            |record: &Record| record.held.is_some() || now - record.changed() < SEND_WINDOW;
        let records = self.records.iter_mut();
        let mut records: Vec<_> = records.filter(|(_, it)| should_send(it)).collect();
        records.sort_by_cached_key(|(request, record)| {
            let is_old = now - record.changed() >= SEND_WINDOW;
            (
                is_old,
                Reverse(record.crashes()),
                record.last_sent(),
                **request,
            )
        });
        let told = records.into_iter().take(limit);
        told.map(|(request, record)| record.send_history(*request, now))
            .collect()
    }

    /// Takes in what another entry tells.
    pub fn merge_histories(&mut self, histories: &[CrashHistory], now: Millis) -> Change {
        if histories.is_empty() {
            return Change::default();
        }
        let mut is_urgent = false;
        for history in histories {
            let record = self.records.entry(history.request).or_default();
            is_urgent |= record.merge(history, now);
            if let Some(survived) = self.survived.get(&history.request) {
                record.clear_until(*survived, now);
            }
        }
        self.update_holds(is_urgent, now)
    }

    /// Decides anew which requests are withheld.
    fn update_holds(&mut self, is_urgent: bool, now: Millis) -> Change {
        self.expire(now);
        let mut change = Change {
            is_urgent,
            ..Change::default()
        };
        let suspects = self.records.iter();
        let suspects = suspects
            .filter(|(_, record)| record.crashes() >= CRASH_THRESHOLD || record.held.is_some());
        let assessed: Vec<_> = suspects
            .map(|(request, record)| (*request, self.confidence(*request, record)))
            .collect();
        for (request, confidence) in assessed {
            let Some(record) = self.records.get_mut(&request) else {
                continue;
            };
            match (record.held, confidence) {
                (None, Some(confidence)) => {
                    record.held = Some(HoldState {
                        since: now,
                        confidence,
                    });
                    change.withheld.push(request);
                }
                (Some(_), None) => {
                    record.held = None;
                    change.released.push(request);
                }
                _ => {}
            }
        }
        change
    }

    /// Whether the request must be the cause of its crashes; see the module.
    fn confidence(&self, request: Fingerprint, record: &Record) -> Option<Confidence> {
        let (own, runs) = (record.crashes(), record.runs());
        let others = || self.records.iter().filter(|(it, _)| **it != request);
        let others_cut_off_by = |crash: &Crash| {
            let crash = *crash;
            others().filter_map(move |(_, other)| other.includes(&crash).then_some(other))
        };
        // Crashes that another request explains better are not put down to this one.
        let explains = |other: &Record| other.crashes() > own || other.is_withheld_earlier(record);
        let is_explained = |crash: &Crash| others_cut_off_by(crash).any(explains);
        let unexplained = record
            .crashes_excluding(|crash| is_explained(crash) || crash.pieces > MAX_EARLY_PIECES);
        let has_distinguishing_crash = record
            .all()
            .any(|crash| others_cut_off_by(crash).all(|other| other.crashes() < own));
        if unexplained >= CRASH_THRESHOLD && has_distinguishing_crash && !record.is_popular {
            return Some(Confidence::Certain);
        }
        let is_rarer = |other: &Record| other.crashes() == own && other.runs() < runs;
        let unexplained = record.crashes_excluding(|crash| {
            is_explained(crash) || others_cut_off_by(crash).any(is_rarer)
        });
        (unexplained >= UNCERTAIN_CRASH_THRESHOLD).then_some(Confidence::Uncertain)
    }
}
