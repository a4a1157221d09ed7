//! What an entry knows of the others.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::{FANOUT, Fleet, Member};

const ROUND: Millis = Millis(400);

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name::Entry::from(name),
        incarnation: name::Incarnation(incarnation),
        peer: "10.0.0.1:70".parse().unwrap(),
        front: "10.0.0.1:80".parse().unwrap(),
        data_centre: name::DataCentre::from("dub-a"),
        stopping: false,
        ready: true,
        reaches_platform: true,
    }
}

fn live(fleet: &Fleet, now: u64) -> Vec<String> {
    let live = fleet.live(Millis(now));
    live.map(|member| member.name.to_string()).collect()
}

fn fleet() -> Fleet {
    Fleet::new(
        name::Entry::from("own"),
        name::DataCentre::from("dub-a"),
        ROUND,
    )
}

#[rstest]
#[case::just_heard(0, true)]
#[case::one_round_missed(500, true)]
#[case::three_rounds_missed(1_200, false)]
fn a_silent_entry_is_taken_off(#[case] after: u64, #[case] is_live: bool) {
    let mut fleet = fleet();
    assert!(fleet.record_contact(member("a", 1), Millis(0)));
    assert_eq!(!live(&fleet, after).is_empty(), is_live);
}

#[test]
fn hearsay_makes_an_entry_known_but_not_live() {
    let mut fleet = fleet();
    fleet.record_gossip(member("a", 1), Millis(0));
    assert!(live(&fleet, 0).is_empty());
    assert_eq!(fleet.gossip_targets(Millis(0)).len(), 1);
}

#[test]
fn one_that_stops_is_not_listed() {
    let mut fleet = fleet();
    let stopping = Member {
        stopping: true,
        ..member("a", 1)
    };
    fleet.record_contact(stopping, Millis(0));
    assert!(live(&fleet, 0).is_empty());
}

#[test]
fn the_own_entry_is_no_other() {
    let mut fleet = fleet();
    assert!(!fleet.record_contact(member("own", 1), Millis(0)));
    fleet.record_gossip(member("own", 9), Millis(0));
    assert_eq!(fleet.size(), 1);
}

#[test]
fn one_that_is_gone_for_long_is_forgotten() {
    let mut fleet = fleet();
    fleet.record_contact(member("a", 1), Millis(0));
    assert!(fleet.gossip_targets(Millis(60_000)).is_empty());
    assert_eq!(fleet.size(), 1);
}

#[test]
fn all_of_a_large_fleet_are_asked_in_turns() {
    let mut fleet = fleet();
    for index in 0..80_u16 {
        let peer = ([10, 0, 0, 1], 7_000 + index).into();
        let member = Member {
            peer,
            ..member(&format!("e{index}"), 1)
        };
        fleet.record_contact(member, Millis(0));
    }
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..80_usize.div_ceil(FANOUT) {
        let round = fleet.gossip_targets(Millis(1));
        assert_eq!(round.len(), FANOUT);
        asked.extend(round);
    }
    assert_eq!(asked.len(), 80);
    // The more there are, the longer each may be silent.
    assert_eq!(live(&fleet, 5_000).len(), 80);
}

#[test]
fn an_entry_that_the_platform_turns_away_leaves_its_rank_to_the_next() {
    let mut fleet = fleet();
    for name in ["a", "b", "z"] {
        fleet.record_contact(member(name, 1), Millis(0));
    }
    assert_eq!(fleet.rank(true, Millis(0)), 2);
    let turned_away = Member {
        reaches_platform: false,
        ..member("a", 1)
    };
    fleet.record_contact(turned_away, Millis(0));
    assert_eq!(fleet.rank(true, Millis(0)), 1);
    // One that is silent leaves its rank as well.
    assert_eq!(fleet.rank(true, Millis(2_000)), 0);
}

#[test]
fn those_that_the_platform_turns_away_share_its_trial_by_name() {
    let mut fleet = fleet();
    for (name, reaches_platform) in [("a", false), ("b", true), ("z", false)] {
        let member = Member {
            reaches_platform,
            ..member(name, 1)
        };
        fleet.record_contact(member, Millis(0));
    }
    assert_eq!(fleet.rank(true, Millis(0)), 1);
    assert_eq!(fleet.rank(false, Millis(0)), 2);
}

#[rstest]
#[case::a_small_fleet(5, 5)]
#[case::some_of_a_large_one(294, 35)]
fn how_many_are_within_reach_follows_from_those_that_are_heard(
    #[case] others: u16,
    #[case] heard: u16,
) {
    let mut fleet = fleet();
    for index in 0..others {
        fleet.record_gossip(member(&format!("e{index}"), 1), Millis(0));
    }
    for index in 0..heard {
        fleet.record_contact(member(&format!("e{index}"), 1), Millis(0));
    }
    let peers = fleet.estimate_reachable(Millis(500));
    let others = usize::from(others);
    assert!(peers.abs_diff(others) <= others / 20, "{peers}");
    assert_eq!(fleet.estimate_reachable(Millis(3_000)), 0);
}

fn in_data_centre(name: &str, data_centre: &str, port: u16) -> Member {
    Member {
        data_centre: name::DataCentre::from(data_centre),
        peer: ([10, 0, 0, 1], port).into(),
        ..member(name, 1)
    }
}

