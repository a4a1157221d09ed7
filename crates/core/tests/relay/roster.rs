//! Which endpoints may be used.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::era::Era;
use woodgap_core::name;
use woodgap_core::relay::roster::{Absence, Change, Endpoint, Positions, Reading, Stale};
use woodgap_core::relay::{Evacuation, Roster};

pub const FALLBACK_PERIOD: Millis = Millis(1_600);

/// A life without a known start.
pub fn life(id: &str) -> name::Life {
    name::Life::from(name::Endpoint::from(id))
}

pub fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        life: life(name),
        service: "engines".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: name::DataCentre::from("dub-a"),
        slots: 64,
        leaving: false,
        reclaimable: false,
        cold_for: Millis::ZERO,
        version: String::new(),
    }
}

/// An endpoint with this start time.
pub fn started(name: &str, at: u64) -> Endpoint {
    let mut endpoint = endpoint(name);
    endpoint.life.started_unix = Some(Millis(at));
    endpoint
}

fn leaving(name: &str) -> Endpoint {
    Endpoint {
        leaving: true,
        ..endpoint(name)
    }
}

fn roster(list: Vec<Endpoint>) -> Roster {
    let mut roster = Roster::new(FALLBACK_PERIOD);
    roster.replace(list, 10, Millis(0), Millis(0));
    roster
}

fn usable(roster: &Roster, now: u64) -> Vec<&str> {
    let usable = roster.usable("engines", &Evacuation::default(), Millis(now));
    usable.iter().map(|it| it.life.id.as_str()).collect()
}

#[test]
fn a_leaving_endpoint_is_never_used() {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    roster.apply(
        vec![(11, Change::Listed(leaving("a")))],
        Millis(5),
        Millis(5),
    );
    assert_eq!(usable(&roster, 5), ["b"]);
    roster.apply(
        vec![(12, Change::Listed(leaving("b")))],
        Millis(6),
        Millis(6),
    );
    assert!(usable(&roster, 6).is_empty());
}

/// Versions that were given out again were dropped as older ones, and what they listed stayed
/// unknown.
#[test]
fn changes_at_versions_that_a_restored_store_gives_out_again_are_applied() {
    let mut roster = Roster::new(FALLBACK_PERIOD);
    let era = Era::new(1);
    roster.replace(
        vec![endpoint("a")],
        era.stamp(10),
        Millis::ZERO,
        Millis::ZERO,
    );
    let era = Era::new(2);
    let listed = vec![(era.stamp(4), Change::Listed(endpoint("b")))];
    let applied = roster.apply(listed, Millis(5), Millis(5));
    assert_eq!(applied.len(), 1);
    assert_eq!(usable(&roster, 5), ["a", "b"]);
    // What comes late from the era before changes nothing.
    let late = vec![(
        Era::new(1).stamp(12),
        Change::Missing(name::Endpoint::from("b")),
    )];
    assert!(roster.apply(late, Millis(6), Millis(6)).is_empty());
}

/// The copy may be from before the endpoint said that it leaves, and it ends all the same.
#[test]
fn a_leaving_endpoint_does_not_become_ready_by_the_list_of_a_restored_store() {
    let (old, new) = (Era::new(1), Era::new(2));
    let mut roster = Roster::new(FALLBACK_PERIOD);
    roster.replace(
        vec![leaving("a")],
        old.stamp(10),
        Millis::ZERO,
        Millis::ZERO,
    );
    roster.replace(vec![endpoint("a")], new.stamp(7), Millis(5), Millis(5));
    assert!(usable(&roster, 5).is_empty());
    assert_eq!(roster.revision(), new.stamp(7));
    // Nor by the next reader's.
    roster.replace(vec![endpoint("a")], new.stamp(8), Millis(5), Millis(5));
    assert!(usable(&roster, 5).is_empty());
    // What it writes in the new era holds.
    let listed = vec![(new.stamp(9), Change::Listed(endpoint("a")))];
    roster.apply(listed, Millis(6), Millis(6));
    assert_eq!(usable(&roster, 6), ["a"]);
}

