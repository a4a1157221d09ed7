//! How long a connection to an endpoint may rest before it is used again.
//!
//! Some endpoints forget a connection that rests, without a word: what is sent on it
//! next is reset, and nobody knows whether it ran. The first losses show how long is
//! too long, and entries tell one another.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::relay::load_report;

/// A connection that ends so soon after something was sent on it had been forgotten:
/// some round trips within a region. Later, the endpoint had begun to work.
const QUICK: Millis = Millis(50);
/// Connections that rested for less are not forgotten; they were lost otherwise.
const SHORTEST: Millis = Millis(100);
/// The part of the rest of a lost connection for which others may rest.
const PART: u64 = 2;
/// For how long a loss counts: endpoints may be set otherwise by then.
const REMEMBERED: Millis = Millis(15_000);

/// What one entry has found out and tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Which service: the [`load_report::name_key`] of its name.
    pub service: u32,
    /// The longest rest.
    pub most: Millis,
}

/// How long connections may rest, by service.
#[derive(Debug, Default)]
pub struct Rests {
    own: HashMap<u32, Found>,
    told: HashMap<u32, Found>,
}

#[derive(Clone, Copy, Debug)]
struct Found {
    most: Millis,
    at: Millis,
}

impl Found {
    fn is_fresh(&self, now: Millis) -> bool {
        now - self.at < REMEMBERED
    }
}

impl Rests {
    /// Takes in that a connection which had rested for a while ended so long after
    /// something was sent on it, without an answer.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::rest::Rests;
    ///
    /// let mut rests = Rests::default();
    /// rests.lost("links", Millis(900), Millis(2), Millis(0));
    /// assert_eq!(rests.most("links", Millis(1)), Some(Millis(450)));
    /// assert_eq!(rests.most("engines", Millis(1)), None);
    /// // Endpoints may be set otherwise after a while.
    /// assert_eq!(rests.most("links", Millis(60_000)), None);
    /// ```
    pub fn lost(&mut self, service: &str, rested: Millis, took: Millis, now: Millis) {
        if rested < SHORTEST || took > QUICK {
            return;
        }
        let most = Millis(rested.0 / PART);
        note(&mut self.own, load_report::name_key(service), most, now);
    }

    /// The longest time for which connections to a service may rest; none where
    /// nothing speaks against a long one.
    pub fn most(&self, service: &str, now: Millis) -> Option<Millis> {
        let key = load_report::name_key(service);
        let found = [self.own.get(&key), self.told.get(&key)];
        let found = found.into_iter().flatten();
        let fresh = found.filter(|found| found.is_fresh(now));
        fresh.map(|found| found.most).min()
    }

    /// What this entry has found out itself, for the others.
    pub fn tell(&self, now: Millis) -> Vec<Told> {
        let fresh = self.own.iter().filter(|(_, found)| found.is_fresh(now));
        let told = fresh.map(|(service, found)| Told {
            service: *service,
            most: found.most,
        });
        told.collect()
    }

    /// Takes what another entry tells.
    pub fn told(&mut self, told: &[Told], now: Millis) {
        for told in told {
            note(&mut self.told, told.service, told.most, now);
        }
    }
}

/// The shorter of two rests counts, as long as it is fresh.
fn note(all: &mut HashMap<u32, Found>, service: u32, most: Millis, now: Millis) {
    let before = all.get(&service).filter(|found| found.is_fresh(now));
    let most = before.map_or(most, |before| before.most.min(most));
    all.insert(service, Found { most, at: now });
}
