//! A simulated network of entries and engines, with a seeded random generator
//! and its own clock.

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
use woodgap_core::permit::{self, Agent, NameHash};
use woodgap_core::pool::{Limits, Pool};
use woodgap_core::tier::Tier;

/// Interval between the ticks of the control thread, in milliseconds.
const TICK: u64 = 50;
/// The only model that the engines serve.
const TARGET: &str = "m";
/// The incarnation of the first entry.
const FIRST_INCARNATION: u64 = 100;

/// A simulated entry.
pub struct Node {
    agent: Agent,
    pub members: Members,
    directory: Directory,
    pub alive: bool,
    pub frozen: bool,
    /// Events that arrived while the entry was frozen.
    pub backlog: Vec<Event>,
    /// The entry's runs: request and engine by permit.
    running: BTreeMap<u64, (name::Request, name::Endpoint)>,
}

/// A simulated engine.
pub struct Engine {
    slots: usize,
    pub running: BTreeSet<(usize, u64)>,
    /// The highest number of concurrent runs.
    peak: usize,
    /// The highest number of entries that were home of its pool at the same
    /// time.
    homes: usize,
}

/// A scheduled event.
pub enum Event {
    Tick(usize),
    Deliver(usize, Incarnation, Box<permit::Message>),
    Finish(usize, u64),
    StandingChange(usize, usize, Standing),
}

/// The status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Waiting,
    Running,
    Complete,
    Refused(Refusal),
    Elsewhere(Incarnation),
    /// The entry was killed, or the caller disconnected.
    Lost,
}

/// A request as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub tier: u8,
    pub asked_at: Millis,
    pub granted_at: Option<Millis>,
    /// Whether it was granted from its entry's own share of the slots.
    pub degraded: bool,
    pub status: Status,
}

/// How the network delivers messages.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    loss: f64,
    duplicate: f64,
    /// Minimum and maximum delay, in milliseconds.
    delay: (u64, u64),
}

pub const RELIABLE: Conditions = Conditions {
    loss: 0.0,
    duplicate: 0.0,
    delay: (1, 1),
};
pub const LOSSY: Conditions = Conditions {
    loss: 0.1,
    duplicate: 0.1,
    delay: (1, 40),
};

/// What is still in use after the network should have settled.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Leftovers {
    /// Requests that have not ended.
    requests: usize,
    /// Requests and permits at brokers.
    permits: usize,
    /// Runs at engines.
    runs: usize,
    /// Occupied slots and waiting requests at homes.
    slots: u32,
}

pub struct Network {
    pub now: Millis,
    pub conditions: Conditions,
    pub requests: BTreeMap<name::Request, Request>,
    pub engines: BTreeMap<name::Endpoint, Engine>,
    pub nodes: Vec<Node>,
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Total size of the messages sent, encoded as postcard, and their number.
    pub sent: (usize, usize),
    /// Minimum and maximum duration of a run, in milliseconds.
    pub service: (u64, u64),
    /// Drops the messages for which it returns true.
    pub drop_filter: Box<dyn FnMut(&permit::Message) -> bool>,
    random: ChaCha8Rng,
    events: BTreeMap<(Millis, u64), Event>,
    events_scheduled: u64,
    sequence: u64,
}

pub fn incarnation(node: usize) -> Incarnation {
    Incarnation(FIRST_INCARNATION + node as u64)
}

fn node_of(incarnation: Incarnation) -> usize {
    usize::try_from(incarnation.0 - FIRST_INCARNATION).unwrap()
}

fn peer(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(node).unwrap()))
}

fn data_centre(index: usize, data_centres: usize) -> name::DataCentre {
    format!("dc{}", index % data_centres).into()
}

fn member(node: usize, data_centres: usize) -> Member {
    Member {
        name: format!("e{node}").into(),
        incarnation: incarnation(node),
        data_centre: data_centre(node, data_centres),
        peer: peer(node),
        http: peer(node),
        standing: Standing::Live,
        version: 0,
        heartbeat: Heartbeat::default(),
        heard: Millis::ZERO,
    }
}

fn instance(index: usize, data_centres: usize, slots: u32) -> Instance {
    Instance {
        name: format!("m{index}"),
        role: Role::Engine,
        address: peer(5_000 + index),
        data_centre: data_centre(index, data_centres),
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
        deadline: state.asked_at + Millis(500),
        avoid: Vec::new(),
        prefix: 0,
        identity,
    }
}

impl Network {
    /// Creates entries and engines that are distributed over the data centres.
    /// All entries know each other.
    pub fn new(seed: u64, entries: usize, engines: usize, data_centres: usize, slots: u32) -> Self {
        let list: Vec<Instance> = (0..engines)
            .map(|index| instance(index, data_centres, slots))
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
            conditions: RELIABLE,
            requests: BTreeMap::new(),
            engines: list.iter().map(engine).collect(),
            nodes: Vec::new(),
            blocked_links: BTreeSet::new(),
            sent: (0, 0),
            service: (50, 400),
            drop_filter: Box::new(|_| false),
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            events_scheduled: 0,
            sequence: 0,
        };
        for node in 0..entries {
            let mut members = Members::new(member(node, data_centres));
            for other in 0..entries {
                members.put(member(other, data_centres));
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
            network.with_agent(node, Agent::directory_updated);
            network.schedule(Millis(node as u64 % TICK), Event::Tick(node));
        }
        network
    }

