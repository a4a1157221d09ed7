//! Faults of the network and of entries, and what the others make of them.

use proptest::prelude::*;
use rand::Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Action, Event};
use woodgap_core::membership::Standing;

use crate::network::{Fate, Network, Node, address, own};

/// The bound on the time to notice a killed entry.
const NOTICED: Millis = Millis(3_000);

fn others(count: usize, but: usize) -> Vec<usize> {
    (0..count).filter(|node| *node != but).collect()
}

/// Whether every entry sees every other as live.
fn whole(network: &Network) -> bool {
    let count = network.nodes.len();
    (0..count).all(|node| network.all_see(&others(count, node), node, Standing::Live))
}

/// Whether no entry holds any other to be gone.
fn nobody_gone(network: &Network) -> bool {
    let members = |node: &Node| {
        node.machine
            .members()
            .iter()
            .all(|member| member.standing != Standing::Gone)
    };
    network.nodes.iter().all(members)
}

fn lossy(share: f64) -> Fate {
    Box::new(move |_, _, random| {
        if random.random_bool(share) {
            Vec::new()
        } else {
            vec![Millis(1)]
        }
    })
}

fn twice_and_late(latest: u64) -> Fate {
    Box::new(move |_, _, random| {
        let mut delay = || Millis(random.random_range(1..=latest));
        vec![delay(), delay()]
    })
}

fn cut(one: fn(usize) -> bool) -> Fate {
    Box::new(move |from, to, _| {
        if one(from) == one(to) {
            vec![Millis(1)]
        } else {
            Vec::new()
        }
    })
}

fn sound() -> Fate {
    Box::new(|_, _, _| vec![Millis(1)])
}

#[rstest]
fn entries_of_the_list_meet(#[values(2, 3, 7, 24)] count: usize) {
    let mut network = Network::new(count, 1);
    network.until(Millis(3_000), whole);
}

#[rstest]
fn a_killed_entry_is_gone_within_seconds(
    #[values(2, 3, 7, 24)] count: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut network = Network::met(count, seed);
    network.nodes[1].dead = true;
    let left = others(count, 1);
    network.until(NOTICED, |network| network.all_see(&left, 1, Standing::Gone));
    let still = left
        .iter()
        .all(|node| network.all_see(&others(count, 1), *node, Standing::Live) || count == 2);
    assert!(still, "only the killed one is missed");
}

#[rstest]
#[case::calm(sound())]
#[case::one_in_ten_lost(lossy(0.1))]
#[case::one_in_five_lost(lossy(0.2))]
#[case::twice_and_out_of_order(twice_and_late(120))]
fn a_bad_network_kills_nobody(#[case] fate: Fate, #[values(1, 2)] seed: u64) {
    let mut network = Network::met(7, seed);
    network.fate = fate;
    for _ in 0..600 {
        network.run(Millis(100));
        assert!(nobody_gone(&network), "at {}", network.now);
    }
    network.fate = sound();
    network.until(Millis(3_000), whole);
}

#[rstest]
#[case::to(|from, to| from == 1 && to == 2)]
#[case::from(|from, to| from == 2 && to == 1)]
#[case::both(|from, to| from + to == 3 && from * to == 2)]
fn a_bad_path_is_no_reason_for_suspicion(#[case] broken: fn(usize, usize) -> bool) {
    let mut network = Network::met(5, 1);
    network.fate = Box::new(move |from, to, _| {
        if broken(from, to) {
            Vec::new()
        } else {
            vec![Millis(1)]
        }
    });
    for _ in 0..300 {
        network.run(Millis(100));
        assert!(whole(&network), "at {}", network.now);
    }
}

#[test]
fn a_restart_is_a_new_life_and_the_old_one_stays_past() {
    let mut network = Network::met(5, 1);
    let before = own(1, 0).incarnation;
    // What the old life said is still on its way when the new one starts.
    network.fate = Box::new(|from, _, _| vec![Millis(if from == 1 { 2_500 } else { 1 })]);
    network.run(Millis(500));
    network.fate = sound();
    network.restart(1, 1);
    let after = own(1, 1).incarnation;
    network.until(Millis(1_500), |network| {
        let met = |node: &Node| node.machine.members().by_incarnation(after).is_some();
        network.nodes.iter().all(met) && whole(network)
    });
    for _ in 0..100 {
        network.run(Millis(50));
        for node in &network.nodes {
            assert!(node.machine.members().by_incarnation(before).is_none());
        }
    }
    assert!(whole(&network));
}

#[test]
fn a_copy_of_an_old_life_is_told_to_stop() {
    let mut network = Network::met(4, 1);
    network.nodes[1].frozen = true;
    network.nodes.push(successor());
    let list = network.entries();
    network.tell(4, Event::Instances(list));
    network.until(Millis(2_000), |network| {
        network.nodes[0]
            .machine
            .members()
            .by_incarnation(own(1, 9).incarnation)
            .is_some()
    });
    network.wake(1);
    network.until(Millis(2_000), |network| {
        network.nodes[1].wanted.contains(&Action::Stop)
    });
    assert!(!network.nodes[4].wanted.contains(&Action::Stop));
}

/// A later life of entry 1 at another address, as when an instance is replaced.
fn successor() -> Node {
    let mut later = own(1, 9);
    later.peer = address(4);
    Node::new(later, 9)
}

