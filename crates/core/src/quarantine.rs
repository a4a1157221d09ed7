//! Quarantine of requests that crash the endpoints that run them.
//!
//! A caller may resend the same request repeatedly, each time with a new identity and through
//! another entry. If the request crashes every endpoint that runs it, it takes down a fleet of
//! endpoints one by one, together with all other requests that run there. Entries therefore
//! record by [`Fingerprint`] which requests were running on an endpoint when it crashed,
//! exchange these records, and withhold the requests identified as the cause.
//!
//! A crash interrupts many requests, of which at most one is the cause, and endpoints also
//! crash for other reasons. A request is withheld only if
//!
//! - it was resent after each of [`CRASH_THRESHOLD`] crashes and was running when the next
//!   endpoint crashed. Endpoints that crash at the same moment count as one crash, however many
//!   of them had the request. All crashes must have occurred at the same position of its
//!   response: a long stream may be interrupted by many crashes, but at arbitrary positions;
//! - no run of it has completed since, at any entry whose records were received. A request that
//!   completed recently needs [`UNCERTAIN_CRASH_THRESHOLD`] crashes, as it may merely be
//!   popular;
//! - at least one of those crashes interrupted no other request with as many crashes. Until
//!   then the cause and the requests that ran beside it cannot be told apart, and each needs
//!   [`UNCERTAIN_CRASH_THRESHOLD`] crashes. If two requests still have the same number of
//!   crashes then, the one with fewer interrupted runs is the cause: the other is sent so often
//!   that some run of it is interrupted by every crash.
//!
//! A withheld request may be tried again after [`HOLD_DURATION`] or
//! [`UNCERTAIN_HOLD_DURATION`]. The duration doubles with each further crash. After
//! [`MAX_TRIALS`] such crashes the request is not tried again until its record is removed.

mod message;
mod record;

pub use message::{CrashHistory, StoredHistory};
pub use record::Crash;

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;
use crate::quarantine::record::{Confidence, HoldState, Record};

/// Number of sequential crashes after which a request is withheld; the limit that operators
/// accept.
pub const CRASH_THRESHOLD: usize = 3;
/// Number of sequential crashes after which a request is withheld if another request, or
/// chance, may be the cause. Three sequential crashes by chance do occur where endpoints flap;
/// two more cost two endpoints.
pub const UNCERTAIN_CRASH_THRESHOLD: usize = 5;
/// Crashes after more pieces of the response than this count only towards
/// [`UNCERTAIN_CRASH_THRESHOLD`]. A request that crashes endpoints as it starts to run does so
/// within its first pieces. Crashes at regular intervals can interrupt a stream that is resent
/// after each one at the same position.
const MAX_EARLY_PIECES: u32 = 8;
/// How long a request is withheld after the crash that triggered the hold. Repairing an
/// endpoint or replacing its program takes minutes.
pub const HOLD_DURATION: Millis = Millis::from_secs(600);
/// How long a request is withheld if another request, or chance, may be the cause.
pub const UNCERTAIN_HOLD_DURATION: Millis = Millis::from_secs(60);
/// How many further endpoints a request may crash after it was first withheld.
pub const MAX_TRIALS: u32 = 3;
/// Records without a crash for this long are removed. This exceeds the other hold durations.
pub const RETENTION: Millis = Millis::from_secs(2 * 3_600);
/// The maximum number of crash records, at 0.3 kB each. A crash at the planned size interrupts
/// 47 requests.
const MAX_RECORDS: usize = 1_024;
/// The maximum number of requests whose last successful completion is remembered, at 0.1 kB
/// each. This covers one minute at an entry of the planned size.
const MAX_SUCCESSES: usize = 2_048;
/// How long a changed record is sent to other entries. This spans several gossip rounds, within
/// which the record has reached all entries.
const SEND_WINDOW: Millis = Millis(3_000);

/// The hold on a withheld request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Number of sequential endpoint crashes with the request.
    pub crashes: usize,
    /// Time of the last crash.
    pub since: Millis,
    /// When the request may be tried again.
    pub until: Millis,
}

/// The effects of a crash, of a completed run or of received crash histories.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Requests that are newly withheld.
    pub withheld: Vec<Fingerprint>,
    /// Requests that are no longer withheld.
    pub released: Vec<Fingerprint>,
    /// Whether other entries should be informed immediately, as a request has crashed several
    /// endpoints in sequence.
    pub is_urgent: bool,
}

