//! A relay as a process of its own.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// After so long no request may run with a removed key, in ms.
pub const REVOKE: u64 = 4_000;
/// After so long a leaving endpoint may get no request, in ms.
pub const LEAVE: u64 = 2_000;

/// The time from the order to stop until a process is killed: less than some streams
/// last, and more than callers keep a list of entries.
pub const GRACE: Duration = Duration::from_secs(5);

/// Names a folder in which the relays' logs are kept.
const LOGS: &str = "WOODGAP_SOAK_LOGS";

/// The first of the addresses of loopback from which processes connect to endpoints, one for each.
const FIRST_SOURCE: u32 = u32::from_be_bytes([127, 1, 0, 0]);

/// The address from which a process connects to endpoints, by its life.
fn source(life: usize) -> Ipv4Addr {
    let life = u32::try_from(life).expect("processes are few");
    Ipv4Addr::from(FIRST_SOURCE + life)
}

/// The life of the process that connects from an address, if it is one's.
pub fn life_of(source: IpAddr) -> Option<usize> {
    let IpAddr::V4(source) = source else {
        return None;
    };
    let life = u32::from(source).checked_sub(FIRST_SOURCE)?;
    usize::try_from(life).ok()
}

/// A relay's process.
pub struct Process {
    child: Child,
    /// Where it takes requests.
    pub requests: SocketAddr,
}

impl Process {
    /// Starts a relay in this life of all, and waits until it listens.
    pub fn start(name: &str, life: usize, platform: SocketAddr) -> Self {
        let any = "127.0.0.1:0";
        let settings = json!({
            "name": name, "data_centre": "dub-a", "listen": any, "directory_listen": any,
            "ready_listen": any, "peer_listen": any, "connect_from": source(life).to_string(),
            "platform": {"url": format!("http://{platform}"), "poll_ms": 100, "timeout_ms": 500},
            "duties": {
                "url": format!("http://{platform}"), "tasks": ["metering"], "window_s": 1, "apart_ms": 300
            },
            "bounds": {
                "revoke_ms": REVOKE, "leave_ms": LEAVE, "grace_s": GRACE.as_secs(), "entries_lifetime_s": 1,
                "repeat_ratio": 0.2, "repeat_slack": 50, "repeat_window_s": 10
            }
        });
        let mut file = tempfile::NamedTempFile::new().expect("the folder is writable");
        write!(file, "{settings}").expect("the file is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_woodgap-relay"))
            .arg("--settings")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the relay starts");
        let stdout = child.stdout.take().expect("it is piped");
        let mut lines = BufReader::new(stdout).lines();
        let started = lines.find_map(|line| {
            let told: Value = serde_json::from_str(&line.ok()?).ok()?;
            (told["message"] == "started").then(|| told["kvs"].clone())
        });
        let started = started.expect("it says that it has started");
        keep_log(lines.map_while(Result::ok), name, child.id());
        let requests = started["listen"]
            .as_str()
            .and_then(|text| text.parse().ok());
        Self {
            child,
            requests: requests.expect("an address"),
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // One that has ended meanwhile gets none.
        let _ = kill_process(id.expect("a process id"), signal);
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("it is our child")
    }
}

/// Reads the rest of a log, so that the relay's lines never pile up, and keeps it
/// where a folder is named.
fn keep_log(lines: impl Iterator<Item = String> + Send + 'static, name: &str, id: u32) {
    let folder = std::env::var_os(LOGS).map(PathBuf::from);
    let file = folder.map(|folder| folder.join(format!("{name}-{id}.log")));
    let mut file = file.map(|file| File::create(file).expect("the folder is writable"));
    std::thread::spawn(move || {
        for line in lines {
            if let Some(file) = &mut file {
                writeln!(file, "{line}").expect("the file is writable");
            }
        }
    });
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
