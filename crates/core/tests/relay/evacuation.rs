//! Data centres that operators empty, by whatever order of news.

use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::DataCentre;
use woodgap_core::relay::Roster;
use woodgap_core::relay::evacuation::{Change, Evacuation};
use woodgap_core::relay::roster::Endpoint;

use crate::roster::{RESERVE, endpoint};

const PLACES: usize = 4;

fn place(at: usize) -> DataCentre {
    DataCentre::from(format!("dub-{at}"))
}

/// What operators did, as the platform counts it: the first change has revision 1.
fn changes(history: &[(usize, bool)]) -> Vec<Change> {
    let numbered = history.iter().zip(1..);
    let change = |((at, is_evacuated), revision): (&(usize, bool), u64)| Change {
        revision,
        data_centre: place(*at),
        is_evacuated: *is_evacuated,
    };
    numbered.map(change).collect()
}

/// The set as it stood at a revision.
fn truth(history: &[(usize, bool)], revision: u64) -> BTreeSet<DataCentre> {
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

/// One way in which an entry learns: the whole table, what follows its own last question, or
/// what another entry knows.
#[derive(Clone, Copy, Debug)]
enum News {
    Whole,
    Feed,
    Entry(usize),
}

fn news() -> impl Strategy<Value = News> {
    prop_oneof![
        Just(News::Whole),
        Just(News::Feed),
        (0..3usize).prop_map(News::Entry)
    ]
}

proptest! {
    /// Three entries, each with its own place in the feed: whatever each hears, and when, it
    /// knows the set as it stood at its revision, never goes back, and after a last question
    /// knows all.
    #[test]
    fn an_entry_knows_what_held_at_its_revision(
        history in prop::collection::vec((0..PLACES, any::<bool>()), 0..24),
        steps in prop::collection::vec((0..3usize, news(), 0.0..1.0f64), 0..40),
    ) {
        let all = changes(&history);
        let mut entries = vec![Evacuation::default(); 3];
        let mut cursors = [0; 3];
        let mut stands = 0;
        for (entry, news, part) in steps {
            // The platform moves on between two steps.
            let left = (all.len() - stands) as f64;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let more = (left * part * 0.3).ceil() as usize;
            stands = (stands + more).min(all.len());
            let at = stands as u64;
            let before = entries[entry].revision();
            match news {
                News::Whole => {
                    entries[entry].replace(Evacuation::new(at, truth(&history, at)));
                    cursors[entry] = stands;
                }
                News::Feed => {
                    entries[entry].apply(&all[cursors[entry]..stands]);
                    cursors[entry] = stands;
                }
                News::Entry(other) => {
                    let known = entries[other].clone();
                    entries[entry].replace(known);
                }
            }
            let known = &entries[entry];
            prop_assert!(known.revision() >= before);
            prop_assert_eq!(known.data_centres(), &truth(&history, known.revision()));
            if !matches!(news, News::Entry(_)) {
                prop_assert_eq!(known.data_centres(), &truth(&history, at));
            }
        }
    }
}

/// An entry that has read the whole table takes nothing older, also where it read what it knew.
#[rstest]
#[case::given_and_withdrawn(&[], &["dub-0"])]
#[case::withdrawn_and_given_again(&["dub-0"], &[])]
fn what_was_confirmed_is_not_undone_by_older_news(
    #[case] confirmed: &[&str],
    #[case] meanwhile: &[&str],
) {
    let set = |names: &[&str]| names.iter().map(|it| DataCentre::from(*it)).collect();
    let mut entry = Evacuation::new(3, set(confirmed));
    assert!(
        !entry.replace(Evacuation::new(7, set(confirmed))),
        "no news"
    );
    assert!(!entry.replace(Evacuation::new(5, set(meanwhile))));
    assert_eq!(entry, Evacuation::new(7, set(confirmed)));
    // Whoever knows what held meanwhile learns from it what holds now.
    let mut other = Evacuation::new(5, set(meanwhile));
    assert!(other.replace(entry));
    assert_eq!(other.data_centres(), &set(confirmed));
}

fn at(name: &str, place: &str) -> Endpoint {
    Endpoint {
        data_centre: DataCentre::from(place),
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
    let mut roster = Roster::new(RESERVE);
    let list = vec![at("a", "dub-a"), at("b", "dub-b"), at("c", "dub-c")];
    roster.replace(list, 1, Millis(0), Millis(0));
    assert_eq!(usable(&roster, &["dub-a"]), ["b", "c"]);
    assert_eq!(usable(&roster, &["dub-a", "dub-c", "unknown"]), ["b"]);
    assert!(usable(&roster, &["dub-a", "dub-b", "dub-c"]).is_empty());
    assert_eq!(usable(&roster, &[]), ["a", "b", "c"]);
}

/// One elsewhere that may be leaving is better than one that must get nothing.
#[test]
fn what_is_in_reserve_elsewhere_serves_in_place_of_what_is_evacuated() {
    let mut roster = Roster::new(RESERVE);
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
