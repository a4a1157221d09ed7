//! Three entries as processes of their own, and what they need.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use actix_rt::System;
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::{DEFAULT_WEIGHT, Kind, Limits, Plan};
use woodgap_core::relay::plan::{Route, Service, Share, Workspace};
use woodgap_core::relay::roster;
use woodgap_harness::Stand;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Table, Transaction};

use super::caller::{PATIENCE, TARGET};
use super::endpoint;
use super::load::Source;
use crate::caller::get;
use crate::endpoint::Endpoint;
use crate::site;

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 4;
/// How many requests per second all endpoints together serve.
pub const CAPACITY: f64 = 100.0;
const SERVICE: &str = "links";
/// How long a write to the platform may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Entries that know each other, their endpoints and the platform.
pub struct Fleet {
    pub entries: Vec<Entry>,
    _endpoints: Vec<Endpoint>,
    _platform: Stand,
}

/// An entry's process.
pub struct Entry {
    child: Child,
    /// Where it takes requests.
    pub requests: SocketAddr,
    directory: SocketAddr,
    _settings: NamedTempFile,
}

impl Fleet {
    /// Starts all, with a plan for these sources, and waits until the entries know each other.
    pub fn start(sources: &[Source]) -> Self {
        let platform = Stand::platform();
        let endpoints: Vec<_> = (0..ENDPOINTS).map(|_| endpoint::start()).collect();
        write_rows(&platform, &plan(sources), &endpoints);
        let entries: Vec<_> = (0..ENTRIES)
            .map(|at| Entry::start(&format!("dub-a-{at}"), &platform))
            .collect();
        site::until(|| entries.iter().all(|entry| entry.knows(&entries)));
        for entry in &entries {
            site::until(|| entry.serves(sources[0]));
        }
        Self {
            entries,
            _endpoints: endpoints,
            _platform: platform,
        }
    }
}

impl Entry {
    fn start(name: &str, platform: &Stand) -> Self {
        let any = "127.0.0.1:0";
        let settings = json!({
            "name": name, "data_centre": "dub-a", "listen": any, "directory_listen": any,
            "ready_listen": any, "peer_listen": any,
            "platform": {"url": platform.url(""), "poll_ms": 100},
            "scheduling": {"services": "all"},
            "bounds": {
                "revoke_ms": 20_000, "leave_ms": 2_000, "grace_s": 8, "entries_lifetime_s": 1,
                "repeat_ratio": 0.2, "repeat_slack": 50, "repeat_window_s": 10
            }
        });
        let mut file = NamedTempFile::new().unwrap();
        write!(file, "{settings}").unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_woodgap-relay"));
        command.arg("--settings").arg(file.path());
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let started = lines.find_map(|line| {
            let line: Value = serde_json::from_str(&line.ok()?).ok()?;
            (line["message"] == "started").then(|| line["kvs"].clone())
        });
        let started = started.expect("it says that it has started");
        // A log that nobody reads would fill its pipe.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let address = |name: &str| started[name].as_str().unwrap().parse().unwrap();
        Self {
            child,
            requests: address("listen"),
            directory: address("directory"),
            _settings: file,
        }
    }

    /// Whether it names all of these to callers.
    fn knows(&self, entries: &[Self]) -> bool {
        let text = get(self.directory, "/v1/entries", "x", "").text();
        let mut all = entries.iter();
        all.all(|entry| text.contains(&entry.requests.to_string()))
    }

    fn serves(&self, source: Source) -> bool {
        let mut caller = crate::caller::Caller::connect(self.requests);
        let head = super::caller::head(source, "before", PATIENCE);
        caller.send(&format!("{head}Content-Length: 0\r\n\r\n"), b"");
        caller.answer().expect("an answer").status == 200
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // One that was killed already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The prefix of the route of a priority.
pub fn prefix(priority: u8) -> String {
    format!("/priority-{priority}/")
}

/// The key of a workspace.
pub fn key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// A route for each priority and a workspace for each name.
fn plan(sources: &[Source]) -> Plan {
    let priorities: BTreeSet<_> = sources.iter().map(|source| source.priority).collect();
    let names: BTreeSet<_> = sources.iter().map(|source| source.workspace).collect();
    Plan {
        version: 1,
        routes: priorities.into_iter().map(route).collect(),
        services: vec![Service {
            name: SERVICE.to_owned(),
            connections: 200,
            engine: None,
            scaling: None,
            cold_rate: None,
        }],
        workspaces: names.into_iter().map(workspace).collect(),
        limits: Limits::default(),
    }
}

fn route(priority: u8) -> Route {
    Route {
        name: format!("priority-{priority}"),
        host: "album.example".to_owned(),
        prefix: prefix(priority),
        kind: Kind::NonIdempotent,
        timeout: millis(PATIENCE),
        target: millis(TARGET),
        gap: None,
        priority,
        shares: vec![Share {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        resumable: false,
    }
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: vec![key(name)],
        priority: 0,
        weight: DEFAULT_WEIGHT,
    }
}

fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap())
}

/// Writes the plan and the endpoints to the platform.
fn write_rows(platform: &Stand, plan: &Plan, endpoints: &[Endpoint]) {
    let client = Platform::new(&platform.url(""), TIMEOUT);
    let plan = serde_json::to_value(plan).unwrap();
    let mut transaction = Transaction::default().put(Place::new("relay", "plan"), plan);
    for (at, endpoint) in endpoints.iter().enumerate() {
        let row = roster::Endpoint {
            slots: 1,
            ..site::endpoint(at, endpoint.address)
        };
        let place = Place::new("relay-endpoints", row.life.id.as_str());
        transaction = transaction.put(place, serde_json::to_value(&row).unwrap());
    }
    let writing = async { client.transact(&transaction).await };
    System::new().block_on(writing).unwrap();
}
