//! Decides which entries poll the platform, while the others learn its state by gossip.
//!
//! Platform calls are billed, and their rate limits are shared by the fleet. So a few entries, the
//! pollers, long-poll the platform continuously and the others learn from them.
//!
//! The load pattern: a platform that is down, slow or rejects callers for seconds. Then no entry's
//! plan is confirmed, all entries notice at nearly the same time, and hundreds of them polling
//! would cost more than everything else that the fleet does. So they share a bounded number of
//! polls by random draw: whoever gets a response tells the others at once, and an entry without
//! peers polls on its own. In a simulated outage of 8 s, 295 entries make 65 calls for the plan
//! (2,851 if each polls), and all plans are confirmed 210 ms after it ends (520 ms).

use crate::clock::Millis;

/// How many entries poll continuously: one may stall or be rejected while the plan is still
/// confirmed.
const POLLERS: usize = 2;
/// How long the platform may hold a poller's request for the plan.
const PLAN_POLL_WAIT: Millis = Millis(1_000);
/// How long the platform may hold a request for the endpoints, whose confirmation is not urgent.
const ENDPOINTS_POLL_WAIT: Millis = Millis(25_000);
/// The age of a confirmation, in addition to the gossip propagation delay, beyond which the other
/// entries poll too: the wait of a poll plus the time that a call may take.
const STALE_AGE: Millis = Millis(1_200);
/// How long an entry that has just started waits to hear from a peer before it polls itself: a few
/// rounds of its first messages. After a power loss of the whole system the seeds may be the last
/// to come back while callers are waiting.
const FIRST_CONTACT_TIMEOUT: Millis = Millis(100);
/// How long it waits for data from its peers: the platform may have none yet either.
const FIRST_DATA_TIMEOUT: Millis = Millis(1_500);
/// How long after its start an entry does not act as a poller: it knows only part of the fleet and
/// would rank itself too high.
const CONVERGENCE_TIME: Millis = Millis(3_000);
/// How often an entry decides whether to poll.
pub const CHECK_INTERVAL: Millis = Millis(100);
/// The expected number of entries that poll per [`CHECK_INTERVAL`] while no plan is confirmed. At
/// first, before API keys stop being accepted, enough that one gets a response in time even if nine
/// of ten are rejected; then enough to notice the platform's recovery within 200 ms.
const EXPECTED_POLLS: (f64, f64) = (3.0, 0.5);
/// How long the first, higher number applies.
const URGENT_PERIOD: Millis = Millis(1_400);
/// The minimum time for which an entry that got a response after a random draw acts as a poller:
/// until the others know which of the pollers are rejected.
const MIN_SUBSTITUTE_TERM: Millis = Millis(5_000);
/// The first and the longest backoff after a failed call.
const BACKOFF: (Millis, Millis) = (Millis(150), Millis(1_000));

/// Whether an entry polls the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// Poll, and let the platform hold the request for this long.
    Poll(Millis),
    /// Rely on gossip.
    Skip,
}

/// What is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The plan.
    Plan,
    /// The endpoints.
    Endpoints,
}

/// When an entry's knowledge of the subject was last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The entry has the data, and its plan was last confirmed this long ago.
    Age(Millis),
    /// The entry has no data yet.
    Never,
}

/// An entry's role in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// How many other entries precede it as pollers.
    pub rank: usize,
    /// Whether it is one of the seeds, which other entries contact first at their start.
    pub is_seed: bool,
    /// Whether the whole system starts for the first time, so that no callers are waiting yet.
    pub is_first_start: bool,
    /// Whether it substitutes for the pollers, having got a response after a random draw.
    pub is_substitute: bool,
    /// How long it has been running.
    pub uptime: Millis,
    /// The approximate number of other live entries it knows.
    pub peers: usize,
    /// How long gossip takes to reach all entries.
    pub propagation_delay: Millis,
}

impl EntryStatus {
    /// Whether the entry has run long enough to know its rank.
    pub fn has_converged(&self) -> bool {
        has_converged(self.uptime)
    }
}

/// Whether an entry's view of the fleet is nearly complete after running for this long.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::duty::has_converged;
///
/// assert!(!has_converged(Millis(2_999)));
/// assert!(has_converged(Millis(3_000)));
/// ```
pub fn has_converged(uptime: Millis) -> bool {
    uptime >= CONVERGENCE_TIME
}

