//! Quarantine of what crashes the endpoints that run it.
//!
//! A caller may resend the same request repeatedly, each time with a new identity and through
//! another entry, or many callers may send different requests that hold the same part of a prompt.
//! If an endpoint crashes on it, it takes down a fleet of endpoints one by one, together with all
//! other requests that run there. Entries therefore record by [`Cause`] which requests, and which
//! parts of prompts, were running on an endpoint when it crashed, exchange these records, and
//! withhold the requests that hold an identified cause.
//!
//! A crash interrupts many requests, of which at most one is due to the cause, each of them holds
//! several parts that sound requests hold too, and endpoints also crash for other reasons. A
//! cause is withheld only if
//!
//! - it was sent again after each of [`CRASH_THRESHOLD`] crashes and was running when the next
//!   endpoint crashed. Endpoints that crash at the same moment count as one crash, however many
//!   of them ran it. All crashes must have occurred at the same position of the response: a long
//!   stream may be interrupted by many crashes, but at arbitrary positions;
//! - a part of prompts was running at [`PART_CRASH_THRESHOLD`] crashes in all. Each of many parts
//!   may stand beside some crashes by chance;
//! - no run with it has completed since, at any entry whose records were received. For a part it
//!   is enough that a response has outlasted its first pieces. A request that completed recently
//!   needs [`UNCERTAIN_CRASH_THRESHOLD`] crashes, as it may merely be popular;
//! - at least one of those crashes interrupted no other cause with as many crashes. Until then
//!   they cannot be told apart, and a request needs [`UNCERTAIN_CRASH_THRESHOLD`] crashes. If two
//!   causes still have the same number of crashes, the one with fewer interrupted runs is the
//!   cause: the other is sent so often that some run of it is interrupted by every crash.
//!
//! The crashes of what has completed lately are explained by any cause beside it that has not and has
//! [`CRASH_THRESHOLD`] in sequence, and it explains no crashes of such a cause.
//!
//! Causes that can't be told apart are withheld together: a request that holds all of them holds
//! the true one, whichever it is. Those that hold some of them go on, and their ends tell.
//!
//! What is withheld may be tried again after [`HOLD_DURATION`] or [`UNCERTAIN_HOLD_DURATION`], by
//! one entry after the other and with one request at a time. The duration doubles with each
//! further crash. After [`MAX_TRIALS`] such crashes the cause is not tried again until its record
//! is removed. A part of prompts that has completed lately needs [`DOUBTFUL_CRASH_THRESHOLD`]
//! crashes, and is tried again after [`DOUBTFUL_HOLD_DURATION`]; so does one of which no entry
//! knows that it has not, as all have just started.

mod assessment;
mod cause;
mod message;
mod record;
mod success;

pub use cause::Cause;
pub use message::{CrashHistory, Popularity, StoredHistory};
pub use record::Crash;

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::quarantine::assessment::confidence;
use crate::quarantine::record::{Confidence, HoldState, Record};
use crate::quarantine::success::Successes;
use crate::relay::prefix::mix;

