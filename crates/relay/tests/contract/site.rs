//! A relay in a thread of the test, with a source that the test holds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_rt::System;
use futures_util::FutureExt;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, StoredHistory};
use woodgap_core::relay::Evacuation;
use woodgap_core::relay::plan::{
    DEFAULT_WEIGHT, Engine, Kind, Limits, Plan, Route, Service, Share, Workspace,
};
use woodgap_core::relay::resumption::registration;
use woodgap_core::relay::resumption::stored::Batch;
use woodgap_core::relay::roster::{self, Positions};
use woodgap_relay::dialect::own::Own;
use woodgap_relay::duties;
use woodgap_relay::source::row::{Row, RowError};
use woodgap_relay::source::{
    Addresses, Answer, Endpoints, Error, Evacuations, OperatorUpdate, Source, StreamsChange,
    Update, batch_key,
};
use woodgap_relay::start::{self, Form};
use woodgap_relay::stop;
use woodgap_settings::relay;

use crate::desk::Desk;

/// A change of the entry's own row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    Announcement,
    Withdrawal,
}

/// What a store refuses of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// To read and to write any.
    All,
    /// To store that they are complete.
    Completeness,
}

/// What the source tells.
#[derive(Clone, Default)]
pub struct Told {
    pub plan: Option<Plan>,
    pub endpoints: Vec<roster::Endpoint>,
    /// As of which revision, for a source that counts every change of the list; the others always
    /// say 1.
    pub revision: Option<u64>,
    /// The data centres that operators empty.
    pub evacuation: Evacuation,
    pub is_down: bool,
    /// Where other entries take messages.
    pub entries: Vec<SocketAddr>,
    /// Whether the entry has told of itself.
    pub is_announced: bool,
    /// Whether the entry has taken it back.
    pub is_withdrawn: bool,
    /// What is done and never answered.
    pub unanswered: Option<Unanswered>,
    /// What entries keep of requests that are withheld; several sites may share it.
    pub kept: Arc<Mutex<BTreeMap<Cause, StoredHistory>>>,
    /// What entries store of the versions of services, by key; several sites may share it.
    pub versions: Arc<Mutex<BTreeMap<String, registration::Row>>>,
    /// The keys of rows on versions that can't be decoded; several sites may share them.
    pub damaged_versions: Arc<Mutex<BTreeSet<String>>>,
    /// What the store refuses of versions, while the rest works.
    pub refused_versions: Option<Refused>,
    /// How often it has refused to store that versions are complete; several sites may share it.
    pub refusals: Arc<Mutex<usize>>,
    /// The batches of streams that entries store, by entry and number; several sites may share
    /// them.
    pub streams: Arc<Mutex<BTreeMap<(name::Entry, u64), Batch>>>,
}

/// A source that tells what the test says.
#[derive(Clone, Default)]
pub struct Fixed(pub Arc<Mutex<Told>>);

impl Fixed {
    fn told(&self) -> Result<Told, Error> {
        let told = self.0.lock().unwrap().clone();
        if told.is_down {
            return Err(Error::Unavailable("the test says so".to_owned()));
        }
        Ok(told)
    }

    fn told_with_versions(&self) -> Result<Told, Error> {
        let told = self.told()?;
        if told.refused_versions == Some(Refused::All) {
            return Err(Error::Unavailable(
                "the test says so of versions".to_owned(),
            ));
        }
        Ok(told)
    }
}

