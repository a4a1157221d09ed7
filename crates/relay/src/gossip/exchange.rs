//! The gossip rounds: sends queries to other entries and answers theirs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::load_report::LoadReport;

use crate::gossip::message::{
    self, Knowledge, MAX_BRITTLE, MAX_DATAGRAM_BYTES, MAX_DEPARTURES, MAX_LOADS, MAX_RATE_LIMITS,
    MAX_SUSPECTS, MEMBERS_PER_MESSAGE, Message,
};
use crate::gossip::{ROUND_INTERVAL, STARTUP_ROUND_INTERVAL, fetch};
use crate::request::notice;
use crate::scheduling::round::LOADS_PER_REPORT;
use crate::scheduling::{claim, round};
use crate::state::State;
use crate::streams;

/// Answers that take longer than this are ignored.
const ANSWER_TIMEOUT: Millis = Millis(2_000);
/// The minimum time between two log summaries of entries that came or are shutting down.
const SUMMARY_INTERVAL: Millis = Millis(1_000);
/// The time between two sends of this entry's usage counts. Counts that were not sent before
/// an entry is killed are lost.
const COUNTS_INTERVAL: Millis = Millis(500);
/// The maximum number of entries that one summary line names.
const MAX_LOGGED_NAMES: usize = 16;

/// Runs gossip rounds and answers other entries for as long as the process runs.
///
/// # Errors
///
/// If receiving from the socket fails.
pub async fn run(state: Rc<State>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut exchange = Exchange {
        state: Rc::clone(&state),
        socket,
        sent_queries: HashMap::new(),
        next_number: rand::random(),
        last_described: None,
        last_introduced: BTreeMap::new(),
        new_entries: 0,
        stopping: Vec::new(),
        last_summary: Millis::ZERO,
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
                exchange.run_round();
                next = tokio::time::Instant::now() + round_interval(&state);
            }
            () = state.news.notified() => exchange.run_round(),
        }
    }
}

/// The time until the next round: shorter while this entry lacks data that it needs to serve
/// requests.
fn round_interval(state: &State) -> Duration {
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
    /// When each unanswered query was sent, by its number.
    sent_queries: HashMap<u64, Millis>,
    next_number: u64,
    /// The last entry that was described to others; the next message continues after it.
    last_described: Option<name::Entry>,
    /// The last entry that was described to newcomers, by their data centre.
    last_introduced: BTreeMap<name::DataCentre, name::Entry>,
    /// The number of entries that became reachable since the last summary.
    new_entries: usize,
    /// Entries that announced their shutdown since the last summary.
    stopping: Vec<name::Entry>,
    last_summary: Millis,
    /// When this entry's usage counts were last sent.
    counted: Millis,
}

impl Exchange {
    fn run_round(&mut self) {
        let now = self.state.now();
        self.sent_queries.retain(|_, at| now - *at < ANSWER_TIMEOUT);
        self.log_summary(now);
        if self.state.shutdown().is_some() {
            self.send_stop_notices(now);
        }
        self.send_counts(now);
        round::update(&self.state);
        let mut to = self.state.fleet.borrow_mut().gossip_targets(now);
        to.extend(self.unknown_addresses());
        let query = self.message(0, false);
        for address in to {
            self.send_query(query.clone(), address);
        }
    }

    /// Announces the shutdown to the entries that list this one to callers. The notices are no
    /// queries and carry no load: 59 full messages would take a calculated 60 ms on a link of
    /// 10 Mbit/s.
    fn send_stop_notices(&self, now: Millis) {
        let to = self.state.fleet.borrow_mut().stop_notice_targets(now);
        if to.is_empty() {
            return;
        }
        let notice = self.base_message(message::STOP_NOTICE, true);
        for address in to {
            self.send(&notice, address);
        }
    }

    /// Sends a query and records when: the ages in its answer count from this moment.
    fn send_query(&mut self, mut query: Message, address: SocketAddr) {
        // Zero is reserved for stop notices.
        self.next_number = self.next_number.wrapping_add(1).max(1);
        self.sent_queries.insert(self.next_number, self.state.now());
        query.number = self.next_number;
        query.members = self.next_members();
        self.send(&query, address);
    }

    /// Logs how many entries have become reachable and which are shutting down. Each is one line
    /// for all entries, as hundreds may come and go together.
    fn log_summary(&mut self, now: Millis) {
        let has_changes = self.new_entries > 0 || !self.stopping.is_empty();
        if !has_changes || now - self.last_summary < SUMMARY_INTERVAL {
            return;
        }
        self.last_summary = now;
        let answering = self.state.fleet.borrow().reachable(now).count();
        if self.new_entries > 0 {
            log::info!(newly = self.new_entries, answering = answering; "other entries became reachable");
            self.new_entries = 0;
        }
        if !self.stopping.is_empty() {
            let named = self.stopping.iter().take(MAX_LOGGED_NAMES);
            let named: Vec<_> = named.map(name::Entry::as_str).collect();
            log::info!(
                newly = self.stopping.len(), entries = named.join(" "), answering = answering;
                "other entries are shutting down"
            );
            self.stopping.clear();
        }
    }

