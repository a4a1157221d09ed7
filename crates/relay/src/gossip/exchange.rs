//! The rounds of questions, and the answers to those of others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::load_report::LoadReport;
use woodgap_core::relay::polling;

use crate::gossip::message::{
    self, Knowledge, MAX_DATAGRAM_BYTES, MAX_LOADS, MAX_SUSPECTS, MEMBERS_PER_MESSAGE, Message,
};
use crate::gossip::{ROUND_INTERVAL, STARTUP_ROUND_INTERVAL, fetch};
use crate::state::State;

/// After so long an answer is not waited for.
const LATE: Millis = Millis(2_000);
/// The time between two lines of the log on entries that answer.
const SUMMARY: Millis = Millis(1_000);
/// How often the own counts are told: what an entry that is killed has not told is lost.
const COUNTS: Millis = Millis(500);
/// How many entries one of these lines names.
const MOST_NAMED: usize = 16;

/// Asks other entries, and answers them, for as long as the process runs.
///
/// # Errors
///
/// If the socket can't be used any more.
pub async fn run(state: Rc<State>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut exchange = Exchange {
        state: Rc::clone(&state),
        socket,
        asked: HashMap::new(),
        next: rand::random(),
        told_last: None,
        introduced: BTreeMap::new(),
        newcomers: 0,
        stopping: Vec::new(),
        summarised: Millis::ZERO,
        counted: Millis::ZERO,
    };
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let socket = Rc::clone(&exchange.socket);
    let mut next = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let (length, sender) = received?;
                exchange.receive(&buffer[..length], sender);
            }
            () = tokio::time::sleep_until(next) => {
                exchange.round();
                next = tokio::time::Instant::now() + until_next(&state);
            }
            () = state.news.notified() => exchange.round(),
        }
    }
}

/// The time until the next round: short while there is nothing to serve by yet.
fn until_next(state: &State) -> Duration {
    let round = if state.knows_all() && state.knows_withheld() {
        ROUND_INTERVAL
    } else {
        STARTUP_ROUND_INTERVAL
    };
    Duration::from_millis(round.0)
}

struct Exchange {
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    /// When each question was sent.
    asked: HashMap<u64, Millis>,
    next: u64,
    /// Of whom others were told last.
    told_last: Option<name::Entry>,
    /// Of whom newcomers of each data centre were told last.
    introduced: BTreeMap<name::DataCentre, name::Entry>,
    /// Entries that answer since the last summary.
    newcomers: usize,
    /// Entries that have said since the last summary that they stop.
    stopping: Vec<name::Entry>,
    summarised: Millis,
    /// When the own counts were told last.
    counted: Millis,
}

impl Exchange {
    fn round(&mut self) {
        let now = self.state.now();
        self.asked.retain(|_, at| now - *at < LATE);
        self.summarise(now);
        if self.state.shutdown().is_some() {
            self.take_leave(now);
        }
        self.tell_counts(now);
        let mut to = self.state.fleet.borrow_mut().gossip_targets(now);
        to.extend(self.unheard());
        let question = self.message(0, false);
        for address in to {
            self.ask(question.clone(), address);
        }
    }

    /// Tells those that name this entry to callers that it stops. Nothing is asked, and no
    /// load told: 59 whole messages would take 60 ms of a link of 10 Mbit/s, by calculation.
    fn take_leave(&self, now: Millis) {
        let to = self.state.fleet.borrow_mut().stop_notice_targets(now);
        if to.is_empty() {
            return;
        }
        let farewell = self.bare(message::STOP_NOTICE, true);
        for address in to {
            self.send(&farewell, address);
        }
    }

    /// Asks another entry; what it answers is as old, at least, as this moment.
    fn ask(&mut self, mut question: Message, address: SocketAddr) {
        // Never zero, which is a farewell's.
        self.next = self.next.wrapping_add(1).max(1);
        self.asked.insert(self.next, self.state.now());
        question.number = self.next;
        question.members = self.told();
        self.send(&question, address);
    }

    /// Logs how many entries answer that did not before, and which have begun to stop: one
    /// line for all of them, as hundreds may come and go together.
    fn summarise(&mut self, now: Millis) {
        let has_news = self.newcomers > 0 || !self.stopping.is_empty();
        if !has_news || now - self.summarised < SUMMARY {
            return;
        }
        self.summarised = now;
        let answering = self.state.fleet.borrow().reachable(now).count();
        if self.newcomers > 0 {
            log::info!(newly = self.newcomers, answering = answering; "other entries answer");
            self.newcomers = 0;
        }
        if !self.stopping.is_empty() {
            let named = self.stopping.iter().take(MOST_NAMED);
            let named: Vec<_> = named.map(name::Entry::as_str).collect();
            log::info!(
                newly = self.stopping.len(), entries = named.join(" "), answering = answering;
                "other entries are stopping"
            );
            self.stopping.clear();
        }
    }

