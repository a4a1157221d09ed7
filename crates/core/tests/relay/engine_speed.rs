//! Speed estimates of engines from the timing of their streams.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::division::Demand;
use woodgap_core::relay::engine_speed::EngineSpeed;
use woodgap_core::relay::load_report::RequiredRate;

use crate::engine::{Entry, caption, narration, profile};

/// Engines of several models, by prompt tokens prefilled per ms.
#[rstest]
#[case::large_model(24.0)]
#[case::middling(57.0)]
#[case::small_model(400.0)]
fn the_prefill_rate_is_learnt(#[case] rate: f64) {
    let mut speed = EngineSpeed::default();
    for tokens in (2_000..12_000).step_by(200) {
        speed.record_prefill(f64::from(tokens), f64::from(tokens) / rate);
    }
    assert!((speed.prefill_rate() / rate - 1.0).abs() < 0.1, "{speed:?}");
}

/// One of ten answers is delayed by a stall or comes from a faulty engine.
#[test]
fn a_few_slow_answers_change_little() {
    let mut speed = EngineSpeed::default();
    for at in 0..100 {
        let took = if at % 10 == 9 { 5_000.0 } else { 100.0 };
        speed.record_prefill(4_000.0, took);
    }
    assert!((35.0..45.0).contains(&speed.prefill_rate()), "{speed:?}");
}

#[test]
fn a_new_entry_adopts_reports_of_others() {
    let mut known = EngineSpeed::default();
    (0..50).for_each(|_| known.record_prefill(4_000.0, 200.0));
    (0..50).for_each(|_| known.record_token(20.0, 9.0));
    let mut fresh = EngineSpeed::default();
    fresh.adopt(&known.report());
    assert!((fresh.prefill_rate() - 20.0).abs() < 1.0);
    assert!((fresh.token_time(20.0) - 9.0).abs() < 0.1);
    // An entry with few samples reports nothing.
    let mut unsure = EngineSpeed::default();
    unsure.record_prefill(4_000.0, 1_000.0);
    let mut other = EngineSpeed::default();
    other.adopt(&unsure.report());
    assert_eq!(other, EngineSpeed::default());
}

/// An engine becomes five times slower. Its streams still begin in time, as nothing waits
/// there, and each gap is short enough; new streams must go elsewhere all the same.
#[test]
fn decode_heavy_streams_avoid_an_engine_that_becomes_slow() {
    let mut entry = Entry::new(4);
    let names = [1, 2].map(|own| entry.send(&profile(&narration(own)), 0));
    let [slow, fast] = &names;
    assert_ne!(slow, fast);
    for ticket in &entry.tickets {
        entry.balancer.record_first_byte(ticket, false, Millis(10));
    }
    for event in 0..500 {
        let now = Millis(10 + event * 24);
        if event % 5 == 0 {
            entry.balancer.record_event(&entry.tickets[0], 6, now);
        }
        entry.balancer.record_event(&entry.tickets[1], 6, now);
    }
    let later: Vec<_> = (3..9)
        .map(|own| entry.serve(&profile(&narration(own)), 12_000))
        .collect();
    assert!(!later.contains(slow), "{slow} {later:?}");
}

/// A slow engine is expected to take longer than a fast one, although no setting states its
/// speed.
#[test]
fn forecasts_follow_the_measured_speed() {
    let wait_after = |took: u64| {
        let mut entry = Entry::new(1);
        for own in 0..40 {
            let began = own * 10_000;
            entry.send(&profile(&caption(own, 100 + own)), began);
            let ticket = entry.tickets.pop().unwrap();
            let answered = Millis(began + took);
            entry.balancer.record_first_byte(&ticket, false, answered);
            entry.balancer.end(&ticket, answered);
        }
        let choice = entry.choose(&profile(&caption(99, 999)), 500_000);
        choice.expect("an engine is open").expected_wait
    };
    let (slow, fast) = (wait_after(400), wait_after(40));
    assert!(slow > 5.0 * fast, "{slow} {fast}");
}

/// If streams of one kind are late and those of the other are not, the late kind gets more
/// engines.
#[rstest]
#[case::both_on_time(false, false, 5)]
#[case::decode_late(true, false, 6)]
#[case::prefill_late(false, true, 3)]
fn lateness_moves_engines_to_the_late_kind(
    #[case] decode_late: bool,
    #[case] prefill_late: bool,
    #[case] engines: usize,
) {
    let mut demand = Demand::default();
    for own in 0..30 {
        demand.record_request(&profile(&narration(own)), 600, Millis(0));
        demand.record_request(&profile(&caption(own, 100 + own)), 3_000, Millis(0));
        demand.record_stream_end(true, decode_late, Millis(0));
        demand.record_stream_end(false, prefill_late, Millis(0));
    }
    assert_eq!(
        demand.allocate(12, RequiredRate::default(), Millis(0)),
        engines
    );
}
