//! Which entries ask the platform, and which learn from the others.
//!
//! Each call of the platform is paid for and its rates are shared by the fleet.
//! So a few entries, the readers, ask it all the time, and the others learn from them.
//!
//! The load pattern: a platform that is down, slow or turns callers away for seconds.
//! Then nobody's plan is confirmed any more, all entries notice at nearly the same
//! moment, and hundreds that each ask cost more than all else that the fleet does. So
//! they share a bounded number of tries between them, by lot: whoever is answered tells
//! the rest at once, and an entry that hears nobody tries for itself. Calls for the plan
//! of 295 entries while the platform is away for 8 s, simulated: 65, and 2,851 where each
//! asks; all plans are confirmed 210 ms after its return, and 520 ms.

use crate::clock::Millis;

/// How many entries ask all the time: one may stand still or be turned away, and
/// the plan is still confirmed.
const READERS: usize = 2;
/// How long the platform may hold a question of those about the plan.
const PLAN_WAIT: Millis = Millis(1_000);
/// How long it may hold one about endpoints: nothing hangs on its confirmation.
const ENDPOINTS_WAIT: Millis = Millis(25_000);
/// So old a confirmation has the others ask too, beside the time that news take to
/// reach all entries: the wait, and what a call may take.
const ALARM_AGE: Millis = Millis(1_200);
/// How long an entry that has just started waits for the others' answers before it asks
/// for itself: some rounds of its first messages. After a loss of power of everything the
/// seeds may be the last to come back, and callers are waiting.
const FIRST_ANSWERS: Millis = Millis(100);
/// How long it waits for what they know: the platform may know nothing yet either.
const FIRST_NEWS: Millis = Millis(1_500);
/// For how long an entry that has started does not count itself among the readers: it
/// knows a part of the fleet only, and would think itself one of the first.
const SETTLED: Millis = Millis(3_000);
/// How often an entry looks whether it is its turn.
pub const CHECK_INTERVAL: Millis = Millis(100);
/// How many entries ask by lot in the time between two looks while nobody's plan is
/// confirmed: first, while there is time left before keys are distrusted, so many that one
/// is answered in time though nine of ten are turned away; then so many that the
/// platform's return is seen within 200 ms.
const TRIES: (f64, f64) = (3.0, 0.5);
/// For how long it is tried so often at first.
const URGENT: Millis = Millis(1_400);
/// For how long, at least, an entry that was answered by lot goes on as a reader: until
/// the others have heard which of the readers are turned away.
const LEAST_TERM: Millis = Millis(5_000);
/// The first and the longest pause after a failed call.
const PAUSES: (Millis, Millis) = (Millis(150), Millis(1_000));

/// What an entry is to do about the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// Ask, and have the question held for so long.
    Poll(Millis),
    /// Learn from the others.
    Skip,
}

/// What is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The plan.
    Plan,
    /// The endpoints.
    Endpoints,
}

/// What an entry knows of the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It has learnt it, and its plan was last confirmed so long ago.
    Age(Millis),
    /// It has not learnt it.
    Never,
}

/// Where an entry stands among the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// How many others come before it as readers.
    pub rank: usize,
    /// Whether it is among those that others ask first at their start.
    pub is_seed: bool,
    /// Whether the whole system starts for the first time, so that nobody waits for it yet.
    pub is_first_start: bool,
    /// Whether it was drawn by lot, was answered, and stands in for the readers.
    pub is_substitute: bool,
    /// For how long it has run.
    pub uptime: Millis,
    /// How many other entries it is in touch with, about.
    pub peers: usize,
    /// How long news take to reach all entries.
    pub propagation_delay: Millis,
}

impl EntryStatus {
    /// Whether the entry has run for long enough to know its rank.
    pub fn has_converged(&self) -> bool {
        has_converged(self.uptime)
    }
}

/// Whether an entry that has run for so long knows nearly all of the fleet.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::polling::has_converged;
///
/// assert!(!has_converged(Millis(2_999)));
/// assert!(has_converged(Millis(3_000)));
/// ```
pub fn has_converged(uptime: Millis) -> bool {
    uptime >= SETTLED
}