/// Number of sequential crashes after which a request is withheld; the limit that operators
/// accept.
pub const CRASH_THRESHOLD: usize = 3;
/// Number of sequential crashes after which a request is withheld if another cause, or chance,
/// may explain them. Three sequential crashes by chance do occur where endpoints flap; two more
/// cost two endpoints.
pub const UNCERTAIN_CRASH_THRESHOLD: usize = 5;
/// Number of crashes, in sequence or not, after which a part of prompts is withheld; the limit
/// that operators accept.
pub const PART_CRASH_THRESHOLD: usize = 5;
/// Number of crashes after which a part of prompts is withheld that has completed lately. Many sound
/// requests hold it, and where all endpoints crash within a second or two none of these ends well.
pub const DOUBTFUL_CRASH_THRESHOLD: usize = 7;
/// Crashes after more pieces of the response than this count only towards
/// [`UNCERTAIN_CRASH_THRESHOLD`]. A request that crashes endpoints as it starts to run does so
/// within its first pieces. Crashes at regular intervals can interrupt a stream that is resent
/// after each one at the same position.
pub const MAX_EARLY_PIECES: u32 = 8;
/// How long a cause is withheld after the crash that triggered the hold. Repairing an endpoint or
/// replacing its program takes minutes.
pub const HOLD_DURATION: Millis = Millis::from_secs(600);
/// How long a cause is withheld if another cause, or chance, may explain its crashes.
pub const UNCERTAIN_HOLD_DURATION: Millis = Millis::from_secs(60);
/// How long a part of prompts is withheld that has completed lately. The duration doubles with each
/// further crash, up to [`UNCERTAIN_HOLD_DURATION`].
pub const DOUBTFUL_HOLD_DURATION: Millis = Millis::from_secs(5);
/// Within this time after the end of a hold each entry begins to try the cause again, at a moment
/// of its own. It is long against the time that an endpoint takes to crash and news to spread.
pub const TRIAL_SPREAD: Millis = Millis::from_secs(20);
/// The same for a part of prompts that has completed lately.
const DOUBTFUL_TRIAL_SPREAD: Millis = Millis::from_secs(2);
/// After this time without a crash or a completed run an entry tries another request.
const TRIAL_TIMEOUT: Millis = Millis::from_secs(5);
/// How many further endpoints a cause may crash after it was first withheld.
pub const MAX_TRIALS: u32 = 3;
/// Records without a crash for this long are removed. This exceeds the other hold durations.
pub const RETENTION: Millis = Millis::from_secs(2 * 3_600);
/// The maximum number of crash records, at 0.3 kB each. A crash at the planned size interrupts
/// 47 requests.
const MAX_RECORDS: usize = 1_024;
/// Number of sequential crashes from which on the record of a cause is stored, unless it has
/// completed lately. Crashes that are lost with all entries cost as many endpoints again.
const STORED_CRASHES: usize = 2;
/// The maximum number of causes that an entry stores which are not withheld.
const MAX_STORED_MARKS: usize = 64;
/// How long a changed record is sent to other entries. This spans several gossip rounds, within
/// which the record has reached all entries.
const SEND_WINDOW: Millis = Millis(3_000);

/// The hold on a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// What is withheld.
    pub cause: Cause,
    /// Number of endpoint crashes with it, in sequence.
    pub crashes: usize,
    /// Time of the last crash.
    pub since: Millis,
    /// When this entry may try it again.
    pub until: Millis,
}

/// The effects of a crash, of a completed run or of received crash histories.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Causes that are newly withheld.
    pub withheld: Vec<Cause>,
    /// Causes that are no longer withheld.
    pub released: Vec<Cause>,
    /// Causes that were not withheld, and whose crashes need no longer be stored.
    pub cleared: Vec<Cause>,
    /// Causes whose crashes need to be stored since other entries told of some.
    pub marked: Vec<Cause>,
    /// Whether other entries should be informed immediately, as several endpoints have crashed in
    /// sequence.
    pub is_urgent: bool,
}

/// A cause that crashes no longer count against.
struct Clearance {
    cause: Cause,
    /// Whether they had to be stored, though it was not withheld.
    was_stored: bool,
}

/// Crash records of causes, and the resulting holds.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Cause, Record>,
    successes: Successes,
    /// Whether this entry has just started and seen no part of prompts complete: it does not know
    /// which ones many sound requests hold.
    is_new: bool,
    /// Gives the moments at which this entry tries causes again; without it, it does so as soon as
    /// their holds end.
    seed: Option<u64>,
}

impl Quarantine {
    /// Creates the quarantine of an entry that has just started. Each entry has another seed, so
    /// that they do not try a cause again at the same moment.
    pub fn new(seed: u64) -> Self {
        Self {
            seed: Some(seed),
            is_new: true,
            ..Self::default()
        }
    }

