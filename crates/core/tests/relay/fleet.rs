//! Membership of the fleet.

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
        reaches_endpoints: true,
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
#[case::just_seen(0, true)]
#[case::one_round_missed(500, true)]
#[case::three_rounds_missed(1_200, false)]
fn a_silent_entry_is_not_live(#[case] after: u64, #[case] is_live: bool) {
    let mut fleet = fleet();
    assert!(fleet.record_contact(member("a", 1), Millis(0)));
    assert_eq!(!live(&fleet, after).is_empty(), is_live);
}

#[test]
fn an_entry_known_only_from_gossip_is_not_live() {
    let mut fleet = fleet();
    fleet.record_gossip(member("a", 1), Millis(0));
    assert!(live(&fleet, 0).is_empty());
    assert_eq!(fleet.gossip_targets(Millis(0)).len(), 1);
}

#[test]
fn a_stopping_entry_is_not_live() {
    let mut fleet = fleet();
    let stopping = Member {
        stopping: true,
        ..member("a", 1)
    };
    fleet.record_contact(stopping, Millis(0));
    assert!(live(&fleet, 0).is_empty());
}

#[test]
fn messages_about_the_own_entry_are_ignored() {
    let mut fleet = fleet();
    assert!(!fleet.record_contact(member("own", 1), Millis(0)));
    fleet.record_gossip(member("own", 9), Millis(0));
    assert_eq!(fleet.size(), 1);
}

#[test]
fn an_entry_silent_for_long_expires() {
    let mut fleet = fleet();
    fleet.record_contact(member("a", 1), Millis(0));
    assert!(fleet.gossip_targets(Millis(60_000)).is_empty());
    assert_eq!(fleet.size(), 1);
}

#[test]
fn gossip_targets_rotate_over_a_large_fleet() {
    let mut fleet = fleet();
    for index in 0..80_u16 {
        let peer = ([10, 0, 0, 1], 7_000 + index).into();
        let member = Member {
            peer,
            ..member(&format!("e{index}"), 1)
        };
        fleet.record_contact(member, Millis(0));
    }
    let mut targets = std::collections::BTreeSet::new();
    for _ in 0..80_usize.div_ceil(FANOUT) {
        let round = fleet.gossip_targets(Millis(1));
        assert_eq!(round.len(), FANOUT);
        targets.extend(round);
    }
    assert_eq!(targets.len(), 80);
    // The timeout grows with the number of entries.
    assert_eq!(live(&fleet, 5_000).len(), 80);
}

#[test]
fn an_entry_that_the_platform_rejects_ranks_behind_the_others() {
    let mut fleet = fleet();
    for name in ["a", "b", "z"] {
        fleet.record_contact(member(name, 1), Millis(0));
    }
    assert_eq!(fleet.rank(true, Millis(0)), 2);
    let rejected = Member {
        reaches_platform: false,
        ..member("a", 1)
    };
    fleet.record_contact(rejected, Millis(0));
    assert_eq!(fleet.rank(true, Millis(0)), 1);
    // A silent entry no longer counts in the rank.
    assert_eq!(fleet.rank(true, Millis(2_000)), 0);
}

