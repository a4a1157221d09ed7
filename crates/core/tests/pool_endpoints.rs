//! Selection of endpoints and the number of runs that each one gets.

#[path = "pool/test_pool.rs"]
mod test_pool;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Ask, Outcome};
use woodgap_core::instance::{Load, State};
use woodgap_core::pool::Decision;

use test_pool::{TestPool, ask, avoiding};

#[rstest]
#[case::another_endpoint(2, &[0], 0, true)]
#[case::only_failed_endpoints(1, &[0], 0, true)]
#[case::other_endpoints_are_busy(2, &[0], 1, false)]
fn failed_endpoints_are_avoided(
    #[case] endpoints: usize,
    #[case] avoid: &[usize],
    #[case] busy: usize,
    #[case] at_once: bool,
) {
    let mut test_pool = TestPool::new(endpoints, 1, 8);
    for index in 0..busy {
        let others: Vec<usize> = avoid.to_vec();
        test_pool.ask_granted(avoiding(&format!("{} 1 a/x 99000", 50 + index), &others));
    }
    let out = test_pool.ask(avoiding("1 1 a/x 99000", avoid));
    assert_eq!(out.len(), usize::from(at_once), "{out:?}");
    if !at_once {
        assert!(test_pool.advance(1_900).is_empty());
        assert_eq!(
            test_pool.advance(200).len(),
            1,
            "an avoided endpoint is better than none"
        );
    }
}

/// The only free slot belongs to an endpoint that failed the higher tier's
/// request.
#[test]
fn lower_tier_uses_an_endpoint_unsuitable_for_a_higher_tier() {
    let mut test_pool = TestPool::new(2, 1, 8);
    test_pool.ask_granted(avoiding("1 1 a/x 99000", &[0]));
    assert!(test_pool.ask(avoiding("2 1 a/x 99000", &[0])).is_empty());
    assert_eq!(test_pool.ask_granted(ask("3 2 a/x 99000")).1, "e0");
}

#[rstest]
#[case::first_failure(1, 250)]
#[case::second_in_a_row(2, 500)]
#[case::many_in_a_row(9, 8_000)]
fn failing_endpoint_backs_off(#[case] failures: u32, #[case] backoff: u64) {
    let mut test_pool = TestPool::new(1, 1, 8);
    for number in 0..u64::from(failures) {
        test_pool.advance(8_000);
        let (permit, _) = test_pool.ask_granted(ask(&format!("{number} 1 a/x 999000")));
        test_pool.done(permit, Outcome::Failed, 10);
    }
    assert!(test_pool.ask(ask("50 1 a/x 999000")).is_empty());
    assert!(test_pool.advance(backoff - 1).is_empty());
    assert_eq!(test_pool.advance(1).len(), 1);
}

#[test]
fn equal_prompts_share_an_endpoint_until_it_is_loaded() {
    let mut test_pool = TestPool::new(8, 4, 8);
    let mut prompt = |number: u64| {
        let text = format!("{number} 1 a/x 99000");
        let prefix = 77;
        test_pool
            .ask_granted(Ask {
                prefix,
                ..ask(&text)
            })
            .1
    };
    let places: Vec<_> = (1..4).map(&mut prompt).collect();
    assert_eq!(
        places[0], places[1],
        "half of an endpoint's slots are within the bound"
    );
    assert_ne!(
        places[0], places[2],
        "no more than half are used while other endpoints are idle"
    );
}

/// An endpoint with four slots. The report contains all that runs and waits
/// there.
#[rstest]
#[case::idle(0, 0, 100, 4)]
#[case::external_runs(3, 0, 100, 1)]
#[case::full_of_external_runs(4, 0, 100, 1)]
#[case::queue_lowers_the_ceiling(2, 1, 100, 1)]
#[case::outdated_report(4, 9, 6_000, 4)]
fn load_report_limits_concurrency(
    #[case] running: u32,
    #[case] queued: u32,
    #[case] age: u64,
    #[case] free: u32,
) {
    let mut test_pool = TestPool::new(1, 4, 8);
    report(&mut test_pool, 0, running, queued, age);
    assert_eq!(test_pool.pool.stats().free, free);
}