    /// Records that an endpoint crashed while it was running a request with these causes.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::quarantine::{Cause, Crash, Quarantine};
    ///
    /// let part = Cause::Part(7);
    /// let mut quarantine = Quarantine::default();
    /// for endpoint in 1..=5 {
    ///     let sent = Millis::from_secs(u64::from(endpoint));
    ///     assert_eq!(quarantine.hold(&[part], sent), None);
    ///     let crash = Crash { endpoint, sent, at: sent + Millis(300), pieces: 0 };
    ///     quarantine.record_crash(&[part], crash, crash.at);
    /// }
    /// assert!(quarantine.hold(&[part], Millis(6_000)).is_some());
    /// assert!(quarantine.hold(&[Cause::Part(8)], Millis(6_000)).is_none());
    /// ```
    pub fn record_crash(&mut self, causes: &[Cause], crash: Crash, now: Millis) -> Change {
        let mut is_urgent = false;
        for cause in causes {
            let last_success = self.successes.last(*cause);
            let last_progress = self.successes.last_progress(*cause);
            let is_past = |last: Option<Millis>| last.is_some_and(|at| at >= crash.at);
            if is_past(last_success) || is_past(last_progress) && crash.is_at_beginning() {
                continue;
            }
            let popularity = self.popularity(*cause, last_success.or(last_progress));
            let record = self.records.entry(*cause).or_default();
            record.popularity = record.popularity.max(popularity);
            is_urgent |= record.record_run(crash, now);
        }
        self.update_holds(is_urgent, now)
    }

    /// Returns what this entry knows of whether runs with a cause complete, by its last such run.
    fn popularity(&self, cause: Cause, last_success: Option<Millis>) -> Popularity {
        if last_success.is_some() {
            Popularity::Popular
        } else if self.is_new && cause.is_part() {
            Popularity::Unknown
        } else {
            Popularity::Rare
        }
    }

    /// Records that a run of a request with these causes completed at this time and its endpoint
    /// went on, so that none of them caused the earlier crashes.
    pub fn record_success(&mut self, causes: &[Cause], at: Millis, now: Millis) -> Change {
        let mut clearances = Vec::new();
        for cause in causes {
            clearances.extend(self.clear_until(*cause, at, now));
        }
        self.update_cleared(&clearances, now)
    }

    /// Records that a response to a request with these causes has outlasted its first pieces. A part
    /// of prompts crashes endpoints as they begin to respond, so none of them caused the earlier
    /// crashes. The request caused none of those at the beginning of the response.
    pub fn record_progress(&mut self, causes: &[Cause], now: Millis) -> Change {
        let mut clearances = Vec::new();
        for cause in causes {
            let clearance = if cause.is_part() {
                self.clear_until(*cause, now, now)
            } else {
                self.successes.record_progress(*cause, now);
                self.clear(*cause, |record| record.clear_early_until(now, now))
            };
            clearances.extend(clearance);
        }
        self.update_cleared(&clearances, now)
    }

    fn clear_until(&mut self, cause: Cause, at: Millis, now: Millis) -> Option<Clearance> {
        self.is_new &= !cause.is_part();
        self.successes.record(cause, at);
        self.clear(cause, |record| record.clear_until(at, now))
    }

    /// Clears crashes of a cause by a function that returns whether there were any.
    fn clear(
        &mut self,
        cause: Cause,
        clear: impl FnOnce(&mut Record) -> bool,
    ) -> Option<Clearance> {
        let record = self.records.get_mut(&cause)?;
        let was_stored = record.held.is_none() && record.is_stored();
        clear(record).then_some(Clearance { cause, was_stored })
    }

    fn update_cleared(&mut self, clearances: &[Clearance], now: Millis) -> Change {
        if clearances.is_empty() {
            return Change::default();
        }
        let stored = clearances.iter().filter(|it| it.was_stored);
        Change {
            cleared: stored.map(|it| it.cause).collect(),
            ..self.update_holds(false, now)
        }
    }

    /// Returns the hold on a request with these causes, if it is currently withheld.
    pub fn hold(&self, causes: &[Cause], now: Millis) -> Option<Hold> {
        let holds = causes.iter().filter_map(|cause| {
            let record = self.records.get(cause)?;
            let confidence = self.confidence_in_request(*cause, record, causes)?;
            self.hold_on(*cause, record, confidence)
        });
        let holds = holds.filter(|hold| now < hold.until);
        holds.max_by_key(|hold| hold.until)
    }

