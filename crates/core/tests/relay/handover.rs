//! Which entry a request is handed to, and how much an entry takes of others.

use std::collections::BTreeMap;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::handover::{Handovers, MAX_ENTRIES, Request};

const NOW: Millis = Millis(10_000);

fn member(name: &str, data_centre: &str, reaches_endpoints: bool) -> Member {
    Member {
        name: name::Entry::from(name),
        incarnation: name::Incarnation(1),
        peer: "10.0.0.1:1".parse().unwrap(),
        front: "10.0.0.1:2".parse().unwrap(),
        data_centre: name::DataCentre::from(data_centre),
        stopping: false,
        ready: true,
        reaches_platform: true,
        reaches_endpoints,
    }
}

fn choose(handovers: &Handovers, live: &[Member], tried: &[name::Entry]) -> Option<String> {
    let own = name::DataCentre::from("dub-a");
    let request = Request {
        service: "links",
        tried,
        data_centre: &own,
        seed: 1,
    };
    let chosen = handovers.choose(live.iter(), &request, NOW);
    chosen.map(|member| member.name.to_string())
}

#[rstest]
#[case::none(&[], None)]
#[case::isolated_too(&[("a-2", "dub-a", false)], None)]
#[case::nearby_first(&[("b-1", "dub-b", true), ("a-2", "dub-a", true)], Some("a-2"))]
#[case::far_if_none_is_near(&[("a-2", "dub-a", false), ("b-1", "dub-b", true)], Some("b-1"))]
fn an_entry_that_reaches_endpoints_is_chosen(
    #[case] live: &[(&str, &str, bool)],
    #[case] chosen: Option<&str>,
) {
    let live: Vec<_> = live
        .iter()
        .map(|(name, place, reaches)| member(name, place, *reaches))
        .collect();
    let handovers = Handovers::new(100);
    assert_eq!(choose(&handovers, &live, &[]).as_deref(), chosen);
}

/// Else a data centre that has lost its links ends the one entry nearby that has some.
#[test]
fn requests_are_spread_by_how_many_each_entry_has() {
    let live = [
        member("a-2", "dub-a", true),
        member("b-1", "dub-b", true),
        member("b-2", "dub-b", true),
    ];
    let mut handovers = Handovers::new(100);
    let mut handed = BTreeMap::new();
    for _ in 0..30 {
        let chosen = choose(&handovers, &live, &[]).unwrap();
        handovers.begin(&name::Entry::from(chosen.as_str()));
        *handed.entry(chosen).or_insert(0) += 1;
    }
    // The one nearby is ahead by four.
    assert!(handed["b-1"] >= 8 && handed["b-2"] >= 8, "{handed:?}");
}

#[test]
fn few_entries_are_asked_for_a_request() {
    let live: Vec<_> = (0..9)
        .map(|at| member(&format!("a-{at}"), "dub-a", true))
        .collect();
    let handovers = Handovers::new(100);
    let mut tried = Vec::new();
    while let Some(chosen) = choose(&handovers, &live, &tried) {
        tried.push(name::Entry::from(chosen));
    }
    assert_eq!(tried.len(), MAX_ENTRIES);
}

/// Where a service has failed for all, its requests would cost all entries.
#[test]
fn a_service_that_several_entries_turn_away_is_not_handed_over() {
    let live: Vec<_> = (0..9)
        .map(|at| member(&format!("a-{at}"), "dub-a", true))
        .collect();
    let mut handovers = Handovers::new(100);
    for at in 0..3 {
        assert!(choose(&handovers, &live, &[]).is_some());
        handovers.record_refusal(&name::Entry::from(format!("a-{at}")), "links", NOW);
    }
    assert_eq!(choose(&handovers, &live, &[]), None);
}

/// Else each request waits for a connection to an entry whose machine is lost.
#[test]
fn an_entry_that_could_not_be_connected_to_is_not_asked_again_at_once() {
    let live = [member("a-2", "dub-a", true), member("b-1", "dub-b", true)];
    let mut handovers = Handovers::new(100);
    handovers.record_unreachable(&live[0].name, NOW);
    assert_eq!(choose(&handovers, &live, &[]).as_deref(), Some("b-1"));
    let earlier = Millis(NOW.0 - 500);
    let mut handovers = Handovers::new(100);
    handovers.record_unreachable(&live[0].name, earlier);
    assert_eq!(choose(&handovers, &live, &[]).as_deref(), Some("a-2"));
}

#[test]
fn what_is_taken_is_bounded_in_bytes() {
    let mut handovers = Handovers::new(100);
    let mebibyte = 1024 * 1024;
    let taken = (0..20).filter(|_| handovers.accept(mebibyte)).count();
    assert_eq!(taken, 8);
    handovers.finish(mebibyte);
    assert!(handovers.accept(mebibyte));
}