/// DRAIN: its row was removed before the store came back from a copy that lists it as ready.
#[test]
fn a_leaving_endpoint_whose_row_was_gone_does_not_become_ready_by_a_restored_list() {
    let (old, new) = (Era::new(1), Era::new(2));
    let mut roster = Roster::new(FALLBACK_PERIOD);
    roster.replace(
        vec![leaving("a")],
        old.stamp(10),
        Millis::ZERO,
        Millis::ZERO,
    );
    let removed = Change::Missing(name::Endpoint::from("a"));
    roster.apply(vec![(old.stamp(11), removed)], Millis(1), Millis(1));
    roster.expire(Millis(2));
    roster.replace(vec![endpoint("a")], new.stamp(7), Millis(5), Millis(5));
    assert!(usable(&roster, 5).is_empty());
    // Nor by the next reader's.
    roster.replace(vec![endpoint("a")], new.stamp(8), Millis(5), Millis(5));
    assert!(usable(&roster, 5).is_empty());
    // What it writes in the new era holds.
    let listed = vec![(new.stamp(9), Change::Listed(endpoint("a")))];
    roster.apply(listed, Millis(6), Millis(6));
    assert_eq!(usable(&roster, 6), ["a"]);
}

/// Where no store came back from a copy, a list tells what holds now.
#[test]
fn an_endpoint_that_has_left_and_is_listed_anew_is_ready() {
    let mut roster = roster(vec![leaving("a")]);
    roster.replace(vec![], 11, Millis(5), Millis(5));
    roster.replace(vec![endpoint("a")], 12, Millis(9), Millis(9));
    assert_eq!(usable(&roster, 9), ["a"]);
}

#[test]
fn a_leaving_endpoint_that_is_unlisted_is_removed() {
    let mut roster = roster(vec![leaving("a")]);
    let removed = Change::Missing(name::Endpoint::from("a"));
    roster.apply(vec![(11, removed)], Millis(5), Millis(5));
    assert!(usable(&roster, 5).is_empty());
    assert!(roster.get(&life("a")).is_none());
}

#[rstest]
#[case::at_once(1, &["b"])]
#[case::while_others_are_ready(1_500, &["b"])]
fn an_unlisted_endpoint_is_not_used_while_others_are_ready(
    #[case] now: u64,
    #[case] expected: &[&str],
) {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    let removed = Change::Missing(name::Endpoint::from("a"));
    roster.apply(vec![(11, removed)], Millis(0), Millis(0));
    assert_eq!(usable(&roster, now), expected);
}

#[test]
fn an_unlisted_endpoint_is_a_fallback_until_it_expires() {
    let mut roster = roster(vec![endpoint("a")]);
    roster.replace(vec![], 11, Millis(0), Millis(0));
    assert_eq!(usable(&roster, 1_599), ["a"]);
    assert!(usable(&roster, 1_600).is_empty());
    assert_eq!(roster.expire(Millis(1_600)), [life("a")]);
}

/// DRAIN: the time began anew at each entry that heard of it late.
#[rstest]
#[case::changes(false)]
#[case::whole_list(true)]
fn a_fallback_expires_for_all_entries_at_the_same_time(#[case] is_whole: bool) {
    let mut first = roster(vec![endpoint("a")]);
    first.apply(
        vec![(11, Change::Missing(name::Endpoint::from("a")))],
        Millis(100),
        Millis(100),
    );
    // Each hears of it from the one before, 800 ms later; the last one never knew the endpoint as
    // missing from a list of its own.
    let mut teller = first;
    for at in [900, 1_700] {
        let mut hearer = roster(vec![endpoint("a")]);
        if is_whole {
            hearer.replace(vec![], 11, Millis(at), Millis(at));
        } else {
            let changes = teller.since(10).unwrap();
            hearer.apply(changes, Millis(at), Millis(at));
        }
        let told: Vec<_> = teller.absences(Millis(at)).collect();
        hearer.merge_absences(&told, Millis(at));
        assert_eq!(usable(&hearer, 1_699), ["a"]);
        assert!(usable(&hearer, 1_700).is_empty());
        teller = hearer;
    }
}