async fn pause(after: Option<u64>, cursor: u64) {
    if after == Some(cursor) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Source for Fixed {
    fn plan(&self, after: Option<u64>, _: Millis) -> Answer<'_, Update<OperatorUpdate>> {
        async move {
            let cursor = self.told()?.plan.map_or(0, |plan| plan.version);
            pause(after, cursor).await;
            let told = self.told()?;
            let cursor = told.plan.as_ref().map_or(0, |plan| plan.version);
            let plan = told.plan.filter(|_| after != Some(cursor));
            let plans = plan.map(|plan| Row::new("plan", cursor, Ok(plan)));
            Ok(Update {
                cursor,
                content: Some(OperatorUpdate {
                    plans: plans.into_iter().collect(),
                    evacuations: Some(Evacuations::All(told.evacuation)),
                }),
                produced_at: None,
            })
        }
        .boxed_local()
    }

    fn endpoints(&self, after: Option<u64>, _: Millis) -> Answer<'_, Update<Endpoints>> {
        async move {
            pause(after, self.told()?.revision.unwrap_or(1)).await;
            let told = self.told()?;
            let cursor = told.revision.unwrap_or(1);
            let rows = told.endpoints.into_iter();
            let rows = rows.map(|it| Row::new(&it.life.id.to_string(), cursor, Ok(it)));
            Ok(Update {
                cursor,
                content: Some(Endpoints::All(rows.collect())),
                produced_at: None,
            })
        }
        .boxed_local()
    }

    fn positions(&self) -> Positions {
        match self.0.lock().unwrap().revision {
            Some(_) => Positions::Complete,
            None => Positions::Partial,
        }
    }

    fn announce<'a>(&'a self, _: &'a name::Entry, _: SocketAddr) -> Answer<'a, ()> {
        let mut told = self.0.lock().unwrap();
        told.is_announced = true;
        if told.unanswered == Some(Unanswered::Announcement) {
            return std::future::pending().boxed_local();
        }
        async { Ok(()) }.boxed_local()
    }

    fn withdraw<'a>(&'a self, _: &'a name::Entry) -> Answer<'a, ()> {
        let mut told = self.0.lock().unwrap();
        if told.unanswered == Some(Unanswered::Withdrawal) {
            return std::future::pending().boxed_local();
        }
        told.is_withdrawn = true;
        async { Ok(()) }.boxed_local()
    }

    fn save_withheld<'a>(&'a self, kept: &'a StoredHistory) -> Answer<'a, ()> {
        async move {
            let shared = self.told()?.kept;
            let mut shared = shared.lock().unwrap();
            shared.insert(kept.told.cause, kept.clone());
            Ok(())
        }
        .boxed_local()
    }

    fn delete_withheld(&self, cause: Cause) -> Answer<'_, ()> {
        async move {
            self.told()?.kept.lock().unwrap().remove(&cause);
            Ok(())
        }
        .boxed_local()
    }

    fn list_withheld(&self) -> Answer<'_, Vec<Row<StoredHistory>>> {
        async move {
            let shared = self.told()?.kept;
            let shared = shared.lock().unwrap();
            let rows = shared.iter();
            let rows = rows.map(|(key, kept)| Row::new(&key.to_string(), 1, Ok(kept.clone())));
            Ok(rows.collect())
        }
        .boxed_local()
    }

    fn save_versions<'a>(&'a self, row: &'a registration::Row) -> Answer<'a, ()> {
        async move {
            let told = self.told_with_versions()?;
            let is_completeness = matches!(row, registration::Row::Completeness(_));
            if is_completeness && told.refused_versions == Some(Refused::Completeness) {
                *told.refusals.lock().unwrap() += 1;
                return Err(Error::Unavailable("the test says so of it".to_owned()));
            }
            told.damaged_versions.lock().unwrap().remove(&row.key());
            let mut shared = told.versions.lock().unwrap();
            shared.insert(row.key(), row.clone());
            Ok(())
        }
        .boxed_local()
    }

    fn delete_versions<'a>(&'a self, key: &'a str, _: u64) -> Answer<'a, ()> {
        async move {
            let told = self.told_with_versions()?;
            told.damaged_versions.lock().unwrap().remove(key);
            told.versions.lock().unwrap().remove(key);
            Ok(())
        }
        .boxed_local()
    }

    fn list_versions(&self) -> Answer<'_, Vec<Row<registration::Row>>> {
        async move {
            let told = self.told_with_versions()?;
            let damaged = told.damaged_versions.lock().unwrap();
            let fault = || RowError::Format("the test says so".to_owned());
            let damaged = damaged.iter().map(|key| Row::new(key, 1, Err(fault())));
            let shared = told.versions.lock().unwrap();
            let rows = shared.iter();
            let rows = rows.map(|(key, it)| Row::new(key, 1, Ok(it.clone())));
            Ok(rows.chain(damaged).collect())
        }
        .boxed_local()
    }

    fn change_streams<'a>(
        &'a self,
        entry: &'a name::Entry,
        change: &'a StreamsChange,
    ) -> Answer<'a, ()> {
        async move {
            let shared = self.told()?.streams;
            let mut shared = shared.lock().unwrap();
            if let Some((number, batch)) = &change.batch {
                shared.insert((entry.clone(), *number), batch.clone());
            }
            for number in &change.deleted {
                shared.remove(&(entry.clone(), *number));
            }
            Ok(())
        }
        .boxed_local()
    }

    fn list_streams<'a>(&'a self, entry: &'a name::Entry) -> Answer<'a, Vec<Row<Batch>>> {
        async move {
            let shared = self.told()?.streams;
            let shared = shared.lock().unwrap();
            let rows = shared.iter().filter(|((of, _), _)| of == entry);
            let rows =
                rows.map(|((_, number), it)| Row::new(&batch_key(*number), 1, Ok(it.clone())));
            Ok(rows.collect())
        }
        .boxed_local()
    }

    fn list_streamers(&self) -> Answer<'_, Vec<name::Entry>> {
        async move {
            let shared = self.told()?.streams;
            let shared = shared.lock().unwrap();
            let mut entries: Vec<_> = shared.keys().map(|(entry, _)| entry.clone()).collect();
            entries.dedup();
            Ok(entries)
        }
        .boxed_local()
    }

    fn entries(&self) -> Answer<'_, Addresses> {
        // Known also while the rest is not: the list was read before.
        let entries = self.0.lock().unwrap().entries.clone();
        let named = entries.into_iter().map(|it| Row::new("other", 1, Ok(it)));
        let named = named.collect();
        async move { Ok(named) }.boxed_local()
    }
}

