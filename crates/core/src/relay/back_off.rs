//! Back-offs that endpoints ask this entry for.
//!
//! An endpoint that turns a request away may say for how long it wants no more of them from the
//! entry that sent it. Afterwards it gets one request at a time until it takes one, as it would
//! otherwise get everything again that it could not bear. Other entries are not told: each is asked
//! by itself.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;

/// A longer back-off counts as this long.
const MAX_BACK_OFF: Millis = Millis(300_000);
/// A back-off is prolonged by up to this part of it, so that entries don't end theirs together.
const JITTER: f64 = 0.1;
/// After a back-off, another request is sent this long after one that had no answer.
const TRIAL_TIMEOUT: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Record {
    until: Millis,
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
        let span = span.min(MAX_BACK_OFF);
        // A part of a back-off.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let extra = Millis((span.0 as f64 * JITTER * jitter) as u64);
        let until = now + span + extra;
        let known = self.records.get(endpoint);
        let known = known.copied();
        let record = Record {
            until: known.map_or(until, |known| known.until.max(until)),
            trial: None,
        };
        self.records.insert(endpoint.clone(), record);
        known.is_none()
    }

    /// Whether this entry may send the endpoint a request now.
    pub fn may_send(&self, endpoint: &name::Life, now: Millis) -> bool {
        let record = self.records.get(endpoint);
        record.is_none_or(|record| record.may_send(now))
    }

    /// Whether all endpoints are in use.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of endpoints that get nothing, or one request at a time.
    pub fn count(&self) -> usize {
        self.records.len()
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

    /// Records that the endpoint has taken a request. Returns whether this ends a back-off; an
    /// answer to an earlier request does not.
    pub fn record_taken(&mut self, endpoint: &name::Life, now: Millis) -> bool {
        let record = self.records.get(endpoint);
        let is_over = record.is_some_and(|record| now >= record.until);
        if is_over {
            self.records.remove(endpoint);
        }
        is_over
    }

    /// Forgets endpoints that no longer exist.
    pub fn remove(&mut self, endpoints: &[name::Life]) {
        for endpoint in endpoints {
            self.records.remove(endpoint);
        }
    }
}

impl Record {
    fn may_send(&self, now: Millis) -> bool {
        let is_trying = self.trial.is_some_and(|sent| now - sent < TRIAL_TIMEOUT);
        now >= self.until && !is_trying
    }
}
