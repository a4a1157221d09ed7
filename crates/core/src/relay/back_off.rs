//! Back-offs from endpoints that turn requests away.
//!
//! An endpoint that turns a request away may say for how long it wants no more of them from the
//! entry that sent it. Afterwards it gets one request at a time until it takes one, as it would
//! otherwise get everything again that it could not bear. Other entries are not told: each is asked
//! by itself.
//!
//! An endpoint that declines without saying for how long gets a short back-off, which doubles with
//! each decline until it takes a request: as it answers at once and has nothing in flight, it would
//! seem the least loaded one. Such an endpoint is still used where there is no better one.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::retention::Retention;

/// A longer back-off counts as this long.
const MAX_BACK_OFF: Millis = Millis(300_000);
/// A back-off is prolonged by up to this part of it, so that entries don't end theirs together.
const JITTER: f64 = 0.1;
/// After a back-off, another request is sent this long after one that had no answer.
const TRIAL_TIMEOUT: Millis = Millis(1_000);

/// The back-off after the first of several declines, and the longest one.
const FIRST_DECLINE: Millis = Millis(50);
const LAST_DECLINE: Millis = Millis(1_600);
/// From so many declines in a row on, an endpoint gets one request at a time. A single one only
/// shows that it was full at that moment.
const MIN_DECLINES: u32 = 2;

/// How long before a later life of an endpoint is listed it may have answered already: its row is
/// written within a second or two of its start, and read soon after.
pub(super) const LATE_ROW: Millis = Millis(5_000);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    until: Millis,
    /// When the endpoint last asked for a back-off.
    asked_at: Millis,
    /// Whether the endpoint asked for the back-off.
    is_asked: bool,
    /// Declines in a row without a word on how long to stay away.
    declines: u32,
    /// When the last request after the back-off was sent, while it has no answer.
    trial: Option<Millis>,
}

/// The endpoints that have asked this entry for a back-off.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_core::relay::back_off::BackOffs;
///
/// let endpoint = name::Life::from(name::Endpoint::from("e-1"));
/// let mut back_offs = BackOffs::default();
/// assert!(back_offs.record(&endpoint, Millis(3_000), 0.0, Millis(0)));
/// assert!(!back_offs.may_send(&endpoint, Millis(2_999)));
/// // Then one request at a time, until the endpoint takes one.
/// assert!(back_offs.may_send(&endpoint, Millis(3_000)));
/// back_offs.record_send(&endpoint, Millis(3_000));
/// assert!(!back_offs.may_send(&endpoint, Millis(3_001)));
/// assert!(back_offs.record_taken(&endpoint, Millis(3_050)));
/// assert!(back_offs.may_send(&endpoint, Millis(3_051)));
/// ```
#[derive(Debug, Default)]
pub struct BackOffs {
    records: HashMap<name::Life, Record>,
    /// Back-offs that given-up lives have asked for.
    given_up: Retention<Record>,
}

impl BackOffs {
    /// Records that the endpoint turned a request away and asks for a back-off of this length.
    /// `jitter` is a random number from 0 to 1. Returns whether the endpoint was in use before.
    pub fn record(
        &mut self,
        endpoint: &name::Life,
        span: Millis,
        jitter: f64,
        now: Millis,
    ) -> bool {
        if span == Millis::ZERO {
            return false;
        }
        let record = self.records.entry(endpoint.clone()).or_default();
        let was_asked = record.is_asked;
        record.is_asked = true;
        record.asked_at = now;
        record.extend(span.min(MAX_BACK_OFF), jitter, now);
        !was_asked
    }

    /// Records that the endpoint declined a request without asking for a back-off; `jitter` is as
    /// for [`BackOffs::record`]. Returns the back-off that follows; `None` if one is running, as
    /// the request was sent before it.
    pub fn record_declined(
        &mut self,
        endpoint: &name::Life,
        jitter: f64,
        now: Millis,
    ) -> Option<Millis> {
        let record = self.records.entry(endpoint.clone()).or_default();
        if now < record.until {
            return None;
        }
        let doublings = record.declines.min(16);
        let span = LAST_DECLINE.min(Millis(FIRST_DECLINE.0 << doublings));
        record.declines += 1;
        record.extend(span, jitter, now);
        Some(span)
    }

    /// Whether this entry may send the endpoint a request now.
    pub fn may_send(&self, endpoint: &name::Life, now: Millis) -> bool {
        let record = self.records.get(endpoint);
        record.is_none_or(|record| record.may_send(now))
    }

    /// Whether the endpoint may get a request where no other one may: it has not asked for the
    /// back-off.
    pub fn is_fallback(&self, endpoint: &name::Life) -> bool {
        let record = self.records.get(endpoint);
        record.is_none_or(|record| !record.is_asked)
    }