/// A relay that runs until the test's process ends.
pub struct Site {
    pub requests: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peer: SocketAddr,
    pub source: Fixed,
    stopping: UnboundedSender<()>,
    thread: JoinHandle<()>,
}

/// After so long without a confirmation keys are not trusted, in ms: the bound of
/// the settings below less the margin that the relay keeps.
pub const TRUST: u64 = 500;

pub const SETTINGS: &str = r#"{
    "name": "dub-a-1", "data_centre": "dub-a",
    "listen": "127.0.0.1:0", "directory_listen": "127.0.0.1:0",
    "ready_listen": "127.0.0.1:0", "metrics_listen": "127.0.0.1:0",
    "peer_listen": "127.0.0.1:0",
    "platform": {"url": "http://127.0.0.1:1"},
    "bounds": {
        "revoke_ms": 2000, "leave_ms": 2000, "grace_s": 8, "entries_lifetime_s": 5,
        "repeat_ratio": 0.2, "repeat_slack": 50, "repeat_window_s": 10
    }
}"#;

/// Windows are short, so that tests need not wait for long.
const DUTIES: &str = r#""duties": {
        "url": "http://127.0.0.1:1", "tasks": ["metering", "autoscaling"],
        "window_s": 1, "apart_ms": 200
    }"#;

impl Site {
    /// A relay that knows a plan with all kinds of routes, and these endpoints.
    pub fn start(endpoints: &[SocketAddr]) -> Self {
        let site = Self::with("dub-a-1", source(endpoints));
        site.until_ready();
        site
    }

    /// A relay of this name with this source.
    pub fn with(name: &str, source: Fixed) -> Self {
        Self::with_settings(&SETTINGS.replace("dub-a-1", name), source)
    }

