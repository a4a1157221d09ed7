//! A simulated fleet: entries that exchange crash histories in rounds, endpoints that crash and
//! restart, callers whose request, or a part of whose prompts, crashes them, and callers whose
//! requests do not.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use woodgap_core::clock::Millis;
use woodgap_core::quarantine::{
    CRASH_THRESHOLD, Cause, Crash, CrashHistory, PART_CRASH_THRESHOLD, Quarantine,
};

use super::request;

/// The time between two steps, and the number of steps.
const STEP_MS: u64 = 10;
const STEPS: u64 = 1_600;
/// The gossip schedule of entries: the number of steps between two rounds of an entry, which
/// starts at a different step for each entry, and the number of entries contacted per round.
const STEPS_PER_ROUND: usize = 30;
const GOSSIP_FANOUT: usize = 6;
/// The time between two pieces of a response.
const PIECE_INTERVAL_MS: u64 = 30;
/// Later than this after its third crash, a request may reach at most `MAX_LATE_ARRIVALS` more
/// endpoints; for a part of prompts, this counts from its fifth crash.
const DETECTION_BOUND_MS: u64 = 3_000;
const MAX_LATE_ARRIVALS: usize = 3;
/// A part of prompts that crashes endpoints, and one that all prompts hold.
const FATAL_PART: Cause = Cause::Part(0xfa7a);
const SHARED_PART: Cause = Cause::Part(0x5a);
/// The number of parts that few prompts hold, and the ID of the first one.
const RARE_PARTS: u64 = 40;
const FIRST_RARE_PART: u64 = 1_000;

/// The parameters of a simulation; all times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    endpoints: usize,
    /// How long an endpoint is down after a crash.
    downtime: u64,
    /// The interval between sends of the request that crashes endpoints; `None` if it is not sent.
    resend_interval: Option<u64>,
    /// Whether it is not one request that crashes endpoints, but a part of prompts, no two alike.
    has_parts: bool,
    /// How long such a request runs on an endpoint before the endpoint crashes.
    time_to_crash: u64,
    /// The interval between crashes that no request causes; `None` if there are none.
    crash_interval: Option<u64>,
    /// The number of endpoints that crash at the same time in such a crash.
    simultaneous: usize,
    /// How long other requests run.
    run: u64,
    /// Whether callers resend each request that a crash interrupted.
    resends: bool,
}

#[derive(Clone)]
struct Run {
    causes: Vec<Cause>,
    is_fatal: bool,
    entry: usize,
    sent: u64,
    ends: u64,
}

