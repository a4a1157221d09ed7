//! The time of day on which entries agree, with clocks that jump.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::name::Entry;
use woodgap_core::relay::median_clock::MedianClock;

const TRUE: u64 = 1_700_000_000_000;

proptest! {
    /// With less than half of the clocks off, the time is right within what the others differ.
    #[test]
    fn most_clocks_decide(
        sound in prop::collection::vec(-50..50_i64, 6..20),
        wrong in prop::collection::vec(-100_000..100_000_i64, 0..5),
        own in -100_000..100_000_i64,
    ) {
        let mut readings = MedianClock::default();
        let at = |off: i64| Millis(TRUE.saturating_add_signed(off));
        for (entry, off) in sound.iter().chain(&wrong).enumerate() {
            let name = Entry::from(format!("dub-a-{entry}"));
            readings.record(&name, at(*off), at(own), Millis(0));
        }
        let time = readings.corrected(at(own), Millis(0));
        prop_assert!(time.0.abs_diff(TRUE) <= 50, "{} off", time.0.abs_diff(TRUE));
    }
}

/// An entry that hears nobody goes by its own clock.
#[test]
fn an_entry_alone_goes_by_its_own_clock() {
    let mut readings = MedianClock::default();
    assert_eq!(readings.corrected(Millis(TRUE), Millis(0)), Millis(TRUE));
    readings.record(
        &Entry::from("b"),
        Millis(TRUE + 9_000),
        Millis(TRUE),
        Millis(0),
    );
    assert_eq!(
        readings.corrected(Millis(TRUE), Millis(60_000)),
        Millis(TRUE)
    );
}