/// The endpoint reports four slots but has a queue while two requests run.
#[test]
fn endpoint_gets_no_more_than_its_observed_concurrency() {
    let mut test_pool = TestPool::new(1, 4, 8);
    for number in 0..3 {
        test_pool.ask_granted(ask(&format!("{number} 1 a/x 99000")));
    }
    report(&mut test_pool, 0, 2, 1, 0);
    assert_eq!(test_pool.pool.stats().free, 0);
    test_pool.advance(5_000);
    report(&mut test_pool, 0, 2, 0, 0);
    assert_eq!(
        test_pool.pool.stats().free,
        0,
        "the ceiling rises by one, to the runs in use"
    );
    test_pool.advance(5_000);
    report(&mut test_pool, 0, 3, 0, 0);
    assert_eq!(
        test_pool.pool.stats().free,
        1,
        "the ceiling rises by one more"
    );
}

#[test]
fn own_runs_are_not_counted_as_external() {
    let mut test_pool = TestPool::new(1, 4, 8);
    let (permit, _) = test_pool.ask_granted(ask("1 1 a/x 99000"));
    test_pool.ask_granted(ask("2 1 a/x 99000"));
    test_pool.done(permit, Outcome::Complete, 10);
    report(&mut test_pool, 0, 2, 0, 300);
    assert_eq!(test_pool.pool.stats().free, 3);
}

/// Both endpoints run ten requests at the baseline speed before e1 slows down.
#[rstest]
#[case::by_completed_runs(true)]
#[case::by_overdue_runs(false)]
fn slow_endpoint_is_detected(#[case] answers: bool) {
    let mut ends = Vec::new();
    let mut test_pool = TestPool::new(2, 4, 8);
    for number in 0..20 {
        let (permit, _) = test_pool.ask_granted(ask(&format!("{number} 1 a/x 99000")));
        test_pool.done(permit, Outcome::Complete, 100);
    }
    for number in 20..24 {
        // Two at each endpoint.
        let (permit, endpoint) = test_pool.ask_granted(ask(&format!("{number} 1 a/x 99000")));
        if endpoint != "e1" || answers {
            let elapsed = if endpoint == "e1" { 1_000 } else { 100 };
            ends.push((permit, elapsed));
        }
    }
    for (permit, elapsed) in ends {
        test_pool.done(permit, Outcome::Complete, elapsed);
    }
    if !answers {
        test_pool.advance(1_000);
    }
    // A slow endpoint without runs may take one more as a trial.
    assert_eq!(test_pool.pool.stats().free, 4 + u32::from(answers));
    let places: Vec<_> = (30..36)
        .flat_map(|number| test_pool.ask(ask(&format!("{number} 1 a/x 11300"))))
        .collect();
    let at_slow = places.iter().filter(|decision| {
        matches!(decision, Decision::Grant { endpoint, .. } if endpoint.as_str() == "e1")
    });
    assert_eq!(at_slow.count(), usize::from(answers), "{places:?}");
}

#[test]
fn requests_are_rejected_after_a_timeout_without_endpoints() {
    let mut test_pool = TestPool::new(0, 1, 8);
    assert!(test_pool.ask(ask("1 1 a/x 99000")).is_empty());
    assert!(test_pool.advance(1_900).is_empty());
    assert!(matches!(
        test_pool.advance(200)[..],
        [Decision::NoEndpoint { .. }]
    ));
    let out = test_pool.ask(ask("2 1 a/x 99000"));
    assert!(matches!(out[..], [Decision::NoEndpoint { .. }]));
}

fn report(test_pool: &mut TestPool, endpoint: usize, running: u32, queued: u32, age: u64) {
    let load = Load {
        age: Millis(age),
        running,
        queued,
        slots: 0,
        tokens_per_second: 0.0,
        state: State::Live,
    };
    test_pool.endpoints[endpoint].load = Some((test_pool.now, load));
    test_pool.set_endpoints();
}
