//! A network in memory: machines, frames on their way, and what goes wrong.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::control::machine::TICK;
use woodgap_core::control::{Action, Event, Machine, Own, Policy, Start};
use woodgap_core::instance::{Instance, Load, Role, State};
use woodgap_core::membership::{Heartbeat, Member, Standing};
use woodgap_core::message::Message;
use woodgap_core::name::{self, Incarnation};
use woodgap_core::pool::Limits;
use woodgap_core::revision::message::Change;
use woodgap_wire::frame::ANY;
use woodgap_wire::{Key, Receiver, Sender};

/// Datagrams that a frozen process's socket holds.
const SOCKET_BUFFER: usize = 300;
/// Bytes of IP and UDP headers.
const HEADERS: u64 = 28;

/// Bytes of the headers and of the handshake of a stream, roughly.
const STREAM: u64 = 600;

/// What becomes of a datagram: a delay for each copy that arrives.
pub type Fate = Box<dyn FnMut(usize, usize, &mut ChaCha8Rng) -> Vec<Millis>>;

/// One process.
pub struct Node {
    pub machine: Machine,
    pub frozen: bool,
    pub dead: bool,
    /// What it wanted done, but for messages and probes.
    pub wanted: Vec<Action>,
    /// Probes that it sent to endpoints, and when.
    pub probes: Vec<(Millis, name::Endpoint)>,
    /// What it sent, with headers.
    pub bytes: u64,
    /// What came to it, with headers.
    pub received: u64,
    pub messages: u64,
    /// Processor time of machine and codec, if the network measures it.
    pub cpu_ns: u64,
    /// The revision that it has in force.
    pub revision: u64,
    sender: Sender,
    receiver: Receiver,
    held: VecDeque<Vec<u8>>,
}

/// All processes of a fleet.
pub struct Network {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub fate: Fate,
    /// What endpoints answer; none for silence.
    pub loads: BTreeMap<name::Endpoint, Option<Load>>,
    /// Whether each load report differs from the one before.
    pub busy: bool,
    /// Whether messages that fit in no datagram are sent on: as by a stream.
    pub streams: bool,
    /// Reads the processor time of this thread, in nanoseconds.
    pub meter: fn() -> u64,
    random: ChaCha8Rng,
    flying: BTreeMap<(Millis, u64), Flight>,
    sequence: u64,
}

enum Flight {
    Datagram(SocketAddr, Vec<u8>),
    Streamed(usize, Incarnation, Message),
    Probed(usize, Incarnation, name::Endpoint, Option<Load>),
}

/// Data centres are given out in turn.
const DATA_CENTRES: [&str; 3] = ["dub-a", "dub-b", "dub-c"];

pub fn address(node: usize) -> SocketAddr {
    let [high, low] = u16::try_from(node).expect("few nodes").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7070))
}

/// The node at an address.
fn at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(u16::from_be_bytes([high, low])))
}

pub fn own(node: usize, life: u64) -> Member {
    Member {
        name: format!("entry-{node}").into(),
        incarnation: Incarnation((1_785_000_000_000 + life) << 22 | node as u64),
        data_centre: DATA_CENTRES[node % 3].into(),
        peer: address(node),
        http: SocketAddr::from((address(node).ip(), 8080)),
        standing: Standing::Live,
        version: 0,
        heartbeat: Heartbeat::default(),
        heard: Millis::ZERO,
    }
}

impl Node {
    pub fn new(own: Member, seed: u64) -> Self {
        let key = Key::new(&[7; 32]);
        Self {
            sender: Sender::new(key.clone(), own.incarnation),
            receiver: Receiver::new(key, own.incarnation),
            machine: Machine::new(Start {
                own,
                generation: 1,
                seed,
                policy: Policy::Permits,
                limits: Limits::default(),
                unconfirmed_limit: Millis(10_000),
            }),
            frozen: false,
            dead: false,
            wanted: Vec::new(),
            probes: Vec::new(),
            bytes: 0,
            received: 0,
            messages: 0,
            cpu_ns: 0,
            revision: 1,
            held: VecDeque::new(),
        }
    }

