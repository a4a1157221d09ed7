//! Which endpoints may be sent to.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::roster::{Change, Endpoint};
use woodgap_core::relay::{Evacuation, Roster};

pub const RESERVE: Millis = Millis(1_600);

/// One whose start is not known.
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
    }
}

/// One that started at this moment.
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
    let mut roster = Roster::new(RESERVE);
    roster.replace(list, 10, Millis(0), Millis(0));
    roster
}

fn usable(roster: &Roster, now: u64) -> Vec<&str> {
    let usable = roster.usable("engines", &Evacuation::default(), Millis(now));
    usable.iter().map(|it| it.life.id.as_str()).collect()
}

#[test]
fn one_that_leaves_is_never_used() {
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

#[test]
fn one_that_left_and_is_no_longer_listed_does_not_come_back() {
    let mut roster = roster(vec![leaving("a")]);
    let gone = Change::Missing(name::Endpoint::from("a"));
    roster.apply(vec![(11, gone)], Millis(5), Millis(5));
    assert!(usable(&roster, 5).is_empty());
    assert!(roster.get(&life("a")).is_none());
}

#[rstest]
#[case::at_once(1, &["b"])]
#[case::while_others_are_ready(1_500, &["b"])]
fn a_missing_one_is_kept_in_reserve(#[case] now: u64, #[case] left: &[&str]) {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    let gone = Change::Missing(name::Endpoint::from("a"));
    roster.apply(vec![(11, gone)], Millis(0), Millis(0));
    assert_eq!(usable(&roster, now), left);
}

#[test]
fn the_reserve_serves_while_none_is_ready_and_not_for_long() {
    let mut roster = roster(vec![endpoint("a")]);
    roster.replace(vec![], 11, Millis(0), Millis(0));
    assert_eq!(usable(&roster, 1_599), ["a"]);
    assert!(usable(&roster, 1_600).is_empty());
    assert_eq!(roster.expire(Millis(1_600)), [life("a")]);
}

#[test]
fn one_that_is_listed_again_is_ready() {
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
fn an_entry_that_lacks_only_the_latest_changes_gets_just_these() {
    let mut roster = roster(vec![endpoint("a")]);
    let b = Change::Listed(endpoint("b"));
    let c = Change::Listed(leaving("a"));
    roster.apply(vec![(11, b.clone())], Millis(5), Millis(5));
    roster.apply(vec![(14, c.clone())], Millis(6), Millis(6));
    assert_eq!(roster.since(10), Some(vec![(11, b), (14, c.clone())]));
    assert_eq!(roster.since(12), Some(vec![(14, c)]));
    assert_eq!(roster.since(14), Some(vec![]));
    // What led to the whole list is not known.
    assert_eq!(roster.since(9), None);
}

#[test]
fn a_change_that_is_known_is_not_taken_again() {
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
fn many_changes_are_not_all_kept() {
    let mut roster = roster(vec![]);
    for revision in 11..=200 {
        let change = Change::Listed(endpoint(&revision.to_string()));
        roster.apply(vec![(revision, change)], Millis(5), Millis(5));
    }
    assert_eq!(roster.since(10), None);
    assert_eq!(roster.since(136).map(|it| it.len()), Some(64));
}

#[test]
fn another_list_of_the_same_revision_is_told_as_a_newer_one() {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    roster.replace(vec![endpoint("a")], 10, Millis(5), Millis(5));
    assert_eq!(roster.revision(), 11);
    roster.replace(vec![endpoint("a")], 11, Millis(6), Millis(6));
    assert_eq!(roster.revision(), 11);
}

fn starts(roster: &Roster) -> Vec<Option<Millis>> {
    let usable = roster.usable("engines", &Evacuation::default(), Millis(5));
    usable.iter().map(|it| it.life.started_unix).collect()
}

pub fn row(endpoint: &Endpoint) -> Change {
    Change::Listed(endpoint.clone())
}

/// Takes rows as the feed brings them, each newer than the one before.
fn feed(roster: &mut Roster, rows: &[Change]) {
    let revisions = roster.revision() + 1..;
    let changes = revisions.zip(rows.iter().cloned()).collect();
    roster.apply(changes, Millis(5), Millis(5));
}

#[rstest]
#[case::by_feed(false)]
#[case::by_list(true)]
fn a_later_life_takes_the_place_of_the_earlier_one(#[case] by_list: bool) {
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
    // What is kept of the earlier life is to be forgotten, once.
    assert_eq!(roster.expire(Millis(6)), [first.life]);
    assert!(roster.expire(Millis(7)).is_empty());
}

#[test]
fn a_row_of_an_earlier_life_changes_nothing_at_first() {
    let (earlier, later) = (started("a", 100), started("a", 200));
    let mut by_feed = roster(vec![later.clone()]);
    let told = vec![(11, row(&earlier))];
    assert!(by_feed.apply(told, Millis(5), Millis(5)).is_empty());
    // The feed goes on from there all the same, also for entries that ask this one.
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
fn a_row_of_a_missing_life_does_not_bring_an_earlier_one_back() {
    let mut roster = roster(vec![started("a", 200)]);
    let gone = Change::Missing(name::Endpoint::from("a"));
    feed(&mut roster, &[gone, row(&started("a", 100))]);
    assert_eq!(starts(&roster), [Some(Millis(200))]);
}

#[test]
fn the_end_of_a_row_ends_whichever_life_is_known() {
    let later = Endpoint {
        leaving: true,
        ..started("a", 200)
    };
    let mut roster = roster(vec![started("a", 100)]);
    let gone = Change::Missing(name::Endpoint::from("a"));
    feed(&mut roster, &[row(&later), gone]);
    assert!(roster.get(&later.life).is_none());
    assert_eq!(
        roster.expire(Millis(6)),
        [started("a", 100).life, later.life]
    );
}

#[test]
fn a_row_without_a_start_is_taken_as_it_comes() {
    let mut roster = roster(vec![started("a", 200)]);
    feed(&mut roster, &[row(&endpoint("a"))]);
    assert_eq!(starts(&roster), [None]);
    // It does not make an earlier start good again.
    feed(&mut roster, &[row(&started("a", 100))]);
    assert_eq!(starts(&roster), [None]);
    feed(&mut roster, &[row(&started("a", 200))]);
    assert_eq!(starts(&roster), [Some(Millis(200))]);
}

#[test]
fn a_row_without_a_start_reads_as_before() {
    let mut written = serde_json::to_value(endpoint("a")).unwrap();
    written.as_object_mut().unwrap().remove("started_unix");
    let read: Endpoint = serde_json::from_value(written).unwrap();
    assert_eq!(read, endpoint("a"));
    let written = serde_json::to_value(started("a", 200)).unwrap();
    let read: Endpoint = serde_json::from_value(written).unwrap();
    assert_eq!(read, started("a", 200));
}

/// How rows reach an entry.
#[derive(Clone, Copy, Debug)]
enum Way {
    List,
    Feed,
    /// Another entry's changes, of a revision that may be known already.
    Entry(u64),
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        Just(Way::List),
        Just(Way::Feed),
        (0_u64..20).prop_map(Way::Entry)
    ]
}

proptest! {
    /// Rows of several lives in any order, by any way: the start that is known of a name
    /// never falls, the last life to be known is the latest one told, and each life that
    /// another one replaced is given back to be forgotten.
    #[test]
    fn no_order_of_news_brings_an_earlier_life_back(
        news in proptest::collection::vec((1_u64..6, any::<bool>(), way()), 1..40),
    ) {
        let mut roster = roster(vec![]);
        let mut latest = None;
        for (start, leaving, way) in news {
            let told = Endpoint { leaving, ..started("a", start) };
            let known = roster.revision();
            let lives = || (0..6).map(|it| started("a", it).life);
            let before = lives().find(|it| roster.get(it).is_some());
            let revision = match way {
                Way::List | Way::Feed => known + 1,
                Way::Entry(revision) => revision,
            };
            match way {
                Way::List => {
                    roster.replace(vec![told], revision, Millis(5), Millis(5));
                }
                Way::Feed | Way::Entry(_) => {
                    roster.apply(vec![(revision, row(&told))], Millis(5), Millis(5));
                }
            }
            if revision > known {
                latest = latest.max(Some(Millis(start)));
            }
            let now = lives().find(|it| roster.get(it).is_some());
            prop_assert_eq!(now.as_ref().and_then(|it| it.started_unix), latest);
            let gone = roster.expire(Millis(5));
            let replaced = before.filter(|it| now.as_ref() != Some(it));
            prop_assert_eq!(gone, Vec::from_iter(replaced));
        }
    }

    /// Two entries that heard the same rows in different orders know the same life.
    #[test]
    fn entries_agree_on_the_life_whatever_the_order(
        starts in Just((1_u64..8).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut roster = roster(vec![]);
        let rows: Vec<_> = starts.iter().map(|it| row(&started("a", *it))).collect();
        feed(&mut roster, &rows);
        let latest = started("a", 7);
        prop_assert_eq!(roster.get(&latest.life), Some(&latest));
        prop_assert_eq!(roster.expire(Millis(5)).len(), starts.iter().position(|it| *it == 7)
            .map_or(0, |place| rises(&starts[..=place])));
    }
}

/// How often a start follows that is later than all before it, after the first.
fn rises(starts: &[u64]) -> usize {
    let rises = (1..starts.len()).filter(|it| starts[..*it].iter().all(|one| one < &starts[*it]));
    rises.count()
}

/// An endpoint whose clock was set back tells of an earlier start for as long as it lives, and
/// a late write of the life before does so once: after some seconds all entries hold the same,
/// also one that knew the later start and one that did not.
#[test]
fn an_earlier_start_that_stands_is_taken() {
    let back = || started("a", 100);
    let mut long = roster(vec![started("a", 200)]);
    long.replace(vec![back()], 11, Millis(5), Millis(5));
    assert_eq!(starts(&long), [Some(Millis(200))]);
    long.expire(Millis(10_000));
    let mut new = Roster::new(RESERVE);
    new.replace(vec![back()], 11, Millis(5), Millis(5));
    assert_eq!(starts(&long), [Some(Millis(100))]);
    assert_eq!(starts(&long), starts(&new));
}

#[test]
fn a_late_write_of_the_life_before_is_corrected_by_the_next_one() {
    let mut roster = roster(vec![started("a", 200)]);
    feed(
        &mut roster,
        &[row(&started("a", 100)), row(&started("a", 200))],
    );
    roster.expire(Millis(10_000));
    assert_eq!(starts(&roster), [Some(Millis(200))]);
}

/// Whatever its start, what says that it leaves gets nothing more.
#[test]
fn one_whose_clock_was_set_back_can_leave() {
    let mut roster = roster(vec![started("a", 200)]);
    let leaving = Endpoint {
        leaving: true,
        ..started("a", 100)
    };
    feed(&mut roster, &[row(&started("a", 100)), row(&leaving)]);
    assert!(usable(&roster, 5).is_empty());
}

/// A gap in which the endpoint was not listed is heard of by some entries as two changes, and
/// by others as one list.
#[test]
fn entries_agree_after_a_gap_that_one_of_them_did_not_live_through() {
    let gone = || Change::Missing(name::Endpoint::from("a"));
    let again = started("a", 100);
    let mut quick = roster(vec![started("a", 200)]);
    quick.apply(vec![(11, gone())], Millis(5), Millis(5));
    quick.expire(Millis(10_000));
    quick.apply(vec![(12, row(&again))], Millis(10_000), Millis(10_000));
    let mut slow = roster(vec![started("a", 200)]);
    let told = quick.since(10).unwrap();
    slow.apply(told, Millis(10_000), Millis(10_000));
    slow.expire(Millis(20_000));
    assert_eq!(quick.revision(), slow.revision());
    assert_eq!(starts(&quick), [Some(Millis(100))]);
    assert_eq!(starts(&slow), starts(&quick));
}

/// Where another endpoint answers at its address, one is not used until its row changes, or
/// for some seconds.
#[rstest]
#[case::at_once(endpoint("a"), 10, &["b"])]
#[case::long_after(endpoint("a"), 20_000, &["a", "b"])]
#[case::listed_in_another_life(started("a", 100), 10, &["a", "b"])]
fn one_whose_address_is_anothers_is_not_used(
    #[case] listed: Endpoint,
    #[case] now: u64,
    #[case] expected: &[&str],
) {
    let mut roster = roster(vec![endpoint("a"), endpoint("b")]);
    roster.mark_address_reused(&endpoint("a"), Millis(5));
    feed(&mut roster, &[row(&listed)]);
    assert_eq!(usable(&roster, now), expected);
}

/// Hundreds of endpoints of a large list are replaced at once: whoever lacks that gets the
/// differences, and not the whole list anew.
#[rstest]
#[case(1_000)]
#[case(10_000)]
#[case(20_000)]
fn many_changes_of_a_large_list_are_told_as_differences(#[case] count: usize) {
    let names: Vec<_> = (0..count).map(|at| format!("e{at}")).collect();
    let list = names.iter().map(|name| endpoint(name));
    let mut roster = roster(list.collect());
    let replaced = names.iter().take(count / 8).zip(0..);
    let changes = replaced.flat_map(|(name, at)| {
        let gone = Change::Missing(name::Endpoint::from(name.as_str()));
        let new = Change::Listed(endpoint(&format!("new-{at}")));
        [(20 + 2 * at, gone), (21 + 2 * at, new)]
    });
    roster.apply(changes.collect(), Millis(5), Millis(5));
    let told = roster.since(10).map(|it| it.len());
    assert_eq!(told, Some(count / 8 * 2));
}
