//! One run: the platform, endpoints and entries of a seed, their callers and faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::plan::{self, Plan, Route, Service, Share, Workspace};
use woodgap_core::relay::roster;
use woodgap_harness::{Stand, until};
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Table, Transaction};

use crate::caller::{self, Caller, KEYS, LONG_PATIENCE, ROUTE_TIMEOUT};
use crate::endpoint;
use crate::entries::Entries;
use crate::fault::{self, Event, Fault, Listed, Restart};
use crate::process::{GRACE, LEAVE, REVOKE};
use crate::proxy::Proxy;
use crate::record::{Kind, Problem, Record, Run, Sent};
use crate::rows;
use crate::stops::Case;

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 4;
const CALLERS: usize = 20;
/// How long callers go on after the last fault has ended.
const QUIET: Duration = Duration::from_millis(800);
/// How many callers come late to each process that is told to stop, besides all others.
const LATECOMERS: usize = 24;
/// How long one write to the platform may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// When an endpoint started first, in ms since the Unix epoch; each life of it begins 1 ms
/// later than the one before.
const FIRST_START: u64 = 1_796_256_000_000;
/// How long an endpoint that starts twice listens in between.
const BRIEFLY: Duration = Duration::from_millis(10);
/// How many requests each entry gets at a time until each endpoint had one.
const ROUND: usize = 8;
/// How many rows that can't be used have keys of their own; later ones go over these.
const MOST_LITTER: usize = 400;

/// An endpoint with its row and the way to it.
#[derive(Clone)]
struct Member {
    row: roster::Endpoint,
    proxy: Proxy,
    endpoint: endpoint::Endpoint,
    /// Held while it starts again.
    restarting: Rc<tokio::sync::Mutex<()>>,
}

/// Something that was accepted at a moment.
type Accepted<T> = Rc<RefCell<Vec<(T, Instant)>>>;

/// One run.
pub struct World {
    random: ChaCha8Rng,
    /// For what was added later, so that the draws of the other one stay as they are.
    more: ChaCha8Rng,
    /// The same, for endpoints that start again and for rows.
    restarts: ChaCha8Rng,
    rows: ChaCha8Rng,
    scene: Rc<Scene>,
    callers: Vec<JoinHandle<()>>,
}

/// What the faults act on.
struct Scene {
    record: Record,
    entries: Entries,
    platform: Stand,
    platform_path: Proxy,
    client: Platform,
    endpoints: RefCell<Vec<Member>>,
    /// One row of an endpoint after the other, for the same reason as with the plan.
    listing: tokio::sync::Mutex<()>,
    next_litter: Cell<usize>,
    next_endpoint: Cell<usize>,
    plan: RefCell<Plan>,
    /// One change of the plan after the other: else an older one may be accepted last.
    writing: tokio::sync::Mutex<()>,
    revoked: Accepted<&'static str>,
    left: Accepted<String>,
    /// When the platform, or the way to it, misbehaved.
    platform_faults: RefCell<Vec<(Instant, Instant)>>,
    /// When the way to an endpoint misbehaved.
    path_faults: RefCell<Vec<(String, Instant, Instant)>>,
}

impl World {
    /// Starts everything and waits until it serves.
    pub async fn start(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let [more, restarts, rows] = [1, 2, 3].map(|stream| {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(stream);
            random
        });
        let record = Record::default();
        let platform = Stand::platform();
        let platform_path = Proxy::start(platform.address, Record::default()).await;
        let client = Platform::new(&platform.url(""), WRITE_TIMEOUT);
        let scene = Rc::new(Scene {
            record: record.clone(),
            entries: Entries::default(),
            platform,
            platform_path,
            client,
            endpoints: RefCell::default(),
            listing: tokio::sync::Mutex::new(()),
            next_litter: Cell::new(0),
            next_endpoint: Cell::new(0),
            plan: RefCell::new(first_plan()),
            writing: tokio::sync::Mutex::new(()),
            revoked: Rc::default(),
            left: Rc::default(),
            platform_faults: RefCell::default(),
            path_faults: RefCell::default(),
        });
        scene.write_plan().await;
        for _ in 0..ENDPOINTS {
            let endpoint = scene.add_endpoint(random.random()).await;
            scene.endpoints.borrow_mut().push(endpoint);
        }
        for slot in 0..ENTRIES {
            scene.entries.start(slot, scene.platform_path.address);
        }
        for slot in 0..ENTRIES {
            scene.until_served(slot, "start").await;
        }
        let callers = (0..CALLERS).map(|number| {
            let name = format!("s{seed}-c{number}");
            let entries = scene.entries.clone();
            let caller = Caller::new(name, random.random(), record.clone(), entries);
            actix_rt::spawn(caller.run())
        });
        Self {
            callers: callers.collect(),
            random,
            more,
            restarts,
            rows,
            scene,
        }
    }

