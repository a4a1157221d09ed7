//! A simulated fleet: entries that tell one another in rounds, endpoints that crash and come
//! back, a caller whose request crashes them, and callers whose requests do not.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::quarantine::{Crash, CrashHistory, Quarantine};

use super::request;

/// The time between two steps, and how many there are.
const STEP_MS: u64 = 10;
const STEPS: u64 = 1_600;
/// As between entries: how many steps there are between two rounds, which entries begin at
/// different ones, and whom each one asks.
const STEPS_PER_ROUND: usize = 30;
const GOSSIP_FANOUT: usize = 6;
/// The time between two pieces of an answer.
const PIECE_INTERVAL_MS: u64 = 30;
/// So long after its third crash a request may reach this many endpoints more.
const DETECTION_BOUND_MS: u64 = 3_000;
const MAX_LATE_ARRIVALS: usize = 3;

/// What happens in a fleet.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    endpoints: usize,
    /// How long an endpoint is gone after a crash.
    down: u64,
    /// Between two sends of the request that crashes endpoints; none if nobody sends it.
    pause: Option<u64>,
    /// How long it is at an endpoint before that crashes.
    before: u64,
    /// Between two crashes of endpoints by themselves; none if there are none.
    by_itself: Option<u64>,
    /// How many endpoints crash at the same moment then.
    together: usize,
    /// How long other requests run.
    run: u64,
    /// Whether callers send again what a crash has cut off, again and again.
    resends: bool,
}

#[derive(Clone, Copy)]
struct Run {
    request: Fingerprint,
    entry: usize,
    sent: u64,
    ends: u64,
}

