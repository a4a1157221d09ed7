use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::verdict::Verdict;

use super::{Findings, compare};
use crate::answer::Faults;
use crate::event::{Attempt, End, Event, How};
use crate::record::Run;
use crate::traffic::Kind;

fn event(repeatable: bool, end: End, how: &[How]) -> Event {
    let attempt = |how: &How| Attempt {
        entry: "http://127.0.0.1:1".to_owned(),
        at: Millis(0),
        ended_at: Millis(9),
        how: *how,
        verdict: (*how == How::Refused).then_some(Verdict::NotRun),
        code: None,
    };
    Event {
        tag: "a".to_owned(),
        class: "c".to_owned(),
        tier: 1,
        workspace: "w".to_owned(),
        target: "t".to_owned(),
        kind: Kind::Chat,
        repeatable,
        identity: !repeatable,
        length: 10,
        sent_at: Millis(0),
        end,
        met: false,
        attempts: how.iter().map(attempt).collect(),
        first_token_ms: None,
        complete_ms: None,
        tokens: if end == End::Complete { 10 } else { 0 },
        faults: Faults::default(),
    }
}

fn run(tag: &str, tokens_sent: u64) -> Run {
    Run {
        request: String::new(),
        prompt_tag: Some(tag.to_owned()),
        started_ms: Some(Millis(1)),
        ended_ms: Some(Millis(2)),
        tokens_sent,
        resumed_from: None,
        end: "complete".to_owned(),
    }
}

#[rstest]
#[case::clean(true, End::Complete, &[How::Complete], &[10], (0, 0, 0.0))]
#[case::run_again(true, End::Complete, &[How::Complete], &[10, 10], (0, 0, 0.5))]
#[case::twice(false, End::Complete, &[How::Complete], &[5, 10], (1, 0, 1.0 / 3.0))]
#[case::denied(true, End::RefusedNotRun, &[How::Refused], &[4], (0, 1, 1.0))]
#[case::denied_truly(true, End::RefusedNotRun, &[How::Refused], &[], (0, 0, 0.0))]
#[case::earlier_attempt_ran(true, End::RefusedNotRun, &[How::Broken, How::Refused], &[4], (0, 0, 1.0))]
#[case::identity_denied(false, End::RefusedNotRun, &[How::Broken, How::Refused], &[4], (0, 1, 1.0))]
#[case::uncertain(false, End::MayHaveRun, &[How::Refused], &[4], (0, 0, 1.0))]
fn runs_against_what_callers_were_told(
    #[case] repeatable: bool,
    #[case] end: End,
    #[case] how: &[How],
    #[case] tokens: &[u64],
    #[case] expected: (u64, u64, f64),
) {
    let runs: Vec<_> = tokens.iter().map(|tokens| run("a", *tokens)).collect();
    let found = compare(&[event(repeatable, end, how)], &runs, 0.0);
    let (doubled, not_run_but_ran, wasted) = expected;
    assert_eq!(
        (found.doubled, found.not_run_but_ran),
        (doubled, not_run_but_ran)
    );
    assert!((found.wasted - wasted).abs() < 1e-9);
}

#[test]
fn a_request_that_never_got_a_slot_did_not_run() {
    let queued = Run {
        started_ms: None,
        ..run("a", 0)
    };
    let found = compare(
        &[event(true, End::RefusedNotRun, &[How::Refused])],
        &[queued],
        0.0,
    );
    assert_eq!(found, Findings::default());
}

#[test]
fn other_traffic_is_left_out() {
    let found = compare(
        &[event(true, End::Complete, &[How::Complete])],
        &[run("a", 10), run("b", 90)],
        0.0,
    );
    assert_eq!(found.tokens_generated, 10);
}