#[derive(Default)]
struct Endpoint {
    incarnation: u32,
    up_at: u64,
    runs: Vec<Run>,
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    now: u64,
    entries: Vec<Quarantine>,
    endpoints: Vec<Endpoint>,
    /// When the fatal request reached endpoints, and when it crashed them.
    arrivals: Vec<u64>,
    crashes: Vec<u64>,
    /// The number of sends of other requests that were refused by a hold.
    wrongly_withheld: usize,
    served: usize,
    attempted: usize,
    urgent: Vec<usize>,
    /// Interrupted requests that callers resend at the next step.
    resend_queue: Vec<Vec<Cause>>,
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
            arrivals: Vec::new(),
            crashes: Vec::new(),
            wrongly_withheld: 0,
            served: 0,
            attempted: 0,
            urgent: Vec::new(),
            resend_queue: Vec::new(),
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
        if self.is_due(self.scenario.resend_interval) {
            let name = if self.scenario.has_parts {
                format!("fatal {}", self.now)
            } else {
                "fatal".to_owned()
            };
            let causes = self.with_parts(&name, FATAL_PART);
            self.send(causes, true);
        }
        // One popular request, and one that is sent twice, as by a caller that retries.
        let number = self.now / STEP_MS / 2;
        let rare = Cause::Part(FIRST_RARE_PART + number % RARE_PARTS);
        let popular = self.with_parts("popular", SHARED_PART);
        self.send(popular, false);
        let seldom = self.with_parts(&format!("seldom {number}"), rare);
        self.send(seldom, false);
        for causes in std::mem::take(&mut self.resend_queue) {
            self.send(causes, false);
        }
        self.end_runs();
        if self.is_due(self.scenario.crash_interval) {
            for _ in 0..self.scenario.simultaneous {
                self.crash_random_endpoint();
            }
        }
        self.gossip();
    }

    /// Returns the causes in a request: also the shared part and this one if prompts have parts.
    fn with_parts(&self, name: &str, part: Cause) -> Vec<Cause> {
        let mut causes = vec![request(name)];
        if self.scenario.has_parts {
            causes.push(SHARED_PART);
            causes.push(part);
        }
        causes
    }

    fn is_due(&self, period: Option<u64>) -> bool {
        period.is_some_and(|period| (self.now / STEP_MS).is_multiple_of(period / STEP_MS))
    }

    fn send(&mut self, causes: Vec<Cause>, is_fatal: bool) {
        let entry = self.random.random_range(0..self.entries.len());
        let now = Millis(self.now);
        self.attempted += usize::from(!is_fatal);
        if self.entries[entry].hold(&causes, now).is_some() {
            self.wrongly_withheld += usize::from(!is_fatal);
            return;
        }
        let now = self.now;
        let running = self.endpoints.iter_mut().filter(|it| it.up_at <= now);
        let Some(endpoint) = running.choose(&mut self.random) else {
            return;
        };
        if is_fatal {
            self.arrivals.push(self.now);
        }
        let run = if is_fatal {
            self.scenario.time_to_crash
        } else {
            self.scenario.run
        };
        self.entries[entry].record_send(&causes, Millis(now));
        endpoint.runs.push(Run {
            causes,
            is_fatal,
            entry,
            sent: self.now,
            ends: self.now + run,
        });
    }

    fn end_runs(&mut self) {
        for at in 0..self.endpoints.len() {
            let now = self.now;
            let runs = &mut self.endpoints[at].runs;
            if runs.iter().any(|run| run.is_fatal && run.ends <= now) {
                self.crashes.push(now);
                self.crash(at);
                continue;
            }
            let ended: Vec<_> = runs.extract_if(.., |run| run.ends <= now).collect();
            for run in ended {
                self.served += 1;
                self.entries[run.entry].record_success(&run.causes, Millis(now), Millis(now));
            }
        }
    }

    fn crash_random_endpoint(&mut self) {
        let now = self.now;
        let all = self.endpoints.iter().enumerate();
        let running = all.filter(|(_, it)| it.up_at <= now).map(|(at, _)| at);
        if let Some(at) = running.choose(&mut self.random) {
            self.crash(at);
        }
    }

    fn crash(&mut self, at: usize) {
        let endpoint = &mut self.endpoints[at];
        let incarnation = endpoint.incarnation * 1_000 + u32::try_from(at).unwrap();
        endpoint.incarnation += 1;
        endpoint.up_at = self.now + self.scenario.downtime;
        let now = Millis(self.now);
        for run in std::mem::take(&mut endpoint.runs) {
            let crash = Crash {
                endpoint: incarnation,
                sent: Millis(run.sent),
                at: now,
                pieces: if run.is_fatal {
                    0
                } else {
                    u32::try_from((now.0 - run.sent) / PIECE_INTERVAL_MS).unwrap()
                },
            };
            let change = self.entries[run.entry].record_crash(&run.causes, crash, now);
            if change.is_urgent {
                self.urgent.push(run.entry);
            }
            if self.scenario.resends && !run.is_fatal {
                self.resend_queue.push(run.causes);
            }
        }
    }

    /// Runs the gossip rounds that are due, and immediate ones for urgent changes.
    fn gossip(&mut self) {
        let count = self.entries.len();
        let step = usize::try_from(self.now / STEP_MS).unwrap();
        let scheduled =
            (0..count).filter(|entry| entry % STEPS_PER_ROUND == step % STEPS_PER_ROUND);
        let mut due: BTreeSet<usize> = scheduled.collect();
        due.extend(std::mem::take(&mut self.urgent));
        for entry in due {
            let others = (0..count).filter(|it| *it != entry);
            let peers = others.choose_multiple(&mut self.random, GOSSIP_FANOUT);
            for other in peers {
                let histories = self.entries[entry].histories_to_send(12, Millis(self.now));
                self.receive(other, &histories);
                let histories = self.entries[other].histories_to_send(12, Millis(self.now));
                self.receive(entry, &histories);
            }
        }
    }

    fn receive(&mut self, entry: usize, histories: &[CrashHistory]) {
        if self.entries[entry]
            .merge_histories(histories, Millis(self.now))
            .is_urgent
        {
            self.urgent.push(entry);
        }
    }

    fn late_arrivals(&self) -> usize {
        let needed = if self.scenario.has_parts {
            PART_CRASH_THRESHOLD
        } else {
            CRASH_THRESHOLD
        };
        let Some(last) = self.crashes.get(needed - 1) else {
            return 0;
        };
        self.arrivals
            .iter()
            .filter(|at| **at > last + DETECTION_BOUND_MS)
            .count()
    }
}