/// What another entry knew of an earlier absence does not concern an endpoint that is listed.
#[test]
fn an_absence_that_is_over_does_not_make_an_endpoint_unusable() {
    let mut roster = roster(vec![endpoint("a")]);
    let over = Absence {
        endpoint: name::Endpoint::from("a"),
        age: Millis(900),
    };
    roster.merge_absences(&[over], Millis(1_000));
    assert_eq!(usable(&roster, 1_000), ["a"]);
    // Nor does its own one.
    roster.replace(vec![], 11, Millis(1_000), Millis(1_000));
    roster.replace(vec![endpoint("a")], 12, Millis(1_500), Millis(1_500));
    roster.replace(vec![], 13, Millis(2_500), Millis(2_500));
    assert_eq!(usable(&roster, 4_000), ["a"]);
    assert_eq!(roster.absences(Millis(4_000)).count(), 1);
    roster.expire(Millis(70_000));
    assert_eq!(roster.absences(Millis(70_000)).count(), 0);
}

/// A list that was current some time ago, as an entry tells that has not asked since.
#[test]
fn a_fallback_expires_counted_from_when_the_list_was_current() {
    let mut roster = roster(vec![endpoint("a")]);
    roster.replace(vec![], 11, Millis(1_000), Millis(1_500));
    assert_eq!(usable(&roster, 2_599), ["a"]);
    assert!(usable(&roster, 2_600).is_empty());
}

#[test]
fn an_endpoint_that_is_listed_again_is_ready() {
    let mut roster = roster(vec![endpoint("a")]);
    roster.replace(vec![], 11, Millis(0), Millis(0));
    let changes = roster.replace(vec![endpoint("a")], 12, Millis(9), Millis(9));
    assert_eq!(changes, [Change::Listed(endpoint("a"))]);
    assert_eq!(usable(&roster, 5_000), ["a"]);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut roster = roster(vec![endpoint("a")]);
    assert!(roster.replace(vec![], 9, Millis(5), Millis(5)).is_empty());
    assert_eq!(usable(&roster, 5), ["a"]);
}

#[test]
fn the_same_list_brings_no_changes() {
    let mut roster = roster(vec![endpoint("a"), leaving("b")]);
    let list = vec![endpoint("a"), leaving("b")];
    assert!(roster.replace(list, 12, Millis(5), Millis(5)).is_empty());
}

#[test]
fn since_returns_only_newer_changes() {
    let mut roster = roster(vec![endpoint("a")]);
    let b = Change::Listed(endpoint("b"));
    let c = Change::Listed(leaving("a"));
    roster.apply(vec![(11, b.clone())], Millis(5), Millis(5));
    roster.apply(vec![(14, c.clone())], Millis(6), Millis(6));
    assert_eq!(roster.since(10), Some(vec![(11, b), (14, c.clone())]));
    assert_eq!(roster.since(12), Some(vec![(14, c)]));
    assert_eq!(roster.since(14), Some(vec![]));
    // The changes that led to the whole list are not known.
    assert_eq!(roster.since(9), None);
}

#[test]
fn a_known_change_is_not_applied_again() {
    let mut roster = roster(vec![endpoint("a")]);
    roster.apply(
        vec![(12, Change::Listed(leaving("a")))],
        Millis(5),
        Millis(5),
    );
    let old = vec![(11, Change::Listed(endpoint("a")))];
    assert!(roster.apply(old, Millis(6), Millis(6)).is_empty());
    assert!(usable(&roster, 6).is_empty());
}

