//! What a caller does after each attempt, as `docs/INTERFACES.md` tells it.

use std::time::Duration;

use rand::Rng;
use woodgap_core::verdict::Verdict;

use crate::event::{End, How};

/// The longest wait that a `Retry-After` is followed for: runs are short.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// The first wait after a broken connection; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Doublings of the backoff; with the first wait this stays below two seconds.
const DOUBLINGS: u32 = 5;

/// Errors that come back the same however often the request is sent.
const FINAL_CODES: [&str; 8] = [
    "unknown_key",
    "bad_request",
    "body_too_large",
    "unknown_target",
    "class_not_bought",
    "identity_required",
    "identity_reused",
    "unknown_identity",
];

/// How an attempt ended, as far as it bears on the next step.
#[derive(Clone, Copy, Debug)]
pub struct Outcome<'a> {
    /// How it ended.
    pub how: How,
    /// The verdict, if there was one.
    pub verdict: Option<Verdict>,
    /// The error's code.
    pub code: Option<&'a str>,
    /// Whether the entry said when to come back.
    pub told_to_return: bool,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it carries an `Idempotency-Key`.
    pub identity: bool,
    /// Retries that are left.
    pub left: u32,
}

/// The end of the request, or `None` to try again elsewhere.
///
/// ```
/// use woodgap_load::event::{End, How};
/// use woodgap_load::retry::{Outcome, Rules, end};
///
/// let broken = Outcome { how: How::Broken, verdict: None, code: None, told_to_return: false };
/// let rules = Rules { repeatable: true, identity: false, left: 1 };
/// assert_eq!(end(broken, rules), None);
/// assert_eq!(end(broken, Rules { left: 0, ..rules }), Some(End::Lost));
/// ```
pub fn end(outcome: Outcome<'_>, rules: Rules) -> Option<End> {
    match outcome.how {
        How::Complete => Some(End::Complete),
        How::Refused => refused(outcome, rules),
        How::Unreachable => (rules.left == 0).then_some(End::Lost),
        How::Broken | How::Cut | How::Wrong => broken(rules),
    }
}

fn refused(outcome: Outcome<'_>, rules: Rules) -> Option<End> {
    match outcome.verdict {
        Some(Verdict::NotRun) => {
            let is_final = outcome.code.is_some_and(|code| FINAL_CODES.contains(&code));
            (is_final || rules.left == 0).then_some(End::RefusedNotRun)
        }
        // The entry says that coming back helps, and the identity makes that safe.
        Some(Verdict::MayHaveRun) if outcome.told_to_return && rules.identity => {
            (rules.left == 0).then_some(End::MayHaveRun)
        }
        Some(Verdict::MayHaveRun | Verdict::Ran) => Some(End::MayHaveRun),
        None => broken(rules),
    }
}

/// Only an identity makes it safe to send again what may not be repeated.
fn broken(rules: Rules) -> Option<End> {
    if !rules.repeatable && !rules.identity {
        Some(End::MayHaveRun)
    } else {
        (rules.left == 0).then_some(End::Lost)
    }
}

/// How long to wait before the next attempt, spread so that callers who were
/// refused together do not come back together.
pub fn wait(retry_after: Option<Duration>, attempts: u32, random: &mut impl Rng) -> Duration {
    let least = match retry_after {
        Some(told) => told.min(LONGEST_WAIT),
        None => FIRST_BACKOFF * 2_u32.pow(attempts.min(DOUBLINGS)),
    };
    least.mul_f64(random.random_range(1.0..1.5))
}

#[cfg(test)]
mod tests;