#[rstest]
#[case::short(Millis(800), false)]
#[case::long(Millis(20_000), true)]
fn a_frozen_entry_comes_back_and_harms_nobody(#[case] span: Millis, #[case] missed: bool) {
    let mut network = Network::met(5, 1);
    network.nodes[1].frozen = true;
    network.run(span);
    assert_eq!(network.all_see(&[0, 2, 3, 4], 1, Standing::Gone), missed);
    network.wake(1);
    network.until(Millis(3_000), |network| {
        let asleep = &network.nodes[1];
        assert!(
            others(5, 1)
                .iter()
                .all(|node| asleep.sees(*node) != Some(Standing::Gone))
        );
        whole(network)
    });
}

#[test]
fn time_in_which_all_stood_still_is_nobodys_silence() {
    let mut network = Network::met(5, 1);
    network.nodes[1].frozen = true;
    network.until(NOTICED, |network| {
        network.all_see(&[0, 2, 3, 4], 1, Standing::Suspect)
    });
    for node in [0, 2, 3, 4] {
        network.nodes[node].frozen = true;
    }
    network.run(Millis::from_secs(20));
    // Each looks at its clock before it hears of the others.
    network.fate = Box::new(|_, _, _| vec![Millis(120)]);
    for node in 0..5 {
        network.wake(node);
    }
    network.until(Millis(2_000), |network| {
        assert!(nobody_gone(network));
        whole(network)
    });
}

#[rstest]
#[case::halves(|node| node < 3)]
#[case::one_alone(|node| node == 2)]
fn the_sides_of_a_partition_merge_without_loss(
    #[case] side: fn(usize) -> bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut network = Network::met(7, seed);
    network.fate = cut(side);
    network.run(Millis::from_secs(600));
    let near = |node: usize| {
        others(7, node)
            .into_iter()
            .filter(move |other| side(*other) == side(node))
    };
    for node in 0..7 {
        for other in 0..7 {
            let expected = if node == other || side(other) == side(node) {
                Standing::Live
            } else {
                Standing::Gone
            };
            assert_eq!(network.nodes[node].sees(other), Some(expected));
        }
    }
    network.fate = sound();
    network.until(Millis(10_000), |network| {
        for node in 0..7 {
            for other in near(node) {
                let sees = network.nodes[node].sees(other);
                assert_ne!(
                    sees,
                    Some(Standing::Gone),
                    "the own side is whole all along"
                );
            }
        }
        whole(network)
    });
}

#[rstest]
fn a_new_machine_of_the_same_life_is_no_loss(#[values(false, true)] stopping: bool) {
    let mut network = Network::met(5, 1);
    // The first machine had to speak up once, so that its version is known.
    network.nodes[1].frozen = true;
    network.run(Millis(1_200));
    network.wake(1);
    network.until(Millis(2_000), whole);
    network.renew(1);
    let standing = if stopping {
        network.tell(1, Event::Stop);
        Standing::Leaving
    } else {
        Standing::Live
    };
    network.until(Millis(4_000), |network| {
        assert!(nobody_gone(network));
        let knows_all = others(5, 1)
            .iter()
            .all(|node| network.nodes[1].sees(*node) == Some(Standing::Live));
        knows_all && network.all_see(&others(5, 1), 1, standing)
    });
    network.run(Millis(5_000));
    assert!(network.all_see(&others(5, 1), 1, standing));
}

#[test]
fn a_planned_stop_is_known_at_once() {
    let mut network = Network::met(7, 1);
    network.tell(1, Event::Stop);
    let left = others(7, 1);
    network.until(Millis(100), |network| {
        network.all_see(&left, 1, Standing::Leaving)
    });
    assert!(network.nodes[1].wanted.contains(&Action::Leave));
    network.run(Millis::from_secs(60));
    assert!(
        network.all_see(&left, 1, Standing::Leaving),
        "it may take long"
    );
    network.tell(1, Event::End);
    network.nodes[1].dead = true;
    network.until(Millis(100), |network| {
        network.all_see(&left, 1, Standing::Gone)
    });
}

#[test]
fn a_leaving_entry_that_dies_is_gone_too() {
    let mut network = Network::met(7, 1);
    network.tell(1, Event::Stop);
    network.run(Millis(200));
    network.nodes[1].dead = true;
    let left = others(7, 1);
    network.until(Millis(5_000), |network| {
        network.all_see(&left, 1, Standing::Gone)
    });
}

#[rstest]
#[case::calm(sound())]
#[case::half_lost(lossy(0.5))]
fn an_entry_that_an_operator_drains_leaves(#[case] fate: Fate) {
    let mut network = Network::met(5, 1);
    network.fate = fate;
    network.tell(3, Event::Drain("entry-1".to_owned()));
    network.until(Millis(5_000), |network| {
        network.nodes[1].wanted.contains(&Action::Leave)
            && network.all_see(&[0, 2, 3, 4], 1, Standing::Leaving)
    });
}

#[test]
fn those_gone_for_long_are_forgotten() {
    let mut network = Network::met(2, 1);
    network.nodes[1].dead = true;
    network.tell(0, Event::Instances(Vec::new()));
    network.run(NOTICED);
    network.now = network.now + Millis::from_secs(2 * 60 * 60);
    network.run(Millis(2_000));
    assert_eq!(network.nodes[0].sees(1), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn whatever_happens_the_entries_agree_in_the_end(
        faults in prop::collection::vec((0usize..5, 0u8..4, 100u64..4_000), 1..8),
        seed: u64,
    ) {
        let mut network = Network::met(5, seed);
        for (life, (node, fault, span)) in (1..).zip(faults) {
            match fault {
                0 => network.nodes[node].frozen = true,
                1 => network.restart(node, life),
                2 => network.fate = cut(|node| node % 2 == 0),
                _ => network.fate = lossy(0.3),
            }
            network.run(Millis(span));
            network.fate = sound();
            network.wake(node);
        }
        network.until(Millis(15_000), whole);
    }
}