    /// Plays the faults of the seed, all in their time.
    pub async fn play(&mut self) {
        let events = fault::draw(&mut self.random, ENTRIES, ENDPOINTS);
        let seeded = events
            .into_iter()
            .map(|event| (event, self.random.random()));
        let mut seeded: Vec<_> = seeded.collect();
        let stops = fault::draw_stops(&mut self.more, ENTRIES);
        let stops = stops.into_iter().map(|event| (event, self.more.random()));
        seeded.extend(stops);
        let restarts = fault::draw_restarts(&mut self.restarts, ENDPOINTS);
        let rows = fault::draw_rows(&mut self.rows, ENDPOINTS);
        let seeds = (&mut self.rows).random_iter();
        seeded.extend(restarts.into_iter().chain(rows).zip(seeds));
        let playing = seeded.into_iter().map(|(event, seed)| {
            let scene = Rc::clone(&self.scene);
            actix_rt::spawn(async move { scene.play(event, seed).await })
        });
        let playing: Vec<_> = playing.collect();
        for event in playing {
            event.await.expect("a fault is played to its end");
        }
        tokio::time::sleep(QUIET).await;
    }

    /// Waits until all is served again, ends, and tells which promises were broken.
    pub async fn end(&mut self) -> Vec<Problem> {
        self.scene.entries.finish();
        for caller in self.callers.drain(..) {
            caller.await.expect("a caller ends");
        }
        for slot in 0..ENTRIES {
            self.scene.until_served(slot, "end").await;
        }
        self.scene.until_all_run().await;
        let mut problems = self.scene.record.problems();
        problems.extend(self.scene.timed_problems());
        problems.extend(self.scene.stop_problems());
        problems
    }

    /// A line on the run.
    pub fn summary(&self) -> String {
        let lives = self.scene.entries.lives();
        format!("{}, {lives} processes", self.scene.record.summary())
    }
}

impl Scene {
    async fn play(&self, event: Event, seed: u64) {
        tokio::time::sleep(event.at).await;
        let lasts = || tokio::time::sleep(event.lasts);
        match event.fault {
            Fault::EndpointPath(at, mode) => {
                let Member { row, proxy, .. } = self.endpoints.borrow()[at].clone();
                let begun = Instant::now();
                proxy.begin(mode);
                lasts().await;
                proxy.end();
                let fault = (row.life.id.to_string(), begun, Instant::now());
                self.path_faults.borrow_mut().push(fault);
            }
            Fault::PlatformPath(mode) => {
                let begun = Instant::now();
                self.platform_path.begin(mode);
                lasts().await;
                self.platform_path.end();
                self.note_platform_fault(begun);
            }
            Fault::Platform(faults) => {
                let begun = Instant::now();
                self.platform.fault(faults).await;
                lasts().await;
                let none = json!({"down": false, "delay_ms": 0, "lose_acks": 0,
                                  "lose_requests": 0, "cut_answers": 0});
                self.platform.fault(none).await;
                self.note_platform_fault(begun);
            }
            Fault::Freeze(slot) => {
                self.entries.signal(slot, Signal::STOP, true);
                lasts().await;
                // By now it may be another process, which was not frozen.
                self.entries.signal(slot, Signal::CONT, false);
            }
            Fault::Kill(slot) => self.restart(slot, Signal::KILL, seed).await,
            Fault::Stop(slot) => self.restart(slot, Signal::TERM, seed).await,
            Fault::Revoke => self.revoke().await,
            Fault::Grow => self.grow().await,
            Fault::Replace(at) => self.replace(at, seed).await,
            Fault::Restart(at, restart) => self.start_again(at, restart).await,
            Fault::Litter(count) => self.litter(count, seed).await,
            Fault::Spoil(at) => {
                let member = self.endpoints.borrow()[at].clone();
                self.spoil(&member, seed).await;
                lasts().await;
                self.list_again(&member).await;
            }
        }
    }

