//! Simulation of a fleet in which all entries start at the same moment: how long it takes until all
//! of them know the endpoints, if the platform serves a limited number of calls.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty::{
    self, CHECK_INTERVAL, Confirmation, EntryStatus, PollDecision, Subject,
};
use woodgap_core::relay::fleet::{Fleet, Member};

use crate::outage::member;

/// The time between two rounds of messages of an entry that knows the endpoints, and of one that
/// does not.
const ROUND_INTERVALS: (u64, u64) = (300, 50);
/// A step of the simulation; a message takes one step.
const STEP: Millis = Millis(10);
/// How long the platform takes to serve a page or to refuse a call.
const PAGE: Millis = Millis(10);
/// The number of seeds, and how much later than the other entries they start.
const SEEDS: usize = 3;
const SEED_DELAY: Millis = Millis(300);
/// How many entries a newcomer is introduced to in one answer.
const MAX_INTRODUCED: usize = 16;
/// How many whole lists an entry sends concurrently.
const MAX_TRANSFERS: usize = 2;
/// How long an entry waits for data of a list before it asks another entry.
const FETCH_TIMEOUT: Millis = Millis(1_000);
/// The end of the simulation.
const END: u64 = 40_000;

/// The size of the simulated system.
#[derive(Clone, Copy, Debug)]
struct Size {
    entries: usize,
    endpoints: usize,
    /// Endpoints in one answer of the platform.
    page: usize,
    /// Calls that the platform serves per second.
    calls: usize,
}

impl Size {
    fn pages(self) -> usize {
        self.endpoints.div_ceil(self.page)
    }

    /// How long a list takes beside the maximum number of other transfers, at 45 bytes per endpoint
    /// and 20 Mbit/s.
    fn transfer(self) -> Millis {
        Millis((self.endpoints * 45 * MAX_TRANSFERS / 2_500) as u64)
    }
}

enum Task {
    /// Reads this page from the platform.
    Reading { page: usize, done_at: Millis },
    /// Waits after a call that failed.
    BackingOff { until: Millis },
}

/// A question or an answer of an entry.
struct Message {
    from: usize,
    to: usize,
    is_answer: bool,
    /// The entries that a newcomer is introduced to.
    introduced: Vec<usize>,
}

/// The transfer of a list from another entry.
struct Fetch {
    from: usize,
    done_at: Millis,
    /// Whether the list is sent; the other entry may have too many transfers already.
    is_sent: bool,
}

struct Entry {
    fleet: Fleet,
    start_at: Millis,
    has_endpoints: bool,
    task: Option<Task>,
    failures: u32,
    fetch: Option<Fetch>,
    sending: usize,
    /// The last entry that newcomers of each data centre were introduced to.
    introduced: BTreeMap<name::DataCentre, name::Entry>,
}

struct Simulation {
    size: Size,
    entries: Vec<Entry>,
    random: ChaCha8Rng,
    messages: BTreeMap<Millis, Vec<Message>>,
    /// Calls that the platform can still serve in this step.
    capacity: f64,
    calls: usize,
}

impl Simulation {
    fn new(size: Size, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut entry = |at: usize| {
            let delay = if at < SEEDS { SEED_DELAY } else { Millis::ZERO };
            let own = member(at);
            Entry {
                fleet: Fleet::new(own.name, own.data_centre, Millis(ROUND_INTERVALS.0)),
                start_at: delay + Millis(random.random_range(0..10) * STEP.0),
                has_endpoints: false,
                task: None,
                failures: 0,
                fetch: None,
                sending: 0,
                introduced: BTreeMap::new(),
            }
        };
        Self {
            size,
            entries: (0..size.entries).map(&mut entry).collect(),
            random,
            messages: BTreeMap::new(),
            capacity: 0.0,
            calls: 0,
        }
    }

