//! Rate limits that endpoints name for all entries together.
//!
//! An endpoint in trouble names in its answers how many requests per second it takes, while each
//! entry sees only its own requests. The limit is therefore divided: a few entries may send to the
//! endpoint, each at an equal part of the limit, by a token bucket. The senders are the entries
//! nearest to the endpoint on a hash ring, so that no communication is needed, and an entry that is
//! parted from the others keeps its part. The fewer the senders, the fewer requests can arrive at
//! the same moment from full buckets.
//!
//! Entries tell each other of limits, as only the senders see the endpoint's answers. A limit holds
//! until answers cease to name it; then the rate grows step by step, as all entries would otherwise
//! send to the idle endpoint at once.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::back_off::LATE_ROW;
use crate::relay::load_report;
use crate::relay::prefix;
use crate::relay::retention::Retention;
use crate::relay::rotation::{self, Tellable};
use crate::relay::warming::Ring;

/// A limit below this rate counts as this rate, in requests per second: if nothing were sent,
/// nobody would learn that the endpoint takes requests again.
const MIN_RATE: f64 = 0.25;
/// A limit above this rate counts as this rate, in requests per second.
const MAX_RATE: f64 = 1_000_000.0;
/// How many more entries than the limit's whole requests per second send to an endpoint: a low
/// limit does not depend on one entry alone.
const EXTRA_SENDERS: usize = 4;
/// The time in which a full bucket of a high rate was filled.
const BURST: f64 = 0.5;
/// After a limit is lifted, the rate doubles in each step of this length.
const RAMP_STEP: Millis = Millis(500);
/// How long the rate grows after a limit is lifted, until it is unlimited.
const RAMP: Millis = Millis(4_000);
/// A notice of another entry contradicts the known one only if it is newer by more than this: its
/// age does not include the time in transit.
const REORDER_MARGIN: Millis = Millis(50);
/// Changes of a limit by less than this factor are not told at once, nor those that follow another
/// one within the interval.
const NEWS_FACTOR: f64 = 1.2;
const NEWS_INTERVAL: Millis = Millis(500);
/// A limit is lifted by an answer without one only if none has named it for this long: some parts
/// of an endpoint may not know of it.
const LIFT_DELAY: Millis = Millis(1_000);
/// How long a limit is remembered of which nothing more is heard.
const LIFETIME: Millis = Millis(600_000);

/// What an entry tells others about the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The [`load_report::life_key`] of the endpoint.
    pub endpoint: u32,
    /// The limit in requests per second, as last named.
    pub per_second: f32,
    /// Whether the endpoint has ceased to name it.
    pub is_lifted: bool,
    /// The time since an answer of the endpoint said so.
    pub age: Millis,
}

/// How an answer or a notice changes what is known about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It names this limit, in requests per second.
    Named(f64),
    /// It names no limit any more.
    Lifted,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The limit in requests per second, as last named.
    per_second: f64,
    /// When the endpoint ceased to name it.
    lifted_at: Option<Millis>,
    /// When an answer last said so.
    observed_at: Millis,
    /// When an answer last named the limit.
    named_at: Millis,
    /// When a change was last told at once.
    news_at: Millis,
    /// Requests that this entry may send.
    tokens: f64,
    filled_at: Millis,
    /// When another entry was last told; zero if not since the last change.
    told_at: Millis,
}

impl Record {
    fn rate(&self, now: Millis) -> Option<f64> {
        let limit = self.per_second.max(MIN_RATE);
        let Some(lifted_at) = self.lifted_at else {
            return Some(limit);
        };
        let since = now - lifted_at;
        let steps = since.0 as f64 / RAMP_STEP.0 as f64;
        (since < RAMP).then(|| limit * steps.exp2())
    }

    /// Adds the tokens that have accrued at this entry's rate.
    fn refill(&mut self, own_rate: f64, now: Millis) {
        let elapsed = (now - self.filled_at).0 as f64 / 1_000.0;
        let capacity = (own_rate * BURST).max(1.0);
        self.tokens = (self.tokens + own_rate * elapsed).min(capacity);
        self.filled_at = now;
    }

