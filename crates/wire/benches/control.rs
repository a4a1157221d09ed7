//! What the control side of one entry costs a second, by entries and endpoints:
//! bytes and messages sent, processor time of machine and codec without that of
//! the system's calls, and memory. `cargo bench -p woodgap-wire --bench control`;
//! with `ENTRIES:ENDPOINTS` of sizes to measure others than the usual ones.

#[path = "fleet/world.rs"]
mod world;

use woodgap_core::clock::Millis;

use world::{Size, reset, resident_kb, spread};

/// How long each fleet is looked at, in seconds.
const SECONDS: u64 = 60;
/// The same for fleets whose simulation is slow.
const LARGE_SECONDS: u64 = 10;
/// Entries of a fleet whose simulation is slow.
const LARGE: usize = 100;
/// Sizes that take a minute in all.
const USUAL: [(usize, usize); 18] = [
    (3, 0),
    (6, 0),
    (12, 0),
    (24, 0),
    (48, 0),
    (100, 0),
    (3, 50),
    (6, 50),
    (12, 50),
    (24, 50),
    (48, 50),
    (6, 200),
    (24, 200),
    (6, 800),
    (24, 800),
    (48, 800),
    (100, 800),
    (100, 1_400),
];

fn measure(entries: usize, endpoints: usize) {
    let size = Size {
        entries,
        endpoints,
        slots: 8,
    };
    let before = resident_kb();
    let mut network = size.fleet();
    // What is kept of past sizes may be used again: a lower bound then.
    let memory = resident_kb().saturating_sub(before) as f64 / entries as f64;
    reset(&mut network);
    let seconds = if entries < LARGE {
        SECONDS
    } else {
        LARGE_SECONDS
    };
    network.run(Millis::from_secs(seconds));
    let span = seconds as f64;
    let (most, mean) = spread(&network, span, |node| node.bytes);
    let (received_most, _) = spread(&network, span, |node| node.received);
    let (_, messages) = spread(&network, span, |node| node.messages);
    let (probes_most, probes) = spread(&network, span, |node| node.probes.len() as u64);
    let (cpu_most, cpu) = spread(&network, span, |node| node.cpu_ns);
    println!(
        "{entries:7} {endpoints:9} {mean:12.0} {most:12.0} {received_most:13.0} {messages:10.1} \
         {probes:8.1} {probes_most:13.1} {:11.0} {:11.0} {memory:9.0}",
        cpu / 1e3,
        cpu_most / 1e3,
    );
}

fn main() {
    println!(
        "entries endpoints bytes/s mean bytes/s most received most messages/s probes/s \
         probes/s most cpu us/s mean cpu us/s most KiB/entry"
    );
    let named: Vec<(usize, usize)> = std::env::args()
        .filter_map(|size| {
            let (entries, endpoints) = size.split_once(':')?;
            Some((entries.parse().ok()?, endpoints.parse().ok()?))
        })
        .collect();
    let sizes = if named.is_empty() { &USUAL[..] } else { &named };
    for (entries, endpoints) in sizes {
        measure(*entries, *endpoints);
    }
}
