//! The cost of the endpoint list for an entry: memory, and the time per list update and choice.
//!
//! Each size runs in its own process, since peak memory is measured per process:
//!
//!     cargo bench -p woodgap-core --bench fleet [-- ENDPOINTS...]

use std::process::Command;
use std::time::{Duration, Instant};

use woodgap_core::clock::Millis;
use woodgap_core::name::{self, DataCentre};
use woodgap_core::relay::engine::LoadBalancer;
use woodgap_core::relay::plan::Engine;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::work::{Part, Work};
use woodgap_core::relay::{Evacuation, RequestProfile, Roster};

const SIZES: [usize; 4] = [1_000, 3_000, 10_000, 20_000];
const DATA_CENTRES: usize = 5;
const CHOICES: u32 = 50;
/// The environment variable that passes the path of the list to the measuring process.
const LIST_ENV: &str = "WOODGAP_FLEET_LIST";

fn main() {
    if let Some(list) = std::env::var_os(LIST_ENV) {
        return measure(&std::fs::read(list).expect("the list can be read"));
    }
    println!("endpoints  kept KiB  peak KiB  list ms  again ms  choice us");
    let requested = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let mut sizes: Vec<usize> = requested.collect();
    if sizes.is_empty() {
        sizes = SIZES.to_vec();
    }
    let program = std::env::current_exe().expect("the program has a path");
    let path = std::env::temp_dir().join(format!("woodgap-fleet-{}", std::process::id()));
    for size in sizes {
        let list: Vec<_> = (0..size).map(endpoint).collect();
        let bytes = postcard::to_stdvec(&list).expect("endpoints can be encoded");
        std::fs::write(&path, bytes).expect("the list is written");
        let child = Command::new(&program).env(LIST_ENV, &path).status();
        assert!(child.expect("the process starts").success());
    }
    std::fs::remove_file(&path).expect("the list is removed");
}

fn endpoint(at: usize) -> Endpoint {
    Endpoint {
        life: name::Life {
            id: name::Endpoint::from(format!("i-{:016x}", at * 7_919)),
            started_unix: Some(Millis(1_796_256_000_000 + at as u64)),
        },
        service: "language-models".into(),
        address: ([10, 1, 2, 3], 8_080).into(),
        data_centre: DataCentre::from(format!("centre-{}", at % DATA_CENTRES)),
        slots: 32,
        leaving: false,
        reclaimable: false,
        cold_for: Millis::ZERO,
        version: String::new(),
    }
}

/// A memory value of this process from `/proc/self/status`, in KiB.
fn memory(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.and_then(|it| it.parse().ok()).unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn decode(bytes: &[u8]) -> Vec<Endpoint> {
    postcard::from_bytes(bytes).expect("the list can be decoded")
}

/// Applies a list as received from another entry twice, then chooses engines from it.
fn measure(bytes: &[u8]) {
    let before = (memory("VmRSS"), memory("VmHWM"));
    let mut roster = Roster::new(Millis(1_600));
    let started = Instant::now();
    let list = decode(bytes);
    let endpoints = list.len();
    roster.replace(list, 1, Millis(0), Millis(0));
    let first = millis(started.elapsed());
    let after = (memory("VmRSS"), memory("VmHWM"));
    let started = Instant::now();
    roster.replace(decode(bytes), 2, Millis(0), Millis(0));
    let again = millis(started.elapsed());
    let mut loads = LoadBalancer::new(DataCentre::from("centre-0"), 1);
    let started = Instant::now();
    for at in 0..CHOICES {
        choose(&roster, &mut loads, at);
    }
    let choice = millis(started.elapsed()) * 1_000.0 / f64::from(CHOICES);
    println!(
        "{endpoints:9}  {:8}  {:8}  {first:7.1}  {again:8.1}  {choice:9.0}",
        after.0 - before.0,
        after.1 - before.1,
    );
}

fn choose(roster: &Roster, loads: &mut LoadBalancer, at: u32) {
    let work = Work {
        prompt_tokens: 9_000,
        output_limit: 80,
        parts: vec![Part {
            id: u64::from(at % 7),
            tokens: 6_300,
        }],
        ..Work::default()
    };
    let ask = RequestProfile {
        work: Some(&work),
        engine: Some(Engine {
            slots: 32,
            memory_tokens: 329_451,
            event_tokens: 12,
            moves_prompts: true,
        }),
        gap: Some(Millis(400)),
    };
    let usable = roster.usable("language-models", &Evacuation::default(), Millis(5));
    let in_use = loads.active_subset(usable, &ask, 1, Millis(5));
    let choice = loads.choose(&in_use, &ask, Millis(5));
    let choice = choice.expect("an endpoint is available");
    let ticket = loads.begin(&choice, &ask, Millis(5));
    loads.end(&ticket, Millis(9));
}
