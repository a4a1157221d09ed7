//! One loop over arrivals, runs and ticks, and what came of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Ask, Directory, Done, Outcome};
use woodgap_core::instance::{Instance, Role, State};
use woodgap_core::name;
use woodgap_core::pool::MINIMUM_SHARE_PRIORITY;
use woodgap_core::tier::Tier;

use super::engine::{Engine, Job, Started};
use super::report::{Report, Tally};
use super::router::{Order, Router};
use super::traffic::{Arrival, Source};

const TICK: Millis = Millis(50);
const REPORT: Millis = Millis(500);
/// How long after the last arrival a request without an end counts as lost.
const PATIENCE: Millis = Millis::from_secs(3_600);
/// Endpoints that one request is tried on.
const ATTEMPTS: usize = 3;

/// A site under traffic.
#[derive(Clone, Debug)]
pub struct Site {
    pub engines: Vec<Engine>,
    /// Share of the runs that an engine breaks off half way, by engine.
    pub breaks: Vec<f64>,
    pub sources: Vec<Source>,
    /// When the last request comes; what waits and runs then is carried through.
    pub end: Millis,
    /// Requests that came before this do not count.
    pub warm_up: Millis,
    pub seed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(usize, u64),
    Arrive(usize),
    Tick,
}

struct Sim<'a> {
    site: &'a mut Site,
    arrivals: &'a [Arrival],
    router: &'a mut dyn Router,
    directory: Directory,
    events: BTreeSet<(Millis, u64, Event)>,
    scheduled: u64,
    started: BTreeMap<u64, (Started, bool)>,
    avoid: BTreeMap<usize, Vec<name::Endpoint>>,
    /// Waiting requests by tier and class.
    waiting: BTreeMap<(u8, &'static str), BTreeSet<usize>>,
    shed: Vec<(Millis, u8)>,
    open: usize,
    random: ChaCha8Rng,
    report: Report,
}

/// Carries the arrivals through the site under a router.
pub fn run(mut site: Site, arrivals: &[Arrival], router: &mut dyn Router) -> Report {
    let report = Report {
        by_source: vec![Tally::default(); site.sources.len()],
        runs: vec![0; site.engines.len()],
        ..Report::default()
    };
    let seed = site.seed;
    let mut directory = Directory::default();
    directory.update(&instances(&site.engines));
    let mut sim = Sim {
        site: &mut site,
        arrivals,
        router,
        directory,
        events: BTreeSet::new(),
        scheduled: 0,
        started: BTreeMap::new(),
        avoid: BTreeMap::new(),
        waiting: BTreeMap::new(),
        shed: Vec::new(),
        open: arrivals.len(),
        random: ChaCha8Rng::seed_from_u64(seed),
        report,
    };
    sim.schedule(Millis::ZERO, Event::Tick);
    for (index, arrival) in arrivals.iter().enumerate() {
        sim.schedule(arrival.at, Event::Arrive(index));
    }
    sim.carry_through();
    let mut report = sim.report;
    report.hits = site.engines.iter().map(|engine| engine.hits).sum();
    report.misses = site.engines.iter().map(|engine| engine.misses).sum();
    report
}