    /// Returns when the last entry knew the endpoints, counted from when the first seed could
    /// start.
    fn run(&mut self) -> Millis {
        let mut now = Millis::ZERO;
        while now.0 < END && self.entries.iter().any(|it| !it.has_endpoints) {
            self.capacity = self.size.calls as f64 * STEP.0 as f64 / 1_000.0;
            for message in self.messages.remove(&now).unwrap_or_default() {
                self.receive(&message, now);
            }
            // The order in which the platform serves entries varies from step to step.
            let first = self.random.random_range(0..self.entries.len());
            for at in (first..self.entries.len()).chain(0..first) {
                if now >= self.entries[at].start_at {
                    self.step(at, now);
                }
            }
            now = now + STEP;
        }
        now - SEED_DELAY
    }

    fn step(&mut self, at: usize, now: Millis) {
        self.finish_fetch(at, now);
        let entry = &self.entries[at];
        let age = now - entry.start_at;
        let round = if entry.has_endpoints {
            ROUND_INTERVALS.0
        } else {
            ROUND_INTERVALS.1
        };
        if age.0.is_multiple_of(round) {
            self.round(at, now);
        }
        self.poll_platform(at, now);
        if age.0.is_multiple_of(CHECK_INTERVAL.0) {
            self.check_duty(at, now);
        }
    }

    fn standing(&self, at: usize, now: Millis) -> EntryStatus {
        let entry = &self.entries[at];
        EntryStatus {
            rank: entry.fleet.rank(true, now),
            is_seed: at < SEEDS,
            is_first_start: false,
            is_substitute: false,
            uptime: now - entry.start_at,
            peers: entry.fleet.estimate_reachable(now),
            propagation_delay: entry.fleet.propagation_time(),
        }
    }

    fn check_duty(&mut self, at: usize, now: Millis) {
        let standing = self.standing(at, now);
        let knowledge = if self.entries[at].has_endpoints {
            Confirmation::Age(Millis::ZERO)
        } else {
            Confirmation::Never
        };
        if self.entries[at].task.is_some() {
            return;
        }
        let sample = self.random.random();
        let duty = duty::decide(Subject::Endpoints, &standing, knowledge, sample);
        if !self.entries[at].has_endpoints && matches!(duty, PollDecision::Poll(_)) {
            self.entries[at].task = Some(Task::Reading {
                page: 0,
                done_at: now + PAGE,
            });
        }
    }

    /// Continues the entry's call to the platform.
    fn poll_platform(&mut self, at: usize, now: Millis) {
        match self.entries[at].task {
            Some(Task::Reading { page, done_at }) if done_at <= now => self.answer(at, page, now),
            Some(Task::BackingOff { until }) if until <= now => self.entries[at].task = None,
            _ => {}
        }
    }

    /// The platform serves a call or refuses it. After a refusal, the entry reads the list from the
    /// start.
    fn answer(&mut self, at: usize, page: usize, now: Millis) {
        self.calls += 1;
        let is_served = self.capacity >= 1.0;
        let sample = self.random.random();
        let entry = &mut self.entries[at];
        if !is_served {
            entry.failures += 1;
            let until = now + duty::backoff(entry.failures, sample);
            entry.task = Some(Task::BackingOff { until });
            return;
        }
        self.capacity -= 1.0;
        entry.task = (page + 1 < self.size.pages()).then_some(Task::Reading {
            page: page + 1,
            done_at: now + PAGE,
        });
        if entry.task.is_none() {
            entry.failures = 0;
            self.receive_list(at, now);
        }
    }

    fn receive_list(&mut self, at: usize, now: Millis) {
        self.entries[at].has_endpoints = true;
        // Other entries are told at once.
        self.round(at, now);
    }

