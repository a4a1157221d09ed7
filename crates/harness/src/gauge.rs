//! Measures what a process holds: its memory, what its sockets hold for it, its descriptors.

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often the process is looked at.
const PERIOD: Duration = Duration::from_millis(50);
/// Bytes in a kB of `/proc`.
const KB: u64 = 1024;

/// The most that a process has held at any time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Resident memory, together with the bytes that its connections had not read or not sent.
    pub memory_bytes: u64,
    /// Resident memory alone.
    pub resident_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl Held {
    fn raise(&mut self, to: Self) {
        self.memory_bytes = self.memory_bytes.max(to.memory_bytes);
        self.resident_bytes = self.resident_bytes.max(to.resident_bytes);
        self.descriptors = self.descriptors.max(to.descriptors);
    }
}

/// Looks at a process until it is dropped.
#[derive(Debug)]
pub struct Gauge {
    peak: Arc<Mutex<Held>>,
    is_over: Arc<AtomicBool>,
    looking: Option<JoinHandle<()>>,
}

impl Gauge {
    /// Begins to look at a process that takes connections at these addresses.
    pub fn start(process: u32, addresses: &[SocketAddr]) -> Self {
        let ports: Vec<u16> = addresses.iter().map(SocketAddr::port).collect();
        let peak = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let (raised, ends) = (Arc::clone(&peak), Arc::clone(&is_over));
        let looking = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                if let Some(held) = look(process, &ports) {
                    lock(&raised).raise(held);
                }
                std::thread::sleep(PERIOD);
            }
        });
        Self {
            peak,
            is_over,
            looking: Some(looking),
        }
    }

    /// The most that the process has held so far.
    pub fn peak(&self) -> Held {
        *lock(&self.peak)
    }
}

impl Drop for Gauge {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(looking) = self.looking.take() {
            // It panics only if the process's files are of no known form.
            let _ = looking.join();
        }
    }
}

fn lock(peak: &Mutex<Held>) -> MutexGuard<'_, Held> {
    peak.lock().expect("nobody panics while holding it")
}

/// What the process holds now; `None` if it has ended.
fn look(process: u32, ports: &[u16]) -> Option<Held> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    // Both are missing once the process has ended and waits to be asked for.
    let highest = kilobytes(&status, "VmHWM:")? * KB;
    let resident = kilobytes(&status, "VmRSS:")? * KB;
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
    Some(Held {
        memory_bytes: highest.max(resident + queued(&sockets, ports)),
        resident_bytes: highest,
        descriptors,
    })
}

fn kilobytes(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// The bytes that connections to these ports hold, unsent and unread, by `/proc/net/tcp`.
fn queued(sockets: &str, ports: &[u16]) -> u64 {
    let queued = sockets.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let (unsent, unread) = fields.nth(2)?.split_once(':')?;
        let unsent = u64::from_str_radix(unsent, 16).ok()?;
        let unread = u64::from_str_radix(unread, 16).ok()?;
        ports.contains(&port).then_some(unsent + unread)
    });
    queued.sum()
}
