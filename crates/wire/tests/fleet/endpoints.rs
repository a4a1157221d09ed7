//! Who probes endpoints, and how fast all entries know what one found.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::control::Event;
use woodgap_core::control::directory::Endpoint;
use woodgap_core::instance::{Instance, Load, Role, State};
use woodgap_core::name;

use crate::network::{Network, Node};

/// The bound on new work at a leaving endpoint, from the first source.
const PASSED_ON: Millis = Millis(2_000);

pub fn engine(number: usize) -> Instance {
    let number = u8::try_from(number).expect("few engines");
    Instance {
        name: format!("engine-{number}"),
        role: Role::Engine,
        address: SocketAddr::from(([10, 0, 1, number], 9000)),
        data_centre: ["dub-a", "dub-b", "dub-c"][usize::from(number % 3)].into(),
        state: State::Live,
        targets: vec![format!("model-{}", number % 5).as_str().into()],
        slots: 8,
        checks_fencing: false,
        peer_address: None,
    }
}

pub fn load(state: State) -> Load {
    Load {
        age: Millis::ZERO,
        running: 1,
        queued: 0,
        slots: 8,
        tokens_per_second: 40.0,
        state,
    }
}

/// Entries and engines that know of one another.
fn fleet(entries: usize, engines: usize) -> (Network, Vec<Instance>) {
    let mut network = Network::met(entries, 1);
    let mut list = network.entries();
    for number in 0..engines {
        list.push(engine(number));
        network
            .loads
            .insert(format!("engine-{number}").into(), Some(load(State::Live)));
    }
    network.list(&list);
    network.run(Millis(2_000));
    (network, list)
}

fn endpoint(network: &Network, entry: usize, engine: usize) -> Option<&Endpoint> {
    let name = name::Endpoint::from(format!("engine-{engine}"));
    network.nodes[entry].machine.directory().get(&name)
}

fn usable(network: &Network, entry: usize, engine: usize) -> bool {
    endpoint(network, entry, engine).is_some_and(Endpoint::usable)
}

fn all_use(network: &Network, engine: usize, expected: bool) -> bool {
    let nodes = (0..network.nodes.len()).filter(|entry| !network.nodes[*entry].dead);
    nodes
        .into_iter()
        .all(|entry| usable(network, entry, engine) == expected)
}

/// The entries that probed an engine since a time.
fn probers(network: &Network, engine: usize, since: Millis) -> BTreeSet<usize> {
    let name = name::Endpoint::from(format!("engine-{engine}"));
    let probed = |node: &usize| {
        network.nodes[*node]
            .probes
            .iter()
            .any(|(at, endpoint)| *at >= since && *endpoint == name)
    };
    (0..network.nodes.len()).filter(probed).collect()
}

#[test]
fn each_engine_is_probed_by_one_entry_and_all_know_its_load() {
    let (mut network, _) = fleet(6, 30);
    let since = network.now;
    network.run(Millis(5_000));
    for engine in 0..30 {
        assert_eq!(probers(&network, engine, since).len(), 1);
        for entry in 0..6 {
            let (at, _) = endpoint(&network, entry, engine)
                .unwrap()
                .load
                .clone()
                .unwrap();
            assert!(network.now - at <= Millis(3_000));
        }
    }
    let probes = network.nodes.iter().flat_map(|node| &node.probes);
    let count = probes.filter(|(at, _)| *at >= since).count();
    assert!((300..=330).contains(&count), "two a second each: {count}");
}

#[test]
fn the_homes_of_all_its_pools_know_an_engines_load_within_a_second() {
    let (mut network, mut list) = fleet(6, 200);
    let engines = list.iter_mut().filter(|one| one.role == Role::Engine);
    engines.for_each(|engine| engine.targets.push("model-both".into()));
    network.busy = true;
    network.list(&list);
    network.run(Millis(3_000));
    for _ in 0..30 {
        network.run(Millis(100));
        check_homes(&network);
    }
}

fn check_homes(network: &Network) {
    let members = network.nodes[0].machine.members();
    for engine in 0..200 {
        for pool in endpoint(network, 0, engine).unwrap().pools() {
            let home = members.home(&pool).unwrap().incarnation;
            let is_home = |node: &Node| node.machine.members().own().incarnation == home;
            let home = network.nodes.iter().position(is_home).unwrap();
            let (at, _) = endpoint(network, home, engine)
                .unwrap()
                .load
                .clone()
                .unwrap();
            assert!(network.now - at <= Millis(1_100), "{pool:?}");
        }
    }
}

#[test]
fn another_entry_probes_when_the_home_is_gone() {
    let (mut network, _) = fleet(6, 10);
    let home = *probers(&network, 4, Millis::ZERO).last().unwrap();
    network.nodes[home].dead = true;
    let dead_at = network.now;
    network.until(Millis(4_000), |network| {
        !probers(network, 4, dead_at).is_empty()
    });
    let next = probers(&network, 4, dead_at);
    assert!(!next.contains(&home));
}

