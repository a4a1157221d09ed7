use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::verdict::Verdict::{self, MayHaveRun, NotRun, Ran};

use super::{Outcome, Rules, end, wait};
use crate::event::End;
use crate::event::How::{self, Broken, Complete, Cut, Refused, Unreachable, Wrong};

#[rstest]
#[case::complete(Complete, None, None, Some(End::Complete), Some(End::Complete))]
#[case::shed(
    Refused,
    Some(NotRun),
    Some("overloaded"),
    None,
    Some(End::RefusedNotRun)
)]
#[case::stopping(
    Refused,
    Some(NotRun),
    Some("stopping"),
    None,
    Some(End::RefusedNotRun)
)]
#[case::hopeless(
    Refused,
    Some(NotRun),
    Some("unknown_target"),
    Some(End::RefusedNotRun),
    Some(End::RefusedNotRun)
)]
#[case::may(
    Refused,
    Some(MayHaveRun),
    Some("endpoint_failed"),
    Some(End::MayHaveRun),
    Some(End::MayHaveRun)
)]
#[case::ran(
    Refused,
    Some(Ran),
    Some("bad_answer"),
    Some(End::MayHaveRun),
    Some(End::MayHaveRun)
)]
#[case::no_verdict(Refused, None, None, None, Some(End::Lost))]
#[case::broken(Broken, None, None, None, Some(End::Lost))]
#[case::cut(Cut, None, None, None, Some(End::Lost))]
#[case::wrong(Wrong, None, None, None, Some(End::Lost))]
#[case::unreachable(Unreachable, None, None, None, Some(End::Lost))]
fn the_end_with_and_without_retries_left(
    #[case] how: How,
    #[case] verdict: Option<Verdict>,
    #[case] code: Option<&str>,
    #[case] with: Option<End>,
    #[case] without: Option<End>,
) {
    let outcome = Outcome {
        how,
        verdict,
        code,
        told_to_return: false,
    };
    for (repeatable, identity) in [(true, false), (true, true), (false, true)] {
        let rules = |left| Rules {
            repeatable,
            identity,
            left,
        };
        assert_eq!(end(outcome, rules(3)), with);
        assert_eq!(end(outcome, rules(0)), without);
    }
}

#[rstest]
#[case::broken(Broken, Some(End::MayHaveRun))]
#[case::cut(Cut, Some(End::MayHaveRun))]
#[case::unreachable(Unreachable, None)]
fn what_may_not_be_repeated_is_not_sent_again_without_identity(
    #[case] how: How,
    #[case] expected: Option<End>,
) {
    let outcome = Outcome {
        how,
        verdict: None,
        code: None,
        told_to_return: false,
    };
    let rules = Rules {
        repeatable: false,
        identity: false,
        left: 3,
    };
    assert_eq!(end(outcome, rules), expected);
}

#[rstest]
#[case::with_identity(true, MayHaveRun, 3, None)]
#[case::without_identity(false, MayHaveRun, 3, Some(End::MayHaveRun))]
#[case::no_retries_left(true, MayHaveRun, 0, Some(End::MayHaveRun))]
#[case::it_ran(true, Ran, 3, Some(End::MayHaveRun))]
fn a_caller_in_doubt_comes_back_only_when_told_to_and_by_its_identity(
    #[case] identity: bool,
    #[case] verdict: Verdict,
    #[case] left: u32,
    #[case] expected: Option<End>,
) {
    let outcome = Outcome {
        how: Refused,
        verdict: Some(verdict),
        code: Some("platform_out"),
        told_to_return: true,
    };
    let rules = Rules {
        repeatable: false,
        identity,
        left,
    };
    assert_eq!(end(outcome, rules), expected);
}

#[rstest]
#[case::told(Some(2_000), 0, 2_000)]
#[case::told_too_much(Some(60_000), 0, 5_000)]
#[case::first(None, 0, 50)]
#[case::third(None, 2, 200)]
#[case::many(None, 50, 1_600)]
fn waits_are_bounded_and_spread(
    #[case] told: Option<u64>,
    #[case] attempts: u32,
    #[case] least: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let least = Duration::from_millis(least);
    for _ in 0..100 {
        let wait = wait(told.map(Duration::from_millis), attempts, &mut random);
        assert!((least..least.mul_f64(1.5)).contains(&wait), "{wait:?}");
    }
}