#[test]
fn the_change_history_is_bounded() {
    let mut roster = roster(vec![]);
    for revision in 11..=200 {
        let change = Change::Listed(endpoint(&revision.to_string()));
        roster.apply(vec![(revision, change)], Millis(5), Millis(5));
    }
    assert_eq!(roster.since(10), None);
    assert_eq!(roster.since(136).map(|it| it.len()), Some(64));
}

#[test]
fn a_different_list_of_the_same_revision_gets_a_new_revision() {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    roster.replace(vec![endpoint("a")], 10, Millis(5), Millis(5));
    assert_eq!(roster.revision(), 11);
    roster.replace(vec![endpoint("a")], 11, Millis(6), Millis(6));
    assert_eq!(roster.revision(), 11);
}

/// A list of a source whose positions are so, read when this revision was known.
fn reading(list: Vec<Endpoint>, position: u64, positions: Positions, known: u64) -> Reading {
    Reading {
        list,
        position,
        positions,
        known,
    }
}

/// How an entry heard of changes that a list does not hold yet.
#[derive(Clone, Copy, Debug)]
enum Heard {
    Changes,
    WholeList,
    /// A whole list, and a change after it.
    Both,
}

/// DRAIN: a list that was read from the platform before an endpoint began to leave, and answered after
/// another entry had told of it, made the endpoint ready again.
#[rstest]
fn a_list_that_is_older_than_a_known_change_does_not_undo_it(
    #[values(Heard::Changes, Heard::WholeList, Heard::Both)] heard: Heard,
    #[values(Positions::Complete, Positions::Partial)] positions: Positions,
) {
    let mut roster = Roster::new(Millis(10));
    let all = || vec![endpoint("a"), endpoint("b"), endpoint("c")];
    roster.replace(all(), 5, Millis(0), Millis(0));
    let changes = vec![
        (7, Change::Listed(leaving("a"))),
        (8, Change::Missing(name::Endpoint::from("b"))),
        (9, Change::Listed(endpoint("d"))),
    ];
    let whole = || vec![leaving("a"), endpoint("c")];
    match heard {
        Heard::Changes => {
            roster.apply(changes, Millis(1), Millis(1));
        }
        Heard::WholeList => {
            let list = [whole(), vec![endpoint("d")]].concat();
            roster.replace(list, 9, Millis(1), Millis(1));
        }
        Heard::Both => {
            roster.replace(whole(), 8, Millis(1), Millis(1));
            roster.apply(changes, Millis(1), Millis(1));
        }
    }
    // However often it is answered.
    for _ in 0..2 {
        for position in 4..=6 {
            let read = reading(all(), position, positions, 5);
            assert!(roster.take(read, Millis(2), Millis(2)).is_err());
        }
    }
    assert_eq!(usable(&roster, 2), ["c", "d"]);
    assert_eq!(roster.revision(), 9);
    assert_eq!(roster.age(Millis(2)), Millis(1));
}

/// A number that no change of the source has had was taken for known, and the change that got it was
/// dropped.
#[test]
fn a_list_that_differs_at_its_position_hides_no_later_change() {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    let list = vec![endpoint("a"), endpoint("b"), endpoint("c")];
    let read = reading(list, 10, Positions::Complete, 10);
    let taken = roster.take(read, Millis(5), Millis(5));
    assert_eq!(taken, Err(Stale::Outdated));
    assert_eq!(roster.age(Millis(5)), Millis::ZERO);
    let next = vec![(11, Change::Listed(leaving("a")))];
    assert_eq!(roster.apply(next, Millis(6), Millis(6)).len(), 1);
    assert_eq!(usable(&roster, 6), ["b"]);
}

/// Such a source may list fewer endpoints at a lower position; what was read in sequence holds.
#[test]
fn lists_of_a_source_that_counts_no_removals_are_taken_in_the_order_of_readings() {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    let read = reading(vec![endpoint("a")], 7, Positions::Partial, 10);
    assert!(roster.take(read, Millis(5), Millis(5)).is_ok());
    assert_eq!(usable(&roster, 5), ["a"]);
    assert_eq!(roster.revision(), 11);
    let read = reading(vec![endpoint("b")], 7, Positions::Partial, 10);
    let taken = roster.take(read, Millis(6), Millis(6));
    assert_eq!(taken, Err(Stale::Unordered));
    assert_eq!(usable(&roster, 6), ["a"]);
}