    pub fn sees(&self, node: usize) -> Option<Standing> {
        let name = name::Entry::from(format!("entry-{node}"));
        self.machine
            .members()
            .get(&name)
            .map(|member| member.standing)
    }
}

impl Network {
    /// Entries that know of one another by the platform's list.
    pub fn new(entries: usize, seed: u64) -> Self {
        Self::of((0..entries).map(|node| own(node, 0)), seed)
    }

    /// These entries, which know of one another by the platform's list.
    pub fn of(entries: impl Iterator<Item = Member>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes = Vec::new();
        for own in entries {
            nodes.push(Node::new(own, random.random()));
        }
        let mut network = Self {
            now: Millis(1_000),
            nodes,
            fate: Box::new(|_, _, _| vec![Millis(1)]),
            loads: BTreeMap::new(),
            busy: false,
            streams: false,
            meter: || 0,
            random,
            flying: BTreeMap::new(),
            sequence: 0,
        };
        let list = network.entries();
        network.list(&list);
        network
    }

    /// Entries that have met, and an empty record of what they did.
    pub fn met(entries: usize, seed: u64) -> Self {
        let mut network = Self::new(entries, seed);
        network.run(Millis(3_000));
        network
    }

    pub fn entries(&self) -> Vec<Instance> {
        let members = self.nodes.iter().map(|node| node.machine.members().own());
        let instance = |member: &Member| Instance {
            name: member.name.to_string(),
            role: Role::Entry,
            address: member.http,
            data_centre: member.data_centre.clone(),
            state: State::Live,
            targets: Vec::new(),
            slots: 0,
            checks_fencing: false,
            peer_address: Some(member.peer),
        };
        members.map(instance).collect()
    }

    /// Has all running entries read this list.
    pub fn list(&mut self, instances: &[Instance]) {
        for node in 0..self.nodes.len() {
            self.tell(node, Event::Instances(instances.to_vec()));
        }
    }

    /// Starts a new life of an entry in place of the old one.
    pub fn restart(&mut self, node: usize, life: u64) {
        let list = self.entries();
        self.nodes[node] = Node::new(own(node, life), life);
        self.tell(node, Event::Instances(list));
    }

    /// Replaces an entry's machine, as after a crash of its control branch: the
    /// life, the codec and the sockets stay.
    pub fn renew(&mut self, node: usize) {
        let list = self.entries();
        let mut own = self.nodes[node].machine.members().own().clone();
        own.standing = Standing::Live;
        own.version = 0;
        let seed = self.random.random();
        self.nodes[node].machine = Node::new(own, seed).machine;
        self.tell(node, Event::Instances(list));
    }