impl Sim<'_> {
    fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled, event));
    }

    fn carry_through(&mut self) {
        while self.open > 0 {
            let Some((now, _, event)) = self.events.pop_first() else {
                return;
            };
            if now > self.site.end + PATIENCE {
                self.report.lost = self.open;
                return;
            }
            match event {
                Event::Tick => self.tick(now),
                Event::Arrive(index) => self.ask(now, index),
                Event::End(engine, permit) => self.end(now, engine, permit),
            }
        }
    }

    fn tick(&mut self, now: Millis) {
        self.schedule(now + TICK, Event::Tick);
        if now.0.is_multiple_of(REPORT.0) {
            for (index, engine) in self.site.engines.iter_mut().enumerate() {
                let load = engine.report(now);
                self.directory.loaded(now, &endpoint(index), load);
            }
        }
        let orders = self.router.tick(now, &self.directory);
        self.carry_out(now, orders);
    }

    fn ask(&mut self, now: Millis, index: usize) {
        let arrival = &self.arrivals[index];
        let source = &self.site.sources[arrival.source];
        if arrival.at >= self.site.warm_up && !self.avoid.contains_key(&index) {
            self.report.by_source[arrival.source].sent += 1;
        }
        let class = (source.tier, source.class);
        self.waiting.entry(class).or_default().insert(index);
        let ask = Ask {
            request: request(index),
            target: name::Target::from("model"),
            workspace: name::Workspace::from(source.workspace),
            tier: Tier::new(source.tier).expect("tier"),
            class: name::Class::from(source.class),
            weight: 1,
            deadline: arrival.at + source.target,
            avoid: self.avoid.get(&index).cloned().unwrap_or_default(),
            prefix: arrival.prefix,
            identity: 0,
        };
        let orders = self.router.ask(now, &self.directory, ask);
        self.carry_out(now, orders);
    }

    fn carry_out(&mut self, now: Millis, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Refuse(index) => self.refuse(now, index),
                Order::Send {
                    request,
                    permit,
                    endpoint,
                    priority,
                } => self.send(now, request, permit, &endpoint, priority),
            }
        }
    }

    fn refuse(&mut self, now: Millis, index: u64) {
        let index = usize::try_from(index).expect("index");
        let tier = self.take_off(index);
        self.open -= 1;
        if let Some(tally) = self.tally(index) {
            tally.refused += 1;
        }
        // One of each class stands outside the bound, for its class's share.
        let mut below = self.waiting.range((tier + 1, "")..);
        if below.any(|(_, some)| some.len() > 1) {
            self.report.inversions += 1;
        } else {
            self.shed.push((now, tier));
        }
    }

    fn send(
        &mut self,
        now: Millis,
        index: u64,
        permit: u64,
        endpoint: &name::Endpoint,
        priority: u8,
    ) {
        let index = usize::try_from(index).expect("index");
        let arrival = &self.arrivals[index];
        let tier = self.take_off(index);
        self.shed.retain(|(at, _)| now - *at <= Millis(1_000));
        if priority != MINIMUM_SHARE_PRIORITY {
            let before = self.shed.len();
            self.shed.retain(|(_, shed)| *shed >= tier);
            self.report.inversions += (before - self.shed.len()) as u64;
        }
        let engine: usize = endpoint.as_str()[1..].parse().expect("engine");
        let job = Job {
            permit,
            request: index,
            tokens: arrival.tokens,
            prefix: arrival.prefix,
            sent: now,
        };
        self.report.runs[engine] += 1;
        self.site.engines[engine].enter(priority, job);
        self.admit(now, engine);
    }

    fn admit(&mut self, now: Millis, engine: usize) {
        while let Some(started) = self.site.engines[engine].admit(now) {
            let permit = started.job.permit;
            let source = self.arrivals[started.job.request].source;
            let tally = &mut self.report.by_source[source];
            tally.queued = tally.queued.max(now - started.job.sent);
            let breaks = self.random.random_bool(self.site.breaks[engine])
                || self.arrivals[started.job.request].poison;
            let half = Millis((started.end - now).0 / 2);
            let end = if breaks { now + half } else { started.end };
            self.started.insert(permit, (started, breaks));
            self.schedule(end, Event::End(engine, permit));
        }
    }

    fn end(&mut self, now: Millis, engine: usize, permit: u64) {
        let (started, broken) = self.started.remove(&permit).expect("started");
        self.site.engines[engine].leave();
        let Job {
            request: index,
            sent,
            tokens,
            ..
        } = started.job;
        let first = (started.first < now || !broken).then(|| started.first - sent);
        let done = Done {
            request: request(index),
            permit,
            outcome: if broken {
                Outcome::Failed
            } else {
                Outcome::Complete
            },
            tokens: if broken { tokens / 2 } else { tokens },
            first_token: first,
            elapsed: now - sent,
        };
        if broken {
            self.report.wasted += done.tokens;
        } else {
            self.report.useful += done.tokens;
        }
        let orders = self.router.done(now, &self.directory, &done);
        self.carry_out(now, orders);
        self.admit(now, engine);
        if broken {
            self.again(now, index, engine);
        } else {
            self.complete(now, index);
        }
    }

    fn again(&mut self, now: Millis, index: usize, engine: usize) {
        let avoid = self.avoid.entry(index).or_default();
        avoid.push(endpoint(engine));
        if avoid.len() < ATTEMPTS {
            self.ask(now, index);
            return;
        }
        self.open -= 1;
        if let Some(tally) = self.tally(index) {
            tally.failed += 1;
        }
    }

    fn complete(&mut self, now: Millis, index: usize) {
        self.open -= 1;
        let arrival = &self.arrivals[index];
        let target = self.site.sources[arrival.source].target;
        let latency = now - arrival.at;
        let Some(tally) = self.tally(index) else {
            return;
        };
        tally.complete += 1;
        tally.met += u64::from(latency <= target);
        tally.longest = tally.longest.max(latency);
        tally.latencies.push(latency.0);
    }

    /// The tally that a request counts in; none before the end of the warm-up.
    fn tally(&mut self, index: usize) -> Option<&mut Tally> {
        let arrival = &self.arrivals[index];
        (arrival.at >= self.site.warm_up).then(|| &mut self.report.by_source[arrival.source])
    }

    /// Takes a request off those that wait; returns its tier.
    fn take_off(&mut self, index: usize) -> u8 {
        let source = &self.site.sources[self.arrivals[index].source];
        let class = (source.tier, source.class);
        if let Some(waiting) = self.waiting.get_mut(&class) {
            waiting.remove(&index);
        }
        source.tier
    }
}

fn request(index: usize) -> name::Request {
    name::Request {
        incarnation: name::Incarnation(1 + index as u64 % 6),
        sequence: index as u64,
    }
}

fn endpoint(index: usize) -> name::Endpoint {
    name::Endpoint::from(format!("e{index}"))
}

fn instances(engines: &[Engine]) -> Vec<Instance> {
    let instance = |(index, engine): (usize, &Engine)| Instance {
        name: format!("e{index}"),
        role: Role::Engine,
        address: SocketAddr::from((
            Ipv4Addr::LOCALHOST,
            1_000 + u16::try_from(index).unwrap_or(0),
        )),
        data_centre: name::DataCentre::from("dub-a"),
        state: State::Live,
        targets: vec![name::Target::from("model")],
        slots: engine.claimed,
        checks_fencing: false,
        peer_address: None,
    };
    engines.iter().enumerate().map(instance).collect()
}
