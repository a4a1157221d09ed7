//! Jobs that are older than the clock that measures them.

use rstest::rstest;
use woodgap_core::clock::Millis;

use super::Since;

#[rstest]
#[case::younger_than_the_clock(5_000, 100_000, 98_000, 3_000, 0)]
#[case::older_than_the_clock(5_000, 100_000, 90_000, 0, 5_000)]
#[case::from_a_clock_ahead(5_000, 100_000, 101_000, 5_000, 0)]
fn since(
    #[case] now: u64,
    #[case] unix: u64,
    #[case] created: u64,
    #[case] arrived: u64,
    #[case] before: u64,
) {
    let since = Since::new(Millis(now), Millis(unix), Millis(created));
    let expected = Since {
        arrived: Millis(arrived),
        before: Millis(before),
    };
    assert_eq!(since, expected);
}
