//! A fleet in front of one service on the test clock: entries that each have a `Room`, reports
//! between them that are late or lost, and a service that works first come first served.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::relay::scheduling::Report;
use woodgap_core::relay::scheduling::room::{RequestInfo, Room, Surroundings};

pub const TARGET: Millis = Millis(400);
/// The mean time for which a request uses a slot, in ms.
pub const COST: f64 = 50.0;
/// How long callers wait for an answer.
const PATIENCE: u64 = 1_500;
const ROUND: u64 = 300;
const UPDATE: u64 = 250;
const REPORT_TTL: u64 = 1_500;
/// The time after which the others know of a killed entry.
const DETECTION: u64 = 1_000;

/// The callers of one workspace and priority: requests per second, by the time in seconds.
pub struct Callers {
    pub workspace: String,
    pub priority: u8,
    pub rate: Box<dyn Fn(f64) -> f64>,
}

pub fn callers(workspace: &str, priority: u8, rate: impl Fn(f64) -> f64 + 'static) -> Callers {
    let workspace = workspace.to_owned();
    let rate = Box::new(rate);
    Callers {
        workspace,
        priority,
        rate,
    }
}

pub struct Setting {
    pub entries: usize,
    /// Requests per second, by the time in seconds.
    pub capacity: fn(f64) -> f64,
    /// The capacity that the entries know. What is missing of it makes the endpoints slow.
    pub known_capacity: fn(f64) -> f64,
    pub is_scheduled: bool,
    /// The part of the entries whose reports are received by nobody.
    pub silent: f64,
    /// When one of the entries is killed, in ms.
    pub killed_at: Option<u64>,
    pub seconds: u64,
    pub seed: u64,
}

/// Cost of one group of callers in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sums {
    pub offered: f64,
    pub admitted: f64,
    pub in_time: f64,
}

#[derive(Default)]
struct Entry {
    room: Room,
    in_flight: u32,
    carried: HashMap<usize, f64>,
    peers: HashMap<usize, (u64, Rc<Report>)>,
    is_dead: bool,
}

enum Event {
    Outcome {
        entry: usize,
        cost: f64,
        is_late: bool,
        is_lost: bool,
    },
    Report {
        from: usize,
        to: usize,
        report: Rc<Report>,
    },
}

pub struct Model {
    setting: Setting,
    callers: Vec<Callers>,
    entries: Vec<Entry>,
    events: BTreeMap<u64, Vec<Event>>,
    /// When the service is done with all requests, in ms.
    free_at: f64,
    random: ChaCha8Rng,
    /// By second and group of callers.
    pub sums: Vec<Vec<Sums>>,
    /// The levels of the entries in requests per second, by second; none counts as 0.
    pub levels: Vec<Vec<f64>>,
}

impl Model {
    pub fn run(setting: Setting, callers: Vec<Callers>) -> Self {
        let random = ChaCha8Rng::seed_from_u64(setting.seed);
        let seconds = usize::try_from(setting.seconds).unwrap();
        let sums = vec![vec![Sums::default(); callers.len()]; seconds];
        let entries = (0..setting.entries).map(|_| Entry::default()).collect();
        let mut model = Self {
            setting,
            callers,
            entries,
            events: BTreeMap::new(),
            free_at: 0.0,
            random,
            sums,
            levels: Vec::new(),
        };
        for now in 0..model.setting.seconds * 1_000 {
            model.step(now);
        }
        model
    }

    /// The sums over seconds and groups of callers.
    pub fn total(&self, seconds: std::ops::Range<usize>, groups: &[usize]) -> Sums {
        let mut total = Sums::default();
        for sums in self.sums[seconds]
            .iter()
            .flat_map(|it| groups.iter().map(|group| it[*group]))
        {
            total.offered += sums.offered;
            total.admitted += sums.admitted;
            total.in_time += sums.in_time;
        }
        total
    }

    /// The part of the capacity that produces answers in time.
    pub fn useful(&self, seconds: std::ops::Range<usize>) -> f64 {
        let groups: Vec<usize> = (0..self.callers.len()).collect();
        let capacity: f64 = seconds
            .clone()
            .map(|it| (self.setting.capacity)(it as f64))
            .sum();
        self.total(seconds, &groups).in_time / COST / capacity
    }

