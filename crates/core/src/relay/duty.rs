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
/// How long an entry that has just started waits for the others' answers before it
/// counts itself among those that ask: some rounds of its first messages.
const FIRST_ANSWERS: Millis = Millis(150);
/// How long it waits for what they know: the platform may know nothing yet either.
const FIRST_NEWS: Millis = Millis(1_500);
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

/// What an entry knows of the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knows {
    /// It has learnt it, and its plan was last confirmed so long ago.
    Since(Millis),
    /// It has not learnt it in so long a life.
    Nothing(Millis),
}

/// The duty of the entry with this rank among the answering ones; `spread` is how long
/// news take to reach all entries.
///
/// Entries that start together know no rank yet. Those that the others ask first, the
/// seeds, begin; the rest wait for what these learn.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::duty::{Duty, Knows, Subject, duty};
///
/// let spread = Millis(300);
/// let asks = |rank, knows| duty(Subject::Plan, rank, false, knows, spread);
/// assert_eq!(asks(0, Knows::Since(Millis(9))), Duty::Ask(Millis(1_000)));
/// assert_eq!(asks(7, Knows::Since(Millis(9))), Duty::Rest);
/// assert_eq!(asks(7, Knows::Since(Millis(1_900))), Duty::Ask(Millis(0)));
/// assert_eq!(asks(0, Knows::Nothing(Millis(9))), Duty::Rest);
/// ```
pub fn duty(subject: Subject, rank: usize, is_seed: bool, knows: Knows, spread: Millis) -> Duty {
    let held = match subject {
        Subject::Plan => PLAN_WAIT,
        Subject::Endpoints => ENDPOINTS_WAIT,
    };
    let (step, most) = STAGGER;
    let later = rank.saturating_sub(READERS) as u64 * step.0;
    let later = Millis(later).min(most);
    match knows {
        Knows::Nothing(_) if is_seed => Duty::Ask(held),
        Knows::Nothing(age) if age < FIRST_ANSWERS => Duty::Rest,
        _ if rank < READERS => Duty::Ask(held),
        Knows::Nothing(age) if age > FIRST_NEWS + spread + later => Duty::Ask(held),
        Knows::Since(age) if age > ALARM_AGE + spread + later => Duty::Ask(Millis::ZERO),
        Knows::Nothing(_) | Knows::Since(_) => Duty::Rest,
    }
}