    /// The same, at the first start of the whole system.
    pub fn first(name: &str, source: Fixed) -> Self {
        let text = SETTINGS.replace("dub-a-1", name);
        let first = text.replace("\"bounds\"", "\"first_start\": true, \"bounds\"");
        Self::with_settings(&first, source)
    }

    /// A relay of this name with this source, and other bounds on the trust in keys
    /// than a [`TRUST`] of half a second.
    pub fn with_trust(name: &str, trust: &str, source: Fixed) -> Self {
        let text = SETTINGS.replace("dub-a-1", name);
        Self::with_settings(&text.replace("\"revoke_ms\": 2000", trust), source)
    }

    /// A relay that is killed so many seconds after it was told to stop, and knows a plan
    /// and these endpoints. It trusts keys all the while, though an entry that stops leaves
    /// it to others to ask for news.
    pub fn with_grace(grace_s: f64, endpoints: &[SocketAddr]) -> Self {
        let grace = format!("\"grace_s\": {grace_s}");
        let text = SETTINGS.replace("\"grace_s\": 8", &grace);
        let text = text.replace("\"revoke_ms\": 2000", "\"revoke_ms\": 30000");
        let site = Self::with_settings(&text, source(endpoints));
        site.until_ready();
        site
    }

    /// Lists an endpoint of the model service beside the others.
    pub fn list_model(&self, address: SocketAddr) {
        let model = roster::Endpoint {
            service: "model".to_owned(),
            ..endpoint(99, address)
        };
        self.source.0.lock().unwrap().endpoints.push(model);
    }

    /// Tells the relay to stop.
    pub fn tell_to_stop(&self) {
        self.stopping.send(()).unwrap();
    }

    /// Tells the relay to stop, and waits until it has begun to.
    pub fn stop(&self) {
        self.tell_to_stop();
        until(|| crate::caller::get(self.ready, "/v1/ready", "x", "").status == 503);
    }

    /// Whether it has stopped.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// A relay of this name with this source, which does duties at this desk.
    pub fn with_duties(name: &str, source: Fixed, desk: Desk) -> Self {
        let text = SETTINGS.replace("dub-a-1", name);
        let text = text.replace("\"bounds\"", &format!("{DUTIES}, \"bounds\""));
        Self::open(&text, source, Some(desk))
    }

    fn with_settings(text: &str, source: Fixed) -> Self {
        Self::open(text, source, None)
    }

    fn open(text: &str, source: Fixed, desk: Option<Desk>) -> Self {
        let settings = relay::parse(text, "test").unwrap();
        let (started, addresses) = mpsc::channel();
        let given = source.clone();
        let (stopping, mut told_to_stop) = unbounded_channel();
        let thread = std::thread::spawn(move || {
            System::new().block_on(async move {
                let duties = desk.map(|desk| duties::Form {
                    table: Rc::new(desk.clone()),
                    outlet: Rc::new(desk),
                });
                let form = Form {
                    duties,
                    dialect: Box::new(Own),
                    source: Box::new(given),
                };
                let state = start::open(settings, form).unwrap();
                let settings = &state.settings;
                let metrics = settings.metrics_listen.unwrap();
                let all = (
                    settings.listen,
                    settings.directory_listen,
                    settings.ready_listen,
                    metrics,
                    settings.peer_listen,
                );
                started.send(all).unwrap();
                match told_to_stop.recv().await {
                    Some(()) => stop::wind_down(&state, state.now()).await,
                    // The test does not stop it, and its callers may still be there.
                    None => std::future::pending().await,
                }
            });
        });
        let (requests, directory, ready, metrics, peer) = addresses.recv().unwrap();
        Self {
            requests,
            directory,
            ready,
            metrics,
            peer,
            source,
            stopping,
            thread,
        }
    }

    pub fn until_ready(&self) {
        until(|| crate::caller::get(self.ready, "/v1/ready", "x", "").status == 200);
    }
}