/// Crash records of requests, and the resulting holds.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// When each request last completed successfully; at most `MAX_SUCCESSES` of them.
    successes: HashMap<Fingerprint, Millis>,
    /// The keys of `successes`, in order of insertion.
    order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Records that an endpoint crashed while it was running the request.
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
        let last_success = self.successes.get(&request);
        if last_success.is_some_and(|at| *at >= crash.at) {
            return Change::default();
        }
        let record = self.records.entry(request).or_default();
        record.is_popular |= last_success.is_some();
        let is_urgent = record.record_run(crash, now);
        self.update_holds(is_urgent, now)
    }

    /// Records that a run of the request completed and its endpoint is still up, so the request did
    /// not cause the earlier crashes.
    pub fn record_success(&mut self, request: Fingerprint, now: Millis) -> Change {
        if self.successes.insert(request, now).is_none() {
            self.order.push_back(request);
        }
        while self.order.len() > MAX_SUCCESSES {
            if let Some(oldest) = self.order.pop_front() {
                self.successes.remove(&oldest);
            }
        }
        let Some(record) = self.records.get_mut(&request) else {
            return Change::default();
        };
        record.clear_until(now, now);
        self.update_holds(false, now)
    }

    /// Returns the hold on a request if it is currently withheld.
    pub fn hold(&self, request: Fingerprint, now: Millis) -> Option<Hold> {
        let hold = self.records.get(&request)?.hold()?;
        (now < hold.until).then_some(hold)
    }

    /// Returns the crash history of a request if it is currently withheld.
    pub fn withheld_history(&self, request: Fingerprint, now: Millis) -> Option<CrashHistory> {
        self.hold(request, now)?;
        Some(self.records.get(&request)?.history(request, now))
    }

    /// Iterates over all requests that are currently withheld.
    pub fn withheld(&self, now: Millis) -> impl Iterator<Item = (Fingerprint, Hold)> {
        let all = self.records.keys();
        all.filter_map(move |request| Some((*request, self.hold(*request, now)?)))
    }

    /// Removes expired records, and those with the lowest rank if there are too many.
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

    /// Returns at most `limit` crash histories to send to other entries. Recently changed records
    /// come first, then the other withheld requests. Within each group those with the most crashes
    /// come first, and among equals those sent least recently.
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
        let selected = records.into_iter().take(limit);
        selected
            .map(|(request, record)| record.send_history(*request, now))
            .collect()
    }

    /// Merges crash histories received from another entry.
    pub fn merge_histories(&mut self, histories: &[CrashHistory], now: Millis) -> Change {
        if histories.is_empty() {
            return Change::default();
        }
        let mut is_urgent = false;
        for history in histories {
            let record = self.records.entry(history.request).or_default();
            is_urgent |= record.merge(history, now);
            if let Some(last_success) = self.successes.get(&history.request) {
                record.clear_until(*last_success, now);
            }
        }
        self.update_holds(is_urgent, now)
    }

    /// Recomputes which requests are withheld.
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

    /// Returns whether the request is considered the cause of its crashes, and with which
    /// confidence. The module documentation states the rules.
    fn confidence(&self, request: Fingerprint, record: &Record) -> Option<Confidence> {
        let (crash_count, runs) = (record.crashes(), record.runs());
        let others = || self.records.iter().filter(|(it, _)| **it != request);
        let others_cut_off_by = |crash: &Crash| {
            let crash = *crash;
            others().filter_map(move |(_, other)| other.includes(&crash).then_some(other))
        };
        // Crashes that another request explains better are not attributed to this one.
        let explains =
            |other: &Record| other.crashes() > crash_count || other.is_withheld_earlier(record);
        let is_explained = |crash: &Crash| others_cut_off_by(crash).any(explains);
        let unexplained = record
            .crashes_excluding(|crash| is_explained(crash) || crash.pieces > MAX_EARLY_PIECES);
        let has_distinguishing_crash = record
            .all()
            .any(|crash| others_cut_off_by(crash).all(|other| other.crashes() < crash_count));
        if unexplained >= CRASH_THRESHOLD && has_distinguishing_crash && !record.is_popular {
            return Some(Confidence::Certain);
        }
        let is_rarer = |other: &Record| other.crashes() == crash_count && other.runs() < runs;
        let unexplained = record.crashes_excluding(|crash| {
            is_explained(crash) || others_cut_off_by(crash).any(is_rarer)
        });
        (unexplained >= UNCERTAIN_CRASH_THRESHOLD).then_some(Confidence::Uncertain)
    }
}
