//! What the control side of one entry costs a second, by entries and endpoints:
//! bytes and messages sent, and processor time of machine and codec, without
//! that of the system's calls. `cargo bench -p woodgap-wire --bench control`.

#[path = "../tests/fleet/network.rs"]
#[allow(dead_code, missing_docs)]
mod network;

use std::net::SocketAddr;

use rustix::time::{ClockId, clock_gettime};
use woodgap_core::clock::Millis;
use woodgap_core::instance::{Instance, Load, Role, State};

use network::Network;

/// How long each fleet is looked at, in seconds.
const SECONDS: u64 = 60;
/// Models, each at every third endpoint of its data centre.
const MODELS: usize = 10;

fn endpoint(number: usize) -> Instance {
    let [_, _, high, low] = u32::try_from(number).expect("few endpoints").to_be_bytes();
    Instance {
        name: format!("engine-{number}"),
        role: Role::Engine,
        address: SocketAddr::from(([10, 1, high, low], 9000)),
        data_centre: ["dub-a", "dub-b", "dub-c"][number % 3].into(),
        state: State::Live,
        targets: vec![format!("model-{}", number / 3 % MODELS).as_str().into()],
        slots: 8,
        checks_fencing: false,
        peer_address: None,
    }
}

fn fleet(entries: usize, endpoints: usize) -> Network {
    let mut network = Network::met(entries, 1);
    let mut list = network.entries();
    let load = Load {
        age: Millis(1_000),
        running: 1,
        queued: 0,
        slots: 8,
        tokens_per_second: 40.0,
        state: State::Live,
    };
    for instance in (0..endpoints).map(endpoint) {
        network
            .loads
            .insert(instance.name.as_str().into(), Some(load.clone()));
        list.push(instance);
    }
    network.busy = true;
    network.list(&list);
    network.run(Millis::from_secs(5));
    network
}

fn cpu_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let whole = u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000;
    whole + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}

fn measure(entries: usize, endpoints: usize) {
    let mut network = fleet(entries, endpoints);
    for node in &mut network.nodes {
        (node.bytes, node.messages) = (0, 0);
        node.probes.clear();
    }
    let before = cpu_us();
    network.run(Millis::from_secs(SECONDS));
    let cpu = cpu_us() - before;
    let share = |sum: u64| sum as f64 / SECONDS as f64 / entries as f64;
    let bytes: u64 = network.nodes.iter().map(|node| node.bytes).sum();
    let most = network.nodes.iter().map(|node| node.bytes).max();
    let messages: u64 = network.nodes.iter().map(|node| node.messages).sum();
    let probes: usize = network.nodes.iter().map(|node| node.probes.len()).sum();
    println!(
        "{entries:7} {endpoints:9} {:12.0} {:12.0} {:10.1} {:8.1} {:9.0}",
        share(bytes),
        most.unwrap_or(0) as f64 / SECONDS as f64,
        share(messages),
        share(probes as u64),
        share(cpu),
    );
}

fn main() {
    println!("entries endpoints bytes/s mean  bytes/s most messages/s probes/s cpu us/s");
    for (entries, endpoints) in [
        (3, 0),
        (6, 0),
        (12, 0),
        (24, 0),
        (3, 50),
        (6, 50),
        (12, 50),
        (24, 50),
        (6, 200),
        (6, 800),
        (24, 800),
    ] {
        measure(entries, endpoints);
    }
}