/// The duty of an entry, looked for once in a [`LOOK`]; `lot` is drawn anew for each look,
/// evenly from 0 to 1.
///
/// Entries that start together know no rank yet. Those that the others ask first, the
/// seeds, begin; the rest wait for what these learn.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::polling::{PollDecision, Confirmation, EntryStatus, Subject, decide};
///
/// let reader = EntryStatus {
///     rank: 0,
///     is_seed: false,
///     is_first_start: false,
///     is_substitute: false,
///     uptime: Millis(60_000),
///     peers: 99,
///     propagation_delay: Millis(900),
/// };
/// let fresh = Confirmation::Age(Millis(9));
/// assert_eq!(decide(Subject::Plan, &reader, fresh, 0.0), PollDecision::Poll(Millis(1_000)));
/// let other = EntryStatus { rank: 7, ..reader };
/// assert_eq!(decide(Subject::Plan, &other, fresh, 0.0), PollDecision::Skip);
/// // Three in a hundred try in each look while the plan is not confirmed.
/// let old = Confirmation::Age(Millis(2_500));
/// assert_eq!(decide(Subject::Plan, &other, old, 0.029), PollDecision::Poll(Millis(0)));
/// assert_eq!(decide(Subject::Plan, &other, old, 0.031), PollDecision::Skip);
/// ```
pub fn decide(
    subject: Subject,
    standing: &EntryStatus,
    knows: Confirmation,
    lot: f64,
) -> PollDecision {
    let held = match subject {
        Subject::Plan => PLAN_WAIT,
        Subject::Endpoints => ENDPOINTS_WAIT,
    };
    let (many, few) = TRIES;
    // Each draws for itself, and all together come to about so many tries.
    let is_drawn = |tries: f64| lot < tries / (standing.peers + 1) as f64;
    match knows {
        Confirmation::Never if standing.is_seed || is_alone(standing) => PollDecision::Poll(held),
        Confirmation::Never if is_without_news(standing) && is_drawn(few) => {
            PollDecision::Poll(held)
        }
        Confirmation::Age(_) if is_reader(standing) => PollDecision::Poll(held),
        // Whoever is answered about the plan asks for the endpoints then.
        Confirmation::Age(age)
            if subject == Subject::Plan && is_stale(age, standing.propagation_delay) =>
        {
            let is_urgent = !is_stale(age, standing.propagation_delay + URGENT);
            let tries = if is_urgent { many } else { few };
            if is_drawn(tries) {
                PollDecision::Poll(Millis::ZERO)
            } else {
                PollDecision::Skip
            }
        }
        Confirmation::Never | Confirmation::Age(_) => PollDecision::Skip,
    }
}

/// For how long an entry stands in for the readers after it was drawn by lot and answered,
/// where an entry may be silent for `patience` before the others take it for gone.
pub fn substitute_term(patience: Millis) -> Millis {
    LEAST_TERM.max(patience)
}

/// Whether an entry that has just started hears nobody whom it could learn from.
fn is_alone(standing: &EntryStatus) -> bool {
    let patience = if standing.is_first_start {
        FIRST_NEWS
    } else {
        FIRST_ANSWERS
    };
    standing.peers == 0 && standing.uptime >= patience
}

/// Whether it has waited long enough for what the others learn.
fn is_without_news(standing: &EntryStatus) -> bool {
    standing.uptime >= FIRST_NEWS + standing.propagation_delay
}

fn is_reader(standing: &EntryStatus) -> bool {
    let is_first = standing.rank < READERS;
    standing.is_substitute || (is_first && (standing.is_seed || standing.has_converged()))
}

/// Whether a plan that was confirmed so long ago has not been for longer than the
/// readers take.
pub fn is_stale(age: Millis, spread: Millis) -> bool {
    age > ALARM_AGE + spread
}

/// Whether an entry that was asked by another asks back at once: its own plan is not
/// confirmed any more, and the other tells that its own is.
///
/// So a confirmation reaches all entries within some round trips once one of them got
/// it, and not after some rounds.
pub fn should_query_back(own_age: Millis, told_age: Millis, spread: Millis) -> bool {
    is_stale(own_age, spread) && !is_stale(told_age, spread)
}

/// How long to wait after so many failed calls in a row; `lot` as in [`duty`]. Entries
/// that lost the platform together do not come back together.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::polling::backoff;
///
/// assert_eq!(backoff(1, 0.0), Millis(150));
/// assert_eq!(backoff(9, 0.0), Millis(500));
/// assert_eq!(backoff(9, 1.0), Millis(1_000));
/// ```
pub fn backoff(failures: u32, lot: f64) -> Millis {
    let (first, longest) = PAUSES;
    let most = first.0.saturating_mul(1 << failures.min(6));
    let most = most.min(longest.0) as f64;
    let backoff = most / 2.0 * (1.0 + lot.clamp(0.0, 1.0));
    // At most the longest pause.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let backoff = backoff as u64;
    Millis(backoff)
}