    fn note_platform_fault(&self, begun: Instant) {
        let fault = (begun, Instant::now());
        self.platform_faults.borrow_mut().push(fault);
    }

    /// Ends the process of a slot and starts another one in its place, unless that
    /// is under way already.
    async fn restart(&self, slot: usize, signal: Signal, seed: u64) {
        let is_kill = signal == Signal::KILL;
        let is_first = self.entries.close(slot);
        self.entries.signal(slot, signal, is_kill);
        if !is_first {
            return;
        }
        let life = self.entries.life(slot);
        if !is_kill {
            self.send_late(slot, life, seed);
        }
        let status = self.end_of(slot, life).await;
        if !status.success() && !self.entries.is_hurt(life) {
            self.record.broken(Problem::Exit(life, status));
        }
        self.entries.start(slot, self.platform_path.address);
    }

    /// Sends callers who come late to the process of a slot.
    fn send_late(&self, slot: usize, life: usize, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let Some(address) = self.entries.address(slot) else {
            return;
        };
        for number in 0..LATECOMERS {
            let id = format!("late-{life}-{number}");
            let (record, entries) = (self.record.clone(), self.entries.clone());
            let late = caller::come_late((address, life), id, random.random(), record, entries);
            actix_rt::spawn(late);
        }
    }

    /// Waits for the end of the process of a slot; one that outlives its grace is killed.
    async fn end_of(&self, slot: usize, life: usize) -> ExitStatus {
        until("a process ends", async || {
            let status = self.entries.ended(slot);
            let told = self.entries.told(life);
            if status.is_none() && told.is_some_and(|told| told.elapsed() >= GRACE) {
                self.entries.signal(slot, Signal::KILL, false);
            }
            status
        })
        .await
    }

    async fn revoke(&self) {
        let has_key = !self.plan.borrow().workspaces[1].keys.is_empty();
        if has_key {
            self.plan.borrow_mut().workspaces[1].keys.clear();
            self.write_plan().await;
            self.revoked.borrow_mut().push((KEYS[1], Instant::now()));
        }
    }

    async fn grow(&self) {
        let number = self.plan.borrow().routes.len();
        let more = (number..number + 50)
            .map(|number| route(&format!("/more/{number}/"), plan::Kind::Idempotent));
        self.plan.borrow_mut().routes.extend(more);
        self.write_plan().await;
    }

    /// Writes the plan under a new version, again and again until that is accepted.
    async fn write_plan(&self) {
        let _writing = self.writing.lock().await;
        let plan = {
            let mut plan = self.plan.borrow_mut();
            plan.version += 1;
            plan.clone()
        };
        let value = serde_json::to_value(&plan).expect("a plan is JSON");
        self.write(Place::new("relay", "plan"), value).await;
    }

    async fn write(&self, place: Place, value: serde_json::Value) {
        self.transact(&Transaction::default().put(place, value))
            .await;
    }

    async fn transact(&self, transaction: &Transaction) {
        until("the platform accepts a write", async || {
            self.client.transact(transaction).await.ok()
        })
        .await;
    }

    async fn add_endpoint(&self, seed: u64) -> Member {
        let number = self.next_endpoint.get();
        self.next_endpoint.set(number + 1);
        let name = format!("e-{number}");
        let endpoint = endpoint::Endpoint::start(name.clone(), seed, self.record.clone()).await;
        let proxy = Proxy::start(endpoint.address, self.record.clone()).await;
        let row = roster::Endpoint {
            life: name::Life {
                id: name::Endpoint::from(name),
                started_unix: Some(Millis(FIRST_START)),
            },
            service: "all".to_owned(),
            address: proxy.address,
            data_centre: name::DataCentre::from("dub-a"),
            slots: 8,
            leaving: false,
        };
        self.list(&row).await;
        Member {
            row,
            proxy,
            endpoint,
            restarting: Rc::default(),
        }
    }

    async fn list(&self, endpoint: &roster::Endpoint) {
        let _listing = self.listing.lock().await;
        self.write_listed(endpoint).await;
    }

    async fn write_listed(&self, endpoint: &roster::Endpoint) {
        let value = serde_json::to_value(endpoint).expect("an endpoint is JSON");
        let place = Place::new("relay-endpoints", endpoint.life.id.as_str());
        self.write(place, value).await;
    }