    fn step(&mut self, now: u64) {
        for event in self.events.remove(&now).unwrap_or_default() {
            self.handle(event, now);
        }
        if self.setting.killed_at == Some(now) {
            self.entries[0].is_dead = true;
        }
        for group in 0..self.callers.len() {
            let mean = (self.callers[group].rate)(now as f64 / 1_000.0) / 1_000.0;
            if self.random.random_bool(mean) {
                self.arrive(group, now);
            }
        }
        for entry in 0..self.entries.len() {
            let offset = now + entry as u64;
            if offset.is_multiple_of(ROUND) {
                self.send_report(entry, now);
            }
            if offset.is_multiple_of(UPDATE) {
                self.update(entry, now);
            }
        }
        if now % 1_000 == 999 {
            let levels = self.entries.iter().map(|it| it.room.snapshot().level);
            self.levels
                .push(levels.map(|it| it.unwrap_or(0.0) / COST).collect());
        }
    }

    fn arrive(&mut self, group: usize, now: u64) {
        let alive = usize::from(self.entries[0].is_dead);
        let number = self.random.random_range(alive..self.entries.len());
        let cost = self.random.random_range(0.5 * COST..1.5 * COST);
        let sums = &mut self.sums[usize::try_from(now / 1_000).unwrap()][group];
        sums.offered += cost;
        let callers = &self.callers[group];
        let request = RequestInfo {
            workspace: &callers.workspace,
            weight: 1.0,
            priority: callers.priority,
            cost,
        };
        let entry = &mut self.entries[number];
        entry.room.record_arrival(&request, Millis(now));
        if self.setting.is_scheduled {
            let start = self.random.random_range(0.0..1.0);
            let carried = entry.carried.entry(group).or_insert(start);
            *carried += entry.room.fraction(request.priority, request.workspace);
            if *carried < 1.0 {
                return;
            }
            *carried -= 1.0;
        }
        entry.room.record_admission(&request, Millis(now));
        entry.in_flight += 1;
        sums.admitted += cost;
        let (done, is_lost) = self.serve(cost, now);
        let is_late = done > now + TARGET.0;
        let sums = &mut self.sums[usize::try_from(now / 1_000).unwrap()][group];
        sums.in_time += if is_late { 0.0 } else { cost };
        let outcome = Event::Outcome {
            entry: number,
            cost,
            is_late,
            is_lost,
        };
        self.events.entry(done).or_default().push(outcome);
    }

    /// When the answer begins, or its caller gives up before the service has begun with it.
    fn serve(&mut self, cost: f64, now: u64) -> (u64, bool) {
        let start = self.free_at.max(now as f64);
        if start > (now + PATIENCE) as f64 {
            return (now + PATIENCE, true);
        }
        let second = now as f64 / 1_000.0;
        let capacity = (self.setting.capacity)(second);
        let speed = capacity * COST;
        // Requests occupy the slots that the entries know for longer.
        let slowdown = (self.setting.known_capacity)(second) / capacity;
        self.free_at = start + cost / speed * 1_000.0;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let done = (self.free_at + cost * slowdown).ceil() as u64;
        (done, false)
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Outcome {
                entry,
                cost,
                is_late,
                is_lost,
            } => {
                let entry = &mut self.entries[entry];
                entry.in_flight -= 1;
                if is_lost {
                    entry.room.record_loss(cost, Millis(now));
                } else {
                    entry.room.record_outcome(cost, is_late, Millis(now));
                }
            }
            Event::Report { from, to, report } => {
                self.entries[to].peers.insert(from, (now, report));
            }
        }
    }

    /// Half of the others receive a report, after 0.3 to 2 s.
    fn send_report(&mut self, from: usize, now: u64) {
        let entry = &self.entries[from];
        let silent = self.setting.silent * self.entries.len() as f64;
        if entry.is_dead || (from as f64) < silent {
            return;
        }
        let report = Rc::new(entry.room.report(7, entry.in_flight, Millis(now)));
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            if self.random.random_bool(0.5) {
                let at = now + self.random.random_range(300..2_000);
                let report = Rc::clone(&report);
                self.events
                    .entry(at)
                    .or_default()
                    .push(Event::Report { from, to, report });
            }
        }
    }

    fn update(&mut self, number: usize, now: u64) {
        let is_known = |killed: u64| now > killed + DETECTION;
        let known_dead = usize::from(self.setting.killed_at.is_some_and(is_known));
        let known = (self.setting.known_capacity)(now as f64 / 1_000.0);
        let surroundings = Surroundings {
            entries: self.entries.len() - known_dead,
            endpoint_capacity: known / 10.0,
            slots: known * COST / 1_000.0,
            nominal: known * COST,
            target: TARGET,
        };
        let entry = &mut self.entries[number];
        entry.peers.retain(|_, (at, _)| now - *at < REPORT_TTL);
        let peers = entry.peers.values().map(|(_, report)| &**report);
        let in_flight = entry.in_flight;
        entry
            .room
            .update(peers, in_flight, &surroundings, Millis(now));
    }
}