    /// Takes over what an answer said at `observed_at`. Returns the change if it is worth
    /// telling at once.
    fn update(&mut self, limit: Option<f64>, observed_at: Millis, now: Millis) -> Option<Change> {
        match limit {
            Some(limit) => self.name(limit, observed_at, now),
            None => self.lift(observed_at, now),
        }
    }

    fn name(&mut self, limit: f64, observed_at: Millis, now: Millis) -> Option<Change> {
        let ratio = limit.max(MIN_RATE) / self.per_second.max(MIN_RATE);
        let is_large = ratio.max(ratio.recip()) > NEWS_FACTOR;
        let is_news = is_large && now - self.news_at >= NEWS_INTERVAL;
        let was_lifted = self.lifted_at.take().is_some();
        self.per_second = limit;
        self.observed_at = observed_at;
        self.named_at = observed_at;
        if !was_lifted && !is_news {
            return None;
        }
        self.news_at = now;
        Some(Change::Named(limit))
    }

    fn lift(&mut self, observed_at: Millis, now: Millis) -> Option<Change> {
        let was_lifted = self.lifted_at.is_some();
        if !was_lifted && now - self.named_at < LIFT_DELAY {
            return None;
        }
        self.observed_at = observed_at;
        self.lifted_at.get_or_insert(now);
        (!was_lifted).then_some(Change::Lifted)
    }
}

impl Tellable for Record {
    fn told_at(&self) -> Millis {
        self.told_at
    }

    fn set_told_at(&mut self, now: Millis) {
        self.told_at = now;
    }
}

/// The rate limits of endpoints, and what this entry may send to them.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_core::relay::rate_limit::{Change, RateLimits};
/// use woodgap_core::relay::warming::Ring;
///
/// let endpoint = name::Life::from(name::Endpoint::from("e-1"));
/// let mut limits = RateLimits::new(1);
/// let change = limits.record(&endpoint, Some(2.0), Millis(0));
/// assert_eq!(change, Some(Change::Named(2.0)));
/// // Two requests per second, all of them from the only entry.
/// let ring = Ring::new(&name::Entry::from("dub-a-1"), std::iter::empty());
/// assert!(limits.may_send(&endpoint, Some(&ring), Millis(500)));
/// limits.record_send(&endpoint);
/// assert!(!limits.may_send(&endpoint, Some(&ring), Millis(500)));
/// assert!(limits.may_send(&endpoint, Some(&ring), Millis(1_000)));
/// ```
#[derive(Debug, Default)]
pub struct RateLimits {
    /// By [`load_report::life_key`].
    records: HashMap<u32, Record>,
    /// Endpoints whose last limit could not be read.
    invalid: HashSet<u32>,
    /// Limits of lives that were given up. They are neither counted nor told.
    given_up: Retention<Record>,
    /// Differs between entries, so that their buckets fill at different times.
    seed: u64,
}

impl RateLimits {
    /// No limits; `seed` differs between entries.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Records the limit that an answer names, in requests per second; `None` if it names none.
    /// Returns the change if it is worth telling others at once.
    pub fn record(
        &mut self,
        endpoint: &name::Life,
        limit: Option<f64>,
        now: Millis,
    ) -> Option<Change> {
        let key = load_report::life_key(endpoint);
        self.invalid.remove(&key);
        self.update(key, limit, now, now)
    }

    /// Records that an answer names a limit that can't be read, which changes nothing. Returns
    /// whether this is new.
    pub fn record_invalid(&mut self, endpoint: &name::Life) -> bool {
        self.invalid.insert(load_report::life_key(endpoint))
    }

