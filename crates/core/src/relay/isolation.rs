//! Whether this entry has lost its links to all endpoints.
//!
//! An endpoint that can't be connected to has failed, or the link to it has: one endpoint does not
//! tell which. If this entry can't connect to others either, its own links are the likely cause,
//! and it is isolated until a connection succeeds.
//!
//! Only new connections count. Old ones may live on while new ones are refused, and an entry that
//! is left with old ones can serve little.

use crate::clock::Millis;
use crate::relay::load_report;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;

/// How many endpoints are connected to first. While a single endpoint is down, nearly all checks
/// end with this one connection.
const FIRST_WAVE: usize = 1;
/// How many endpoints are connected to before the entry counts as isolated. If half of all
/// endpoints are down, a sample of this size misses the others once in 65,000 checks.
const MAX_PROBES: usize = 16;
/// The time between two checks that found a link.
const CHECK_INTERVAL: Millis = Millis(250);

/// The state of this entry's links to endpoints.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::isolation::Isolation;
///
/// let mut isolation = Isolation::default();
/// assert!(isolation.may_check(Millis(1_000)));
/// assert!(isolation.record_check(false, Millis(1_000)));
/// assert_eq!(isolation.since(), Some(Millis(1_000)));
/// assert_eq!(isolation.record_connected(Millis(1_700)), Some(Millis(700)));
/// assert!(!isolation.is_isolated());
/// ```
#[derive(Debug, Default)]
pub struct Isolation {
    since: Option<Millis>,
    last_check: Option<Millis>,
    last_connected: Option<Millis>,
}

impl Isolation {
    /// Whether the entry has lost its links to all endpoints.
    pub fn is_isolated(&self) -> bool {
        self.since.is_some()
    }

    /// When it lost them.
    pub fn since(&self) -> Option<Millis> {
        self.since
    }

    /// Whether the links may be checked again, now that an endpoint can't be connected to.
    pub fn may_check(&self, now: Millis) -> bool {
        let last = self.last_check;
        self.is_isolated() || last.is_none_or(|last| now - last >= CHECK_INTERVAL)
    }

    /// Whether a connection was opened at this time or later.
    pub fn has_connected_since(&self, time: Millis) -> bool {
        self.last_connected.is_some_and(|last| last >= time)
    }

    /// Records the result of a check. Returns whether the entry is isolated from now on.
    pub fn record_check(&mut self, reaches_any: bool, now: Millis) -> bool {
        self.last_check = Some(now);
        if reaches_any || self.is_isolated() {
            return false;
        }
        self.since = Some(now);
        true
    }

    /// Records a new connection to an endpoint. Returns how long the entry was isolated, if this
    /// ends it.
    pub fn record_connected(&mut self, now: Millis) -> Option<Millis> {
        self.last_connected = Some(now);
        let since = self.since.take()?;
        Some(now - since)
    }
}

/// The endpoints to connect to in a check, drawn by `seed`: one wave after the other, until a
/// connection succeeds.
pub fn waves<'e>(
    endpoints: impl Iterator<Item = &'e Endpoint>,
    seed: u64,
) -> [Vec<&'e Endpoint>; 2] {
    let mut drawn: Vec<_> = endpoints.collect();
    drawn.sort_by_cached_key(|it| prefix::mix(seed, load_report::life_hash(&it.life)));
    drawn.truncate(MAX_PROBES);
    let second = drawn.split_off(FIRST_WAVE.min(drawn.len()));
    [drawn, second]
}
