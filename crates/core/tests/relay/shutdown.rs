//! Which requests a stopping entry still accepts, and when it exits.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::shutdown::{EndTime, Shutdown, StallDetector, Timings};

const STARTED: Millis = Millis(100_000);

/// A shutdown of the relay.
fn relay(grace: u64) -> Shutdown {
    let timings = Timings {
        grace: Millis(grace),
        cleanup: Millis(0),
        drain_period: Millis(3_500),
    };
    Shutdown::new(STARTED, &timings)
}

/// A shutdown of the product's own entry.
fn entry(grace: u64) -> Shutdown {
    let timings = Timings {
        grace: Millis(grace),
        cleanup: Millis(grace / 4),
        drain_period: Millis(5_000),
    };
    Shutdown::new(STARTED, &timings)
}

fn at(after: u64) -> Millis {
    STARTED + Millis(after)
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
#[case::just_before_the_reply_deadline(8_000, 100, end(7_300, None), true)]
#[case::just_after_the_reply_deadline(8_000, 100, end(7_301, None), false)]
#[case::short_grace(1_000, 100, end(1_300, None), false)]
#[case::no_grace(0, 0, end(1, None), false)]
fn only_requests_that_end_in_time_are_accepted(
    #[case] grace: u64,
    #[case] now: u64,
    #[case] end: EndTime,
    #[case] is_accepted: bool,
) {
    let shutdown = relay(grace);
    assert_eq!(shutdown.accepts(end, at(now)), is_accepted);
}

#[rstest]
#[case::idle_while_callers_come(3_000, true, false)]
#[case::idle_later(3_500, true, true)]
#[case::busy_later(3_500, false, false)]
#[case::busy_at_the_deadline(7_500, false, true)]
fn the_relay_exits_when_idle_or_out_of_time(
    #[case] now: u64,
    #[case] is_idle: bool,
    #[case] should_exit: bool,
) {
    let shutdown = relay(8_000);
    assert_eq!(shutdown.should_exit(is_idle, at(now)), should_exit);
}

#[rstest]
#[case::idle_while_callers_come(4_999, true, false)]
#[case::idle_later(5_000, true, true)]
#[case::busy_later(5_000, false, false)]
#[case::busy_just_before_the_deadline(21_999, false, false)]
#[case::busy_at_the_deadline(22_000, false, true)]
fn an_entry_exits_when_idle_or_out_of_time(
    #[case] now: u64,
    #[case] is_idle: bool,
    #[case] should_exit: bool,
) {
    assert_eq!(entry(30_000).should_exit(is_idle, at(now)), should_exit);
}

/// The time reserved for cleanup is not available for answers.
#[rstest]
#[case::relay(relay(8_000), 7_300, 7_500)]
#[case::entry(entry(8_000), 5_300, 5_500)]
#[case::relay_of_short_grace(relay(400), 0, 0)]
#[case::entry_of_short_grace(entry(400), 0, 0)]
fn both_deadlines_lie_within_the_grace(
    #[case] shutdown: Shutdown,
    #[case] reply_deadline: u64,
    #[case] deadline: u64,
) {
    assert_eq!(shutdown.reply_deadline(), at(reply_deadline));
    assert_eq!(shutdown.deadline(), at(deadline));
}

/// An entry that was drained before its signal waits for callers from the signal on, but ends no
/// later.
#[rstest]
#[case::idle_while_callers_come(10_000, 14_999, true, false)]
#[case::idle_later(10_000, 15_000, true, true)]
#[case::busy_later(10_000, 15_000, false, false)]
#[case::drain_period_beyond_the_deadline(20_000, 22_000, true, true)]
#[case::signalled_after_the_deadline(60_000, 60_000, false, true)]
fn the_drain_period_restarts_at_the_signal(
    #[case] signalled_at: u64,
    #[case] now: u64,
    #[case] is_idle: bool,
    #[case] should_exit: bool,
) {
    let shutdown = entry(30_000).signalled(at(signalled_at));
    assert_eq!(shutdown.should_exit(is_idle, at(now)), should_exit);
    assert_eq!(shutdown.deadline(), entry(30_000).deadline());
}

/// A signal counts from when it is handled, or from before a stall in which it may have arrived.
/// Polls that are somewhat late, as on a slow machine, are no stall.
#[rstest]
#[case::in_time(&[100, 200, 300], 350, 350)]
#[case::before_any_poll(&[], 50, 50)]
#[case::some_polls_late(&[100, 220, 340], 400, 400)]
#[case::signal_seen_before_the_timer(&[100, 200], 2_200, 100)]
#[case::signal_seen_after_the_timer(&[100, 200, 2_200], 2_200, 200)]
#[case::stalled_from_the_start(&[3_000], 3_000, 0)]
#[case::long_after_a_stall(&[100, 200, 2_200, 2_300], 2_350, 2_350)]
fn a_signal_is_dated_before_a_stall(
    #[case] polls: &[u64],
    #[case] seen: u64,
    #[case] signalled_at: u64,
) {
    let mut detector = StallDetector::new(at(0));
    for poll_at in polls {
        detector.poll(at(*poll_at));
    }
    assert_eq!(detector.signal_time(at(seen)), at(signalled_at));
}

proptest! {
    /// Whatever the grace period, an accepted request ends in time by its deadline, or came early
    /// and ends in time by its forecast. Nothing is accepted that `may_accept` rejects before the
    /// forecast.
    #[test]
    fn accepted_requests_end_before_the_process(
        grace in 0_u64..60_000,
        now in 0_u64..60_000,
        duration in 0_u64..60_000,
        forecast in proptest::option::of(0_u64..60_000),
    ) {
        let shutdown = relay(grace);
        let end = end(now + duration, forecast.map(|duration| now + duration));
        if shutdown.accepts(end, at(now)) {
            let expected_end = if now < 2_500 { end.forecast.unwrap_or(end.deadline).min(end.deadline) } else { end.deadline };
            prop_assert!(expected_end <= shutdown.reply_deadline());
            prop_assert!(shutdown.may_accept(end.deadline, at(now)));
        }
        prop_assert!(shutdown.reply_deadline() <= shutdown.deadline());
        prop_assert!(shutdown.deadline() <= STARTED + Millis(grace));
    }
}