    fn update(
        &mut self,
        key: u32,
        limit: Option<f64>,
        observed_at: Millis,
        now: Millis,
    ) -> Option<Change> {
        let limit = limit.map(|limit| limit.min(MAX_RATE));
        let change = match (self.records.get_mut(&key), limit) {
            (Some(record), _) => record.update(limit, observed_at, now),
            (None, None) => None,
            (None, Some(limit)) => {
                let record = self.first_record(key, limit, observed_at, now);
                self.records.insert(key, record);
                Some(Change::Named(limit))
            }
        };
        if change.is_some()
            && let Some(record) = self.records.get_mut(&key)
        {
            record.told_at = Millis::ZERO;
        }
        change
    }

    /// A bucket begins with less than one token, at each entry with a different part of one.
    fn first_record(&self, key: u32, limit: f64, observed_at: Millis, now: Millis) -> Record {
        let draw = load_report::low_32_bits(prefix::mix(self.seed, u64::from(key)));
        Record {
            per_second: limit,
            lifted_at: None,
            observed_at,
            named_at: observed_at,
            news_at: now,
            tokens: f64::from(draw) / f64::from(u32::MAX),
            filled_at: now,
            told_at: Millis::ZERO,
        }
    }

    /// Takes over what another entry tells. Returns the changes by
    /// [`load_report::life_key`].
    pub fn merge(&mut self, notices: &[Notice], now: Millis) -> Vec<(u32, Change)> {
        let mut changes = Vec::new();
        for notice in notices {
            let per_second = f64::from(notice.per_second);
            let is_usable = per_second >= 0.0 && notice.age < LIFETIME;
            let observed_at = now - notice.age;
            let known = self.records.get(&notice.endpoint);
            let is_newer = known.is_none_or(|it| observed_at > it.observed_at + REORDER_MARGIN);
            if !is_usable || !is_newer {
                continue;
            }
            let limit = (!notice.is_lifted).then_some(per_second);
            let change = self.update(notice.endpoint, limit, observed_at, now);
            changes.extend(change.map(|change| (notice.endpoint, change)));
        }
        changes
    }

    /// What to tell another entry, at most `max` notices: changes first, then what was told the
    /// longest time ago.
    pub fn notices(&mut self, max: usize, now: Millis) -> Vec<Notice> {
        let chosen = rotation::next_to_tell(&mut self.records, max, now);
        let notices = chosen.map(|(endpoint, record)| Notice {
            endpoint,
            // Enough digits for a rate.
            #[allow(clippy::cast_possible_truncation)]
            per_second: record.per_second as f32,
            is_lifted: record.lifted_at.is_some(),
            age: now - record.observed_at,
        });
        notices.collect()
    }

    /// The number of endpoints that are limited now.
    pub fn count(&self, now: Millis) -> usize {
        let records = self.records.values();
        records.filter(|record| record.rate(now).is_some()).count()
    }

    /// How many requests per second the endpoint may get from all entries together; `None` if
    /// that is not limited.
    pub fn rate(&self, endpoint: &name::Life, now: Millis) -> Option<f64> {
        let record = self.records.get(&load_report::life_key(endpoint))?;
        record.rate(now)
    }

    /// Whether this entry may send a request to the endpoint now. An entry that does not know the
    /// ring of entries yet sends nothing to a limited endpoint.
    pub fn may_send(&mut self, endpoint: &name::Life, ring: Option<&Ring>, now: Millis) -> bool {
        let key = load_report::life_key(endpoint);
        let record = self.records.get_mut(&key);
        let limited = record.and_then(|record| Some((record.rate(now)?, record)));
        let Some((rate, record)) = limited else {
            return true;
        };
        let Some(own_rate) = ring.and_then(|ring| own_rate(rate, ring, endpoint)) else {
            return false;
        };
        record.refill(own_rate, now);
        record.tokens >= 1.0
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, endpoint: &name::Life) {
        let key = load_report::life_key(endpoint);
        if let Some(record) = self.records.get_mut(&key) {
            record.tokens = (record.tokens - 1.0).max(0.0);
        }
    }

