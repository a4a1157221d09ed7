//! Which endpoints may be sent to.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::Roster;
use woodgap_core::relay::roster::{Change, Endpoint};

const RESERVE: Millis = Millis(1_600);

pub fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: name::Endpoint::from(name),
        service: "engines".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: name::DataCentre::from("dub-a"),
        slots: 64,
        leaving: false,
    }
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
    let usable = roster.usable("engines", Millis(now));
    usable.iter().map(|it| it.name.as_str()).collect()
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
    assert!(roster.get("a").is_none());
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
    assert_eq!(roster.expire(Millis(1_600)), [name::Endpoint::from("a")]);
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
