//! Which endpoint a request goes to, and how much it is given.

#[path = "pool/home.rs"]
mod home;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Ask, Outcome};
use woodgap_core::instance::{Load, State};
use woodgap_core::pool::Decision;

use home::{Home, ask, avoiding};

#[rstest]
#[case::another(2, &[0], 0, true)]
#[case::none_but_those(1, &[0], 0, true)]
#[case::others_are_busy(2, &[0], 1, false)]
fn endpoints_that_failed_are_avoided(
    #[case] endpoints: usize,
    #[case] avoid: &[usize],
    #[case] busy: usize,
    #[case] at_once: bool,
) {
    let mut home = Home::new(endpoints, 1, 8);
    for index in 0..busy {
        let others: Vec<usize> = avoid.to_vec();
        home.granted(avoiding(&format!("{} 1 a/x 99000", 50 + index), &others));
    }
    let out = home.ask(avoiding("1 1 a/x 99000", avoid));
    assert_eq!(out.len(), usize::from(at_once), "{out:?}");
    if !at_once {
        assert!(home.pass(1_900).is_empty());
        assert_eq!(
            home.pass(200).len(),
            1,
            "an avoided one is better than none"
        );
    }
}

/// The only slot that is free has failed the higher tier's request.
#[test]
fn a_lower_tier_takes_what_does_not_suit_a_higher_one() {
    let mut home = Home::new(2, 1, 8);
    home.granted(avoiding("1 1 a/x 99000", &[0]));
    assert!(home.ask(avoiding("2 1 a/x 99000", &[0])).is_empty());
    assert_eq!(home.granted(ask("3 2 a/x 99000")).1, "e0");
}

#[rstest]
#[case::first_failure(1, 250)]
#[case::second_in_a_row(2, 500)]
#[case::many_in_a_row(9, 8_000)]
fn a_failing_endpoint_rests(#[case] failures: u32, #[case] rest: u64) {
    let mut home = Home::new(1, 1, 8);
    for number in 0..u64::from(failures) {
        home.pass(8_000);
        let (permit, _) = home.granted(ask(&format!("{number} 1 a/x 999000")));
        home.done(permit, Outcome::Failed, 10);
    }
    assert!(home.ask(ask("50 1 a/x 999000")).is_empty());
    assert!(home.pass(rest - 1).is_empty());
    assert_eq!(home.pass(1).len(), 1);
}

#[test]
fn equal_prompts_meet_until_the_endpoint_is_loaded() {
    let mut home = Home::new(8, 4, 8);
    let mut prompt = |number: u64| {
        let text = format!("{number} 1 a/x 99000");
        let prefix = 77;
        home.granted(Ask {
            prefix,
            ..ask(&text)
        })
        .1
    };
    let places: Vec<_> = (1..4).map(&mut prompt).collect();
    assert_eq!(
        places[0], places[1],
        "half of its slots are within the bound"
    );
    assert_ne!(
        places[0], places[2],
        "the rest stay free while others are idle"
    );
}

/// Four slots; the report says what runs and waits there in all.
#[rstest]
#[case::idle(0, 0, 100, 4)]
#[case::others_run_there(3, 0, 100, 1)]
#[case::full_of_others(4, 0, 100, 1)]
#[case::it_can_run_fewer(2, 1, 100, 1)]
#[case::old_news(4, 9, 6_000, 4)]
fn a_report_limits_what_is_sent(
    #[case] running: u32,
    #[case] queued: u32,
    #[case] age: u64,
    #[case] free: u32,
) {
    let mut home = Home::new(1, 4, 8);
    report(&mut home, 0, running, queued, age);
    assert_eq!(home.pool.stats().free, free);
}

/// It says four slots, and has a queue with two running.
#[test]
fn an_endpoint_gets_no_more_than_it_has_proved_to_run() {
    let mut home = Home::new(1, 4, 8);
    for number in 0..3 {
        home.granted(ask(&format!("{number} 1 a/x 99000")));
    }
    report(&mut home, 0, 2, 1, 0);
    assert_eq!(home.pool.stats().free, 0);
    home.pass(5_000);
    report(&mut home, 0, 2, 0, 0);
    assert_eq!(home.pool.stats().free, 0, "one more is tried: the third");
    home.pass(5_000);
    report(&mut home, 0, 3, 0, 0);
    assert_eq!(home.pool.stats().free, 1, "and one more again");
}

#[test]
fn what_it_runs_itself_is_not_taken_for_others() {
    let mut home = Home::new(1, 4, 8);
    let (permit, _) = home.granted(ask("1 1 a/x 99000"));
    home.granted(ask("2 1 a/x 99000"));
    home.done(permit, Outcome::Complete, 10);
    report(&mut home, 0, 2, 0, 300);
    assert_eq!(home.pool.stats().free, 3);
}

/// Both endpoints run ten calls at the usual pace; then e1 slows down.
#[rstest]
#[case::by_its_answers(true)]
#[case::by_what_does_not_end(false)]
fn a_slow_endpoint_is_noticed(#[case] answers: bool) {
    let mut ends = Vec::new();
    let mut home = Home::new(2, 4, 8);
    for number in 0..20 {
        let (permit, _) = home.granted(ask(&format!("{number} 1 a/x 99000")));
        home.done(permit, Outcome::Complete, 100);
    }
    for number in 20..24 {
        // Two at each endpoint.
        let (permit, endpoint) = home.granted(ask(&format!("{number} 1 a/x 99000")));
        if endpoint != "e1" || answers {
            let elapsed = if endpoint == "e1" { 1_000 } else { 100 };
            ends.push((permit, elapsed));
        }
    }
    for (permit, elapsed) in ends {
        home.done(permit, Outcome::Complete, elapsed);
    }
    if !answers {
        home.pass(1_000);
    }
    // It may take one more, as a trial, if it has none.
    assert_eq!(home.pool.stats().free, 4 + u32::from(answers));
    let places: Vec<_> = (30..36)
        .flat_map(|number| home.ask(ask(&format!("{number} 1 a/x 11300"))))
        .collect();
    let at_slow = places.iter().filter(|decision| {
        matches!(decision, Decision::Grant { endpoint, .. } if endpoint.as_str() == "e1")
    });
    assert_eq!(at_slow.count(), usize::from(answers), "{places:?}");
}

#[test]
fn without_endpoints_all_are_refused_after_a_while() {
    let mut home = Home::new(0, 1, 8);
    assert!(home.ask(ask("1 1 a/x 99000")).is_empty());
    assert!(home.pass(1_900).is_empty());
    assert!(matches!(home.pass(200)[..], [Decision::NoEndpoint { .. }]));
    let out = home.ask(ask("2 1 a/x 99000"));
    assert!(matches!(out[..], [Decision::NoEndpoint { .. }]));
}

fn report(home: &mut Home, endpoint: usize, running: u32, queued: u32, age: u64) {
    let load = Load {
        age: Millis(age),
        running,
        queued,
        slots: 0,
        tokens_per_second: 0.0,
        state: State::Live,
    };
    home.endpoints[endpoint].load = Some((home.now, load));
    home.list();
}