/// A source that tells of a plan with all kinds of routes, and of these endpoints.
pub fn source(endpoints: &[SocketAddr]) -> Fixed {
    let listed = endpoints.iter().enumerate();
    Fixed(Arc::new(Mutex::new(Told {
        plan: Some(plan(1)),
        endpoints: listed.map(|(at, address)| endpoint(at, *address)).collect(),
        ..Told::default()
    })))
}

/// Waits until something holds, for a minute at most.
pub fn until(mut holds: impl FnMut() -> bool) {
    for _ in 0..6_000 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("waited in vain");
}

/// Waits until each of these entries names all of them to callers.
pub fn until_met(sites: &[Site]) {
    until(|| {
        sites.iter().all(|site| {
            let text = crate::caller::get(site.directory, "/v1/entries", "x", "").text();
            let mut all = sites.iter();
            all.all(|other| text.contains(&other.requests.to_string()))
        })
    });
}

/// Of several entries only two read the platform. The others hear of it each 0.3 s, so that a
/// [`TRUST`] of half a second has no room for a message that is late: they trust for 3.5 s.
pub const FLEET_TRUST: &str = r#""revoke_ms": 5000"#;

/// So many entries that know one another, before these endpoints.
pub fn fleet(entries: usize, endpoints: &[SocketAddr]) -> Vec<Site> {
    let mut sites: Vec<Site> = Vec::new();
    for at in 0..entries {
        let source = source(endpoints);
        source.0.lock().unwrap().entries = sites.iter().map(|site| site.peer).collect();
        let site = Site::with_trust(&format!("dub-a-{at}"), FLEET_TRUST, source);
        site.until_ready();
        sites.push(site);
    }
    until_met(&sites);
    sites
}

pub fn endpoint(at: usize, address: SocketAddr) -> roster::Endpoint {
    roster::Endpoint {
        life: name::Life::from(name::Endpoint::from(format!("i-{at}"))),
        service: "links".to_owned(),
        address,
        data_centre: name::DataCentre::from("dub-a"),
        slots: 8,
        leaving: false,
        reclaimable: false,
        cold_for: Millis::ZERO,
        version: String::new(),
    }
}

fn route(prefix: &str, kind: Kind, attempts: u32, resumable: bool) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "album.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Millis(20_000),
        target: Millis(5_000),
        gap: None,
        priority: 0,
        shares: vec![Share {
            service: "links".to_owned(),
            weight: 1,
        }],
        attempts,
        public: false,
        resumable,
    }
}

pub fn plan(version: u64) -> Plan {
    Plan {
        version,
        routes: vec![
            route("/read/", Kind::Idempotent, 2, false),
            route("/write/", Kind::NonIdempotent, 1, false),
            route("/write-twice/", Kind::NonIdempotent, 2, false),
            route("/stream/", Kind::Stream, 1, false),
            route("/stream-twice/", Kind::Stream, 2, false),
            route("/stream-resumed/", Kind::Stream, 2, true),
            Route {
                shares: vec![Share {
                    service: "model".to_owned(),
                    weight: 1,
                }],
                ..route("/chat/", Kind::Stream, 1, false)
            },
            Route {
                public: true,
                ..route("/open/", Kind::Idempotent, 1, false)
            },
            Route {
                timeout: Millis(300),
                ..route("/soon/", Kind::NonIdempotent, 1, false)
            },
        ],
        services: vec![
            Service {
                name: "links".to_owned(),
                connections: 100,
                engine: None,
                scaling: None,
                cold_rate: None,
            },
            Service {
                name: "model".to_owned(),
                connections: 100,
                engine: Some(Engine {
                    slots: 8,
                    memory_tokens: 100_000,
                    event_tokens: 1,
                    moves_prompts: false,
                }),
                scaling: None,
                cold_rate: None,
            },
        ],
        workspaces: vec![Workspace {
            name: "murphy".to_owned(),
            keys: vec!["key-m".to_owned()],
            priority: 0,
            weight: DEFAULT_WEIGHT,
        }],
        limits: Limits {
            body_bytes: 256 * 1024,
            ..Limits::default()
        },
    }
}