    async fn replace(&self, at: usize, seed: u64) {
        let fresh = self.add_endpoint(seed).await;
        let replaced = std::mem::replace(&mut self.endpoints.borrow_mut()[at], fresh);
        let mut old = replaced.row;
        old.leaving = true;
        self.list(&old).await;
        let accepted = (old.life.id.to_string(), Instant::now());
        self.left.borrow_mut().push(accepted);
    }

    /// Has an endpoint start again under its name and address.
    async fn start_again(&self, at: usize, restart: Restart) {
        let member = self.endpoints.borrow()[at].clone();
        let _restarting = member.restarting.lock().await;
        let resume = async || {
            tokio::time::sleep(restart.gap).await;
            member.endpoint.resume().await;
        };
        if let Listed::Early(span) = restart.listed {
            self.list_ahead(&member, 1).await;
            tokio::time::sleep(span).await;
        }
        member.endpoint.stop();
        if restart.is_twice {
            resume().await;
            tokio::time::sleep(BRIEFLY).await;
            member.endpoint.stop();
        }
        match restart.listed {
            Listed::Early(_) | Listed::Before => {
                tokio::join!(self.list_again(&member), resume());
            }
            Listed::After(span) => {
                resume().await;
                tokio::time::sleep(span).await;
                self.list_again(&member).await;
            }
        }
    }

    /// Lists an endpoint in its life of now, unless another one has come in its place.
    async fn list_again(&self, member: &Member) {
        self.list_ahead(member, 0).await;
    }

    /// Lists it in the life that comes so many after the one of now.
    async fn list_ahead(&self, member: &Member, lives: u64) {
        let _listing = self.listing.lock().await;
        if self.is_replaced(member) {
            return;
        }
        let mut row = member.row.clone();
        let life = member.endpoint.life() + lives;
        row.life.started_unix = Some(Millis(FIRST_START + life));
        self.write_listed(&row).await;
    }

    fn is_replaced(&self, member: &Member) -> bool {
        let endpoints = self.endpoints.borrow();
        !endpoints.iter().any(|it| it.row == member.row)
    }

