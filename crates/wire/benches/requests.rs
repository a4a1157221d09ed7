//! What requests cost the control side: bytes, messages and processor time of
//! machine and codec for each request, with places to spare and with more asks
//! than places. `cargo bench -p woodgap-wire --bench requests`; numbers of entries
//! as arguments replace the usual ones.

#[path = "fleet/world.rs"]
#[allow(dead_code)]
mod world;

use std::collections::BTreeMap;

use woodgap_core::clock::Millis;
use woodgap_core::control::machine::TICK;
use woodgap_core::control::{Action, Ask, Done, Event, Grant, Outcome};
use woodgap_core::name::Request;
use woodgap_core::tier::Tier;

use world::{Network, Size, model, reset, resident_kb, spread};

const USUAL: [usize; 4] = [6, 24, 48, 100];
/// Endpoints before each entry, as in the target.
const ENDPOINTS: usize = 14;
/// Requests a second that callers bring to each entry, as in the target.
const RATE: usize = 35;
/// How long a request runs: 450 tokens, 42 ms apart, as in the target.
const SERVICE: Millis = Millis(18_900);
/// Places at each endpoint, if there are to be some to spare: 35 requests a
/// second for 18.9 s are 47 at each of 14 endpoints.
const SPARE: u32 = 64;
/// The same if there are to be too few.
const SCARCE: u32 = 44;
/// Until the rate of ends is that of asks.
const WARM: Millis = Millis::from_secs(22);
/// How long is measured.
const SPAN: Millis = Millis::from_secs(20);
/// Workspaces whose requests come to the fleet.
const WORKSPACES: usize = 1_000;

/// Callers of all entries and the engines that serve them.
struct Load {
    network: Network,
    models: usize,
    tiers: usize,
    asked: u64,
    granted: u64,
    refused: u64,
    running: BTreeMap<Millis, Vec<(usize, Grant)>>,
}

impl Load {
    fn run(&mut self, span: Millis) {
        let end = self.network.now + span;
        while self.network.now < end {
            self.network.run(TICK);
            self.collect();
            self.end_runs();
            self.ask();
        }
    }

    /// Takes what the machines granted and refused.
    fn collect(&mut self) {
        let until = self.network.now + SERVICE;
        for (index, node) in self.network.nodes.iter_mut().enumerate() {
            for action in node.wanted.drain(..) {
                match action {
                    Action::Grant(grant) => {
                        self.granted += 1;
                        self.running.entry(until).or_default().push((index, grant));
                    }
                    Action::Refuse(..) => self.refused += 1,
                    _ => {}
                }
            }
        }
    }

    fn end_runs(&mut self) {
        let rest = self.running.split_off(&(self.network.now + Millis(1)));
        for (index, grant) in std::mem::replace(&mut self.running, rest)
            .into_values()
            .flatten()
        {
            let done = Done {
                request: grant.request,
                permit: grant.permit,
                outcome: Outcome::Complete,
                tokens: 450,
                first_token: Some(Millis(100)),
                elapsed: SERVICE,
            };
            self.network.tell(index, Event::Done(done));
        }
    }

    /// Asks at the rate, spread over ticks, models, workspaces and tiers.
    fn ask(&mut self) {
        let ticks = usize::try_from(self.network.now.0 / TICK.0).expect("few ticks");
        let per_second = usize::try_from(1_000 / TICK.0).expect("few ticks");
        for index in 0..self.network.nodes.len() {
            let phase = ticks + index;
            let count = (phase + 1) * RATE / per_second - phase * RATE / per_second;
            for _ in 0..count {
                self.asked += 1;
                let ask = self.next(index);
                self.network.tell(index, Event::Ask(ask));
            }
        }
    }

    fn next(&self, index: usize) -> Ask {
        let number = usize::try_from(self.asked).expect("few asks");
        let own = self.network.nodes[index].machine.members().own();
        let tier = u8::try_from(number % self.tiers + 1).expect("few tiers");
        Ask {
            request: Request {
                incarnation: own.incarnation,
                sequence: self.asked,
            },
            target: model(number * 7 / 3 % self.models),
            workspace: format!("workspace-{:05}", number % WORKSPACES)
                .as_str()
                .into(),
            tier: Tier::new(tier).expect("1 to 7"),
            class: "caption".into(),
            weight: 1,
            deadline: self.network.now + Millis(500),
            avoid: Vec::new(),
            prefix: 0,
            identity: 0,
        }
    }
}

fn measure(entries: usize, slots: u32, tiers: usize) {
    let size = Size {
        entries,
        endpoints: entries * ENDPOINTS,
        slots,
    };
    let mut network = size.fleet();
    let before = resident_kb();
    reset(&mut network);
    network.run(Millis::from_secs(5));
    let (idle_bytes_most, idle_bytes) = spread(&network, 5.0, |node| node.bytes);
    let (_, idle_cpu) = spread(&network, 5.0, |node| node.cpu_ns);
    let mut load = Load {
        network,
        models: size.sites().1,
        tiers,
        asked: 0,
        granted: 0,
        refused: 0,
        running: BTreeMap::new(),
    };
    load.run(WARM);
    let memory = resident_kb().saturating_sub(before) as f64 / entries as f64;
    reset(&mut load.network);
    (load.granted, load.refused) = (0, 0);
    let asked = load.asked;
    load.run(SPAN);
    let seconds = SPAN.0 as f64 / 1e3;
    let network = &load.network;
    let (most, mean) = spread(network, seconds, |node| node.bytes);
    let (received_most, _) = spread(network, seconds, |node| node.received);
    let (_, messages) = spread(network, seconds, |node| node.messages);
    let (cpu_most, cpu) = spread(network, seconds, |node| node.cpu_ns);
    let rate = (load.asked - asked) as f64 / seconds / entries as f64;
    println!(
        "{entries:7} {slots:5} {tiers:5} {:8} {:8} {idle_bytes:10.0} {idle_bytes_most:10.0} {mean:10.0} \
         {most:10.0} {received_most:10.0} {messages:8.1} {:9.0} {:9.0} {:9.0} {:9.0} {:9.0} {memory:9.0}",
        load.granted,
        load.refused,
        idle_cpu / 1e3,
        cpu / 1e3,
        cpu_most / 1e3,
        (mean - idle_bytes) / rate,
        (cpu - idle_cpu) / 1e3 / rate,
    );
}

fn main() {
    println!(
        "entries slots tiers  granted  refused  idle mean  idle most B/s mean   B/s most  received \
         messages idle us/s mean us/s most us/s B/request us/request KiB/entry"
    );
    let named: Vec<usize> = std::env::args()
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if named.is_empty() { &USUAL[..] } else { &named };
    for entries in sizes {
        for (slots, tiers) in [(SPARE, 3), (SPARE, 7), (SCARCE, 3), (SCARCE, 7)] {
            measure(*entries, slots, tiers);
        }
    }
}
