//! Endpoints that say in their answers that they are leaving.
//!
//! The platform's list says so too, but may be out of reach, and some endpoints never list it. A
//! life of an endpoint that has said so never gets another request; its answers can't take that
//! back. Entries tell each other, as each endpoint answers few of them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::load_report;
use crate::relay::rotation::{self, Tellable};

/// How long a departure is remembered after it was last heard of. It outlasts an outage of the
/// platform, after which the row of an endpoint that has not left yet may be back.
const LIFETIME: Millis = Millis(600_000);

/// What an entry tells others about an endpoint that is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The [`load_report::life_key`] of the endpoint.
    pub endpoint: u32,
    /// The time since an answer of the endpoint said so.
    pub age: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// When an answer last said so.
    observed_at: Millis,
    /// When another entry was last told; zero if none was.
    told_at: Millis,
}

impl Tellable for Record {
    fn told_at(&self) -> Millis {
        self.told_at
    }

    fn set_told_at(&mut self, now: Millis) {
        self.told_at = now;
    }
}

/// The endpoints that have said that they are leaving.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_core::relay::departure::Departures;
///
/// let endpoint = name::Life::from(name::Endpoint::from("e-1"));
/// let [mut first, mut second] = [Departures::default(), Departures::default()];
/// assert!(first.record(&endpoint, Millis(0)));
/// let told = first.notices(8, Millis(0));
/// assert_eq!(second.merge(&told, Millis(7)).len(), 1);
/// assert!(second.contains(&endpoint));
/// ```
#[derive(Debug, Default)]
pub struct Departures {
    /// By [`load_report::life_key`].
    records: HashMap<u32, Record>,
}

impl Departures {
    /// Records that an answer of the endpoint says so. Returns whether this is new.
    pub fn record(&mut self, endpoint: &name::Life, now: Millis) -> bool {
        self.update(load_report::life_key(endpoint), now)
    }

    fn update(&mut self, key: u32, observed_at: Millis) -> bool {
        let is_new = !self.records.contains_key(&key);
        let first = Record {
            observed_at,
            told_at: Millis::ZERO,
        };
        let record = self.records.entry(key).or_insert(first);
        record.observed_at = record.observed_at.max(observed_at);
        is_new
    }

    /// Takes over what another entry tells. Returns what is new, by
    /// [`load_report::life_key`].
    pub fn merge(&mut self, notices: &[Notice], now: Millis) -> Vec<u32> {
        let current = notices.iter().filter(|notice| notice.age < LIFETIME);
        let mut new = Vec::new();
        for notice in current {
            if self.update(notice.endpoint, now - notice.age) {
                new.push(notice.endpoint);
            }
        }
        new
    }

    /// What to tell another entry, at most `max` notices: what no entry was told first, then what
    /// was told the longest time ago.
    pub fn notices(&mut self, max: usize, now: Millis) -> Vec<Notice> {
        let chosen = rotation::next_to_tell(&mut self.records, max, now);
        let notices = chosen.map(|(endpoint, record)| Notice {
            endpoint,
            age: now - record.observed_at,
        });
        notices.collect()
    }

    /// Whether this life of the endpoint has said that it is leaving.
    pub fn contains(&self, endpoint: &name::Life) -> bool {
        !self.records.is_empty() && self.records.contains_key(&load_report::life_key(endpoint))
    }

    /// Forgets what was not heard of for long.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now - record.observed_at < LIFETIME);
    }
}