    /// Addresses from the settings and the platform at which no entry is known. They are queried
    /// in each round, as an entry may have come back there.
    fn unknown_addresses(&self) -> BTreeSet<SocketAddr> {
        let own = self.state.settings.peer_listen;
        let fleet = self.state.fleet.borrow();
        let known: Vec<_> = fleet.known().map(|member| member.peer).collect();
        let seeds = self.state.settings.seeds.iter();
        // All instances use the same port for gossip.
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
        let hints = self.state.hints.borrow();
        let all = seeds.chain(hints.iter().copied());
        all.filter(|address| *address != own && !known.contains(address))
            .collect()
    }

    fn message(&mut self, number: u64, is_answer: bool) -> Message {
        let now = self.state.now();
        let rate_limits = {
            let mut limits = self.state.rate_limits.borrow_mut();
            limits.notices(MAX_RATE_LIMITS, now)
        };
        let departures = {
            let mut roster = self.state.roster.borrow_mut();
            roster.departure_notices(MAX_DEPARTURES, now)
        };
        let brittle = self.state.brittle.borrow().notices(MAX_BRITTLE, now);
        let scheduling = round::reports(&self.state, now);
        let max_loads = MAX_LOADS
            - rate_limits.len()
            - departures.len()
            - brittle.len()
            - scheduling.len() * LOADS_PER_REPORT;
        let mut load = self.state.loads.borrow().gossip(max_loads, now);
        load.scheduling = scheduling;
        let mut message = Message {
            members: self.next_members(),
            load,
            idle_limits: self.state.rests.borrow().report(now),
            rate_limits,
            departures,
            brittle,
            ..self.base_message(number, is_answer)
        };
        let suspects = self
            .state
            .quarantine
            .borrow_mut()
            .histories_to_send(MAX_SUSPECTS, now);
        if let Err(error) = message::add_suspects(&mut message, suspects) {
            log::debug!(error = error.to_string(); "suspect requests could not be encoded");
        }
        message
    }

    /// A message with only this entry's identity, versions, time and claim.
    fn base_message(&self, number: u64, is_answer: bool) -> Message {
        Message {
            number,
            is_answer,
            from: self.state.member(),
            knowledge: knowledge(&self.state),
            known_entries: self.state.fleet.borrow().size() - 1,
            members: Vec::new(),
            load: LoadReport::default(),
            idle_limits: Vec::new(),
            rate_limits: Vec::new(),
            departures: Vec::new(),
            brittle: Vec::new(),
            suspects: Vec::new(),
            unix: self.state.clock.unix(),
            claim: self.state.claim.borrow().clone(),
        }
    }

    /// The next reachable entries to describe to others, in rotation.
    fn next_members(&mut self) -> Vec<Member> {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let answering = fleet.reachable_after(self.last_described.as_ref(), now);
        let members: Vec<_> = answering.take(MEMBERS_PER_MESSAGE).cloned().collect();
        if let Some(last) = members.last() {
            self.last_described = Some(last.name.clone());
        }
        members
    }

    /// Fills the answer to an entry that knows few others with as many entries as fit, those of
    /// its own data centre first.
    fn describe_others(&mut self, answer: &mut Message, newcomer: &Member) {
        let now = self.state.now();
        let fleet = self.state.fleet.borrow();
        let last = self.last_introduced.get(&newcomer.data_centre);
        let others = fleet.peers_for_newcomer(newcomer, last, now);
        let before = answer.members.len();
        if let Err(error) = message::add_members(answer, &others) {
            log::debug!(error = error.to_string(); "other entries could not be encoded");
        }
        if let Some(last) = answer.members[before..].last() {
            let data_centre = newcomer.data_centre.clone();
            self.last_introduced.insert(data_centre, last.name.clone());
        }
    }

    /// Adds to the answer to an entry that has just started what it missed of earlier crashes.
    fn add_missed_crashes(&self, answer: &mut Message) {
        let limit = MAX_SUSPECTS - answer.suspects.len();
        let mut quarantine = self.state.quarantine.borrow_mut();
        let missed = quarantine.histories_for_newcomer(limit, self.state.now());
        if let Err(error) = message::add_suspects(answer, missed) {
            log::debug!(error = error.to_string(); "earlier crashes could not be encoded");
        }
    }