    /// Records that a later life of an endpoint is listed. It may have answered before that, as if
    /// it were the earlier one: what that has said lately holds for the later one.
    pub fn succeed(&mut self, earlier: &name::Life, later: &name::Life, now: Millis) {
        let Some(record) = self.records.remove(&load_report::life_key(earlier)) else {
            return;
        };
        if now - record.observed_at < LATE_ROW {
            let key = load_report::life_key(later);
            self.records.entry(key).or_insert(record);
        }
    }

    /// Records that an endpoint is taken for gone, and no later life of it is known. Its limit is
    /// kept for a while, in case the same life is listed again.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::rate_limit::RateLimits;
    ///
    /// let endpoint = name::Life::from(name::Endpoint::from("e-1"));
    /// let mut limits = RateLimits::new(1);
    /// limits.record(&endpoint, Some(2.0), Millis(0));
    /// limits.give_up(&endpoint, Millis(10_000));
    /// assert_eq!(limits.count(Millis(10_000)), 0);
    /// let restored = limits.restore(|life| *life == endpoint, Millis(20_000));
    /// assert_eq!(restored, [endpoint.clone()]);
    /// assert_eq!(limits.rate(&endpoint, Millis(20_000)), Some(2.0));
    /// ```
    pub fn give_up(&mut self, endpoint: &name::Life, now: Millis) {
        if let Some(record) = self.records.remove(&load_report::life_key(endpoint)) {
            self.given_up.keep(endpoint, record, now);
        }
    }

    /// Puts the limits of given-up lives that are listed again in force, unless something newer is
    /// known. Returns these lives.
    pub fn restore(
        &mut self,
        is_listed: impl Fn(&name::Life) -> bool,
        now: Millis,
    ) -> Vec<name::Life> {
        let mut restored = Vec::new();
        for (life, record) in self.given_up.take_listed(is_listed, now) {
            let key = load_report::life_key(&life);
            let known = self.records.get(&key);
            let is_newest = known.is_none_or(|known| known.observed_at <= record.observed_at);
            if is_newest && now - record.observed_at < LIFETIME {
                let told_at = Millis::ZERO;
                self.records.insert(key, Record { told_at, ..record });
                restored.push(life);
            }
        }
        restored
    }

    /// Forgets endpoints that no longer exist.
    pub fn remove(&mut self, endpoints: &[name::Life]) {
        for endpoint in endpoints {
            let key = load_report::life_key(endpoint);
            self.records.remove(&key);
            self.invalid.remove(&key);
        }
    }

    /// Forgets limits of which nothing was heard for long.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now - record.observed_at < LIFETIME);
    }
}

/// This entry's part of a limit of `per_second` for all entries together, in requests per second;
/// `None` if it is none of the endpoint's senders.
///
/// ```
/// use woodgap_core::name;
/// use woodgap_core::relay::rate_limit::own_rate;
/// use woodgap_core::relay::warming::Ring;
///
/// let entries: Vec<_> = (0..60).map(|it| name::Entry::from(format!("e-{it}"))).collect();
/// let endpoint = name::Life::from(name::Endpoint::from("i-1"));
/// let rates = entries.iter().filter_map(|own| {
///     let ring = Ring::new(own, entries.iter().filter(|it| *it != own));
///     own_rate(2.5, &ring, &endpoint)
/// });
/// let rates: Vec<_> = rates.collect();
/// assert_eq!(rates.len(), 6);
/// assert!((rates.iter().sum::<f64>() - 2.5).abs() < 1e-9);
/// ```
pub fn own_rate(per_second: f64, ring: &Ring, endpoint: &name::Life) -> Option<f64> {
    // At most a million.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = per_second.min(MAX_RATE) as usize;
    let senders = (whole + EXTRA_SENDERS).min(ring.entries());
    let is_sender = ring.range(senders).contains(endpoint);
    is_sender.then(|| per_second / senders as f64)
}