#[test]
fn entries_that_the_platform_rejects_are_ranked_by_name() {
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
#[case::part_of_a_large_fleet(294, 35)]
fn the_reachable_count_is_estimated_from_recent_contacts(
    #[case] others: u16,
    #[case] contacted: u16,
) {
    let mut fleet = fleet();
    for index in 0..others {
        fleet.record_gossip(member(&format!("e{index}"), 1), Millis(0));
    }
    for index in 0..contacted {
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

/// In a fleet of 295 entries in five data centres, the end of a local entry is noticed within 5 s,
/// and few messages leave the data centre.
#[test]
fn local_entries_are_contacted_most() {
    let mut fleet = fleet();
    for index in 0..294_u16 {
        let data_centre = ["dub-a", "dub-b", "dub-c", "dub-d", "dub-e"][usize::from(index % 5)];
        fleet.record_contact(
            in_data_centre(&format!("e{index:03}"), data_centre, index),
            Millis(0),
        );
    }
    let rounds: Vec<_> = (0..60).map(|_| fleet.gossip_targets(Millis(1))).collect();
    let remote = rounds.iter().flatten().filter(|it| it.port() % 5 != 0);
    assert_eq!(remote.count(), 60);
    assert!(rounds.iter().all(|round| round.len() == FANOUT));
    let is_live = |fleet: &Fleet, name: &str, now| {
        let name = name::Entry::from(name);
        fleet.live(Millis(now)).any(|member| member.name == name)
    };
    // Rounds take 400 ms here, but 300 ms in the relay.
    assert!(is_live(&fleet, "e000", 5_000));
    assert!(!is_live(&fleet, "e000", 5_700));
    assert!(is_live(&fleet, "e001", 60_000));
}

/// After a start, all 59 entries of a data centre are contacted within a few rounds.
#[test]
fn unconfirmed_entries_are_contacted_in_addition() {
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
fn an_entry_that_knows_few_others_is_a_newcomer() {
    let mut fleet = fleet();
    for index in 0..10_u16 {
        fleet.record_contact(
            in_data_centre(&format!("e{index}"), "dub-a", index),
            Millis(0),
        );
    }
    assert!(fleet.is_newcomer(7, Millis(0)));
    assert!(!fleet.is_newcomer(8, Millis(0)));
    // Entries that are gone do not count as missing.
    assert!(!fleet.is_newcomer(1, Millis(60_000)));
}

/// Every entry is mentioned equally often, also while entries come and go.
#[test]
fn reachable_after_rotates_by_name() {
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
    // An entry that is gone keeps its position in the order of names.
    assert_eq!(next(&fleet, Some("e15")), ["e2", "e3", "e1"]);
}

/// Newcomers of two data centres arrive alternately, and each is introduced to three entries. The
/// newcomers of each data centre eventually learn of all entries there, whatever those of the other
/// one were told meanwhile.
#[test]
fn newcomers_learn_of_all_entries_in_their_data_centre() {
    let mut fleet = fleet();
    let data_centres = ["dub-a", "dub-b"];
    for (index, data_centre) in (0..24_u16).zip(data_centres.into_iter().cycle()) {
        let name = format!("{data_centre}-{index:02}");
        fleet.record_contact(in_data_centre(&name, data_centre, index), Millis(0));
    }
    let mut last_introduced = BTreeMap::new();
    let mut learned = BTreeSet::new();
    for (index, data_centre) in (100..108).zip(data_centres.into_iter().cycle()) {
        let newcomer = in_data_centre("new", data_centre, index);
        let last: Option<&name::Entry> = last_introduced.get(data_centre);
        let others = fleet.peers_for_newcomer(&newcomer, last, Millis(0));
        let others: Vec<_> = others.into_iter().take(3).cloned().collect();
        let is_local = |it: &Member| it.data_centre == newcomer.data_centre;
        assert!(others.iter().all(is_local));
        last_introduced.insert(data_centre, others[2].name.clone());
        learned.extend(others.into_iter().map(|it| it.name));
    }
    assert_eq!(learned.len(), 24);
}

/// If few local entries need to be contacted, the rest of the round goes to other data centres.
#[test]
fn spare_fanout_goes_to_other_data_centres() {
    let mut fleet = fleet();
    for index in 0..79_u16 {
        let data_centre = ["dub-a", "dub-b", "dub-c"][usize::from(index % 3)];
        fleet.record_contact(
            in_data_centre(&format!("e{index:02}"), data_centre, index),
            Millis(0),
        );
    }
    let round = fleet.gossip_targets(Millis(1));
    let local = round.iter().filter(|it| it.port() % 3 == 0);
    assert_eq!((round.len(), local.count()), (FANOUT, 3));
}