    /// Writes something that can't be used over the row of an endpoint.
    async fn spoil(&self, member: &Member, seed: u64) {
        let _listing = self.listing.lock().await;
        if self.is_replaced(member) {
            return;
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let value = rows::broken(&member.row, false, &mut random);
        let place = Place::new("relay-endpoints", member.row.life.id.as_str());
        self.write(place, value).await;
    }

    /// Writes so many rows that can't be used, which come before and after sound ones.
    async fn litter(&self, count: usize, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let sound = self.endpoints.borrow()[0].row.clone();
        let first = self.next_litter.get() % MOST_LITTER;
        self.next_litter.set(first + count);
        let is_many = count > 10;
        let mut transaction = Transaction::default();
        for number in first..first + count {
            let side = if number % 2 == 0 { "a" } else { "z" };
            let place = Place::new("relay-endpoints", &format!("{side}-{number}"));
            transaction = transaction.put(place, rows::broken(&sound, is_many, &mut random));
        }
        self.transact(&transaction).await;
    }

    /// Waits until each endpoint has run something in its life of now.
    async fn until_all_run(&self) {
        let members = self.endpoints.borrow().clone();
        let mut round = 0;
        until("each endpoint serves", async || {
            round += 1;
            let asked = self.entries.open().into_iter().flat_map(|(address, life)| {
                (0..ROUND).map(move |number| (address, format!("all-{life}-{round}-{number}")))
            });
            let asked: Vec<_> = asked
                .map(|(address, id)| {
                    let record = self.record.clone();
                    actix_rt::spawn(async move {
                        caller::is_served(address, Kind::Read, &id, &record).await
                    })
                })
                .collect();
            for asking in asked {
                asking.await.expect("a caller ends");
            }
            let runs = self.record.all_runs();
            let has_run = |member: &Member| {
                let (name, life) = (member.row.life.id.as_str(), member.endpoint.life());
                let mut of_all = runs.iter().filter(|(id, _)| id.starts_with("all-"));
                of_all.any(|(_, run)| run.endpoint == name && run.life == life)
            };
            members.iter().all(has_run).then_some(())
        })
        .await;
    }

    async fn until_served(&self, slot: usize, when: &str) {
        let open = self.entries.open();
        let (address, life) = open[slot];
        for kind in Kind::ALL {
            let mut tries = 0;
            until("an entry serves", async || {
                tries += 1;
                let id = format!("{when}-{life}-{kind:?}-{tries}");
                let is_served = caller::is_served(address, kind, &id, &self.record).await;
                is_served.then_some(())
            })
            .await;
        }
    }

    /// Broken promises that have a bound in time. Callers' and endpoints' clocks are
    /// the same here.
    fn timed_problems(&self) -> Vec<Problem> {
        let sent: BTreeMap<_, _> = self.record.all_sent().into_iter().collect();
        let mut problems = Vec::new();
        for (id, run) in self.record.all_runs() {
            let Some(sent) = sent.get(&id) else { continue };
            let late = |accepted: Instant, bound: u64| {
                let after = sent.at.saturating_duration_since(accepted);
                (after > Duration::from_millis(bound)).then_some(after.as_millis())
            };
            for (key, at) in self.revoked.borrow().iter() {
                if let Some(after) = late(*at, REVOKE).filter(|_| *key == sent.key) {
                    problems.push(Problem::Revoked(id.clone(), after));
                }
            }
            for (endpoint, at) in self.left.borrow().iter() {
                let is_bound = !self.entries.is_hurt(sent.life) && !self.was_platform_faulty(*at);
                let late = late(*at, LEAVE).filter(|_| *endpoint == run.endpoint && is_bound);
                if let Some(after) = late {
                    problems.push(Problem::Leaving(id.clone(), after));
                }
            }
        }
        problems
    }

    /// Broken promises of planned stops.
    fn stop_problems(&self) -> Vec<Problem> {
        let sent = self.record.all_sent();
        sent.iter()
            .filter_map(|(id, sent)| self.judge_stop(id, sent))
            .collect()
    }

    fn judge_stop(&self, id: &str, sent: &Sent) -> Option<Problem> {
        let told = self.entries.told(sent.life)?;
        if self.entries.was_hurt(sent.life, sent.ended?) {
            return None;
        }
        let runs = self.record.runs_of(id);
        let was_slowed = runs.iter().any(|run| self.was_slowed(run, sent));
        let case = Case {
            id,
            sent,
            runs: &runs,
            told,
            was_slowed,
        };
        case.judge(&self.record)
    }

    /// Whether the way to a run's endpoint misbehaved while its request was under way.
    fn was_slowed(&self, run: &Run, sent: &Sent) -> bool {
        let faults = self.path_faults.borrow();
        faults.iter().any(|(endpoint, begun, ended)| {
            let is_during = *ended >= sent.at && sent.ended.is_none_or(|until| *begun <= until);
            *endpoint == run.endpoint && is_during
        })
    }

    /// Whether the platform misbehaved within the bound after a moment: what it has
    /// accepted may then not be known.
    fn was_platform_faulty(&self, at: Instant) -> bool {
        let until = at + Duration::from_millis(LEAVE);
        let faults = self.platform_faults.borrow();
        faults
            .iter()
            .any(|(begun, ended)| *begun < until && *ended > at)
    }
}

fn route(prefix: &str, kind: plan::Kind) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "album.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: millis(ROUTE_TIMEOUT),
        target: Millis(400),
        gap: None,
        priority: 0,
        shares: vec![Share {
            service: "all".to_owned(),
            weight: 1,
        }],
        attempts: 3,
        public: false,
        resumable: false,
    }
}

fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).expect("spans are short"))
}

fn first_plan() -> Plan {
    let long = Route {
        timeout: millis(LONG_PATIENCE),
        ..route(Kind::Long.path(), plan::Kind::Stream)
    };
    let workspace = |name: &str, key: &str| Workspace {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority: 0,
    };
    Plan {
        version: 0,
        routes: vec![
            route(Kind::Read.path(), plan::Kind::Idempotent),
            route(Kind::Write.path(), plan::Kind::NonIdempotent),
            route(Kind::Stream.path(), plan::Kind::Stream),
            long,
        ],
        services: vec![Service {
            name: "all".to_owned(),
            connections: 200,
            engine: None,
        }],
        workspaces: vec![workspace("first", KEYS[0]), workspace("second", KEYS[1])],
        limits: plan::Limits::default(),
    }
}
