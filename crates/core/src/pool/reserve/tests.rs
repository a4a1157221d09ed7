//! Tests of the slots reserved for short requests.

use rstest::rstest;

use super::{Reserve, duration_bucket};
use crate::clock::Millis;
use crate::tier::Tier;

const SHORT: Millis = Millis(100);
const LONG: Millis = Millis(60_000);

fn tier(number: u8) -> Tier {
    Tier::new(number).unwrap()
}

/// Short requests of tier 2 with a target of one second are expected. `used` of
/// them and `long` long ones run. Checks what a request of tier `asking` and
/// this length must leave free.
#[rstest]
#[case::long_request_leaves_slots(1.0, 0, 10, 2, LONG, 3)]
#[case::running_short_requests_count(1.0, 2, 10, 2, LONG, 1)]
#[case::more_running_than_expected(1.0, 9, 10, 2, LONG, 0)]
#[case::bounded_by_the_limit(100.0, 0, 10, 2, LONG, 8)]
#[case::lower_tier_leaves_slots_too(1.0, 0, 10, 3, LONG, 3)]
#[case::higher_tier_does_not(1.0, 0, 10, 1, LONG, 0)]
#[case::slightly_longer_request_does_not(1.0, 0, 10, 2, Millis(300), 0)]
#[case::slots_free_up_in_time(1.0, 0, 700, 2, LONG, 0)]
fn reserved_slots(
    #[case] expected: f64,
    #[case] used: u32,
    #[case] long: u32,
    #[case] asking: u8,
    #[case] length: Millis,
    #[case] kept: u32,
) {
    let mut reserve = Reserve::default();
    reserve.add_expected(tier(2), duration_bucket(SHORT), expected, Millis(1_000));
    for _ in 0..used {
        reserve.start(tier(2), duration_bucket(SHORT));
    }
    for _ in 0..long {
        reserve.start(tier(2), duration_bucket(LONG));
    }
    assert_eq!(
        reserve.reserved(tier(asking), duration_bucket(length), 8),
        kept
    );
}

#[test]
fn nothing_is_reserved_without_expected_short_requests() {
    let mut reserve = Reserve::default();
    reserve.add_expected(tier(2), duration_bucket(SHORT), 1.0, Millis(1_000));
    reserve.clear_expected();
    assert_eq!(reserve.reserved(tier(2), duration_bucket(LONG), 8), 0);
}
