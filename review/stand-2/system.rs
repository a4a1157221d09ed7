//! Entries: the project's program, one process each, with the settings of a small deployment.

use std::fs::{self, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Answer, Log, ask};
use crate::store::Store;

/// The command of the deploy file.
pub const PROGRAM: &str = "target/release/woodgap-adapter";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// The bounds of the small deployments' sheets.
pub const DRAIN_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;

/// Addresses of one run, all of them loopback addresses.
#[derive(Clone)]
pub struct Net(String);

impl Net {
    pub fn new() -> Self {
        let number = std::process::id();
        Self(format!("127.{}.{}", 64 + number % 128, number / 128 % 256))
    }

    pub fn ip(&self, host: usize) -> String {
        format!("{}.{host}", self.0)
    }
}

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Child>,
}

/// The entries of a run. They end with it.
pub struct System {
    pub entries: Vec<Arc<Entry>>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
}

impl System {
    pub fn start(net: &Net, count: usize, memory_mb: usize, store: &Store, log: &Log) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("stand-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let seeds: Vec<_> = (0..count.min(3)).map(|it| format!("\"{}:8229\"", net.ip(200 + it))).collect();
        let mut system = Self { entries: Vec::new(), folder, is_over: Arc::default() };
        for number in 0..count {
            let ip = net.ip(200 + number);
            let name = format!("front-{}-{}", ZONES[number % 3], number / 3 + 1);
            let settings = settings(&name, ZONES[number % 3], &ip, &seeds.join(","), store, memory_mb);
            let path = system.folder.join(format!("{name}.jsonc"));
            fs::write(&path, settings)?;
            let output = system.folder.join(format!("{name}.log"));
            let child = spawn(&path, &output)?;
            let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
            system.entries.push(Arc::new(Entry {
                name,
                front: address(18_080),
                ready: address(18_082),
                directory: address(18_081),
                settings: path,
                output,
                child: Mutex::new(child),
            }));
        }
        log.say(format!("{count} entries are started"));
        Ok(system)
    }

    /// Waits until all are ready.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let tries = limit.as_millis() / 100;
        for _ in 0..tries {
            if self.entries.iter().all(|it| it.is_ready()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Asks each entry once a second whether it is ready, as the platform does, and records it.
    pub fn watch(&self, log: &Log) {
        for entry in &self.entries {
            let (entry, log, is_over) = (Arc::clone(entry), log.clone(), Arc::clone(&self.is_over));
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let is_ready = entry.is_ready();
                    log.say(format!("{}: ready {is_ready}", entry.name));
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// The names of entries that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let ended = self.entries.iter().filter(|it| {
            let mut child = it.child.lock().unwrap();
            !matches!(child.try_wait(), Ok(None))
        });
        ended.map(|it| it.name.clone()).collect()
    }
}

/// Starts the program with these settings.
fn spawn(settings: &PathBuf, output: &PathBuf) -> io::Result<Child> {
    let output = OpenOptions::new().create(true).append(true).open(output)?;
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("WOODGAP_SETTINGS", settings).env("LANG", "C");
    command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
    command.spawn()
}

impl Entry {
    /// The memory that the process has for itself, without that of its file.
    pub fn memory_kb(&self) -> Option<usize> {
        let id = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Kills the process.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process again.
    pub fn restart(&self) -> io::Result<()> {
        let settings = fs::read_to_string(&self.settings)?;
        let settings = settings.replace("\"first_start\": true", "\"first_start\": false");
        fs::write(&self.settings, settings)?;
        *self.child.lock().unwrap() = spawn(&self.settings, &self.output)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host".to_owned(), "platform".to_owned()), ("Connection".to_owned(), "close".to_owned())];
        let limit = Duration::from_secs(1);
        ask(self.ready, "GET /api/ready", &headers, &[], limit, |_| {}).status() == 200
    }

    /// What the directory of this entry lists.
    pub fn resolve(&self) -> Answer {
        let headers = [("Host".to_owned(), "directory".to_owned()), ("Connection".to_owned(), "close".to_owned())];
        let first = "GET /api/resolve?Name=calls.example&Region=north&Zone=hall-a";
        ask(self.directory, first, &headers, &[], Duration::from_secs(1), |_| {})
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for entry in &self.entries {
            let mut child = entry.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// `deploy/settings.jsonc`, filled in.
fn settings(name: &str, zone: &str, ip: &str, seeds: &str, store: &Store, memory_mb: usize) -> String {
    format!(
        r#"{{
  "name": "{name}",
  "data_centre": "{zone}",
  "listen": "{ip}:18080",
  "directory_listen": "{ip}:18081",
  "ready_listen": "{ip}:18082",
  "metrics_listen": "{ip}:9464",
  "peer_listen": "{ip}:17340",
  "seeds": [{seeds}],
  "first_start": true,
  "platform": {{ "url": "http://{}" }},
  "bounds": {{
    "revoke_ms": 5000,
    "keys_fail_closed": true,
    "leave_ms": {DRAIN_MS},
    "grace_s": 8,
    "entries_lifetime_s": 5,
    "repeat_ratio": 0.2,
    "repeat_slack": 52,
    "repeat_window_s": 10
  }},
  "scheduling": {{ "services": "uneven", "admission": false }},
  "memory_mb": {memory_mb},
  "descriptors": 4100
}}
"#,
        store.address
    )
}
