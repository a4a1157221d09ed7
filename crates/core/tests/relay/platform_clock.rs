//! Answers are dated between the moment of asking and that of coming.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::relay::platform_clock::PlatformClock;

#[test]
fn without_the_platforms_clock_an_answer_is_as_old_as_its_question() {
    let mut dating = PlatformClock::default();
    assert_eq!(
        dating.response_time(Millis(10), None, Millis(2_000)),
        Millis(10)
    );
}

#[test]
fn a_platform_whose_clock_began_anew_is_not_believed_too_much() {
    let mut dating = PlatformClock::default();
    dating.response_time(Millis(1_000), Some(Millis(90_000)), Millis(1_004));
    let dated = dating.response_time(Millis(2_000), Some(Millis(5)), Millis(4_000));
    assert_eq!(dated, Millis(2_000));
}

proptest! {
    /// The date is never later than the moment at which the platform made the
    /// answer, whatever the delays.
    #[test]
    fn never_later_than_it_was_made(
        ahead in 0_u64..1_000_000,
        calls in proptest::collection::vec((0_u64..2_000, 0_u64..3_000, 0_u64..2_000), 1..20),
    ) {
        let mut dating = PlatformClock::default();
        let mut now = 0;
        for (out, held, back) in calls {
            let asked = now;
            let made = asked + out + held;
            let came = made + back;
            let dated = dating.response_time(Millis(asked), Some(Millis(made + ahead)), Millis(came));
            prop_assert!(dated <= Millis(made));
            prop_assert!(dated >= Millis(asked));
            now = came + 1;
        }
    }
}
