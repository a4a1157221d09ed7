//! How long a connection to an endpoint may rest before it is used again.
//!
//! Some endpoints forget a connection that rests, without a word: what is sent on it
//! next is reset, and nobody knows whether it ran. The first losses show how long is
//! too long, and entries tell one another.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::relay::tidings;

/// A connection that ends so soon after something was sent on it had been forgotten:
/// some round trips within a region. Later, the endpoint had begun to work.
const MAX_RESET_DELAY: Millis = Millis(50);
/// Connections that rested for less are not forgotten; they were lost otherwise.
const MIN_IDLE: Millis = Millis(100);
/// The part of the rest of a lost connection for which others may rest.
const PART: u64 = 2;
/// For how long a loss counts: endpoints may be set otherwise by then.
const OBSERVATION_LIFETIME: Millis = Millis(15_000);

/// What one entry has found out and tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleLimit {
    /// Which service: the [`tidings::key`] of its name.
    pub service: u32,
    /// The longest rest.
    pub max_idle: Millis,
}

/// How long connections may rest, by service.
#[derive(Debug, Default)]
pub struct IdleLimits {
    own: HashMap<u32, Observation>,
    received: HashMap<u32, Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    max_idle: Millis,
    observed_at: Millis,
}

impl Observation {
    fn is_fresh(&self, now: Millis) -> bool {
        now - self.observed_at < OBSERVATION_LIFETIME
    }
}

impl IdleLimits {
    /// Takes in that a connection which had rested for a while ended so long after
    /// something was sent on it, without an answer.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::rest::IdleLimits;
    ///
    /// let mut limits = IdleLimits::default();
    /// limits.record_loss("links", Millis(900), Millis(2), Millis(0));
    /// assert_eq!(limits.max_idle("links", Millis(1)), Some(Millis(450)));
    /// assert_eq!(limits.max_idle("engines", Millis(1)), None);
    /// // Endpoints may be set otherwise after a while.
    /// assert_eq!(limits.max_idle("links", Millis(60_000)), None);
    /// ```
    pub fn record_loss(&mut self, service: &str, idle: Millis, took: Millis, now: Millis) {
        if idle < MIN_IDLE || took > MAX_RESET_DELAY {
            return;
        }
        let max_idle = Millis(idle.0 / PART);
        record(&mut self.own, tidings::key(service), max_idle, now);
    }

    /// The longest time for which connections to a service may rest; none where
    /// nothing speaks against a long one.
    pub fn max_idle(&self, service: &str, now: Millis) -> Option<Millis> {
        let key = tidings::key(service);
        let observations = [self.own.get(&key), self.received.get(&key)];
        let observations = observations.into_iter().flatten();
        let fresh = observations.filter(|observation| observation.is_fresh(now));
        fresh.map(|observation| observation.max_idle).min()
    }

    /// What this entry has found out itself, for the others.
    pub fn report(&self, now: Millis) -> Vec<IdleLimit> {
        let fresh = self
            .own
            .iter()
            .filter(|(_, observation)| observation.is_fresh(now));
        let reported = fresh.map(|(service, observation)| IdleLimit {
            service: *service,
            max_idle: observation.max_idle,
        });
        reported.collect()
    }

    /// Takes what another entry tells.
    pub fn merge(&mut self, reported: &[IdleLimit], now: Millis) {
        for limit in reported {
            record(&mut self.received, limit.service, limit.max_idle, now);
        }
    }
}

/// The shorter of two rests counts, as long as it is fresh.
fn record(all: &mut HashMap<u32, Observation>, service: u32, max_idle: Millis, now: Millis) {
    let before = all
        .get(&service)
        .filter(|observation| observation.is_fresh(now));
    let max_idle = before.map_or(max_idle, |before| before.max_idle.min(max_idle));
    all.insert(
        service,
        Observation {
            max_idle,
            observed_at: now,
        },
    );
}