    /// Whether there are no back-offs.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of endpoints that get nothing, or one request at a time.
    pub fn count(&self, now: Millis) -> usize {
        let records = self.records.values();
        let backed_off = records.filter(|it| now < it.until || it.is_on_trial());
        backed_off.count()
    }

    /// How much longer the endpoint is to get nothing; zero if it may get something.
    pub fn remaining(&self, endpoint: &name::Life, now: Millis) -> Millis {
        let record = self.records.get(endpoint);
        record.map_or(Millis::ZERO, |record| record.until - now)
    }

    /// Records that a request is sent to the endpoint.
    pub fn record_send(&mut self, endpoint: &name::Life, now: Millis) {
        if let Some(record) = self.records.get_mut(endpoint) {
            record.trial = Some(now);
        }
    }

    /// Records that the endpoint has taken a request. Returns whether this ends a back-off that it
    /// had asked for; an answer to an earlier request does not.
    pub fn record_taken(&mut self, endpoint: &name::Life, now: Millis) -> bool {
        let record = self.records.get(endpoint);
        let Some(record) = record.filter(|record| now >= record.until) else {
            return false;
        };
        let was_asked = record.is_asked;
        self.records.remove(endpoint);
        was_asked
    }

    /// Records that a later life of an endpoint is listed. It may have answered before that, as if
    /// it were the earlier one: what that has asked for lately holds for the later one.
    pub fn succeed(&mut self, earlier: &name::Life, later: &name::Life, now: Millis) {
        let Some(record) = self.records.remove(earlier) else {
            return;
        };
        if record.is_asked && now - record.asked_at < LATE_ROW {
            self.records.entry(later.clone()).or_insert(record);
        }
    }

    /// Records that an endpoint is taken for gone, and no later life of it is known. A back-off that
    /// it has asked for is kept for a while, in case the same life is listed again.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::back_off::BackOffs;
    ///
    /// let endpoint = name::Life::from(name::Endpoint::from("e-1"));
    /// let mut back_offs = BackOffs::default();
    /// back_offs.record(&endpoint, Millis(60_000), 0.0, Millis(0));
    /// back_offs.give_up(&endpoint, Millis(10_000));
    /// assert!(back_offs.is_empty());
    /// let restored = back_offs.restore(|life| *life == endpoint, Millis(20_000));
    /// assert_eq!(restored, [endpoint.clone()]);
    /// assert!(!back_offs.may_send(&endpoint, Millis(59_999)));
    /// ```
    pub fn give_up(&mut self, endpoint: &name::Life, now: Millis) {
        let record = self.records.remove(endpoint);
        if let Some(record) = record.filter(|record| record.is_asked) {
            self.given_up.keep(endpoint, record, now);
        }
    }

    /// Puts the back-offs of given-up lives that are listed again in force. Returns these lives.
    pub fn restore(
        &mut self,
        is_listed: impl Fn(&name::Life) -> bool,
        now: Millis,
    ) -> Vec<name::Life> {
        let listed = self.given_up.take_listed(is_listed, now).into_iter();
        let restored = listed.map(|(life, record)| {
            let known = self.records.entry(life.clone()).or_default();
            known.add(&record);
            life
        });
        restored.collect()
    }

    /// Forgets endpoints that no longer exist.
    pub fn remove(&mut self, endpoints: &[name::Life]) {
        for endpoint in endpoints {
            self.records.remove(endpoint);
        }
    }
}

impl Record {
    /// Adds what was kept of the same life. Answers to requests that were under way when it was
    /// given up may have begun this record.
    fn add(&mut self, kept: &Self) {
        self.until = self.until.max(kept.until);
        self.asked_at = self.asked_at.max(kept.asked_at);
        self.is_asked |= kept.is_asked;
        self.declines = self.declines.max(kept.declines);
        self.trial = self.trial.max(kept.trial);
    }

    fn extend(&mut self, span: Millis, jitter: f64, now: Millis) {
        // A part of a back-off.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let extra = Millis((span.0 as f64 * JITTER * jitter) as u64);
        self.until = self.until.max(now + span + extra);
        self.trial = None;
    }

    /// Whether it gets one request at a time after the back-off.
    fn is_on_trial(&self) -> bool {
        self.is_asked || self.declines >= MIN_DECLINES
    }

    fn may_send(&self, now: Millis) -> bool {
        let is_trying = self.trial.is_some_and(|sent| now - sent < TRIAL_TIMEOUT);
        now >= self.until && !(is_trying && self.is_on_trial())
    }
}
