//! A fleet of which all entries start at the same moment, in simulated time: how long it takes
//! until each knows the endpoints, before a platform that answers a bounded number of calls.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty::{self, Duty, Knows, LOOK, Standing, Subject};
use woodgap_core::relay::fleet::{Fleet, Member};

use crate::outage::member;

/// The time between two rounds of messages, and of an entry that knows nothing yet.
const ROUNDS: (u64, u64) = (300, 50);
/// A step of the simulation; a message takes one.
const STEP: Millis = Millis(10);
/// How long a page of the platform takes, or a refusal.
const PAGE: Millis = Millis(10);
/// The entries that others ask first, and by how much they are back later than the others.
const SEEDS: usize = 3;
const SEEDS_LATE: Millis = Millis(300);
/// How many others an answer tells a newcomer of.
const TOLD: usize = 16;
/// How many whole lists an entry sends at the same time.
const LISTS: usize = 2;
/// How long nothing may come of a list before another entry is asked.
const PATIENCE: Millis = Millis(1_000);
/// The end of the simulation.
const END: u64 = 40_000;

/// What a fleet is played before.
#[derive(Clone, Copy, Debug)]
struct Size {
    entries: usize,
    endpoints: usize,
    /// Endpoints in one answer of the platform.
    page: usize,
    /// Calls that the platform answers in a second.
    calls: usize,
}

impl Size {
    fn pages(self) -> usize {
        self.endpoints.div_ceil(self.page)
    }

    /// How long a list takes that is sent beside the most others: 45 bytes for each endpoint,
    /// 20 Mbit/s.
    fn transfer(self) -> Millis {
        Millis((self.endpoints * 45 * LISTS / 2_500) as u64)
    }
}

enum Task {
    /// Reads this page of the platform.
    Reads { page: usize, ends: Millis },
    /// Has failed to, and pauses.
    Pauses { until: Millis },
}

/// A question or an answer of an entry.
struct Message {
    from: usize,
    to: usize,
    is_answer: bool,
    /// Whom a newcomer is told of.
    told: Vec<usize>,
}

/// A list that an entry asks another one for.
struct Fetch {
    from: usize,
    ends: Millis,
    /// Whether it is sent: the other one may be sending too many.
    is_sent: bool,
}

struct Entry {
    fleet: Fleet,
    starts: Millis,
    knows: bool,
    task: Option<Task>,
    failures: u32,
    fetches: Option<Fetch>,
    sending: usize,
    /// Of whom newcomers of each data centre were told last.
    introduced: BTreeMap<name::DataCentre, name::Entry>,
}

struct World {
    size: Size,
    entries: Vec<Entry>,
    random: ChaCha8Rng,
    messages: BTreeMap<Millis, Vec<Message>>,
    /// Calls that the platform answers in this step yet.
    left: f64,
    calls: usize,
}

impl World {
    fn new(size: Size, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut entry = |at: usize| {
            let late = if at < SEEDS { SEEDS_LATE } else { Millis::ZERO };
            let own = member(at);
            Entry {
                fleet: Fleet::new(own.name, own.data_centre, Millis(ROUNDS.0)),
                starts: late + Millis(random.random_range(0..10) * STEP.0),
                knows: false,
                task: None,
                failures: 0,
                fetches: None,
                sending: 0,
                introduced: BTreeMap::new(),
            }
        };
        Self {
            size,
            entries: (0..size.entries).map(&mut entry).collect(),
            random,
            messages: BTreeMap::new(),
            left: 0.0,
            calls: 0,
        }
    }

    /// When the last entry knew the endpoints, counted from when the first seed could be back.
    fn play(&mut self) -> Millis {
        let mut now = Millis::ZERO;
        while now.0 < END && self.entries.iter().any(|it| !it.knows) {
            self.left = self.size.calls as f64 * STEP.0 as f64 / 1_000.0;
            for message in self.messages.remove(&now).unwrap_or_default() {
                self.receive(&message, now);
            }
            // Whoever is served first by the platform differs from step to step.
            let first = self.random.random_range(0..self.entries.len());
            for at in (first..self.entries.len()).chain(0..first) {
                if now >= self.entries[at].starts {
                    self.act(at, now);
                }
            }
            now = now + STEP;
        }
        now - SEEDS_LATE
    }

    fn act(&mut self, at: usize, now: Millis) {
        self.end_fetch(at, now);
        let entry = &self.entries[at];
        let age = now - entry.starts;
        let round = if entry.knows { ROUNDS.0 } else { ROUNDS.1 };
        if age.0.is_multiple_of(round) {
            self.round(at, now);
        }
        self.work(at, now);
        if age.0.is_multiple_of(LOOK.0) {
            self.look(at, now);
        }
    }

    fn standing(&self, at: usize, now: Millis) -> Standing {
        let entry = &self.entries[at];
        Standing {
            rank: entry.fleet.rank(true, now),
            is_seed: at < SEEDS,
            is_first_start: false,
            is_acting: false,
            life: now - entry.starts,
            peers: entry.fleet.estimate_reachable(now),
            spread: entry.fleet.propagation_time(),
        }
    }

    fn look(&mut self, at: usize, now: Millis) {
        let standing = self.standing(at, now);
        let knows = if self.entries[at].knows {
            Knows::Since(Millis::ZERO)
        } else {
            Knows::Nothing
        };
        if self.entries[at].task.is_some() {
            return;
        }
        let lot = self.random.random();
        let duty = duty::duty(Subject::Endpoints, &standing, knows, lot);
        if !self.entries[at].knows && matches!(duty, Duty::Ask(_)) {
            self.entries[at].task = Some(Task::Reads {
                page: 0,
                ends: now + PAGE,
            });
        }
    }

