//! A network of entries and engines inside the test: seeded, in its own time.

mod events;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Ask, Directory, Held, Refusal};
use woodgap_core::instance::{Instance, Role, State};
use woodgap_core::membership::{Heartbeat, Member, Members, Standing};
use woodgap_core::name::{self, Incarnation};
use woodgap_core::permit::{self, Agent, Id};
use woodgap_core::pool::{Limits, Pool};
use woodgap_core::tier::Tier;

/// The tick of the control thread.
const TICK: u64 = 50;
/// The only model.
const TARGET: &str = "m";
/// The incarnation of the first entry.
const FIRST: u64 = 100;

/// One entry.
pub struct Node {
    agent: Agent,
    pub members: Members,
    directory: Directory,
    pub alive: bool,
    pub frozen: bool,
    /// What happened to it while it was frozen.
    pub backlog: Vec<What>,
    /// What runs for it: request and engine by permit.
    running: BTreeMap<u64, (name::Request, name::Endpoint)>,
}

/// One engine.
pub struct Engine {
    slots: usize,
    pub running: BTreeSet<(usize, u64)>,
    /// The most requests that ran at once.
    peak: usize,
    /// The most entries that were home to its pool at once.
    homes: usize,
}

/// Something that will happen.
pub enum What {
    Tick(usize),
    Deliver(usize, Incarnation, Box<permit::Message>),
    Finish(usize, u64),
    See(usize, usize, Standing),
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Waiting,
    Running,
    Complete,
    Refused(Refusal),
    Elsewhere(Incarnation),
    /// Its entry was killed, or its caller went away.
    Lost,
}

/// One request as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub tier: u8,
    pub asked: Millis,
    pub granted: Option<Millis>,
    /// Granted out of its entry's own fraction of the slots.
    pub alone: bool,
    pub fate: Fate,
}

/// How the network treats messages.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    loss: f64,
    duplicate: f64,
    /// Milliseconds on the way, at least and at most.
    delay: (u64, u64),
}

pub const CALM: Weather = Weather {
    loss: 0.0,
    duplicate: 0.0,
    delay: (1, 1),
};
pub const STORM: Weather = Weather {
    loss: 0.1,
    duplicate: 0.1,
    delay: (1, 40),
};

/// What is left when all should have come to rest.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Leftovers {
    /// Requests without an end.
    requests: usize,
    /// Asks and permits at brokers.
    asks: usize,
    /// Runs at engines.
    runs: usize,
    /// Slots that are not free at homes, and asks that wait there.
    slots: u32,
}

pub struct Network {
    pub now: Millis,
    pub weather: Weather,
    pub requests: BTreeMap<name::Request, Request>,
    pub engines: BTreeMap<name::Endpoint, Engine>,
    pub nodes: Vec<Node>,
    pub cut: BTreeSet<(usize, usize)>,
    /// Bytes of the messages sent, as postcard; and how many there were.
    pub sent: (usize, usize),
    /// How long engines run a request.
    pub service: (u64, u64),
    /// Drops messages that it says true to.
    pub filter: Box<dyn FnMut(&permit::Message) -> bool>,
    random: ChaCha8Rng,
    agenda: BTreeMap<(Millis, u64), What>,
    scheduled: u64,
    sequence: u64,
}

pub fn incarnation(node: usize) -> Incarnation {
    Incarnation(FIRST + node as u64)
}

fn node_of(life: Incarnation) -> usize {
    usize::try_from(life.0 - FIRST).unwrap()
}

fn peer(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(node).unwrap()))
}

fn centre(index: usize, centres: usize) -> name::DataCentre {
    format!("dc{}", index % centres).into()
}

fn member(node: usize, centres: usize) -> Member {
    Member {
        name: format!("e{node}").into(),
        incarnation: incarnation(node),
        data_centre: centre(node, centres),
        peer: peer(node),
        http: peer(node),
        standing: Standing::Live,
        version: 0,
        heartbeat: Heartbeat::default(),
        heard: Millis::ZERO,
    }
}

fn instance(index: usize, centres: usize, slots: u32) -> Instance {
    Instance {
        name: format!("m{index}"),
        role: Role::Engine,
        address: peer(5_000 + index),
        data_centre: centre(index, centres),
        state: State::Live,
        targets: vec![TARGET.into()],
        slots,
        checks_fencing: false,
        peer_address: None,
    }
}

fn ask(request: name::Request, state: &Request, identity: u64) -> Ask {
    Ask {
        request,
        target: TARGET.into(),
        workspace: "cairde-grianghraf".into(),
        tier: Tier::new(state.tier).unwrap(),
        class: "share-link".into(),
        weight: 1,
        deadline: state.asked + Millis(500),
        avoid: Vec::new(),
        prefix: 0,
        identity,
    }
}

impl Network {
    /// Entries and engines, spread over data centres; all know one another.
    pub fn new(seed: u64, entries: usize, engines: usize, centres: usize, slots: u32) -> Self {
        let list: Vec<Instance> = (0..engines)
            .map(|index| instance(index, centres, slots))
            .collect();
        let engine = |instance: &Instance| {
            let engine = Engine {
                slots: slots as usize,
                running: BTreeSet::new(),
                peak: 0,
                homes: 0,
            };
            (instance.name.as_str().into(), engine)
        };
        let mut network = Self {
            now: Millis(1_000),
            weather: CALM,
            requests: BTreeMap::new(),
            engines: list.iter().map(engine).collect(),
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            sent: (0, 0),
            service: (50, 400),
            filter: Box::new(|_| false),
            random: ChaCha8Rng::seed_from_u64(seed),
            agenda: BTreeMap::new(),
            scheduled: 0,
            sequence: 0,
        };
        for node in 0..entries {
            let mut members = Members::new(member(node, centres));
            for other in 0..entries {
                members.put(member(other, centres));
            }
            let mut directory = Directory::default();
            directory.update(&list);
            network.nodes.push(Node {
                agent: Agent::new(incarnation(node), 1, &Limits::default()),
                members,
                directory,
                alive: true,
                frozen: false,
                backlog: Vec::new(),
                running: BTreeMap::new(),
            });
        }
        for node in 0..entries {
            network.act(node, Agent::listed);
            network.schedule(Millis(node as u64 % TICK), What::Tick(node));
        }
        network
    }