#[derive(Default)]
struct Endpoint {
    life: u32,
    back: u64,
    runs: Vec<Run>,
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    now: u64,
    entries: Vec<Quarantine>,
    endpoints: Vec<Endpoint>,
    fatal: Fingerprint,
    popular: Fingerprint,
    /// When the fatal request reached endpoints, and when these crashed.
    arrivals: Vec<u64>,
    crashes: Vec<u64>,
    /// Other requests that were withheld.
    wrongly_withheld: usize,
    served: usize,
    asked: usize,
    urgent: Vec<usize>,
    /// What callers send again.
    again: Vec<Fingerprint>,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            entries: (0..scenario.entries)
                .map(|_| Quarantine::default())
                .collect(),
            endpoints: (0..scenario.endpoints)
                .map(|_| Endpoint::default())
                .collect(),
            fatal: request("fatal"),
            popular: request("popular"),
            arrivals: Vec::new(),
            crashes: Vec::new(),
            wrongly_withheld: 0,
            served: 0,
            asked: 0,
            urgent: Vec::new(),
            again: Vec::new(),
        }
    }

    fn run(scenario: Scenario, seed: u64) -> Self {
        let mut sim = Self::new(scenario, seed);
        for step in 1..=STEPS {
            sim.now = 1_000 + step * STEP_MS;
            sim.step();
        }
        sim
    }

    fn step(&mut self) {
        if self.is_due(self.scenario.pause) {
            self.send(self.fatal);
        }
        // One popular request, and one that is sent twice, like a caller that comes back.
        self.send(self.popular);
        let number = self.now / STEP_MS / 2;
        self.send(request(&format!("seldom {number}")));
        for request in std::mem::take(&mut self.again) {
            self.send(request);
        }
        self.end_runs();
        if self.is_due(self.scenario.by_itself) {
            for _ in 0..self.scenario.together {
                self.crash_random_endpoint();
            }
        }
        self.gossip();
    }

    fn is_due(&self, period: Option<u64>) -> bool {
        period.is_some_and(|period| (self.now / STEP_MS).is_multiple_of(period / STEP_MS))
    }

    fn send(&mut self, request: Fingerprint) {
        let entry = self.random.random_range(0..self.entries.len());
        let now = Millis(self.now);
        let is_fatal = request == self.fatal;
        self.asked += usize::from(!is_fatal);
        if self.entries[entry].hold(request, now).is_some() {
            self.wrongly_withheld += usize::from(!is_fatal);
            return;
        }
        let now = self.now;
        let living = self.endpoints.iter_mut().filter(|it| it.back <= now);
        let Some(endpoint) = living.choose(&mut self.random) else {
            return;
        };
        if is_fatal {
            self.arrivals.push(self.now);
        }
        let run = if is_fatal {
            self.scenario.before
        } else {
            self.scenario.run
        };
        endpoint.runs.push(Run {
            request,
            entry,
            sent: self.now,
            ends: self.now + run,
        });
    }

    fn end_runs(&mut self) {
        for at in 0..self.endpoints.len() {
            let now = self.now;
            let runs = &mut self.endpoints[at].runs;
            if runs
                .iter()
                .any(|run| run.request == self.fatal && run.ends <= now)
            {
                self.crashes.push(now);
                self.crash(at);
                continue;
            }
            let ended: Vec<_> = runs.extract_if(.., |run| run.ends <= now).collect();
            for run in ended {
                self.served += 1;
                self.entries[run.entry].record_success(run.request, Millis(now));
            }
        }
    }

    fn crash_random_endpoint(&mut self) {
        let now = self.now;
        let all = self.endpoints.iter().enumerate();
        let living = all.filter(|(_, it)| it.back <= now).map(|(at, _)| at);
        if let Some(at) = living.choose(&mut self.random) {
            self.crash(at);
        }
    }

    fn crash(&mut self, at: usize) {
        let endpoint = &mut self.endpoints[at];
        let life = endpoint.life * 1_000 + u32::try_from(at).unwrap();
        endpoint.life += 1;
        endpoint.back = self.now + self.scenario.down;
        let now = Millis(self.now);
        for run in std::mem::take(&mut endpoint.runs) {
            let crash = Crash {
                endpoint: life,
                sent: Millis(run.sent),
                at: now,
                pieces: if run.request == self.fatal {
                    0
                } else {
                    u32::try_from((now.0 - run.sent) / PIECE_INTERVAL_MS).unwrap()
                },
            };
            let change = self.entries[run.entry].record_crash(run.request, crash, now);
            if change.is_urgent {
                self.urgent.push(run.entry);
            }
            if self.scenario.resends && run.request != self.fatal {
                self.again.push(run.request);
            }
        }
    }

    /// Rounds of messages, in turns and at once where there is something urgent.
    fn gossip(&mut self) {
        let count = self.entries.len();
        let step = usize::try_from(self.now / STEP_MS).unwrap();
        let in_turn = (0..count).filter(|entry| entry % STEPS_PER_ROUND == step % STEPS_PER_ROUND);
        let mut due: BTreeSet<usize> = in_turn.collect();
        due.extend(std::mem::take(&mut self.urgent));
        for entry in due {
            let others = (0..count).filter(|it| *it != entry);
            let asked = others.choose_multiple(&mut self.random, GOSSIP_FANOUT);
            for other in asked {
                let told = self.entries[entry].histories_to_send(12, Millis(self.now));
                self.receive(other, &told);
                let told = self.entries[other].histories_to_send(12, Millis(self.now));
                self.receive(entry, &told);
            }
        }
    }

    fn receive(&mut self, entry: usize, told: &[CrashHistory]) {
        if self.entries[entry]
            .merge_histories(told, Millis(self.now))
            .is_urgent
        {
            self.urgent.push(entry);
        }
    }

    fn late(&self) -> usize {
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        self.arrivals
            .iter()
            .filter(|at| **at > third + DETECTION_BOUND_MS)
            .count()
    }
}

/// Nobody sends anything that crashes endpoints; they crash by themselves.
fn by_itself(entries: usize, endpoints: usize, period: u64, together: usize) -> Scenario {
    Scenario {
        entries,
        endpoints,
        down: 800,
        pause: None,
        before: 0,
        by_itself: Some(period),
        together,
        run: 100,
        resends: false,
    }
}

