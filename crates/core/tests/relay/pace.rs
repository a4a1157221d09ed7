//! What is learnt of engines from their streams.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::division::Demand;
use woodgap_core::relay::load_report::RequiredRate;
use woodgap_core::relay::pace::Pace;

use crate::engine::{Entry, ask, caption, narration};

/// Engines of several makes: prompt tokens read in a ms.
#[rstest]
#[case::large_model(24.0)]
#[case::middling(57.0)]
#[case::small_model(400.0)]
fn the_rate_of_reading_is_learnt(#[case] rate: f64) {
    let mut pace = Pace::default();
    for tokens in (2_000..12_000).step_by(200) {
        pace.read(f64::from(tokens), f64::from(tokens) / rate);
    }
    assert!((pace.read_rate() / rate - 1.0).abs() < 0.1, "{pace:?}");
}

/// One of ten answers comes after a standstill or from an engine in trouble.
#[test]
fn a_few_answers_that_took_long_change_little() {
    let mut pace = Pace::default();
    for at in 0..100 {
        let took = if at % 10 == 9 { 5_000.0 } else { 100.0 };
        pace.read(4_000.0, took);
    }
    assert!((35.0..45.0).contains(&pace.read_rate()), "{pace:?}");
}

#[test]
fn an_entry_that_has_just_started_takes_what_others_know() {
    let mut known = Pace::default();
    (0..50).for_each(|_| known.read(4_000.0, 200.0));
    (0..50).for_each(|_| known.token(20.0, 9.0));
    let mut fresh = Pace::default();
    fresh.told(&known.tell());
    assert!((fresh.read_rate() - 20.0).abs() < 1.0);
    assert!((fresh.token_time(20.0) - 9.0).abs() < 0.1);
    // Nothing is told by one that knows little itself.
    let mut unsure = Pace::default();
    unsure.read(4_000.0, 1_000.0);
    let mut other = Pace::default();
    other.told(&unsure.tell());
    assert_eq!(other, Pace::default());
}

/// An engine turns slow by five times: its streams still begin in time, as nothing waits
/// there, and each pause is short enough. New streams go elsewhere.
#[test]
fn steady_streams_leave_an_engine_that_turns_slow() {
    let mut entry = Entry::new(4);
    let names = [1, 2].map(|own| entry.send(&ask(&narration(own)), 0));
    let [slow, fast] = &names;
    assert_ne!(slow, fast);
    for ticket in &entry.tickets {
        entry.loads.answered(ticket, false, Millis(10));
    }
    for event in 0..500 {
        let now = Millis(10 + event * 24);
        if event % 5 == 0 {
            entry.loads.event(&entry.tickets[0], 6, now);
        }
        entry.loads.event(&entry.tickets[1], 6, now);
    }
    let later: Vec<_> = (3..9)
        .map(|own| entry.serve(&ask(&narration(own)), 12_000))
        .collect();
    assert!(!later.contains(slow), "{slow} {later:?}");
}

/// Prompts are turned away at an engine that reads slowly sooner than at a fast one,
/// though nobody told how fast it is.
#[test]
fn forecasts_follow_the_engine() {
    let wait_after = |took: u64| {
        let mut entry = Entry::new(1);
        for own in 0..40 {
            let began = own * 10_000;
            entry.send(&ask(&caption(own, 100 + own)), began);
            let ticket = entry.tickets.pop().unwrap();
            let answered = Millis(began + took);
            entry.loads.answered(&ticket, false, answered);
            entry.loads.end(&ticket, answered);
        }
        let choice = entry.choose(&ask(&caption(99, 999)), 500_000);
        choice.expect("an engine is open").wait
    };
    let (slow, fast) = (wait_after(400), wait_after(40));
    assert!(slow > 5.0 * fast, "{slow} {fast}");
}

/// Streams of one sort are late, the other's are not: the late sort gets more engines.
#[rstest]
#[case::both_on_time(false, false, 5)]
#[case::steady_late(true, false, 6)]
#[case::reading_late(false, true, 3)]
fn lateness_moves_engines_to_the_sort_that_is_late(
    #[case] steady_late: bool,
    #[case] reading_late: bool,
    #[case] engines: usize,
) {
    let mut demand = Demand::default();
    for own in 0..30 {
        demand.add(&ask(&narration(own)), 600, Millis(0));
        demand.add(&ask(&caption(own, 100 + own)), 3_000, Millis(0));
        demand.ended(true, steady_late, Millis(0));
        demand.ended(false, reading_late, Millis(0));
    }
    assert_eq!(
        demand.settle(12, RequiredRate::default(), Millis(0)),
        engines
    );
}
