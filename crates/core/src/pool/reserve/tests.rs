//! What is kept for short requests, case by case.

use rstest::rstest;

use super::{Reserve, lane};
use crate::clock::Millis;
use crate::tier::Tier;

const SHORT: Millis = Millis(100);
const LONG: Millis = Millis(60_000);

fn tier(number: u8) -> Tier {
    Tier::new(number).unwrap()
}

/// Short ones of tier 2 with a target of one second are expected; `used` of
/// them and `long` long ones run; a request of this tier and length asks.
#[rstest]
#[case::a_long_one_leaves_slots(1.0, 0, 10, 2, LONG, 3)]
#[case::what_they_use_counts(1.0, 2, 10, 2, LONG, 1)]
#[case::they_use_more_than_expected(1.0, 9, 10, 2, LONG, 0)]
#[case::never_above_the_bound(100.0, 0, 10, 2, LONG, 8)]
#[case::a_lower_tier_leaves_them_too(1.0, 0, 10, 3, LONG, 3)]
#[case::a_higher_tier_does_not(1.0, 0, 10, 1, LONG, 0)]
#[case::nor_does_one_hardly_longer(1.0, 0, 10, 2, Millis(300), 0)]
#[case::nor_where_slots_come_free_in_time(1.0, 0, 700, 2, LONG, 0)]
fn slots_kept(
    #[case] expected: f64,
    #[case] used: u32,
    #[case] long: u32,
    #[case] asking: u8,
    #[case] length: Millis,
    #[case] kept: u32,
) {
    let mut reserve = Reserve::default();
    reserve.expect(tier(2), lane(SHORT), expected, Millis(1_000));
    for _ in 0..used {
        reserve.start(tier(2), lane(SHORT));
    }
    for _ in 0..long {
        reserve.start(tier(2), lane(LONG));
    }
    assert_eq!(reserve.held(tier(asking), lane(length), 8), kept);
}

#[test]
fn nothing_is_kept_where_nothing_short_is_expected() {
    let mut reserve = Reserve::default();
    reserve.expect(tier(2), lane(SHORT), 1.0, Millis(1_000));
    reserve.clear();
    assert_eq!(reserve.held(tier(2), lane(LONG), 8), 0);
}