/// How a leave becomes known.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The endpoint's own report.
    Report,
    /// The platform's list, as one entry has read it.
    List,
    /// An operator, at one entry.
    Operator,
}

fn leave(network: &mut Network, list: &[Instance], source: Source) {
    match source {
        Source::Report => {
            network
                .loads
                .insert("engine-4".into(), Some(load(State::Leaving)));
        }
        Source::List => {
            let mut list = list.to_vec();
            for instance in list.iter_mut().filter(|one| one.name == "engine-4") {
                instance.state = State::Leaving;
            }
            network.tell(2, Event::Instances(list));
        }
        Source::Operator => network.tell(2, Event::Drain("engine-4".to_owned())),
    }
}

#[rstest]
fn a_leave_is_known_everywhere_in_time(
    #[values(Source::Report, Source::List, Source::Operator)] source: Source,
    #[values(0.0, 0.3)] lost: f64,
) {
    let (mut network, list) = fleet(6, 10);
    network.fate = Box::new(move |_, _, random| {
        if rand::Rng::random_bool(random, lost) {
            Vec::new()
        } else {
            vec![Millis(1)]
        }
    });
    leave(&mut network, &list, source);
    network.until(PASSED_ON, |network| all_use(network, 4, false));
    assert!(
        (0..10)
            .filter(|engine| *engine != 4)
            .all(|engine| all_use(&network, engine, true))
    );
}

#[rstest]
#[case::taken_back_by_the_endpoint(Source::Report, true)]
#[case::still_listed_as_live(Source::List, true)]
#[case::an_operators_word_holds(Source::Operator, false)]
fn an_endpoint_that_says_for_long_that_it_is_live(#[case] source: Source, #[case] back: bool) {
    let (mut network, list) = fleet(6, 10);
    leave(&mut network, &list, source);
    network.run(PASSED_ON);
    network
        .loads
        .insert("engine-4".into(), Some(load(State::Live)));
    network.list(&list);
    network.run(Millis(5_000));
    assert!(
        all_use(&network, 4, false),
        "not before it has said so for a while"
    );
    network.run(Millis(8_000));
    assert!(all_use(&network, 4, back));
}

#[rstest]
#[case::the_home_dies(|network: &mut Network, home: usize| network.nodes[home].dead = true)]
#[case::the_home_restarts(|network: &mut Network, home: usize| network.restart(home, 5))]
fn a_drain_outlives_the_home(#[case] fault: fn(&mut Network, usize)) {
    let (mut network, list) = fleet(6, 10);
    let home = *probers(&network, 4, Millis::ZERO).last().unwrap();
    network.tell((home + 1) % 6, Event::Drain("engine-4".to_owned()));
    network.run(Millis(100));
    fault(&mut network, home);
    network.list(&list);
    network.run(Millis(1_000));
    network.until(Millis(3_000), |network| all_use(network, 4, false));
    network.run(Millis::from_secs(30));
    assert!(all_use(&network, 4, false));
}

#[rstest]
#[case::another_address(true)]
#[case::dropped_and_listed_again(false)]
fn a_new_instance_of_the_name_is_live(
    #[case] moved: bool,
    #[values(Source::Operator, Source::Report)] source: Source,
) {
    let (mut network, mut list) = fleet(6, 10);
    leave(&mut network, &list, source);
    network.run(PASSED_ON);
    network
        .loads
        .insert("engine-4".into(), Some(load(State::Live)));
    if moved {
        let port = |one: &mut Instance| one.address.set_port(9001);
        list.iter_mut()
            .filter(|one| one.name == "engine-4")
            .for_each(port);
    } else {
        let without: Vec<Instance> = list
            .iter()
            .filter(|one| one.name != "engine-4")
            .cloned()
            .collect();
        network.list(&without);
        network.run(Millis(1_500));
    }
    network.list(&list);
    network.run(Millis(1_500));
    assert!(all_use(&network, 4, true));
}

#[test]
fn a_failing_endpoint_gets_no_work_until_it_answers() {
    let (mut network, _) = fleet(6, 10);
    network.loads.insert("engine-4".into(), None);
    network.until(Millis(4_000), |network| all_use(network, 4, false));
    network
        .loads
        .insert("engine-4".into(), Some(load(State::Live)));
    network.until(Millis(2_500), |network| all_use(network, 4, true));
}

#[test]
fn a_partitioned_entry_learns_what_it_missed() {
    let (mut network, _) = fleet(6, 10);
    network.fate = Box::new(|from, to, _| {
        if from == 5 || to == 5 {
            Vec::new()
        } else {
            vec![Millis(1)]
        }
    });
    network.run(Millis(5_000));
    network.tell(2, Event::Drain("engine-4".to_owned()));
    network.run(Millis(5_000));
    assert!(usable(&network, 5, 4), "it can't know");
    network.fate = Box::new(|_, _, _| vec![Millis(1)]);
    network.until(Millis(8_000), |network| all_use(network, 4, false));
}