/// A scenario without a fatal request, in which endpoints crash for other reasons.
fn spontaneous_crashes(
    entries: usize,
    endpoints: usize,
    period: u64,
    simultaneous: usize,
) -> Scenario {
    Scenario {
        entries,
        endpoints,
        downtime: 800,
        resend_interval: None,
        has_parts: false,
        time_to_crash: 0,
        crash_interval: Some(period),
        simultaneous,
        run: 100,
        resends: false,
    }
}

fn fatal(entries: usize, endpoints: usize, resend_interval: u64, time_to_crash: u64) -> Scenario {
    Scenario {
        entries,
        endpoints,
        downtime: 3_000,
        resend_interval: Some(resend_interval),
        has_parts: false,
        time_to_crash,
        crash_interval: None,
        simultaneous: 0,
        run: 100,
        resends: false,
    }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let sizes = prop_oneof![Just((2, 9)), Just((6, 9)), Just((30, 40)), Just((90, 120))];
    let resend_interval = (5_u64..100).prop_map(|it| it * STEP_MS);
    let time_to_crash = (1_u64..60).prop_map(|it| it * STEP_MS);
    let crash_interval = prop_oneof![Just(None), Just(Some(350)), Just(Some(1_000))];
    let run = (1_u64..60).prop_map(|it| it * STEP_MS);
    (
        sizes,
        resend_interval,
        time_to_crash,
        crash_interval,
        1_usize..4,
        run,
    )
        .prop_map(
            |(
                (entries, endpoints),
                resend_interval,
                time_to_crash,
                crash_interval,
                simultaneous,
                run,
            )| Scenario {
                crash_interval: crash_interval.map(|period: u64| period * simultaneous as u64),
                simultaneous,
                run,
                // If endpoints crash faster than they restart, no run completes and no
                // request can be cleared.
                downtime: if crash_interval.is_some() { 800 } else { 3_000 },
                ..fatal(entries, endpoints, resend_interval, time_to_crash)
            },
        )
}

