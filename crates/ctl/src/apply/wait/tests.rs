//! Which news of an entry counts.

use rstest::rstest;
use woodgap_core::clock::Millis;

use super::*;

fn seen(incarnation: u64, revision: u64, age: u64) -> Entry {
    Entry {
        name: name::Entry::from("a1"),
        data_centre: name::DataCentre::from("dub-a"),
        incarnation: name::Incarnation(incarnation),
        revision,
        state: EntryState::Live,
        age: Millis(age),
    }
}

#[rstest]
#[case::younger(&[seen(1, 10, 900), seen(1, 11, 0)], 11)]
#[case::older(&[seen(1, 11, 0), seen(1, 10, 900)], 11)]
#[case::restarted(&[seen(1, 11, 0), seen(2, 0, 900)], 0)]
#[case::former_life(&[seen(2, 12, 900), seen(1, 11, 0)], 12)]
fn newest_news(#[case] seen: &[Entry], #[case] revision: u64) {
    let fleet = newest(seen.to_vec());
    assert_eq!(fleet.len(), 1);
    assert_eq!(fleet[0].revision, revision);
}
