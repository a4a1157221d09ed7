//! Fleets of the sizes that are measured: machines with real frames in memory.

#[path = "../../tests/fleet/network.rs"]
#[allow(dead_code, missing_docs)]
pub mod network;

use std::fs;
use std::net::SocketAddr;

use rustix::time::{ClockId, clock_gettime};
use woodgap_core::clock::Millis;
use woodgap_core::control::Event;
use woodgap_core::instance::{Instance, Load, Role, State};
use woodgap_core::name;

pub use network::Network;

/// From this many entries on, a fleet has the data centres of the target.
const LARGE: usize = 48;
/// Data centres and models of a small fleet.
const SMALL_SITES: (usize, usize) = (3, 10);
/// Data centres and models of the target.
const LARGE_SITES: (usize, usize) = (10, 22);

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Endpoints, each of one model.
    pub endpoints: usize,
    /// Requests that each endpoint runs side by side.
    pub slots: u32,
}

impl Size {
    /// Data centres, and models in each.
    pub fn sites(self) -> (usize, usize) {
        if self.entries < LARGE {
            SMALL_SITES
        } else {
            LARGE_SITES
        }
    }

    /// A fleet of this size whose entries have met.
    pub fn fleet(self) -> Network {
        let (data_centres, models) = self.sites();
        let own = |node| {
            let mut own = network::own(node, 0);
            own.data_centre = data_centre(node % data_centres);
            own
        };
        let mut network = Network::of((0..self.entries).map(own), 1);
        network.meter = cpu_ns;
        network.streams = true;
        for node in 0..self.entries {
            let (revision, changes) = (1, Vec::new());
            network.tell(node, Event::InForce { revision, changes });
        }
        network.run(Millis::from_secs(5));
        let mut list = network.entries();
        for number in 0..self.endpoints {
            let instance = self.endpoint(number, data_centres, models);
            let load = self.load();
            network
                .loads
                .insert(instance.name.as_str().into(), Some(load));
            list.push(instance);
        }
        network.busy = true;
        network.list(&list);
        network.run(Millis::from_secs(5));
        network
    }

    fn endpoint(self, number: usize, data_centres: usize, models: usize) -> Instance {
        let [_, _, high, low] = u32::try_from(number).expect("few endpoints").to_be_bytes();
        Instance {
            name: format!("engine-{number}"),
            role: Role::Engine,
            address: SocketAddr::from(([10, 1, high, low], 9000)),
            data_centre: data_centre(number % data_centres),
            state: State::Live,
            targets: vec![model(number / data_centres % models)],
            slots: self.slots,
            checks_fencing: false,
            peer_address: None,
        }
    }

    fn load(self) -> Load {
        Load {
            age: Millis(1_000),
            running: 1,
            queued: 0,
            slots: self.slots,
            tokens_per_second: 40.0,
            state: State::Live,
        }
    }
}

/// A data centre by number.
pub fn data_centre(number: usize) -> name::DataCentre {
    format!("dc-{number:02}").into()
}

/// A model by number.
pub fn model(number: usize) -> name::Target {
    format!("model-{number:02}").as_str().into()
}

/// Forgets what the entries have done so far.
pub fn reset(network: &mut Network) {
    for node in &mut network.nodes {
        (node.bytes, node.received, node.messages, node.cpu_ns) = (0, 0, 0, 0);
        node.probes.clear();
        node.wanted.clear();
    }
}

/// Processor time of this thread.
pub fn cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let whole = u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000_000;
    whole + u64::try_from(time.tv_nsec).unwrap_or(0)
}

/// Resident memory of this process, in KiB.
pub fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

/// The largest and the mean of figures of all entries, a second.
pub fn spread(network: &Network, seconds: f64, of: impl Fn(&network::Node) -> u64) -> (f64, f64) {
    let figures = network.nodes.iter().map(of);
    let (sum, most) = figures.fold((0, 0), |(sum, most), figure| {
        (sum + figure, most.max(figure))
    });
    let mean = sum as f64 / network.nodes.len() as f64;
    (most as f64 / seconds, mean / seconds)
}
