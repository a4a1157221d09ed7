//! Evacuated data centres, with updates in any order.

use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::DataCentre;
use woodgap_core::relay::Roster;
use woodgap_core::relay::evacuation::{Change, Evacuation};
use woodgap_core::relay::roster::Endpoint;

use crate::roster::{FALLBACK_PERIOD, endpoint};

const DATA_CENTRES: usize = 4;

fn data_centre(at: usize) -> DataCentre {
    DataCentre::from(format!("dub-{at}"))
}

/// The operators' changes as numbered by the platform: the first one has revision 1.
fn changes(history: &[(usize, bool)]) -> Vec<Change> {
    let numbered = history.iter().zip(1..);
    let change = |((at, is_evacuated), revision): (&(usize, bool), u64)| Change {
        revision,
        data_centre: data_centre(*at),
        is_evacuated: *is_evacuated,
    };
    numbered.map(change).collect()
}

/// The set as of a revision.
fn set_at(history: &[(usize, bool)], revision: u64) -> BTreeSet<DataCentre> {
    let mut places = BTreeSet::new();
    for change in changes(history) {
        if change.revision > revision {
            break;
        }
        if change.is_evacuated {
            places.insert(change.data_centre);
        } else {
            places.remove(&change.data_centre);
        }
    }
    places
}

/// How an entry receives an update: as the whole table, as the changes since its last query, or as
/// the state of another entry.
#[derive(Clone, Copy, Debug)]
enum Update {
    Whole,
    Feed,
    Entry(usize),
}

fn update() -> impl Strategy<Value = Update> {
    prop_oneof![
        Just(Update::Whole),
        Just(Update::Feed),
        (0..3usize).prop_map(Update::Entry)
    ]
}

proptest! {
    /// Each of three entries has its own position in the feed. Whatever it receives, and when, it
    /// knows the set as of its revision, its revision never decreases, and after a query it knows
    /// the current set.
    #[test]
    fn an_entry_knows_the_set_as_of_its_revision(
        history in prop::collection::vec((0..DATA_CENTRES, any::<bool>()), 0..24),
        steps in prop::collection::vec((0..3usize, update(), 0.0..1.0f64), 0..40),
    ) {
        let all = changes(&history);
        let mut entries = vec![Evacuation::default(); 3];
        let mut cursors = [0; 3];
        let mut published = 0;
        for (entry, update, part) in steps {
            // The platform's table advances between two steps.
            let remaining = (all.len() - published) as f64;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let advance = (remaining * part * 0.3).ceil() as usize;
            published = (published + advance).min(all.len());
            let at = published as u64;
            let before = entries[entry].revision();
            match update {
                Update::Whole => {
                    entries[entry].replace(Evacuation::new(at, set_at(&history, at)));
                    cursors[entry] = published;
                }
                Update::Feed => {
                    entries[entry].apply(&all[cursors[entry]..published]);
                    cursors[entry] = published;
                }
                Update::Entry(other) => {
                    let known = entries[other].clone();
                    entries[entry].replace(known);
                }
            }
            let known = &entries[entry];
            prop_assert!(known.revision() >= before);
            prop_assert_eq!(known.data_centres(), &set_at(&history, known.revision()));
            if !matches!(update, Update::Entry(_)) {
                prop_assert_eq!(known.data_centres(), &set_at(&history, at));
            }
        }
    }
}

/// An entry that has read the whole table accepts nothing older, also if the table had not changed
/// for it.
#[rstest]
#[case::given_and_withdrawn(&[], &["dub-0"])]
#[case::withdrawn_and_given_again(&["dub-0"], &[])]
fn a_confirmed_set_is_not_undone_by_older_updates(
    #[case] confirmed: &[&str],
    #[case] meanwhile: &[&str],
) {
    let set = |names: &[&str]| names.iter().map(|it| DataCentre::from(*it)).collect();
    let mut entry = Evacuation::new(3, set(confirmed));
    assert!(
        !entry.replace(Evacuation::new(7, set(confirmed))),
        "the set is unchanged"
    );
    assert!(!entry.replace(Evacuation::new(5, set(meanwhile))));
    assert_eq!(entry, Evacuation::new(7, set(confirmed)));
    // An entry that knows the set from in between learns the current one.
    let mut other = Evacuation::new(5, set(meanwhile));
    assert!(other.replace(entry));
    assert_eq!(other.data_centres(), &set(confirmed));
}

fn at(name: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        data_centre: DataCentre::from(data_centre),
        ..endpoint(name)
    }
}

fn evacuated(places: &[&str]) -> Evacuation {
    let places = places.iter().copied().map(DataCentre::from);
    Evacuation::new(1, places.collect())
}

fn usable(roster: &Roster, places: &[&str]) -> Vec<String> {
    let evacuation = evacuated(places);
    let usable = roster.usable("engines", &evacuation, Millis(9));
    usable.iter().map(|it| it.life.id.to_string()).collect()
}

#[test]
fn endpoints_of_an_evacuated_data_centre_are_not_used() {
    let mut roster = Roster::new(FALLBACK_PERIOD);
    let list = vec![at("a", "dub-a"), at("b", "dub-b"), at("c", "dub-c")];
    roster.replace(list, 1, Millis(0), Millis(0));
    assert_eq!(usable(&roster, &["dub-a"]), ["b", "c"]);
    assert_eq!(usable(&roster, &["dub-a", "dub-c", "unknown"]), ["b"]);
    assert!(usable(&roster, &["dub-a", "dub-b", "dub-c"]).is_empty());
    assert_eq!(usable(&roster, &[]), ["a", "b", "c"]);
}

/// An endpoint elsewhere that may be leaving is better than one that must receive no requests.
#[test]
fn an_unlisted_endpoint_elsewhere_is_preferred_to_an_evacuated_one() {
    let mut roster = Roster::new(FALLBACK_PERIOD);
    roster.replace(
        vec![at("a", "dub-a"), at("b", "dub-b")],
        1,
        Millis(0),
        Millis(0),
    );
    roster.replace(vec![at("a", "dub-a")], 2, Millis(5), Millis(5));
    assert_eq!(usable(&roster, &[]), ["a"]);
    assert_eq!(usable(&roster, &["dub-a"]), ["b"]);
}