/// A fleet of 295 in five data centres: who ends nearby is noticed within 5 s, and few
/// messages leave the data centre.
#[test]
fn those_of_the_own_data_centre_are_asked_most() {
    let mut fleet = fleet();
    for index in 0..294_u16 {
        let data_centre = ["dub-a", "dub-b", "dub-c", "dub-d", "dub-e"][usize::from(index % 5)];
        fleet.record_contact(
            in_data_centre(&format!("e{index:03}"), data_centre, index),
            Millis(0),
        );
    }
    let rounds: Vec<_> = (0..60).map(|_| fleet.gossip_targets(Millis(1))).collect();
    let far = rounds.iter().flatten().filter(|it| it.port() % 5 != 0);
    assert_eq!(far.count(), 60);
    assert!(rounds.iter().all(|round| round.len() == FANOUT));
    let is_live = |fleet: &Fleet, name: &str, now| {
        let name = name::Entry::from(name);
        fleet.live(Millis(now)).any(|member| member.name == name)
    };
    // Rounds of 400 ms here, of 300 in the relay.
    assert!(is_live(&fleet, "e000", 5_000));
    assert!(!is_live(&fleet, "e000", 5_700));
    assert!(is_live(&fleet, "e001", 60_000));
}

/// After a start, all of a data centre of 59 are asked within a few rounds.
#[test]
fn entries_that_were_never_heard_are_asked_beside_the_others() {
    let mut fleet = fleet();
    for index in 0..58_u16 {
        fleet.record_gossip(
            in_data_centre(&format!("e{index:02}"), "dub-a", index),
            Millis(0),
        );
    }
    let mut rounds = 0;
    while fleet.live(Millis(0)).count() < 58 {
        rounds += 1;
        for address in fleet.gossip_targets(Millis(0)) {
            let index = address.port();
            fleet.record_contact(
                in_data_centre(&format!("e{index:02}"), "dub-a", index),
                Millis(0),
            );
        }
    }
    assert!(rounds <= 8, "{rounds}");
}

#[test]
fn one_that_knows_few_others_is_a_newcomer() {
    let mut fleet = fleet();
    for index in 0..10_u16 {
        fleet.record_contact(
            in_data_centre(&format!("e{index}"), "dub-a", index),
            Millis(0),
        );
    }
    assert!(fleet.is_newcomer(7, Millis(0)));
    assert!(!fleet.is_newcomer(8, Millis(0)));
    // Those that are gone are not missed.
    assert!(!fleet.is_newcomer(1, Millis(60_000)));
}

/// Others are told of in turns, each as often as the next, also while some come and go.
#[test]
fn entries_are_told_of_in_turns() {
    let mut fleet = fleet();
    for name in ["e1", "e2", "e3"] {
        fleet.record_contact(in_data_centre(name, "dub-a", 1), Millis(0));
    }
    let next = |fleet: &Fleet, last: Option<&str>| {
        let last = last.map(name::Entry::from);
        let next = fleet.reachable_after(last.as_ref(), Millis(0));
        next.map(|it| it.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(next(&fleet, None), ["e1", "e2", "e3"]);
    assert_eq!(next(&fleet, Some("e1")), ["e2", "e3", "e1"]);
    assert_eq!(next(&fleet, Some("e3")), ["e1", "e2", "e3"]);
    // One that is gone keeps its place among the names.
    assert_eq!(next(&fleet, Some("e15")), ["e2", "e3", "e1"]);
}

/// Newcomers of several data centres come in turn, and each is told of three: those of one data
/// centre hear of all there by and by, whatever the others were told of meanwhile.
#[test]
fn newcomers_of_each_data_centre_hear_of_all_there() {
    let mut fleet = fleet();
    let data_centres = ["dub-a", "dub-b"];
    for (index, data_centre) in (0..24_u16).zip(data_centres.into_iter().cycle()) {
        let name = format!("{data_centre}-{index:02}");
        fleet.record_contact(in_data_centre(&name, data_centre, index), Millis(0));
    }
    let mut introduced = BTreeMap::new();
    let mut told = BTreeSet::new();
    for (index, data_centre) in (100..108).zip(data_centres.into_iter().cycle()) {
        let newcomer = in_data_centre("new", data_centre, index);
        let last: Option<&name::Entry> = introduced.get(data_centre);
        let others = fleet.peers_for_newcomer(&newcomer, last, Millis(0));
        let others: Vec<_> = others.into_iter().take(3).cloned().collect();
        let is_near = |it: &Member| it.data_centre == newcomer.data_centre;
        assert!(others.iter().all(is_near));
        introduced.insert(data_centre, others[2].name.clone());
        told.extend(others.into_iter().map(|it| it.name));
    }
    assert_eq!(told.len(), 24);
}

/// Where few are nearby, the rest of a round goes elsewhere.
#[test]
fn a_round_that_needs_few_nearby_asks_others_elsewhere() {
    let mut fleet = fleet();
    for index in 0..79_u16 {
        let data_centre = ["dub-a", "dub-b", "dub-c"][usize::from(index % 3)];
        fleet.record_contact(
            in_data_centre(&format!("e{index:02}"), data_centre, index),
            Millis(0),
        );
    }
    let round = fleet.gossip_targets(Millis(1));
    let near = round.iter().filter(|it| it.port() % 3 == 0);
    assert_eq!((round.len(), near.count()), (FANOUT, 3));
}