    /// Returns the home of a data centre's pool, as seen by an entry.
    pub fn home(&self, node: usize, index: usize) -> usize {
        let pool = name::Pool {
            target: TARGET.into(),
            data_centre: data_centre(index, usize::MAX),
        };
        node_of(self.nodes[node].members.home(&pool).unwrap().incarnation)
    }

    /// Sends a request to an entry, unless the entry is down or frozen.
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
            asked_at: self.now,
            granted_at: None,
            degraded: false,
            status: Status::Waiting,
        };
        self.requests.insert(request, state);
        let ask = ask(request, &state, identity);
        self.with_agent(node, |agent, view, out| agent.acquire(view, ask, out));
        Some(request)
    }

    /// Withdraws a waiting request, as if its caller had disconnected.
    pub fn withdraw(&mut self, request: name::Request) {
        let node = node_of(request.incarnation);
        if !self.nodes[node].frozen {
            self.requests.get_mut(&request).unwrap().status = Status::Lost;
            self.with_agent(node, |agent, view, out| agent.withdraw(view, request, out));
        }
    }

    /// Restarts the control branch of an entry. Running requests continue, and
    /// waiting ones are submitted again.
    pub fn restart(&mut self, node: usize) {
        let running = &self.nodes[node].running;
        let held = running.iter().map(|(permit, (request, endpoint))| Held {
            ask: ask(*request, &self.requests[request], 0),
            permit: *permit,
            endpoint: endpoint.clone(),
        });
        let held: Vec<Held> = held.collect();
        self.nodes[node].agent = Agent::new(incarnation(node), 2, &Limits::default());
        self.with_agent(node, Agent::directory_updated);
        self.with_agent(node, |agent, view, out| agent.restore(view, held, out));
        let waiting = self.requests.iter().filter(|(request, state)| {
            request.incarnation == incarnation(node) && state.status == Status::Waiting
        });
        let again: Vec<Ask> = waiting
            .map(|(request, state)| ask(*request, state, 0))
            .collect();
        for ask in again {
            self.with_agent(node, |agent, view, out| agent.acquire(view, ask, out));
        }
    }

    /// Advances the clock by `span` milliseconds and processes all events that
    /// are due.
    pub fn run(&mut self, span: u64) {
        let end = self.now + Millis(span);
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.process(event);
        }
        self.now = end;
    }

    /// Advances the clock by `span` milliseconds under load: `rate` requests per
    /// second at random entries and in random tiers.
    pub fn load(&mut self, span: u64, rate: u64, tiers: u8) {
        for _ in 0..span * rate / 1_000 {
            self.run(1_000 / rate);
            let node = self.random.random_range(0..self.nodes.len());
            let tier = self.random.random_range(1..=tiers);
            self.ask(node, tier, 0);
        }
    }

    /// Returns a random number in an inclusive range.
    pub fn random_between(&mut self, least: u64, most: u64) -> u64 {
        self.random.random_range(least..=most)
    }

    /// Counts what is still in use.
    pub fn leftovers(&self) -> Leftovers {
        let open = |state: &&Request| matches!(state.status, Status::Waiting | Status::Running);
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
            permits: brokers
                .map(|broker| broker.active_permits() + broker.pending_requests())
                .sum(),
            runs: runs.sum(),
            slots: pools.map(taken).sum(),
        }
    }

    /// Returns the highest number of requests that ran at any engine above its
    /// slots.
    pub fn max_excess_runs(&self) -> usize {
        let over = |engine: &Engine| engine.peak.saturating_sub(engine.slots);
        self.engines.values().map(over).max().unwrap()
    }

    /// Whether the runs at each engine stayed within a multiple of its slots:
    /// once for each entry that acted as home at the same time, once for the
    /// runs of entries that reached no home, and once for the runs of entries
    /// that were wrongly declared gone.
    pub fn within_bound(&self) -> bool {
        let within = |engine: &Engine| engine.peak <= engine.slots * (engine.homes + 2);
        self.engines.values().all(within)
    }

    /// Counts the entries that consider themselves home of an engine's pool.
    fn homes(&self, engine: &name::Endpoint) -> usize {
        let is_home = |node: &&Node| {
            let data_centre = &node.directory.get(engine).unwrap().data_centre;
            let pool = name::Pool {
                target: TARGET.into(),
                data_centre: data_centre.clone(),
            };
            let mut pools = node.agent.home().pools();
            node.alive && pools.any(|(id, _)| id == NameHash::of_pool(&pool))
        };
        self.nodes.iter().filter(is_home).count()
    }
}