    fn send(&self, message: &Message, address: SocketAddr) {
        match message::encode(message) {
            Ok(bytes) => self.send_bytes(&bytes, address),
            Err(error) => log_send_error(address, &error),
        }
    }

    fn send_bytes(&self, bytes: &[u8], address: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            log_send_error(address, &error);
        }
    }

    /// Sends the counts of what endpoints began to run for this entry to the collectors. Each
    /// send repeats all counts of every unsettled window, so that a lost datagram loses nothing.
    fn send_counts(&mut self, now: Millis) {
        let is_stopping = self.state.shutdown().is_some();
        if !self.state.meters() || (now - self.counted < COUNTS_INTERVAL && !is_stopping) {
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
                self.record_counts(counts);
            }
        }
    }

    /// Records the counts of an entry, if this one is configured for the duties.
    fn record_counts(&self, counts: message::Counts) {
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
            self.record_counts(counts);
            return;
        }
        if let Some(message) = message::decode_return(bytes) {
            claim::receive(&self.state, &message, sender);
            return;
        }
        if let Some(message) = message::decode_resumption(bytes) {
            streams::receive(&self.state, message, sender);
            return;
        }
        let Some(message) = message::decode(bytes) else {
            log::debug!(from = sender.to_string(); "dropped a datagram that is malformed or of another wire version");
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
                self.new_entries += 1;
                log::debug!(entry = message.from.name.as_str(); "another entry became reachable");
            }
        }
        if message.number != message::STOP_NOTICE {
            let mut loads = self.state.loads.borrow_mut();
            loads.apply_gossip(&message.from.name, &message.load, now);
        }
        // The time on which entries agree is used only for the duties.
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
        notice::merge_rate_limits(&self.state, &message.rate_limits, now);
        notice::merge_brittleness(&self.state, &message.brittle, now);
        notice::merge_departures(&self.state, &message.departures, now);
        self.state.told_of_crashes(&message.suspects);
        if message.knowledge.withheld {
            self.state.has_read_kept.set(true);
        }
        if message.is_answer {
            self.confirm_versions(&message, now);
        } else {
            let mut answer = self.message(message.number, true);
            let is_newcomer = self
                .state
                .fleet
                .borrow()
                .is_newcomer(message.known_entries, now);
            if is_newcomer {
                // Before the others, who would fill the message.
                self.add_missed_crashes(&mut answer);
                self.describe_others(&mut answer, &message.from);
                streams::tell_past(&self.state, message.from.peer);
            }
            self.send(&answer, sender);
            self.query_back(&message);
        }
        self.start_fetch_if_newer(&message);
    }

    /// Queries the sender of a query if its confirmation of the same plan is fresher than this
    /// entry's by enough to be worth it.
    fn query_back(&mut self, message: &Message) {
        let own = knowledge(&self.state);
        let theirs = message.knowledge;
        let spread = self.state.fleet.borrow().propagation_time();
        if theirs.plan == own.plan && duty::should_query_back(own.plan_age, theirs.plan_age, spread)
        {
            let query = self.message(0, false);
            self.send_query(query, message.from.peer);
        }
    }

    /// Confirms this entry's plan and endpoints by an answer. The ages in it are counted from
    /// the moment at which the query was sent.
    fn confirm_versions(&mut self, message: &Message, now: Millis) {
        let Some(sent_at) = self.sent_queries.remove(&message.number) else {
            return;
        };
        if now - sent_at >= ANSWER_TIMEOUT {
            return;
        }
        let versions = message.knowledge;
        self.state
            .confirm_plan(versions.plan, sent_at - versions.plan_age);
        let endpoints_as_of = sent_at - versions.endpoints_age;
        let mut roster = self.state.roster.borrow_mut();
        let has_newer = roster.confirm(versions.endpoints, endpoints_as_of);
        drop(roster);
        if !has_newer {
            self.state.record_answer(sent_at);
        }
    }

    /// Starts a fetch if another entry has newer data than this one.
    fn start_fetch_if_newer(&self, message: &Message) {
        let has_plan = message.knowledge.plan > self.state.force.borrow().version();
        let has_endpoints = message.knowledge.endpoints > self.state.roster.borrow().revision();
        let has_evacuation =
            message.knowledge.evacuation > self.state.evacuation.borrow().revision();
        if has_plan || has_endpoints || has_evacuation {
            fetch::start(&self.state, message.from.peer);
        }
    }
}

fn log_send_error(address: SocketAddr, error: &dyn Error) {
    log::debug!(to = address.to_string(), error = error.to_string(); "a datagram could not be sent");
}

/// The versions that this entry has, with the age of their confirmation.
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
        withheld: state.has_read_kept.get(),
    }
}