    fn round(&mut self, at: usize, now: Millis) {
        let targets = self.entries[at].fleet.gossip_targets(now);
        let mut to: Vec<_> = targets.iter().map(|it| usize::from(it.port())).collect();
        let known: Vec<_> = self.entries[at].fleet.known().map(index_of).collect();
        to.extend((0..SEEDS).filter(|seed| *seed != at && !known.contains(seed)));
        for other in to {
            let question = Message {
                from: at,
                to: other,
                is_answer: false,
                introduced: Vec::new(),
            };
            self.send(question, now);
        }
    }

    fn send(&mut self, message: Message, now: Millis) {
        self.messages.entry(now + STEP).or_default().push(message);
    }

    fn receive(&mut self, message: &Message, now: Millis) {
        let Message { from, to, .. } = *message;
        if now < self.entries[to].start_at {
            return;
        }
        let fleet = &mut self.entries[to].fleet;
        for other in &message.introduced {
            fleet.record_gossip(member(*other), now);
        }
        fleet.record_contact(member(from), now);
        if !message.is_answer {
            let answer = Message {
                from: to,
                to: from,
                is_answer: true,
                introduced: self.introduce(to, from, now),
            };
            self.send(answer, now);
        }
        if self.entries[from].has_endpoints && !self.entries[to].has_endpoints {
            self.start_fetch(to, from, now);
        }
    }

    /// The entries that `at` introduces to `to`, if that is a newcomer.
    fn introduce(&mut self, at: usize, to: usize, now: Millis) -> Vec<usize> {
        let known = self.entries[to].fleet.size() - 1;
        let entry = &mut self.entries[at];
        if !entry.fleet.is_newcomer(known, now) {
            return Vec::new();
        }
        let newcomer = member(to);
        let last = entry.introduced.get(&newcomer.data_centre);
        let others = entry.fleet.peers_for_newcomer(&newcomer, last, now);
        let introduced: Vec<_> = others.into_iter().take(MAX_INTRODUCED).cloned().collect();
        if let Some(last) = introduced.last() {
            let last = last.name.clone();
            entry.introduced.insert(newcomer.data_centre, last);
        }
        introduced.iter().map(index_of).collect()
    }

    fn start_fetch(&mut self, at: usize, from: usize, now: Millis) {
        if self.entries[at].fetch.is_some() {
            return;
        }
        let is_sent = self.entries[from].sending < MAX_TRANSFERS;
        self.entries[from].sending += usize::from(is_sent);
        let duration = if is_sent {
            self.size.transfer()
        } else {
            STEP + STEP
        };
        assert!(duration < FETCH_TIMEOUT);
        self.entries[at].fetch = Some(Fetch {
            from,
            done_at: now + duration,
            is_sent,
        });
    }

    fn finish_fetch(&mut self, at: usize, now: Millis) {
        let fetch = &mut self.entries[at].fetch;
        let ended = fetch.take_if(|fetch| fetch.done_at <= now);
        if let Some(Fetch { from, .. }) = ended.filter(|fetch| fetch.is_sent) {
            self.entries[from].sending -= 1;
            if !self.entries[at].has_endpoints {
                self.receive_list(at, now);
            }
        }
    }
}

fn index_of(member: &Member) -> usize {
    usize::from(member.peer.port())
}

/// All entries know the endpoints within two seconds after the seeds can start.
#[rstest]
#[case::tens(Size { entries: 30, endpoints: 300, page: 50, calls: 2_000 })]
#[case::a_hundred(Size { entries: 99, endpoints: 990, page: 50, calls: 2_000 })]
#[case::hundreds(Size { entries: 300, endpoints: 3_000, page: 50, calls: 2_000 })]
#[case::a_thousand(Size { entries: 985, endpoints: 10_000, page: 200, calls: 16_000 })]
fn a_fleet_that_restarts_at_once_learns_the_endpoints_quickly(#[case] size: Size) {
    let mut simulation = Simulation::new(size, 1);
    let took = simulation.run();
    println!("{size:?}: {took}, {} calls", simulation.calls);
    assert!(took <= Millis(2_000), "{took}, {} calls", simulation.calls);
}