    /// Goes on with what the entry asks the platform.
    fn work(&mut self, at: usize, now: Millis) {
        match self.entries[at].task {
            Some(Task::Reads { page, ends }) if ends <= now => self.answer(at, page, now),
            Some(Task::Pauses { until }) if until <= now => self.entries[at].task = None,
            _ => {}
        }
    }

    /// The platform answers a call, or refuses it; a list is begun anew then.
    fn answer(&mut self, at: usize, page: usize, now: Millis) {
        self.calls += 1;
        let is_served = self.left >= 1.0;
        let lot = self.random.random();
        let entry = &mut self.entries[at];
        if !is_served {
            entry.failures += 1;
            let until = now + duty::pause(entry.failures, lot);
            entry.task = Some(Task::Pauses { until });
            return;
        }
        self.left -= 1.0;
        entry.task = (page + 1 < self.size.pages()).then_some(Task::Reads {
            page: page + 1,
            ends: now + PAGE,
        });
        if entry.task.is_none() {
            entry.failures = 0;
            self.learn(at, now);
        }
    }

    fn learn(&mut self, at: usize, now: Millis) {
        self.entries[at].knows = true;
        // News are told at once.
        self.round(at, now);
    }

    fn round(&mut self, at: usize, now: Millis) {
        let asked = self.entries[at].fleet.gossip_targets(now);
        let mut to: Vec<_> = asked.iter().map(|it| usize::from(it.port())).collect();
        let known: Vec<_> = self.entries[at].fleet.known().map(number).collect();
        to.extend((0..SEEDS).filter(|seed| *seed != at && !known.contains(seed)));
        for other in to {
            let question = Message {
                from: at,
                to: other,
                is_answer: false,
                told: Vec::new(),
            };
            self.send(question, now);
        }
    }

    fn send(&mut self, message: Message, now: Millis) {
        self.messages.entry(now + STEP).or_default().push(message);
    }

    fn receive(&mut self, message: &Message, now: Millis) {
        let Message { from, to, .. } = *message;
        if now < self.entries[to].starts {
            return;
        }
        let fleet = &mut self.entries[to].fleet;
        for other in &message.told {
            fleet.record_gossip(member(*other), now);
        }
        fleet.record_contact(member(from), now);
        if !message.is_answer {
            let answer = Message {
                from: to,
                to: from,
                is_answer: true,
                told: self.introduce(to, from, now),
            };
            self.send(answer, now);
        }
        if self.entries[from].knows && !self.entries[to].knows {
            self.fetch(to, from, now);
        }
    }

    /// Whom an entry tells another one of, if that has just started.
    fn introduce(&mut self, at: usize, to: usize, now: Millis) -> Vec<usize> {
        let known = self.entries[to].fleet.size() - 1;
        let entry = &mut self.entries[at];
        if !entry.fleet.is_newcomer(known, now) {
            return Vec::new();
        }
        let newcomer = member(to);
        let last = entry.introduced.get(&newcomer.data_centre);
        let others = entry.fleet.peers_for_newcomer(&newcomer, last, now);
        let told: Vec<_> = others.into_iter().take(TOLD).cloned().collect();
        if let Some(last) = told.last() {
            let last = last.name.clone();
            entry.introduced.insert(newcomer.data_centre, last);
        }
        told.iter().map(number).collect()
    }

    fn fetch(&mut self, at: usize, from: usize, now: Millis) {
        if self.entries[at].fetches.is_some() {
            return;
        }
        let is_sent = self.entries[from].sending < LISTS;
        self.entries[from].sending += usize::from(is_sent);
        let takes = if is_sent {
            self.size.transfer()
        } else {
            STEP + STEP
        };
        assert!(takes < PATIENCE);
        self.entries[at].fetches = Some(Fetch {
            from,
            ends: now + takes,
            is_sent,
        });
    }

    fn end_fetch(&mut self, at: usize, now: Millis) {
        let fetches = &mut self.entries[at].fetches;
        let ended = fetches.take_if(|fetch| fetch.ends <= now);
        if let Some(Fetch { from, .. }) = ended.filter(|fetch| fetch.is_sent) {
            self.entries[from].sending -= 1;
            if !self.entries[at].knows {
                self.learn(at, now);
            }
        }
    }
}

fn number(member: &Member) -> usize {
    usize::from(member.peer.port())
}

/// Two seconds after the entries that others ask first are back, each knows all endpoints.
#[rstest]
#[case::tens(Size { entries: 30, endpoints: 300, page: 50, calls: 2_000 })]
#[case::a_hundred(Size { entries: 99, endpoints: 990, page: 50, calls: 2_000 })]
#[case::hundreds(Size { entries: 300, endpoints: 3_000, page: 50, calls: 2_000 })]
#[case::a_thousand(Size { entries: 985, endpoints: 10_000, page: 200, calls: 16_000 })]
fn all_that_start_together_serve_soon(#[case] size: Size) {
    let mut world = World::new(size, 1);
    let took = world.play();
    println!("{size:?}: {took}, {} calls", world.calls);
    assert!(took <= Millis(2_000), "{took}, {} calls", world.calls);
}