fn fatal(entries: usize, endpoints: usize, pause: u64, before: u64) -> Scenario {
    Scenario {
        entries,
        endpoints,
        down: 3_000,
        pause: Some(pause),
        before,
        by_itself: None,
        together: 0,
        run: 100,
        resends: false,
    }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let sizes = prop_oneof![Just((2, 9)), Just((6, 9)), Just((30, 40)), Just((90, 120))];
    let pause = (5_u64..100).prop_map(|it| it * STEP_MS);
    let before = (1_u64..60).prop_map(|it| it * STEP_MS);
    let by_itself = prop_oneof![Just(None), Just(Some(350)), Just(Some(1_000))];
    let run = (1_u64..60).prop_map(|it| it * STEP_MS);
    (sizes, pause, before, by_itself, 1_usize..4, run).prop_map(
        |((entries, endpoints), pause, before, by_itself, together, run)| Scenario {
            by_itself: by_itself.map(|period: u64| period * together as u64),
            together,
            run,
            // Where endpoints crash faster than they come back no run ends well, and none can
            // show that it is not the cause.
            down: if by_itself.is_some() { 800 } else { 3_000 },
            ..fatal(entries, endpoints, pause, before)
        },
    )
}

/// The same worlds in each run; more of them by `PROPTEST_CASES`.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        cases: if std::env::var_os("PROPTEST_CASES").is_some() {
            default.cases
        } else {
            24
        },
        rng_seed: RngSeed::Fixed(7),
        // A smaller world is another one, and takes as long.
        max_shrink_iters: 0,
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_request_that_crashes_endpoints_reaches_few_more(scenario in scenarios(), seed: u64) {
        let sim = Simulation::run(scenario, seed);
        prop_assert!(sim.late() <= MAX_LATE_ARRIVALS, "{} late of {}", sim.late(), sim.arrivals.len());
        prop_assert_eq!(sim.wrongly_withheld, 0);
    }

    #[test]
    fn crashes_by_themselves_are_put_down_to_no_request(
        scenario in scenarios(), period in 7_u64..20, seed: u64
    ) {
        let scenario = Scenario {
            pause: None,
            down: 800,
            by_itself: Some(period * 50 * scenario.together as u64),
            ..scenario
        };
        let sim = Simulation::run(scenario, seed);
        prop_assert_eq!(sim.wrongly_withheld, 0);
    }
}

/// Long streams are cut off by many crashes, and their callers send them again at once. Each was cut
/// off at another place: what crashes endpoints does so at the same one each time.
#[test]
fn long_streams_that_crashes_cut_off_are_put_down_to_no_request() {
    for seed in 0..6 {
        let scenario = Scenario {
            run: 3_000,
            resends: true,
            ..by_itself(6, 9, 1_000, 1)
        };
        let sim = Simulation::run(scenario, seed);
        assert_eq!(sim.wrongly_withheld, 0, "seed {seed}");
    }
}

/// How many endpoints one request takes down, and what is left for the others.
#[test]
fn figures() {
    let mut lines = Vec::new();
    let sizes = [(2, 2), (6, 9), (90, 120), (295, 400)];
    for (entries, endpoints) in sizes {
        for pause in [100, 400] {
            let sim = Simulation::run(fatal(entries, endpoints, pause, 300), 1);
            lines.push(line(
                &format!("{entries}:{endpoints} each {pause} ms"),
                &sim,
            ));
        }
        let sim = Simulation::run(by_itself(entries, endpoints, 350, 1), 1);
        lines.push(line(&format!("{entries}:{endpoints} by itself"), &sim));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

fn line(scenario: &str, sim: &Simulation) -> String {
    format!(
        "{scenario}: {} crashes by the request, {} arrivals, {} late, {} others withheld, {:.3} served",
        sim.crashes.len(),
        sim.arrivals.len(),
        sim.late(),
        sim.wrongly_withheld,
        sim.served as f64 / sim.asked as f64,
    )
}
