//! Which entries ask the platform, and which learn from the others.
//!
//! Each call of the platform is paid for and its rates are shared by the fleet.
//! So a few entries ask it all the time, and the others ask only when nobody has
//! confirmed their plan for longer than those take.

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
/// By how much later the next one asks, and the most: one answer serves all.
const STAGGER: (Millis, Millis) = (Millis(50), Millis(300));

/// What an entry is to do about the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Ask, and have the question held for so long.
    Ask(Millis),
    /// Learn from the others.
    Rest,
}

/// What is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The plan.
    Plan,
    /// The endpoints.
    Endpoints,
}

/// The duty of the entry with this rank among the live ones, whose plan was last
/// confirmed so long ago; `is_known` says whether it has ever learnt the subject,
/// `spread` how long news take to reach all entries.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::duty::{Duty, Subject, duty};
///
/// let spread = Millis(300);
/// let asks = |rank, age| duty(Subject::Plan, rank, true, Millis(age), spread);
/// assert_eq!(asks(0, 9), Duty::Ask(Millis(1_000)));
/// assert_eq!(asks(7, 9), Duty::Rest);
/// assert_eq!(asks(7, 1_900), Duty::Ask(Millis(0)));
/// ```
pub fn duty(subject: Subject, rank: usize, is_known: bool, age: Millis, spread: Millis) -> Duty {
    if !is_known || rank < READERS {
        return Duty::Ask(match subject {
            Subject::Plan => PLAN_WAIT,
            Subject::Endpoints => ENDPOINTS_WAIT,
        });
    }
    let (step, most) = STAGGER;
    let later = (rank - READERS) as u64 * step.0;
    if age > ALARM_AGE + spread + Millis(later).min(most) {
        Duty::Ask(Millis::ZERO)
    } else {
        Duty::Rest
    }
}