    pub fn wake(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for bytes in std::mem::take(&mut self.nodes[node].held) {
            self.receive(node, &bytes);
        }
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            for node in 0..self.nodes.len() {
                self.tell(node, Event::Tick);
            }
        }
    }

    /// Runs until a condition holds, and returns how long that took.
    ///
    /// # Panics
    ///
    /// If it does not hold within a span.
    pub fn until(&mut self, within: Millis, condition: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while !condition(self) {
            assert!(self.now < start + within, "not within {within}");
            self.run(TICK);
        }
        self.now - start
    }

    /// Whether all entries of a list see this standing of one.
    pub fn all_see(&self, viewers: &[usize], node: usize, standing: Standing) -> bool {
        viewers
            .iter()
            .all(|viewer| self.nodes[*viewer].sees(node) == Some(standing))
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.flying.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Flight::Datagram(to, bytes) => {
                    let known = |node: &usize| *node < self.nodes.len();
                    let node = at(to).filter(known);
                    if let Some(node) = node {
                        self.receive(node, &bytes);
                    }
                }
                Flight::Streamed(node, from, message) => {
                    self.tell(node, Event::Message(from, message));
                }
                Flight::Probed(node, life, endpoint, load) => {
                    if self.nodes[node].machine.members().own().incarnation == life {
                        self.tell(node, Event::Load(endpoint, load));
                    }
                }
            }
        }
    }

    fn receive(&mut self, index: usize, bytes: &[u8]) {
        let node = &mut self.nodes[index];
        if node.dead {
            return;
        }
        if node.frozen {
            if node.held.len() < SOCKET_BUFFER {
                node.held.push_back(bytes.to_vec());
            }
            return;
        }
        node.received += bytes.len() as u64 + HEADERS;
        let started = (self.meter)();
        let frame = node.receiver.open(bytes);
        node.cpu_ns += (self.meter)() - started;
        if let Ok(frame) = frame {
            for message in frame.messages {
                self.tell(index, Event::Message(frame.from, message));
            }
        }
    }

    /// Tells a process of an event and carries out what it wants.
    pub fn tell(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        if node.dead || node.frozen {
            return;
        }
        let started = (self.meter)();
        let mut actions = Vec::new();
        if event == Event::Tick {
            let own = Own {
                revision: node.revision,
                ready: true,
                running: 0,
            };
            node.machine.handle(self.now, Event::Own(own), &mut actions);
        }
        node.machine.handle(self.now, event, &mut actions);
        node.cpu_ns += (self.meter)() - started;
        let mut outbox: BTreeMap<SocketAddr, Vec<Message>> = BTreeMap::new();
        let mut in_force = Vec::new();
        for action in actions {
            match action {
                Action::Send(to, message) => outbox.entry(to).or_default().push(message),
                Action::Probe(endpoint, _) => self.probe(index, endpoint),
                Action::Apply(changes) => in_force.extend(changes),
                other => self.nodes[index].wanted.push(other),
            }
        }
        for (to, messages) in outbox {
            self.send(index, to, &messages);
        }
        self.apply(index, in_force);
    }

    /// Puts changes in force at an entry, in their order.
    pub fn apply(&mut self, index: usize, changes: Vec<Change>) {
        let Some(last) = changes.last() else { return };
        let revision = last.revision;
        self.nodes[index].revision = revision;
        self.tell(index, Event::InForce { revision, changes });
    }

    fn send(&mut self, index: usize, to: SocketAddr, messages: &[Message]) {
        let node = &mut self.nodes[index];
        let life = node.machine.members().by_peer(to);
        let life = life.map_or(ANY, |member| member.incarnation);
        let started = (self.meter)();
        let parcel = node
            .sender
            .pack(life, messages)
            .expect("messages are small");
        node.cpu_ns += (self.meter)() - started;
        let small = parcel.large.is_empty();
        assert!(small || self.streams, "a message fits in no datagram");
        node.messages += messages.len() as u64;
        let from = node.machine.members().own().incarnation;
        for message in parcel.large {
            let bytes = postcard::to_allocvec(&message).expect("a message");
            self.nodes[index].bytes += bytes.len() as u64 + STREAM;
            let Some(target) = at(to) else { continue };
            for delay in (self.fate)(index, target, &mut self.random) {
                self.fly(delay, Flight::Streamed(target, from, message.clone()));
            }
        }
        for bytes in parcel.datagrams {
            self.nodes[index].bytes += bytes.len() as u64 + HEADERS;
            let Some(target) = at(to) else { continue };
            for delay in (self.fate)(index, target, &mut self.random) {
                self.fly(delay, Flight::Datagram(to, bytes.clone()));
            }
        }
    }

    fn probe(&mut self, index: usize, endpoint: name::Endpoint) {
        let node = &mut self.nodes[index];
        node.probes.push((self.now, endpoint.clone()));
        let life = node.machine.members().own().incarnation;
        let mut load = self.loads.get(&endpoint).cloned().flatten();
        if let Some(load) = load.as_mut().filter(|_| self.busy) {
            load.tokens_per_second = self.now.0 as f64;
        }
        let delay = if load.is_some() {
            Millis(2)
        } else {
            Millis(1_000)
        };
        self.fly(delay, Flight::Probed(index, life, endpoint, load));
    }

    fn fly(&mut self, delay: Millis, flight: Flight) {
        self.sequence += 1;
        self.flying
            .insert((self.now + delay, self.sequence), flight);
    }
}
