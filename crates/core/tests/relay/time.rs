//! Estimated response times lie between the request and the receipt.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::relay::dating::PlatformClock;

#[test]
fn without_a_platform_clock_the_request_time_is_used() {
    let mut clock = PlatformClock::default();
    assert_eq!(clock.date(Millis(10), None, Millis(2_000)), Millis(10));
}

#[test]
fn a_restarted_platform_clock_is_clamped_to_the_request_time() {
    let mut clock = PlatformClock::default();
    clock.date(Millis(1_000), Some(Millis(90_000)), Millis(1_004));
    let estimate = clock.date(Millis(2_000), Some(Millis(5)), Millis(4_000));
    assert_eq!(estimate, Millis(2_000));
}

proptest! {
    /// For any delays, the estimate is never later than the time at which the platform generated
    /// the response.
    #[test]
    fn never_later_than_the_response_was_generated(
        offset in 0_u64..1_000_000,
        calls in proptest::collection::vec((0_u64..2_000, 0_u64..3_000, 0_u64..2_000), 1..20),
    ) {
        let mut clock = PlatformClock::default();
        let mut now = 0;
        for (request_delay, hold, response_delay) in calls {
            let requested_at = now;
            let generated_at = requested_at + request_delay + hold;
            let received_at = generated_at + response_delay;
            let estimate = clock.date(Millis(requested_at), Some(Millis(generated_at + offset)), Millis(received_at));
            prop_assert!(estimate <= Millis(generated_at));
            prop_assert!(estimate >= Millis(requested_at));
            now = received_at + 1;
        }
    }
}