/// Uses a fixed seed, so that each run tests the same scenarios. `PROPTEST_CASES` sets how
/// many.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        cases: if std::env::var_os("PROPTEST_CASES").is_some() {
            default.cases
        } else {
            24
        },
        rng_seed: RngSeed::Fixed(7),
        // A shrunk scenario is a different one and takes as long to run.
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
        prop_assert!(
            sim.late_arrivals() <= MAX_LATE_ARRIVALS,
            "{} late of {}",
            sim.late_arrivals(),
            sim.arrivals.len()
        );
        prop_assert_eq!(sim.wrongly_withheld, 0);
    }

    #[test]
    fn a_part_that_crashes_endpoints_reaches_few_more(scenario in scenarios(), seed: u64) {
        let sim = Simulation::run(Scenario { has_parts: true, ..scenario }, seed);
        prop_assert!(
            sim.late_arrivals() <= MAX_LATE_ARRIVALS,
            "{} late of {}",
            sim.late_arrivals(),
            sim.arrivals.len()
        );
        prop_assert_eq!(sim.wrongly_withheld, 0);
    }

    #[test]
    fn crashes_by_themselves_are_put_down_to_no_part(
        scenario in scenarios(), period in 7_u64..20, seed: u64
    ) {
        let scenario = Scenario {
            resend_interval: None,
            has_parts: true,
            downtime: 800,
            crash_interval: Some(period * 50 * scenario.simultaneous as u64),
            ..scenario
        };
        let sim = Simulation::run(scenario, seed);
        prop_assert_eq!(sim.wrongly_withheld, 0);
    }

    #[test]
    fn crashes_by_themselves_are_put_down_to_no_request(
        scenario in scenarios(), period in 7_u64..20, seed: u64
    ) {
        let scenario = Scenario {
            resend_interval: None,
            downtime: 800,
            crash_interval: Some(period * 50 * scenario.simultaneous as u64),
            ..scenario
        };
        let sim = Simulation::run(scenario, seed);
        prop_assert_eq!(sim.wrongly_withheld, 0);
    }
}

/// Long streams are interrupted by many crashes, and their callers resend them at once. Each
/// interruption is at a different position, whereas a request that crashes endpoints does so at
/// the same one.
#[test]
fn long_streams_that_crashes_cut_off_are_put_down_to_no_request() {
    for seed in 0..6 {
        let scenario = Scenario {
            run: 3_000,
            resends: true,
            ..spontaneous_crashes(6, 9, 1_000, 1)
        };
        let sim = Simulation::run(scenario, seed);
        assert_eq!(sim.wrongly_withheld, 0, "seed {seed}");
    }
}

/// How many endpoints a part of prompts takes down, and which share of the sound requests, which all
/// share a part with it, is served.
#[test]
fn figures_of_parts() {
    let mut lines = Vec::new();
    for (entries, endpoints) in [(2, 3), (6, 9), (90, 120), (295, 400)] {
        for resend_interval in [100, 400, 1_000] {
            let scenario = Scenario {
                has_parts: true,
                ..fatal(entries, endpoints, resend_interval, 300)
            };
            lines.push(line(
                &format!("{entries}:{endpoints} each {resend_interval} ms"),
                &Simulation::run(scenario, 1),
            ));
        }
        let scenario = Scenario {
            has_parts: true,
            ..spontaneous_crashes(entries, endpoints, 350, 1)
        };
        let sim = Simulation::run(scenario, 1);
        lines.push(line(&format!("{entries}:{endpoints} by itself"), &sim));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// How many endpoints one request takes down, and which share of the other requests is served.
#[test]
fn figures() {
    let mut lines = Vec::new();
    let sizes = [(2, 2), (6, 9), (90, 120), (295, 400)];
    for (entries, endpoints) in sizes {
        for resend_interval in [100, 400] {
            let sim = Simulation::run(fatal(entries, endpoints, resend_interval, 300), 1);
            lines.push(line(
                &format!("{entries}:{endpoints} each {resend_interval} ms"),
                &sim,
            ));
        }
        let sim = Simulation::run(spontaneous_crashes(entries, endpoints, 350, 1), 1);
        lines.push(line(&format!("{entries}:{endpoints} by itself"), &sim));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

fn line(scenario: &str, sim: &Simulation) -> String {
    format!(
        "{scenario}: {} crashes by the request, {} arrivals, {} late, {} others withheld, {:.3} served",
        sim.crashes.len(),
        sim.arrivals.len(),
        sim.late_arrivals(),
        sim.wrongly_withheld,
        sim.served as f64 / sim.attempted as f64,
    )
}
