//! One entry as a process of its own, which can be frozen, woken and killed.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// A running entry; it is killed at the end.
#[derive(Debug)]
pub struct Entry {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other entries reach it.
    pub peer: SocketAddr,
    /// Its name in the settings.
    pub name: String,
    settings: PathBuf,
    log: Option<PathBuf>,
    child: Child,
}

impl Entry {
    /// Starts an entry with these settings and waits until it listens.
    ///
    /// # Panics
    ///
    /// If it does not start.
    pub fn start(program: &Path, settings: &Value) -> Self {
        Self::spawn(program, settings, None)
    }

    /// As [`Entry::start`], with the log in a file for [`Entry::log`].
    ///
    /// # Panics
    ///
    /// If it does not start.
    pub fn logged(program: &Path, settings: &Value) -> Self {
        Self::spawn(program, settings, Some(file("log")))
    }

    /// What a [logged](Entry::logged) entry has logged so far.
    ///
    /// # Panics
    ///
    /// If the log can't be read.
    pub fn log(&self) -> String {
        let log = self.log.as_ref().expect("the entry is logged");
        std::fs::read_to_string(log).expect("the log is a text")
    }

    fn spawn(program: &Path, settings: &Value, log: Option<PathBuf>) -> Self {
        let file = file("jsonc");
        std::fs::write(&file, settings.to_string()).expect("the folder is writable");
        let errors = log.as_ref().map_or_else(Stdio::inherit, |log| {
            File::create(log).expect("the folder is writable").into()
        });
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .expect("the entry starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("it is piped");
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("the entry says where it listens");
        let ready: Value = serde_json::from_str(&line).expect("one JSON line");
        let address = |key: &str| ready[key].as_str().and_then(|text| text.parse().ok());
        Self {
            address: address("ready").expect("an address"),
            peer: address("peer").expect("an address"),
            name: ready["name"].as_str().expect("a name").to_owned(),
            settings: file,
            log,
            child,
        }
    }

    /// The address of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Stops the process where it stands (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Ends the process at once (SIGKILL), and leaves it to be waited for.
    pub fn crash(&self) {
        self.signal(Signal::KILL);
    }

    /// Asks for a planned stop (SIGTERM).
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks for the settings to be read again (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits for the end of the process and returns its exit code.
    ///
    /// # Panics
    ///
    /// If the process can't be waited for.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("it is our child").code()
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        // One that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the entry runs");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
        if let Some(log) = &self.log {
            let _ = std::fs::remove_file(log);
        }
    }
}

/// A file of its own, also among tests that run side by side.
fn file(kind: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("woodgap-entry-{}-{next}.{kind}", std::process::id());
    std::env::temp_dir().join(name)
}
