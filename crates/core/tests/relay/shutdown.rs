//! What an entry that is stopping still takes.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::shutdown::{EndTime, Shutdown, StallDetector, Timings};

const BEGAN: Millis = Millis(100_000);

/// A stop of the relay.
fn relay(grace: u64) -> Shutdown {
    let plan = Timings {
        grace: Millis(grace),
        cleanup: Millis(0),
        drain_period: Millis(3_500),
    };
    Shutdown::new(BEGAN, &plan)
}

/// A stop of the product's own entry.
fn entry(grace: u64) -> Shutdown {
    let plan = Timings {
        grace: Millis(grace),
        cleanup: Millis(grace / 4),
        drain_period: Millis(5_000),
    };
    Shutdown::new(BEGAN, &plan)
}

fn at(after: u64) -> Millis {
    BEGAN + Millis(after)
}

fn end(latest: u64, forecast: Option<u64>) -> EndTime {
    EndTime {
        deadline: at(latest),
        forecast: forecast.map(at),
    }
}

#[rstest]
#[case::plain(8_000, 1_000, end(2_200, None), true)]
#[case::plain_late(8_000, 5_000, end(6_200, None), true)]
#[case::plain_too_late(8_000, 6_500, end(7_700, None), false)]
#[case::chat_at_first(8_000, 500, end(15_500, Some(5_000)), true)]
#[case::long_chat_at_first(8_000, 500, end(15_500, Some(9_000)), false)]
#[case::of_unknown_length(8_000, 500, end(15_500, None), false)]
#[case::the_recorded_one(8_000, 3_115, end(18_115, Some(6_000)), false)]
#[case::just_before_the_last_word(8_000, 100, end(7_300, None), true)]
#[case::just_after_it(8_000, 100, end(7_301, None), false)]
#[case::short_grace(1_000, 100, end(1_300, None), false)]
#[case::no_grace(0, 0, end(1, None), false)]
fn only_what_ends_in_time_is_taken(
    #[case] grace: u64,
    #[case] now: u64,
    #[case] end: EndTime,
    #[case] is_taken: bool,
) {
    let shutdown = relay(grace);
    assert_eq!(shutdown.accepts(end, at(now)), is_taken);
}

#[rstest]
#[case::idle_while_callers_come(3_000, true, false)]
#[case::idle_later(3_500, true, true)]
#[case::busy_later(3_500, false, false)]
#[case::busy_at_the_end(7_500, false, true)]
fn it_ends_when_idle_or_out_of_time(
    #[case] now: u64,
    #[case] is_idle: bool,
    #[case] is_over: bool,
) {
    let shutdown = relay(8_000);
    assert_eq!(shutdown.should_exit(is_idle, at(now)), is_over);
}

#[rstest]
#[case::idle_while_callers_come(4_999, true, false)]
#[case::idle_later(5_000, true, true)]
#[case::busy_later(5_000, false, false)]
#[case::busy_just_before_the_end(21_999, false, false)]
#[case::busy_at_the_end(22_000, false, true)]
fn an_entry_ends_when_idle_or_out_of_time(
    #[case] now: u64,
    #[case] is_idle: bool,
    #[case] is_over: bool,
) {
    assert_eq!(entry(30_000).should_exit(is_idle, at(now)), is_over);
}

/// What is kept for the steps after the answers is not there for answers.
#[rstest]
#[case::relay(relay(8_000), 7_300, 7_500)]
#[case::entry(entry(8_000), 5_300, 5_500)]
#[case::relay_of_short_grace(relay(400), 0, 0)]
#[case::entry_of_short_grace(entry(400), 0, 0)]
fn the_last_word_and_the_end_are_in_the_grace(
    #[case] shutdown: Shutdown,
    #[case] last_word: u64,
    #[case] ends: u64,
) {
    assert_eq!(shutdown.reply_deadline(), at(last_word));
    assert_eq!(shutdown.deadline(), at(ends));
}

/// One that was drained before it was told to stop waits for callers from then on, and ends
/// no later.
#[rstest]
#[case::idle_while_callers_come(10_000, 14_999, true, false)]
#[case::idle_later(10_000, 15_000, true, true)]
#[case::busy_later(10_000, 15_000, false, false)]
#[case::callers_come_at_the_end(20_000, 22_000, true, true)]
#[case::told_after_the_end(60_000, 60_000, false, true)]
fn a_drained_entry_waits_from_when_it_was_told(
    #[case] told: u64,
    #[case] now: u64,
    #[case] is_idle: bool,
    #[case] is_over: bool,
) {
    let shutdown = entry(30_000).signalled(at(told));
    assert_eq!(shutdown.should_exit(is_idle, at(now)), is_over);
    assert_eq!(shutdown.deadline(), entry(30_000).deadline());
}

/// A signal counts from when it is seen, or from before a standstill in which it may have come;
/// looks that come somewhat late, as on a slow machine, are no standstill.
#[rstest]
#[case::in_time(&[100, 200, 300], 350, 350)]
#[case::before_any_look(&[], 50, 50)]
#[case::some_looks_late(&[100, 220, 340], 400, 400)]
#[case::seen_before_the_timer(&[100, 200], 2_200, 100)]
#[case::seen_after_the_timer(&[100, 200, 2_200], 2_200, 200)]
#[case::standing_still_from_the_start(&[3_000], 3_000, 0)]
#[case::long_after_a_standstill(&[100, 200, 2_200, 2_300], 2_350, 2_350)]
fn a_signal_counts_from_before_a_standstill(
    #[case] looked: &[u64],
    #[case] seen: u64,
    #[case] told: u64,
) {
    let mut looks = StallDetector::new(at(0));
    for look in looked {
        looks.poll(at(*look));
    }
    assert_eq!(looks.signal_time(at(seen)), at(told));
}

proptest! {
    /// Whatever the grace: what is taken ends in time by its deadline, or is forecast to and
    /// came early; and nothing is taken that could not be known before its forecast.
    #[test]
    fn what_is_taken_ends_before_the_process(
        grace in 0_u64..60_000,
        now in 0_u64..60_000,
        lasts in 0_u64..60_000,
        forecast in proptest::option::of(0_u64..60_000),
    ) {
        let shutdown = relay(grace);
        let end = end(now + lasts, forecast.map(|lasts| now + lasts));
        if shutdown.accepts(end, at(now)) {
            let counts = if now < 2_500 { end.forecast.unwrap_or(end.deadline).min(end.deadline) } else { end.deadline };
            prop_assert!(counts <= shutdown.reply_deadline());
            prop_assert!(shutdown.may_accept(end.deadline, at(now)));
        }
        prop_assert!(shutdown.reply_deadline() <= shutdown.deadline());
        prop_assert!(shutdown.deadline() <= BEGAN + Millis(grace));
    }
}