fn starts(roster: &Roster) -> Vec<Option<Millis>> {
    let usable = roster.usable("engines", &Evacuation::default(), Millis(5));
    usable.iter().map(|it| it.life.started_unix).collect()
}

pub fn row(endpoint: &Endpoint) -> Change {
    Change::Listed(endpoint.clone())
}

/// Applies rows as the feed delivers them, each with a newer revision than the one before.
fn feed(roster: &mut Roster, rows: &[Change]) {
    let revisions = roster.revision() + 1..;
    let changes = revisions.zip(rows.iter().cloned()).collect();
    roster.apply(changes, Millis(5), Millis(5));
}

#[rstest]
#[case::by_feed(false)]
#[case::by_list(true)]
fn a_later_life_replaces_the_earlier_one(#[case] by_list: bool) {
    let (first, second) = (started("a", 100), started("a", 200));
    let mut roster = roster(vec![first.clone()]);
    if by_list {
        roster.replace(vec![second.clone()], 11, Millis(5), Millis(5));
    } else {
        feed(&mut roster, &[row(&second)]);
    }
    assert_eq!(starts(&roster), [Some(Millis(200))]);
    assert!(roster.get(&first.life).is_none());
    assert_eq!(roster.get(&second.life), Some(&second));
    // The earlier life is returned as ended, once.
    assert_eq!(roster.expire(Millis(6)), [first.life]);
    assert!(roster.expire(Millis(7)).is_empty());
}

#[test]
fn a_row_of_an_earlier_life_is_held_unconfirmed() {
    let (earlier, later) = (started("a", 100), started("a", 200));
    let mut by_feed = roster(vec![later.clone()]);
    let received = vec![(11, row(&earlier))];
    assert!(by_feed.apply(received, Millis(5), Millis(5)).is_empty());
    // The revision advances nevertheless, also for entries that fetch from this one.
    assert_eq!(by_feed.revision(), 11);
    assert_eq!(by_feed.since(10), Some(vec![(11, row(&earlier))]));
    let mut by_list = roster(vec![later.clone()]);
    let changes = by_list.replace(vec![earlier], 11, Millis(5), Millis(5));
    assert!(changes.is_empty(), "{changes:?}");
    for roster in [&mut by_feed, &mut by_list] {
        assert_eq!(roster.get(&later.life), Some(&later));
        assert_eq!(starts(roster), [Some(Millis(200))]);
        assert!(roster.expire(Millis(6)).is_empty());
    }
}

#[test]
fn a_row_of_an_earlier_life_does_not_replace_an_unlisted_one() {
    let mut roster = roster(vec![started("a", 200)]);
    let removed = Change::Missing(name::Endpoint::from("a"));
    feed(&mut roster, &[removed, row(&started("a", 100))]);
    assert_eq!(starts(&roster), [Some(Millis(200))]);
}

#[test]
fn removing_a_row_removes_whichever_life_is_known() {
    let later = Endpoint {
        leaving: true,
        ..started("a", 200)
    };
    let mut roster = roster(vec![started("a", 100)]);
    let removed = Change::Missing(name::Endpoint::from("a"));
    feed(&mut roster, &[row(&later), removed]);
    assert!(roster.get(&later.life).is_none());
    assert_eq!(
        roster.expire(Millis(6)),
        [started("a", 100).life, later.life]
    );
}

#[test]
fn a_row_without_a_start_is_always_accepted() {
    let mut roster = roster(vec![started("a", 200)]);
    feed(&mut roster, &[row(&endpoint("a"))]);
    assert_eq!(starts(&roster), [None]);
    // It does not make an earlier start acceptable again.
    feed(&mut roster, &[row(&started("a", 100))]);
    assert_eq!(starts(&roster), [None]);
    feed(&mut roster, &[row(&started("a", 200))]);
    assert_eq!(starts(&roster), [Some(Millis(200))]);
}