    /// Returns the confidence that a cause crashes the endpoints that run a request with all these.
    fn confidence_in_request(
        &self,
        cause: Cause,
        record: &Record,
        causes: &[Cause],
    ) -> Option<Confidence> {
        match record.held {
            Some(held) => Some(held.confidence),
            // Whatever else the request holds is no alternative: it comes with it.
            None => confidence(&self.records, cause, record, causes),
        }
    }

    fn hold_on(&self, cause: Cause, record: &Record, confidence: Confidence) -> Option<Hold> {
        let until = record.held_until(confidence)?;
        let crashes = record.crashes();
        Some(Hold {
            cause,
            crashes,
            since: record.all().last()?.at,
            until: until + self.trial_delay(cause, crashes, confidence),
        })
    }

    /// Returns how long after the end of a hold this entry begins to try the cause again.
    fn trial_delay(&self, cause: Cause, crashes: usize, confidence: Confidence) -> Millis {
        let spread = match confidence {
            Confidence::Doubtful => DOUBTFUL_TRIAL_SPREAD,
            Confidence::Certain | Confidence::Uncertain => TRIAL_SPREAD,
        };
        let delay = |seed| Millis(mix(seed ^ cause.key(), crashes as u64) % spread.0);
        self.seed.map(delay).unwrap_or_default()
    }

    /// Records that a request with these causes is sent. If one of them was withheld, or all of them
    /// together, this is a trial, and no other such request is sent until it has ended.
    pub fn record_send(&mut self, causes: &[Cause], now: Millis) {
        let is_tried = |cause: &Cause| {
            let record = self.records.get(cause);
            record.is_some_and(|it| self.confidence_in_request(*cause, it, causes).is_some())
        };
        let tried: Vec<_> = causes.iter().copied().filter(is_tried).collect();
        for cause in tried {
            if let Some(record) = self.records.get_mut(&cause) {
                record.begin_trial(now);
            }
        }
    }

    /// Returns the crash history of a cause if entries that start when all others are gone should
    /// count on from it: it is withheld, alone or with others from which it can't be told apart, or
    /// may soon be.
    pub fn history_to_store(&self, cause: Cause, now: Millis) -> Option<CrashHistory> {
        let record = self.records.get(&cause)?;
        let is_stored = record.held.is_some()
            || record.is_suspect(cause)
            || record.is_stored() && self.is_among_stored_marks(record);
        is_stored.then(|| record.history(cause, now))
    }

    /// Iterates over all causes of which [`Self::history_to_store`] returns a history.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::fingerprint::{Fingerprint, Request};
    /// use woodgap_core::quarantine::{Cause, Crash, Quarantine};
    ///
    /// let request = Request { caller: "", method: "GET", host: "", target: "/", body: b"" };
    /// let cause = Cause::Request(Fingerprint::of(&request));
    /// let mut quarantine = Quarantine::default();
    /// for endpoint in 1..=2 {
    ///     let at = Millis::from_secs(u64::from(endpoint));
    ///     let crash = Crash { endpoint, sent: at, at, pieces: 0 };
    ///     quarantine.record_crash(&[cause], crash, at);
    /// }
    /// // It is not withheld yet, but may soon be.
    /// let now = Millis::from_secs(3);
    /// assert!(quarantine.hold(&[cause], now).is_none());
    /// assert_eq!(quarantine.to_store(now).collect::<Vec<_>>(), [cause]);
    /// ```
    pub fn to_store(&self, now: Millis) -> impl Iterator<Item = Cause> {
        let causes = self.records.keys().copied();
        causes.filter(move |cause| self.history_to_store(*cause, now).is_some())
    }

    /// Returns whether the record is among those of highest rank that are not withheld. Where many
    /// endpoints crash, many requests stand beside two crashes.
    fn is_among_stored_marks(&self, record: &Record) -> bool {
        let rank = record.eviction_rank();
        let others = self.records.values().filter(|other| {
            other.held.is_none() && other.is_stored() && other.eviction_rank() > rank
        });
        others.count() < MAX_STORED_MARKS
    }

