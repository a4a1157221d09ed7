//! What an entry that is stopping still takes.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::shutdown::{End, Shutdown};

const BEGAN: Millis = Millis(100_000);

fn at(after: u64) -> Millis {
    BEGAN + Millis(after)
}

fn end(latest: u64, forecast: Option<u64>) -> End {
    End {
        latest: at(latest),
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
    #[case] end: End,
    #[case] is_taken: bool,
) {
    let shutdown = Shutdown::new(BEGAN, Millis(grace));
    assert_eq!(shutdown.takes(end, at(now)), is_taken);
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
    let shutdown = Shutdown::new(BEGAN, Millis(8_000));
    assert_eq!(shutdown.is_over(is_idle, at(now)), is_over);
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
        let shutdown = Shutdown::new(BEGAN, Millis(grace));
        let end = end(now + lasts, forecast.map(|lasts| now + lasts));
        if shutdown.takes(end, at(now)) {
            let counts = if now < 2_500 { end.forecast.unwrap_or(end.latest).min(end.latest) } else { end.latest };
            prop_assert!(counts <= shutdown.last_word());
            prop_assert!(shutdown.may_take(end.latest, at(now)));
        }
        prop_assert!(shutdown.last_word() <= shutdown.ends());
        prop_assert!(shutdown.ends() <= BEGAN + Millis(grace));
    }
}
