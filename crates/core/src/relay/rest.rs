//! The longest idle time after which a connection to an endpoint is reused.
//!
//! Some endpoints drop idle connections without closing them: the next request on such a
//! connection is reset, and it is unknown whether it ran. The first losses show which idle
//! time is too long, and entries share that with each other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::relay::load_report;

/// A connection that breaks within this time after a request was sent had been dropped before:
/// some round trips within a region. If it breaks later, the endpoint had begun to work on the
/// request.
const MAX_RESET_DELAY: Millis = Millis(50);
/// Connections that were idle for less were not dropped for being idle, but lost for another
/// reason.
const MIN_IDLE: Millis = Millis(100);
/// The limit is the idle time of a lost connection divided by this number.
const PART: u64 = 2;
/// How long a loss counts: the endpoints may have been reconfigured since.
const OBSERVATION_LIFETIME: Millis = Millis(15_000);

/// The limit for one service that an entry has observed and sends to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleLimit {
    /// The service, as the [`load_report::name_key`] of its name.
    pub service: u32,
    /// The longest idle time.
    pub max_idle: Millis,
}

/// The longest idle time of connections, by service.
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
    /// Records that a connection broke without an answer, `took` after a request was sent on
    /// it and after it had been idle for `idle`.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::rest::IdleLimits;
    ///
    /// let mut limits = IdleLimits::default();
    /// limits.record_loss("links", Millis(900), Millis(2), Millis(0));
    /// assert_eq!(limits.max_idle("links", Millis(1)), Some(Millis(450)));
    /// assert_eq!(limits.max_idle("engines", Millis(1)), None);
    /// // The endpoints may have been reconfigured since.
    /// assert_eq!(limits.max_idle("links", Millis(60_000)), None);
    /// ```
    pub fn record_loss(&mut self, service: &str, idle: Millis, took: Millis, now: Millis) {
        if !is_sign_of_limit(idle, took) {
            return;
        }
        let max_idle = Millis(idle.0 / PART);
        record(&mut self.own, load_report::name_key(service), max_idle, now);
    }

    /// The longest idle time after which a connection to a service may be reused; `None` if no
    /// recent loss limits it.
    pub fn max_idle(&self, service: &str, now: Millis) -> Option<Millis> {
        let key = load_report::name_key(service);
        let observations = [self.own.get(&key), self.received.get(&key)];
        let observations = observations.into_iter().flatten();
        let fresh = observations.filter(|observation| observation.is_fresh(now));
        fresh.map(|observation| observation.max_idle).min()
    }

    /// The limits that this entry has observed itself, for the others.
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

    /// Adds the limits that another entry reports.
    pub fn merge(&mut self, reported: &[IdleLimit], now: Millis) {
        for limit in reported {
            record(&mut self.received, limit.service, limit.max_idle, now);
        }
    }
}

/// Whether a connection that broke `took` after a request was sent on it, and after it had been
/// idle for `idle`, was probably dropped for being idle.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::rest;
///
/// assert!(rest::is_sign_of_limit(Millis(900), Millis(2)));
/// assert!(!rest::is_sign_of_limit(Millis(900), Millis(200)));
/// ```
pub fn is_sign_of_limit(idle: Millis, took: Millis) -> bool {
    idle >= MIN_IDLE && took <= MAX_RESET_DELAY
}

/// Records a limit; the shorter one counts while the earlier one is recent.
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