    /// Iterates over all causes that are currently withheld.
    pub fn withheld(&self, now: Millis) -> impl Iterator<Item = Hold> {
        let held = self.records.iter().filter_map(|(cause, record)| {
            let confidence = record.held?.confidence;
            self.hold_on(*cause, record, confidence)
        });
        held.filter(move |hold| now < hold.until)
    }

    /// Removes expired records, and those with the lowest rank if there are too many.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now - record.last() < RETENTION);
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        if excess == 0 {
            return;
        }
        let ranked = self.records.iter();
        let mut ranked: Vec<_> = ranked
            .map(|(cause, record)| (record.eviction_rank(), *cause))
            .collect();
        ranked.sort_unstable();
        for (_, cause) in &ranked[..excess] {
            self.records.remove(cause);
        }
    }

    /// Returns at most `limit` crash histories to send to other entries. Recently changed records
    /// come first, then the other withheld causes. Within each group those with the most crashes
    /// come first, then those that have not completed lately, and among equals those sent least
    /// recently.
    pub fn histories_to_send(&mut self, limit: usize, now: Millis) -> Vec<CrashHistory> {
        let is_sent = |record: &Record| record.held.is_some() || is_recent(record, now);
        self.select_histories(limit, now, is_sent)
    }

    /// Returns at most `limit` further crash histories to send to an entry that has just started:
    /// those that it missed, as they are no longer sent to the others.
    pub fn histories_for_newcomer(&mut self, limit: usize, now: Millis) -> Vec<CrashHistory> {
        let is_missed = |record: &Record| {
            record.crashes() > 0 && record.held.is_none() && !is_recent(record, now)
        };
        self.select_histories(limit, now, is_missed)
    }

    fn select_histories(
        &mut self,
        limit: usize,
        now: Millis,
        is_selected: impl Fn(&Record) -> bool,
    ) -> Vec<CrashHistory> {
        let records = self.records.iter_mut();
        let mut records: Vec<_> = records.filter(|(_, it)| is_selected(it)).collect();
        records.sort_by_cached_key(|(cause, record)| {
            (
                !is_recent(record, now),
                Reverse(record.crashes()),
                record.is_popular(),
                record.last_sent(),
                **cause,
            )
        });
        let selected = records.into_iter().take(limit);
        selected
            .map(|(cause, record)| record.send_history(*cause, now))
            .collect()
    }

    /// Merges crash histories received from another entry.
    pub fn merge_histories(&mut self, histories: &[CrashHistory], now: Millis) -> Change {
        if histories.is_empty() {
            return Change::default();
        }
        let mut is_urgent = false;
        let (mut cleared, mut marked) = (Vec::new(), Vec::new());
        for history in histories {
            let record = self.records.entry(history.cause).or_default();
            let (was_held, was_stored) = (record.held.is_some(), record.is_stored());
            is_urgent |= record.merge(history, now);
            if let Some(last_success) = self.successes.last(history.cause) {
                record.clear_until(last_success, now);
            }
            if let Some(last_progress) = self.successes.last_progress(history.cause) {
                record.clear_early_until(last_progress, now);
            }
            match (was_stored, record.is_stored()) {
                (true, false) if !was_held => cleared.push(history.cause),
                (false, true) => marked.push(history.cause),
                _ => {}
            }
        }
        Change {
            cleared,
            marked,
            ..self.update_holds(is_urgent, now)
        }
    }

    /// Recomputes which causes are withheld.
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
            .map(|(cause, record)| (*cause, confidence(&self.records, *cause, record, &[])))
            .collect();
        for (cause, confidence) in assessed {
            let Some(record) = self.records.get_mut(&cause) else {
                continue;
            };
            match (record.held, confidence) {
                (None, Some(confidence)) => {
                    record.held = Some(HoldState {
                        since: now,
                        confidence,
                    });
                    change.withheld.push(cause);
                }
                (Some(_), None) => {
                    record.held = None;
                    change.released.push(cause);
                }
                _ => {}
            }
        }
        change
    }
}

/// Whether a record has changed so recently that it is sent to all other entries.
fn is_recent(record: &Record, now: Millis) -> bool {
    now - record.changed() < SEND_WINDOW
}
