//! What it takes until all entries know of a change, and what a burst of changes
//! costs: a death, a rack, a data centre, a revision, regions that meet again.
//! `cargo bench -p woodgap-wire --bench events`; numbers of entries as arguments
//! replace the usual ones.

#[path = "fleet/world.rs"]
#[allow(dead_code)]
mod world;

use woodgap_core::clock::Millis;
use woodgap_core::membership::Standing;
use woodgap_core::revision::message::Change;

use world::{Network, Size, data_centre, reset, spread};

const USUAL: [usize; 5] = [6, 12, 24, 48, 100];
/// Endpoints before each entry, as in the target.
const ENDPOINTS: usize = 14;
/// How long an event may take to be known to all.
const LIMIT: Millis = Millis::from_secs(180);
/// Regions of the target: data centres are dealt out to them in turn.
const REGIONS: usize = 3;
/// How long regions lose each other.
const HOUR: Millis = Millis::from_secs(3_600);
/// The same for fleets whose simulation is slow.
const LARGE_APART: Millis = Millis::from_secs(60);
/// Entries of a fleet whose simulation is slow.
const LARGE: usize = 48;
/// Steps of a wait.
const STEP: Millis = Millis(200);

fn fleet(entries: usize) -> Network {
    let size = Size {
        entries,
        endpoints: entries * ENDPOINTS,
        slots: 8,
    };
    let mut network = size.fleet();
    reset(&mut network);
    network
}

/// Runs until a condition holds; prints how long that took and what was sent.
fn until(network: &mut Network, what: &str, condition: impl Fn(&Network) -> bool) {
    reset(network);
    let start = network.now;
    while !condition(network) && network.now < start + LIMIT {
        network.run(STEP);
    }
    let known = condition(network);
    let span = network.now - start;
    let seconds = span.0 as f64 / 1e3;
    let (most, mean) = spread(network, seconds, |node| node.bytes);
    let (_, messages) = spread(network, seconds, |node| node.messages);
    let (cpu_most, cpu) = spread(network, seconds, |node| node.cpu_ns);
    println!(
        "{:7} {what:36} {:9} {mean:12.0} {most:12.0} {messages:10.1} {:11.0} {:11.0}",
        network.nodes.len(),
        if known {
            span.0.to_string()
        } else {
            format!(">{}", span.0)
        },
        cpu / 1e3,
        cpu_most / 1e3,
    );
}

/// Whether all that run see these as gone.
fn seen_gone(network: &Network, gone: &[usize]) -> bool {
    let running = network.nodes.iter().filter(|node| !node.dead);
    let sees = |node: &world::network::Node| {
        gone.iter()
            .all(|dead| node.sees(*dead) == Some(Standing::Gone))
    };
    running.into_iter().all(sees)
}

fn all_live(network: &Network) -> bool {
    let names = 0..network.nodes.len();
    let sees = |node: &world::network::Node, other: usize| node.sees(other) == Some(Standing::Live);
    network
        .nodes
        .iter()
        .all(|node| names.clone().all(|other| sees(node, other)))
}

fn kill(network: &mut Network, what: &str, victims: &[usize]) {
    for victim in victims {
        network.nodes[*victim].dead = true;
    }
    until(network, what, |network| seen_gone(network, victims));
}

fn change(network: &mut Network, node: usize) {
    let revision = network.nodes[node].revision + 1;
    let document = "x".repeat(400);
    network.apply(node, vec![Change { revision, document }]);
    until(network, "a revision", |network| {
        network.nodes.iter().all(|node| node.revision >= revision)
    });
}

/// Which region a node's data centre is of.
fn region(node: usize, data_centres: usize) -> usize {
    node % data_centres % REGIONS
}

fn part(network: &mut Network, data_centres: usize, apart: Millis) {
    network.fate = Box::new(move |from, to, _| {
        if region(from, data_centres) == region(to, data_centres) {
            vec![Millis(1)]
        } else {
            Vec::new()
        }
    });
    let parted = |network: &Network| {
        let members = 0..network.nodes.len();
        network.nodes.iter().enumerate().all(|(index, node)| {
            let mut others = members
                .clone()
                .filter(|other| region(*other, data_centres) != region(index, data_centres));
            others.all(|other| node.sees(other) == Some(Standing::Gone))
        })
    };
    until(network, "regions part: known", parted);
    reset(network);
    let span = apart;
    network.run(span);
    let (most, mean) = spread(network, span.0 as f64 / 1e3, |node| node.bytes);
    let entries = network.nodes.len();
    println!(
        "{entries:7} {:36} {:9} {mean:12.0} {most:12.0}",
        "  while apart", span.0
    );
    network.fate = Box::new(|_, _, _| vec![Millis(1)]);
    until(network, "regions meet again: all live", all_live);
}

fn measure(entries: usize, apart: Millis) {
    let mut network = fleet(entries);
    let size = Size {
        entries,
        endpoints: 0,
        slots: 8,
    };
    let (data_centres, _) = size.sites();
    change(&mut network, 0);
    part(&mut network, data_centres, apart);
    kill(&mut network, "one entry dies", &[1]);
    let rack: Vec<usize> = (2..entries).take((entries / 20).max(1)).collect();
    kill(&mut network, "a rack: 5% at once", &rack);
    let lost = data_centre(data_centres - 1);
    let victims: Vec<usize> = (0..entries)
        .filter(|node| data_centre(node % data_centres) == lost)
        .collect();
    kill(&mut network, "a data centre", &victims);
}

fn main() {
    println!(
        "entries event                                ms        bytes/s mean bytes/s most \
         messages/s cpu us/s mean cpu us/s most"
    );
    let named: Vec<usize> = std::env::args()
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if named.is_empty() { &USUAL[..] } else { &named };
    for entries in sizes {
        let apart = if *entries < LARGE { HOUR } else { LARGE_APART };
        measure(*entries, apart);
    }
}
