//! How the wait between two reads goes with the size of the fleet.

use rstest::rstest;
use woodgap_core::clock::Millis;

use super::Pace;

#[rstest]
#[case::alone(1, 0.5, 1_000)]
#[case::today(7, 0.5, 1_000)]
#[case::from_here_on_longer(41, 0.5, 1_025)]
#[case::early(100, 0.0, 2_250)]
#[case::late(100, 1.0, 2_750)]
#[case::never_beyond_the_longest(400, 0.5, 9_000)]
#[case::no_overflow(u64::MAX, 0.5, 9_000)]
fn wait(#[case] entries: u64, #[case] chance: f64, #[case] expected: u64) {
    let pace = Pace {
        poll: Millis(1_000),
        longest: Millis(9_000),
    };
    assert_eq!(pace.wait(entries, chance), Millis(expected));
}

#[rstest]
fn the_period_of_the_settings_is_the_shortest_also_where_it_is_long() {
    let pace = Pace {
        poll: Millis(5_000),
        longest: Millis(4_000),
    };
    assert_eq!(pace.wait(400, 0.5), Millis(5_000));
}
