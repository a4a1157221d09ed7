//! What the control side of this entry costs: bytes, messages, processor time.

use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::StatsdClient;
use cadence::prelude::*;
use rustix::time::{ClockId, clock_gettime};
use woodgap_core::admin;

/// Bytes of IP and UDP headers, which count against the budget too.
const UDP_HEADERS: u64 = 28;

/// Counts of what went between this entry and the others.
#[derive(Debug, Default)]
pub struct Meter {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    messages_sent: AtomicU64,
    messages_received: AtomicU64,
    refused: AtomicU64,
}

impl Meter {
    /// A datagram went out.
    pub fn sent(&self, bytes: usize) {
        add(&self.bytes_sent, bytes as u64 + UDP_HEADERS);
    }

    /// A datagram came in.
    pub fn received(&self, bytes: usize) {
        add(&self.bytes_received, bytes as u64 + UDP_HEADERS);
    }

    /// Messages went out.
    pub fn messages_sent(&self, count: usize) {
        add(&self.messages_sent, count as u64);
    }

    /// Messages came in.
    pub fn messages_received(&self, count: usize) {
        add(&self.messages_received, count as u64);
    }

    /// A datagram or a stream was not sealed by this fleet, or came twice.
    pub fn refused(&self) {
        add(&self.refused, 1);
    }

    /// The counts so far; to be called on the control thread, whose processor
    /// time they hold.
    pub fn read(&self) -> admin::Control {
        admin::Control {
            cpu_us: thread_cpu_us(),
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            bytes_received: self.bytes_received.load(Ordering::Relaxed),
            messages_sent: self.messages_sent.load(Ordering::Relaxed),
            messages_received: self.messages_received.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            rss_kb: resident_kb(),
        }
    }
}

/// Sends the counts as gauges.
pub fn report(counts: &admin::Control, metrics: &StatsdClient) {
    let gauges = [
        ("control.cpu_us", counts.cpu_us),
        ("control.bytes_sent", counts.bytes_sent),
        ("control.bytes_received", counts.bytes_received),
        ("control.messages_sent", counts.messages_sent),
        ("control.messages_received", counts.messages_received),
        ("control.refused", counts.refused),
        ("control.rss_kb", counts.rss_kb),
    ];
    for (name, value) in gauges {
        // A lost metric is no reason to stop.
        let _ = metrics.gauge(name, value);
    }
}

fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

fn thread_cpu_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}

/// Resident memory of the whole process; a thread has none of its own.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}