    /// The entry that is home to a data centre's pool in the eyes of another.
    pub fn home(&self, node: usize, index: usize) -> usize {
        let pool = name::Pool {
            target: TARGET.into(),
            data_centre: centre(index, usize::MAX),
        };
        node_of(self.nodes[node].members.home(&pool).unwrap().incarnation)
    }

    /// A caller sends a request to an entry, if that is up.
    pub fn ask(&mut self, node: usize, tier: u8, identity: u64) -> Option<name::Request> {
        if !self.nodes[node].alive || self.nodes[node].frozen {
            return None;
        }
        self.sequence += 1;
        let request = name::Request {
            incarnation: incarnation(node),
            sequence: self.sequence,
        };
        let state = Request {
            tier,
            asked: self.now,
            granted: None,
            alone: false,
            fate: Fate::Waiting,
        };
        self.requests.insert(request, state);
        let ask = ask(request, &state, identity);
        self.act(node, |agent, view, out| agent.ask(view, ask, out));
        Some(request)
    }

    /// The caller of a waiting request goes away.
    pub fn withdraw(&mut self, request: name::Request) {
        let node = node_of(request.incarnation);
        if !self.nodes[node].frozen {
            self.requests.get_mut(&request).unwrap().fate = Fate::Lost;
            self.act(node, |agent, view, out| agent.withdraw(view, request, out));
        }
    }

    /// The control branch of an entry ends and starts again; what runs goes on,
    /// and what waits asks again.
    pub fn restart(&mut self, node: usize) {
        let running = &self.nodes[node].running;
        let held = running.iter().map(|(permit, (request, endpoint))| Held {
            ask: ask(*request, &self.requests[request], 0),
            permit: *permit,
            endpoint: endpoint.clone(),
        });
        let held: Vec<Held> = held.collect();
        self.nodes[node].agent = Agent::new(incarnation(node), 2, &Limits::default());
        self.act(node, Agent::listed);
        self.act(node, |agent, view, out| agent.restore(view, held, out));
        let waiting = self.requests.iter().filter(|(request, state)| {
            request.incarnation == incarnation(node) && state.fate == Fate::Waiting
        });
        let again: Vec<Ask> = waiting
            .map(|(request, state)| ask(*request, state, 0))
            .collect();
        for ask in again {
            self.act(node, |agent, view, out| agent.ask(view, ask, out));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + Millis(span);
        while let Some(entry) = self.agenda.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let what = entry.remove();
            self.now = at;
            self.happen(what);
        }
        self.now = end;
    }

    /// Lets time pass under load: as many asks a second, at random entries and tiers.
    pub fn load(&mut self, span: u64, rate: u64, tiers: u8) {
        for _ in 0..span * rate / 1_000 {
            self.run(1_000 / rate);
            let node = self.random.random_range(0..self.nodes.len());
            let tier = self.random.random_range(1..=tiers);
            self.ask(node, tier, 0);
        }
    }

    /// A number within a range.
    pub fn draw(&mut self, least: u64, most: u64) -> u64 {
        self.random.random_range(least..=most)
    }

    /// What is left.
    pub fn leftovers(&self) -> Leftovers {
        let open = |state: &&Request| matches!(state.fate, Fate::Waiting | Fate::Running);
        let alive = || self.nodes.iter().filter(|node| node.alive);
        let brokers = alive().map(|node| node.agent.broker());
        let pools = alive().flat_map(|node| node.agent.home().pools());
        let taken = |(_, pool): (_, &Pool)| {
            let stats = pool.stats();
            stats.slots - stats.free + stats.waiting.values().sum::<u32>()
        };
        let runs = self.engines.values().map(|engine| engine.running.len());
        Leftovers {
            requests: self.requests.values().filter(open).count(),
            asks: brokers
                .map(|broker| broker.holding() + broker.waiting())
                .sum(),
            runs: runs.sum(),
            slots: pools.map(taken).sum(),
        }
    }

    /// The most requests that ran at one engine above its slots.
    pub fn overbooked(&self) -> usize {
        let over = |engine: &Engine| engine.peak.saturating_sub(engine.slots);
        self.engines.values().map(over).max().unwrap()
    }

    /// Whether no engine ever ran more than its slots for each entry that acted
    /// as home at once, once more for what entries run that reach no home, and
    /// once more for what entries run that were wrongly held to be gone.
    pub fn within_bound(&self) -> bool {
        let within = |engine: &Engine| engine.peak <= engine.slots * (engine.homes + 2);
        self.engines.values().all(within)
    }

    /// The entries that hold themselves to be home to an engine's pool.
    fn homes(&self, engine: &name::Endpoint) -> usize {
        let is_home = |node: &&Node| {
            let centre = &node.directory.get(engine).unwrap().data_centre;
            let pool = name::Pool {
                target: TARGET.into(),
                data_centre: centre.clone(),
            };
            let mut pools = node.agent.home().pools();
            node.alive && pools.any(|(id, _)| id == Id::of_pool(&pool))
        };
        self.nodes.iter().filter(is_home).count()
    }
}
