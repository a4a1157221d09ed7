//! The median clock with clocks that jump.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::name::Entry;
use woodgap_core::relay::true_time::MedianClock;

const TRUE_TIME: u64 = 1_700_000_000_000;

proptest! {
    /// If less than half of the clocks are wrong, the error is at most that of the correct ones.
    #[test]
    fn the_majority_of_clocks_decides(
        correct in prop::collection::vec(-50..50_i64, 6..20),
        wrong in prop::collection::vec(-100_000..100_000_i64, 0..5),
        local in -100_000..100_000_i64,
    ) {
        let mut clock = MedianClock::default();
        let at = |offset: i64| Millis(TRUE_TIME.saturating_add_signed(offset));
        for (entry, offset) in correct.iter().chain(&wrong).enumerate() {
            let name = Entry::from(format!("dub-a-{entry}"));
            clock.record(&name, at(*offset), at(local), Millis(0));
        }
        let time = clock.corrected(at(local), Millis(0));
        prop_assert!(time.0.abs_diff(TRUE_TIME) <= 50, "{} off", time.0.abs_diff(TRUE_TIME));
    }
}

/// An entry without peers uses its own clock.
#[test]
fn an_isolated_entry_uses_its_own_clock() {
    let mut clock = MedianClock::default();
    assert_eq!(
        clock.corrected(Millis(TRUE_TIME), Millis(0)),
        Millis(TRUE_TIME)
    );
    clock.record(
        &Entry::from("b"),
        Millis(TRUE_TIME + 9_000),
        Millis(TRUE_TIME),
        Millis(0),
    );
    assert_eq!(
        clock.corrected(Millis(TRUE_TIME), Millis(60_000)),
        Millis(TRUE_TIME)
    );
}