    /// Addresses from the settings and the platform that no known entry has: one
    /// may have come back there.
    fn unheard(&self) -> BTreeSet<SocketAddr> {
        let own = self.state.settings.peer_listen;
        let fleet = self.state.fleet.borrow();
        let known: Vec<_> = fleet.known().map(|member| member.peer).collect();
        let seeds = self.state.settings.seeds.iter();
        // The port for messages is the same on all instances.
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
        let hints = self.state.hints.borrow();
        let all = seeds.chain(hints.iter().copied());
        all.filter(|address| *address != own && !known.contains(address))
            .collect()
    }

    fn message(&mut self, number: u64, is_answer: bool) -> Message {
        let now = self.state.now();
        let load = self.state.loads.borrow().gossip(MAX_LOADS, now);
        let mut message = Message {
            members: self.told(),
            load,
            idle_limits: self.state.rests.borrow().report(now),
            ..self.bare(number, is_answer)
        };
        let suspects = self.state.quarantine.borrow_mut().tell(MAX_SUSPECTS, now);
        if let Err(error) = message::add_suspects(&mut message, suspects) {
            log::debug!(error = error.to_string(); "a request can't be told of");
        }
        message
    }

    /// A message that tells only who this entry is, and how much it knows.
    fn bare(&self, number: u64, is_answer: bool) -> Message {
        Message {
            number,
            is_answer,
            from: self.state.member(),
            knowledge: knowledge(&self.state),
            known_entries: self.state.fleet.borrow().size() - 1,
            members: Vec::new(),
            load: LoadReport::default(),
            idle_limits: Vec::new(),
            suspects: Vec::new(),
            unix: self.state.clock.unix(),
            claim: self.state.claim.borrow().clone(),
        }
    }

    /// Some of the other answering entries, in turns.
    fn told(&mut self) -> Vec<Member> {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let answering = fleet.reachable_after(self.told_last.as_ref(), now);
        let members: Vec<_> = answering.take(MEMBERS_PER_MESSAGE).cloned().collect();
        if let Some(last) = members.last() {
            self.told_last = Some(last.name.clone());
        }
        members
    }

    /// An answer to one that knows few others tells of as many as it holds, those of its
    /// own data centre first.
    fn introduce(&mut self, answer: &mut Message, newcomer: &Member) {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let last = self.introduced.get(&newcomer.data_centre);
        let others = fleet.peers_for_newcomer(newcomer, last, now);
        let before = answer.members.len();
        if let Err(error) = message::add_members(answer, &others) {
            log::debug!(error = error.to_string(); "an entry can't be told of");
        }
        if let Some(last) = answer.members[before..].last() {
            let data_centre = newcomer.data_centre.clone();
            self.introduced.insert(data_centre, last.name.clone());
        }
    }

    fn send(&self, message: &Message, address: SocketAddr) {
        match message::encode(message) {
            Ok(bytes) => self.send_bytes(&bytes, address),
            Err(error) => unsent(address, &error),
        }
    }