/// Decides whether an entry polls, once per [`CHECK_INTERVAL`]; `draw` is a new uniform random
/// number from 0 to 1 each time.
///
/// Entries that start together don't know their ranks yet. The seeds poll first, and the others
/// wait for what they learn.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::duty::{Confirmation, EntryStatus, PollDecision, Subject, decide};
///
/// let poller = EntryStatus {
///     rank: 0,
///     is_seed: false,
///     is_first_start: false,
///     is_substitute: false,
///     uptime: Millis(60_000),
///     peers: 99,
///     propagation_delay: Millis(900),
/// };
/// let fresh = Confirmation::Age(Millis(9));
/// assert_eq!(decide(Subject::Plan, &poller, fresh, 0.0), PollDecision::Poll(Millis(1_000)));
/// let other = EntryStatus { rank: 7, ..poller };
/// assert_eq!(decide(Subject::Plan, &other, fresh, 0.0), PollDecision::Skip);
/// // While the plan is not confirmed, three in a hundred entries poll per interval.
/// let old = Confirmation::Age(Millis(2_500));
/// assert_eq!(decide(Subject::Plan, &other, old, 0.029), PollDecision::Poll(Millis(0)));
/// assert_eq!(decide(Subject::Plan, &other, old, 0.031), PollDecision::Skip);
/// ```
pub fn decide(
    subject: Subject,
    status: &EntryStatus,
    confirmation: Confirmation,
    draw: f64,
) -> PollDecision {
    let wait = match subject {
        Subject::Plan => PLAN_POLL_WAIT,
        Subject::Endpoints => ENDPOINTS_POLL_WAIT,
    };
    let (urgent, regular) = EXPECTED_POLLS;
    // Each entry draws independently, so that the expected total is about this number.
    let is_drawn = |expected: f64| draw < expected / (status.peers + 1) as f64;
    match confirmation {
        Confirmation::Never if status.is_seed || is_isolated(status) => PollDecision::Poll(wait),
        Confirmation::Never if has_waited_for_data(status) && is_drawn(regular) => {
            PollDecision::Poll(wait)
        }
        Confirmation::Age(_) if is_poller(status) => PollDecision::Poll(wait),
        // An entry that gets the plan then polls for the endpoints as well.
        Confirmation::Age(age)
            if subject == Subject::Plan && is_stale(age, status.propagation_delay) =>
        {
            let is_urgent = !is_stale(age, status.propagation_delay + URGENT_PERIOD);
            let expected = if is_urgent { urgent } else { regular };
            if is_drawn(expected) {
                PollDecision::Poll(Millis::ZERO)
            } else {
                PollDecision::Skip
            }
        }
        Confirmation::Never | Confirmation::Age(_) => PollDecision::Skip,
    }
}

/// How long an entry substitutes for the pollers after it got a response to a drawn poll; `timeout`
/// is how long an entry may be silent before its peers consider it dead.
pub fn substitute_term(timeout: Millis) -> Millis {
    MIN_SUBSTITUTE_TERM.max(timeout)
}

/// Whether an entry that has just started has no peer to learn from.
fn is_isolated(status: &EntryStatus) -> bool {
    let timeout = if status.is_first_start {
        FIRST_DATA_TIMEOUT
    } else {
        FIRST_CONTACT_TIMEOUT
    };
    status.peers == 0 && status.uptime >= timeout
}

/// Whether it has waited long enough for data from its peers.
fn has_waited_for_data(status: &EntryStatus) -> bool {
    status.uptime >= FIRST_DATA_TIMEOUT + status.propagation_delay
}

fn is_poller(status: &EntryStatus) -> bool {
    let is_first = status.rank < POLLERS;
    status.is_substitute || (is_first && (status.is_seed || status.has_converged()))
}

/// Whether a confirmation is older than the pollers need to renew and propagate it.
pub fn is_stale(age: Millis, propagation_delay: Millis) -> bool {
    age > STALE_AGE + propagation_delay
}

/// Whether an entry that was queried by a peer queries it back at once: its own plan is stale and
/// the peer's is not.
///
/// So a confirmation reaches all entries within a few round trips instead of a few gossip rounds.
pub fn should_query_back(own_age: Millis, peer_age: Millis, propagation_delay: Millis) -> bool {
    is_stale(own_age, propagation_delay) && !is_stale(peer_age, propagation_delay)
}

/// The jittered exponential backoff after consecutive failed calls, so that entries that lost the
/// platform together don't retry together; `draw` as in [`decide`].
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::duty::backoff;
///
/// assert_eq!(backoff(1, 0.0), Millis(150));
/// assert_eq!(backoff(9, 0.0), Millis(500));
/// assert_eq!(backoff(9, 1.0), Millis(1_000));
/// ```
pub fn backoff(failures: u32, draw: f64) -> Millis {
    let (first, max_backoff) = BACKOFF;
    let max = first.0.saturating_mul(1 << failures.min(6));
    let max = max.min(max_backoff.0) as f64;
    let backoff = max / 2.0 * (1.0 + draw.clamp(0.0, 1.0));
    // At most the longest backoff, which fits.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let backoff = backoff as u64;
    Millis(backoff)
}
