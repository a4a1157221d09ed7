//! The division of brittle endpoints between entries, and what entries tell one another of them.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::brittle::{BrittleServices, own_slots};
use woodgap_core::relay::warming::Ring;

use crate::roster::life;

proptest! {
    /// Else entries that obey their parts push the endpoint into refusals.
    #[test]
    fn the_parts_of_all_entries_never_exceed_the_slots(
        slots in 0_u32..200,
        entries in 1_usize..60,
        endpoint in "[a-z]{4}",
    ) {
        let entries: Vec<_> = (0..entries).map(|it| name::Entry::from(format!("e-{it}"))).collect();
        let endpoint = life(&endpoint);
        let parts = entries.iter().map(|own| {
            let ring = Ring::new(own, entries.iter().filter(|it| *it != own));
            own_slots(slots, &ring, &endpoint)
        });
        let total: usize = parts.sum();
        prop_assert!(total <= slots as usize);
        // At most as many are unused as there are entries.
        prop_assert!(total + entries.len() > slots as usize);
    }
}

#[test]
fn an_entry_that_was_idle_learns_from_others_for_as_long_as_they_hear_it() {
    let mut hearing = BrittleServices::default();
    let mut idle = BrittleServices::default();
    hearing.record("engines", Millis(1_000));
    assert!(idle.merge(&hearing.notices(1, Millis(1_500)), Millis(1_500)));
    assert!(!idle.merge(&hearing.notices(1, Millis(1_600)), Millis(1_600)));
    assert!(idle.contains("engines", Millis(3_900)));
    // What is told on and on does not prolong it.
    let told = idle.notices(1, Millis(3_900));
    let mut third = BrittleServices::default();
    third.merge(&told, Millis(3_900));
    assert!(!third.contains("engines", Millis(4_000)));
    assert!(idle.notices(1, Millis(4_000)).is_empty());
}
