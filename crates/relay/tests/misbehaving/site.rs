//! A relay as a process of its own, with a platform and an endpoint.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::plan::{Kind, Limits, Plan, Route, Service, Share};
use woodgap_core::relay::roster::Endpoint;
use woodgap_harness::gauge::{Gauge, Held};
use woodgap_harness::{Stand, until};
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Table, Transaction};

use crate::endpoint;

/// The memory of the relay's machine, in bytes.
const MACHINE: u64 = 110_000_000;
/// The bodies of ordinary callers, in bytes.
const SMALL: usize = 2_000;
const LARGE: usize = 1_000_000;
/// A timeout that does not pass during a test.
pub const LASTING: Millis = Millis(600_000);
/// How long a request may take, by its route.
const TIMEOUT: Millis = Millis(20_000);
/// How long one write to the platform may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A pause before an ordinary caller comes again.
const PAUSE: Duration = Duration::from_millis(100);

/// A port of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    Requests,
    Directory,
    Ready,
    Metrics,
    Peers,
}

impl Port {
    const ALL: [(Self, &str); 5] = [
        (Self::Requests, "listen"),
        (Self::Directory, "directory"),
        (Self::Ready, "ready"),
        (Self::Metrics, "metrics"),
        (Self::Peers, "peer"),
    ];
}

/// The running site.
pub struct Site {
    relay: Child,
    addresses: Vec<(Port, SocketAddr)>,
    gauge: Gauge,
    descriptors: usize,
    _platform: Stand,
}

impl Site {
    /// Starts everything, with these limits in the plan and so many descriptors, and waits until it
    /// serves.
    pub async fn start(limits: Limits, descriptors: usize) -> Self {
        let platform = Stand::platform();
        write_rows(&platform, endpoint::start(), limits).await;
        let (relay, addresses) = start_relay(&platform, descriptors);
        let all: Vec<_> = addresses.iter().map(|(_, address)| *address).collect();
        let site = Self {
            gauge: Gauge::start(relay.id(), &all),
            relay,
            addresses,
            descriptors,
            _platform: platform,
        };
        site.answers_ordinary_callers().await;
        site
    }

    /// Where the relay takes connections of a kind.
    pub fn address(&self, port: Port) -> SocketAddr {
        let mut addresses = self.addresses.iter();
        let found = addresses.find(|(kind, _)| *kind == port);
        found.expect("the relay has all ports").1
    }

    /// Waits until ordinary callers have got what they asked for, on all ports that they use.
    pub async fn answers_ordinary_callers(&self) {
        for port in [Port::Ready, Port::Directory] {
            let path = match port {
                Port::Ready => "/v1/ready",
                _ => "/v1/entries",
            };
            let request =
                format!("GET {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
            until(path, async || {
                let answer = self.ask(port, request.as_bytes()).await?;
                is_good(&answer).then_some(())
            })
            .await;
        }
        for length in [SMALL, LARGE] {
            self.answers(length).await;
        }
    }

    /// Waits until a request with a body of this length is answered. Its caller comes again when it
    /// is refused.
    pub async fn answers(&self, length: usize) {
        let head = format!(
            "POST /echo/ HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: c\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n"
        );
        let request = [head.into_bytes(), vec![b'x'; length]].concat();
        let echo = format!("\r\n\r\n{length}");
        until("an ordinary request is answered", async || {
            let answer = self.ask(Port::Requests, &request).await;
            let answer = answer.filter(|answer| is_good(answer) && answer.ends_with(&echo));
            if answer.is_none() {
                tokio::time::sleep(PAUSE).await;
            }
            answer.map(drop)
        })
        .await;
    }

    async fn ask(&self, port: Port, request: &[u8]) -> Option<String> {
        let mut stream = TcpStream::connect(self.address(port)).await.ok()?;
        stream.write_all(request).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        String::from_utf8(answer).ok()
    }

    /// The most that the relay has held.
    pub fn held(&self) -> Held {
        self.gauge.peak()
    }

    /// Checks that the relay lives, and what it has held.
    pub fn check(&mut self) {
        let ended = self.relay.try_wait().expect("it is our child");
        assert_eq!(ended, None, "the relay has ended");
        let held = self.held();
        assert!(held.memory_bytes > 0, "the relay was looked at");
        assert!(held.memory_bytes <= MACHINE, "too much memory: {held:?}");
        assert!(held.descriptors <= self.descriptors, "too many: {held:?}");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // One that has ended already is as good.
        let _ = self.relay.kill();
        let _ = self.relay.wait();
    }
}

fn is_good(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ")
}

fn start_relay(platform: &Stand, descriptors: usize) -> (Child, Vec<(Port, SocketAddr)>) {
    let any = "127.0.0.1:0";
    let settings = json!({
        "name": "dub-a-1", "data_centre": "dub-a", "listen": any, "directory_listen": any,
        "ready_listen": any, "peer_listen": any, "metrics_listen": any,
        "platform": {"url": platform.url(""), "poll_ms": 100, "timeout_ms": 2_000},
        "bounds": {
            "revoke_ms": 4_000, "leave_ms": 2_000, "grace_s": 5, "entries_lifetime_s": 1,
            "repeat_ratio": 0.2, "repeat_slack": 50, "repeat_window_s": 10
        },
        "memory_mb": MACHINE / 1_000_000, "descriptors": descriptors
    });
    let mut file = tempfile::NamedTempFile::new().expect("the folder is writable");
    write!(file, "{settings}").expect("the file is writable");
    let mut relay = Command::new(env!("CARGO_BIN_EXE_woodgap-relay"))
        .arg("--settings")
        .arg(file.path())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the relay starts");
    let stdout = relay.stdout.take().expect("it is piped");
    let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
    let started = lines.find_map(|line| {
        let told: Value = serde_json::from_str(&line).ok()?;
        (told["message"] == "started").then(|| told["kvs"].clone())
    });
    let started = started.expect("it says that it has started");
    // Its lines must never pile up.
    std::thread::spawn(move || lines.for_each(drop));
    let addresses = Port::ALL.map(|(port, key)| {
        let address = started[key].as_str().and_then(|text| text.parse().ok());
        (port, address.expect("an address"))
    });
    (relay, addresses.to_vec())
}

async fn write_rows(platform: &Stand, endpoint: SocketAddr, limits: Limits) {
    let client = Platform::new(&platform.url(""), WRITE_TIMEOUT);
    let endpoint = Endpoint {
        life: name::Life::from(name::Endpoint::from("e1")),
        service: "all".to_owned(),
        address: endpoint,
        data_centre: name::DataCentre::from("dub-a"),
        slots: 64,
        leaving: false,
        reclaimable: false,
        cold_for: Millis::ZERO,
        version: String::new(),
    };
    let transaction = Transaction::default()
        .put(Place::new("relay", "plan"), json!(plan(limits)))
        .put(Place::new("relay-endpoints", "e1"), json!(endpoint));
    let written = client.transact(&transaction).await;
    written.expect("the platform takes it");
}

fn plan(limits: Limits) -> Plan {
    let route = Route {
        name: "all".to_owned(),
        host: "album.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Idempotent,
        timeout: TIMEOUT,
        target: TIMEOUT,
        gap: None,
        priority: 0,
        shares: vec![Share {
            service: "all".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        public: false,
        resumable: false,
    };
    Plan {
        version: 1,
        routes: vec![route],
        services: vec![Service {
            name: "all".to_owned(),
            connections: 400,
            engine: None,
            scaling: None,
            cold_rate: None,
        }],
        workspaces: Vec::new(),
        limits,
    }
}
