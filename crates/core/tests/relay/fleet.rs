//! What an entry knows of the others.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::{ASKED, Fleet, Member};

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
    Fleet::new(name::Entry::from("own"), ROUND)
}

#[rstest]
#[case::just_heard(0, true)]
#[case::one_round_missed(500, true)]
#[case::three_rounds_missed(1_200, false)]
fn a_silent_entry_is_taken_off(#[case] after: u64, #[case] is_live: bool) {
    let mut fleet = fleet();
    assert!(fleet.heard(member("a", 1), Millis(0)));
    assert_eq!(!live(&fleet, after).is_empty(), is_live);
}

#[test]
fn hearsay_makes_an_entry_known_but_not_live() {
    let mut fleet = fleet();
    fleet.told(member("a", 1), Millis(0));
    assert!(live(&fleet, 0).is_empty());
    assert_eq!(fleet.round(Millis(0)).len(), 1);
}

#[test]
fn one_that_stops_is_not_listed() {
    let mut fleet = fleet();
    let stopping = Member {
        stopping: true,
        ..member("a", 1)
    };
    fleet.heard(stopping, Millis(0));
    assert!(live(&fleet, 0).is_empty());
}

#[test]
fn the_own_entry_is_no_other() {
    let mut fleet = fleet();
    assert!(!fleet.heard(member("own", 1), Millis(0)));
    fleet.told(member("own", 9), Millis(0));
    assert_eq!(fleet.size(), 1);
}

#[test]
fn one_that_is_gone_for_long_is_forgotten() {
    let mut fleet = fleet();
    fleet.heard(member("a", 1), Millis(0));
    assert!(fleet.round(Millis(60_000)).is_empty());
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
        fleet.heard(member, Millis(0));
    }
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..80_usize.div_ceil(ASKED) {
        let round = fleet.round(Millis(1));
        assert_eq!(round.len(), ASKED);
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
        fleet.heard(member(name, 1), Millis(0));
    }
    assert_eq!(fleet.rank(true, Millis(0)), 2);
    let turned_away = Member {
        reaches_platform: false,
        ..member("a", 1)
    };
    fleet.heard(turned_away, Millis(0));
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
        fleet.heard(member, Millis(0));
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
        fleet.told(member(&format!("e{index}"), 1), Millis(0));
    }
    for index in 0..heard {
        fleet.heard(member(&format!("e{index}"), 1), Millis(0));
    }
    let peers = fleet.peers(Millis(500));
    let others = usize::from(others);
    assert!(peers.abs_diff(others) <= others / 20, "{peers}");
    assert_eq!(fleet.peers(Millis(3_000)), 0);
}
