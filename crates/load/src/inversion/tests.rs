use std::collections::BTreeMap;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::verdict::Verdict;

use super::{Count, count};
use crate::answer::Faults;
use crate::event::{Attempt, End, Event, How};
use crate::record::Run;
use crate::traffic::Kind;

/// The request of this test's story: shed at 5000.
const SHED_AT: u64 = 5_000;

fn event(tag: &str, tier: u8, class: &str, from: u64, to: u64, code: Option<&str>) -> Event {
    let refused = code.is_some();
    Event {
        tag: tag.to_owned(),
        class: class.to_owned(),
        tier,
        workspace: "w".to_owned(),
        target: "t".to_owned(),
        kind: Kind::Chat,
        repeatable: true,
        identity: false,
        length: 10,
        sent_at: Millis(from),
        end: if refused {
            End::RefusedNotRun
        } else {
            End::Complete
        },
        met: false,
        attempts: vec![Attempt {
            entry: "http://127.0.0.1:1".to_owned(),
            at: Millis(from),
            ended_at: Millis(to),
            how: if refused { How::Refused } else { How::Complete },
            verdict: refused.then_some(Verdict::NotRun),
            code: code.map(str::to_owned),
        }],
        first_token_ms: None,
        complete_ms: None,
        tokens: 0,
        faults: Faults::default(),
    }
}

fn run(tag: &str, started: u64, end: &str) -> Run {
    Run {
        request: String::new(),
        prompt_tag: Some(tag.to_owned()),
        started_ms: Some(Millis(started)),
        ended_ms: Some(Millis(started + 100)),
        tokens_sent: 1,
        resumed_from: None,
        end: end.to_owned(),
    }
}

fn counted(events: &[Event], runs: &[Run]) -> Count {
    let mut by_tag = BTreeMap::<&str, Vec<&Run>>::new();
    for run in runs {
        let tag = run.prompt_tag.as_deref().unwrap();
        by_tag.entry(tag).or_default().push(run);
    }
    count(events, &by_tag, 0.02)
}

/// Requests of other tiers as (tier, sent at, admitted at, ended at).
#[rstest]
#[case::nobody(&[], 0, 0)]
#[case::lower_waited(&[(2, 4_000, 9_000, 9_900)], 1, 0)]
#[case::lower_admitted_after(&[(2, 4_000, 5_500, 6_000)], 1, 0)]
#[case::lower_came_and_was_admitted(&[(2, 5_200, 5_900, 6_500)], 1, 0)]
#[case::lower_admitted_long_after(&[(2, 6_100, 6_200, 6_500)], 0, 0)]
#[case::lower_was_running(&[(2, 4_000, 4_500, 9_000)], 0, 0)]
#[case::lower_granted_at_the_same_time(&[(2, 4_000, 5_030, 9_000)], 0, 0)]
#[case::same_tier(&[(1, 4_000, 5_500, 9_000)], 0, 0)]
#[case::two_lower_waited(&[(2, 4_000, 9_000, 9_900), (2, 4_100, 9_100, 9_900)], 1, 1)]
#[case::two_lower_admitted(&[(2, 5_200, 5_300, 5_500), (2, 5_400, 5_500, 5_800)], 1, 0)]
#[case::three_lower_admitted(
    &[(2, 5_200, 5_300, 5_500), (2, 5_400, 5_500, 5_800), (2, 5_600, 5_700, 5_800)],
    1, 1
)]
fn a_shed_request_against_others(
    #[case] others: &[(u8, u64, u64, u64)],
    #[case] inversions: u64,
    #[case] beyond_share: u64,
) {
    let mut events = vec![event("shed", 1, "c", 4_900, SHED_AT, Some("overloaded"))];
    let mut runs = Vec::new();
    for (index, (tier, from, admitted, to)) in others.iter().enumerate() {
        let tag = index.to_string();
        events.push(event(&tag, *tier, "d", *from, *to, None));
        runs.push(run(&tag, *admitted, "complete"));
    }
    let expected = Count {
        shed: 1,
        preempted: 0,
        inversions,
        beyond_share,
    };
    assert_eq!(counted(&events, &runs), expected);
}

#[test]
fn a_preempted_request_counts_like_a_shed_one() {
    let events = [
        event("high", 1, "c", 4_000, 9_000, None),
        event("low", 3, "d", 4_000, 9_000, None),
    ];
    let runs = [
        run("high", 4_900, "cancelled"),
        run("high", 8_000, "complete"),
        run("low", 5_500, "complete"),
    ];
    let found = counted(&events, &runs);
    assert_eq!((found.preempted, found.inversions), (1, 1));
}

#[test]
fn another_refusal_is_no_shedding() {
    let events = [
        event("stopping", 1, "c", 4_900, SHED_AT, Some("stopping")),
        event("low", 3, "d", 4_000, 9_000, None),
    ];
    assert_eq!(
        counted(&events, &[run("low", 5_500, "complete")]),
        Count::default()
    );
}