    fn send_bytes(&self, bytes: &[u8], address: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            unsent(address, &error);
        }
    }

    /// Tells those that collect counts what endpoints began to run for this entry: all of each
    /// window that is not settled, so that nothing is missing where a message is lost.
    fn tell_counts(&mut self, now: Millis) {
        let is_stopping = self.state.shutdown().is_some();
        if !self.state.meters() || (now - self.counted < COUNTS && !is_stopping) {
            return;
        }
        let claim = self.state.claim.borrow();
        let Some(claim) = claim.as_ref() else { return };
        self.counted = now;
        let own = self.state.settings.peer_listen;
        for window_counts in self.state.meter.borrow().snapshot() {
            let counts = message::Counts {
                entry: self.state.settings.name.clone(),
                incarnation: self.state.incarnation(),
                window_counts,
            };
            let datagrams = message::encode_counts(&counts).unwrap_or_default();
            for collector in claim.collectors.iter().filter(|it| **it != own) {
                for datagram in &datagrams {
                    self.send_bytes(datagram, *collector);
                }
            }
            if claim.collectors.contains(&own) {
                self.collect(counts);
            }
        }
    }

    /// Takes in what an entry has counted.
    fn collect(&self, counts: message::Counts) {
        let Some(duties) = &self.state.settings.duties else {
            return;
        };
        let from = (counts.entry, counts.incarnation);
        let unix = self.state.unix();
        let mut sums = self.state.sums.borrow_mut();
        sums.record(&from, counts.window_counts, unix, duties.window);
    }

    fn receive(&mut self, bytes: &[u8], sender: SocketAddr) {
        if let Some(counts) = message::decode_counts(bytes) {
            self.collect(counts);
            return;
        }
        let Some(message) = message::decode(bytes) else {
            log::debug!(from = sender.to_string(); "a datagram of another form was dropped");
            return;
        };
        let now = self.state.now();
        {
            let mut fleet = self.state.fleet.borrow_mut();
            for member in &message.members {
                fleet.record_gossip(member.clone(), now);
            }
            if message.from.stopping && !fleet.has_announced_stop(&message.from) {
                self.stopping.push(message.from.name.clone());
            }
            if fleet.record_contact(message.from.clone(), now) {
                self.newcomers += 1;
                log::debug!(entry = message.from.name.as_str(); "another entry answers");
            }
        }
        if message.number != message::STOP_NOTICE {
            let mut loads = self.state.loads.borrow_mut();
            loads.apply_gossip(&message.from.name, &message.load, now);
        }
        // Only the duties go by the time on which entries agree.
        if self.state.settings.duties.is_some() {
            let own = self.state.clock.unix();
            let mut readings = self.state.readings.borrow_mut();
            readings.record(&message.from.name, message.unix, own, now);
        }
        if let Some(claim) = &message.claim {
            self.state.take_claim(claim.clone());
        }
        self.state
            .rests
            .borrow_mut()
            .merge(&message.idle_limits, now);
        self.state.told_of_crashes(&message.suspects);
        if message.knowledge.withheld {
            self.state.has_read_withheld.set(true);
        }
        if message.is_answer {
            self.learn(&message, now);
        } else {
            let mut answer = self.message(message.number, true);
            let is_newcomer = self
                .state
                .fleet
                .borrow()
                .is_newcomer(message.known_entries, now);
            if is_newcomer {
                self.introduce(&mut answer, &message.from);
            }
            self.send(&answer, sender);
            self.ask_back(&message);
        }
        self.fetch_newer(&message);
    }

    /// Asks the sender of a question whose plan is confirmed where the own one is not.
    fn ask_back(&mut self, message: &Message) {
        let own = knowledge(&self.state);
        let told = message.knowledge;
        let spread = self.state.fleet.borrow().propagation_time();
        if told.plan == own.plan && polling::should_query_back(own.plan_age, told.plan_age, spread)
        {
            let question = self.message(0, false);
            self.ask(question, message.from.peer);
        }
    }

    /// Takes in how fresh the knowledge of another entry is, as of the moment of
    /// our question.
    fn learn(&mut self, message: &Message, now: Millis) {
        let Some(asked) = self.asked.remove(&message.number) else {
            return;
        };
        if now - asked >= LATE {
            return;
        }
        let knows = message.knowledge;
        self.state.confirm_plan(knows.plan, asked - knows.plan_age);
        let endpoints_as_of = asked - knows.endpoints_age;
        let mut roster = self.state.roster.borrow_mut();
        roster.confirm(knows.endpoints, endpoints_as_of);
    }

    /// Fetches what another entry knows and this one does not yet.
    fn fetch_newer(&self, message: &Message) {
        let has_plan = message.knowledge.plan > self.state.force.borrow().version();
        let has_endpoints = message.knowledge.endpoints > self.state.roster.borrow().revision();
        let has_evacuation =
            message.knowledge.evacuation > self.state.evacuation.borrow().revision();
        if has_plan || has_endpoints || has_evacuation {
            fetch::start(&self.state, message.from.peer);
        }
    }
}

fn unsent(address: SocketAddr, error: &dyn Error) {
    log::debug!(to = address.to_string(), error = error.to_string(); "a message was not sent");
}

/// What this entry knows.
pub fn knowledge(state: &State) -> Knowledge {
    let now = state.now();
    let force = state.force.borrow();
    let roster = state.roster.borrow();
    Knowledge {
        plan: force.version(),
        plan_age: force.age(now),
        endpoints: roster.revision(),
        endpoints_age: roster.age(now),
        evacuation: state.evacuation.borrow().revision(),
        withheld: state.has_read_withheld.get(),
    }
}