#[test]
fn a_row_without_a_start_can_be_deserialized() {
    let mut written = serde_json::to_value(endpoint("a")).unwrap();
    written.as_object_mut().unwrap().remove("started_unix");
    let read: Endpoint = serde_json::from_value(written).unwrap();
    assert_eq!(read, endpoint("a"));
    let written = serde_json::to_value(started("a", 200)).unwrap();
    let read: Endpoint = serde_json::from_value(written).unwrap();
    assert_eq!(read, started("a", 200));
}

/// How an entry receives rows.
#[derive(Clone, Copy, Debug)]
enum Source {
    List,
    Feed,
    /// Another entry's changes, of a revision that may be known already.
    Entry(u64),
}

fn source() -> impl Strategy<Value = Source> {
    prop_oneof![
        Just(Source::List),
        Just(Source::Feed),
        (0_u64..20).prop_map(Source::Entry)
    ]
}

proptest! {
    /// Rows of several lives arrive in any order, from any source. The known start of a name never
    /// decreases, the last known life is the latest one received, and each replaced life is
    /// returned as ended.
    #[test]
    fn no_update_order_restores_an_earlier_life(
        updates in proptest::collection::vec((1_u64..6, any::<bool>(), source()), 1..40),
    ) {
        let mut roster = roster(vec![]);
        let mut latest = None;
        for (start, leaving, source) in updates {
            let received = Endpoint { leaving, ..started("a", start) };
            let known = roster.revision();
            let lives = || (0..6).map(|it| started("a", it).life);
            let before = lives().find(|it| roster.get(it).is_some());
            let revision = match source {
                Source::List | Source::Feed => known + 1,
                Source::Entry(revision) => revision,
            };
            match source {
                Source::List => {
                    roster.replace(vec![received], revision, Millis(5), Millis(5));
                }
                Source::Feed | Source::Entry(_) => {
                    roster.apply(vec![(revision, row(&received))], Millis(5), Millis(5));
                }
            }
            if revision > known {
                latest = latest.max(Some(Millis(start)));
            }
            let now = lives().find(|it| roster.get(it).is_some());
            prop_assert_eq!(now.as_ref().and_then(|it| it.started_unix), latest);
            let ended = roster.expire(Millis(5));
            let replaced = before.filter(|it| now.as_ref() != Some(it));
            prop_assert_eq!(ended, Vec::from_iter(replaced));
        }
    }

    /// Entries that receive the same rows in different orders know the same life.
    #[test]
    fn the_latest_life_wins_in_any_order(
        starts in Just((1_u64..8).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut roster = roster(vec![]);
        let rows: Vec<_> = starts.iter().map(|it| row(&started("a", *it))).collect();
        feed(&mut roster, &rows);
        let latest = started("a", 7);
        prop_assert_eq!(roster.get(&latest.life), Some(&latest));
        prop_assert_eq!(roster.expire(Millis(5)).len(), starts.iter().position(|it| *it == 7)
            .map_or(0, |place| new_maxima(&starts[..=place])));
    }
}

/// How often a start is later than all before it, not counting the first one.
fn new_maxima(starts: &[u64]) -> usize {
    let new_maxima =
        (1..starts.len()).filter(|it| starts[..*it].iter().all(|one| one < &starts[*it]));
    new_maxima.count()
}

/// An endpoint whose clock was set back reports an earlier start for as long as it lives, while a
/// late write of an earlier life occurs once. After some seconds all entries know the same life,
/// whether or not they knew the later start.
#[test]
fn an_earlier_start_is_accepted_after_the_confirmation_delay() {
    let set_back = || started("a", 100);
    let mut knew_later = roster(vec![started("a", 200)]);
    knew_later.replace(vec![set_back()], 11, Millis(5), Millis(5));
    assert_eq!(starts(&knew_later), [Some(Millis(200))]);
    knew_later.expire(Millis(10_000));
    let mut fresh = Roster::new(FALLBACK_PERIOD);
    fresh.replace(vec![set_back()], 11, Millis(5), Millis(5));
    assert_eq!(starts(&knew_later), [Some(Millis(100))]);
    assert_eq!(starts(&knew_later), starts(&fresh));
}

#[test]
fn a_late_write_of_an_earlier_life_is_corrected_by_the_next_write() {
    let mut roster = roster(vec![started("a", 200)]);
    feed(
        &mut roster,
        &[row(&started("a", 100)), row(&started("a", 200))],
    );
    roster.expire(Millis(10_000));
    assert_eq!(starts(&roster), [Some(Millis(200))]);
}

/// A row that is leaving takes effect whatever its start is.
#[test]
fn an_endpoint_whose_clock_was_set_back_can_leave() {
    let mut roster = roster(vec![started("a", 200)]);
    let leaving = Endpoint {
        leaving: true,
        ..started("a", 100)
    };
    feed(&mut roster, &[row(&started("a", 100)), row(&leaving)]);
    assert!(usable(&roster, 5).is_empty());
}

/// Some entries see a gap in which the endpoint was not listed as two changes, and others as one
/// list.
#[test]
fn entries_agree_after_a_gap_that_one_of_them_missed() {
    let removed = || Change::Missing(name::Endpoint::from("a"));
    let relisted = started("a", 100);
    let mut quick = roster(vec![started("a", 200)]);
    quick.apply(vec![(11, removed())], Millis(5), Millis(5));
    quick.expire(Millis(10_000));
    quick.apply(vec![(12, row(&relisted))], Millis(10_000), Millis(10_000));
    let mut slow = roster(vec![started("a", 200)]);
    let received = quick.since(10).unwrap();
    slow.apply(received, Millis(10_000), Millis(10_000));
    slow.expire(Millis(20_000));
    assert_eq!(quick.revision(), slow.revision());
    assert_eq!(starts(&quick), [Some(Millis(100))]);
    assert_eq!(starts(&slow), starts(&quick));
}

/// An endpoint at whose address another one answers is not used until its row changes, or for some
/// seconds.
#[rstest]
#[case::at_once(endpoint("a"), 10, &["b"])]
#[case::long_after(endpoint("a"), 20_000, &["a", "b"])]
#[case::listed_in_another_life(started("a", 100), 10, &["a", "b"])]
fn an_endpoint_whose_address_was_reused_is_not_used(
    #[case] listed: Endpoint,
    #[case] now: u64,
    #[case] expected: &[&str],
) {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    roster.mark_address_reused(&endpoint("a"), Millis(5));
    feed(&mut roster, &[row(&listed)]);
    assert_eq!(usable(&roster, now), expected);
}

/// Hundreds of endpoints of a large list are replaced at once. An entry that lacks this update
/// receives the changes instead of the whole list.
#[rstest]
#[case(1_000)]
#[case(10_000)]
#[case(20_000)]
fn large_updates_are_sent_as_changes(#[case] count: usize) {
    let names: Vec<_> = (0..count).map(|at| format!("e{at}")).collect();
    let list = names.iter().map(|name| endpoint(name));
    let mut roster = roster(list.collect());
    let replaced = names.iter().take(count / 8).zip(0..);
    let changes = replaced.flat_map(|(name, at)| {
        let removed = Change::Missing(name::Endpoint::from(name.as_str()));
        let added = Change::Listed(endpoint(&format!("new-{at}")));
        [(20 + 2 * at, removed), (21 + 2 * at, added)]
    });
    roster.apply(changes.collect(), Millis(5), Millis(5));
    let received = roster.since(10).map(|it| it.len());
    assert_eq!(received, Some(count / 8 * 2));
}
