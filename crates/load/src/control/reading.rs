//! What an entry says of its control side, and the cost between two readings.

use serde::Serialize;
use woodgap_core::admin::Control;
use woodgap_core::clock::Millis;

/// One look at an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// When.
    pub at: Millis,
    /// Endpoints that it knows.
    pub endpoints: usize,
    /// Its counts since its start.
    pub control: Control,
}

/// What the control side of an entry costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Processor time of the control thread, as a share of a core.
    pub core_share: f64,
    /// Resident memory of the whole process, in MB of a million bytes.
    pub rss_mb: f64,
    /// Bytes sent a second, with headers.
    pub bytes_per_s: f64,
    /// Bytes received a second, with headers.
    pub received_per_s: f64,
    /// Messages sent a second.
    pub messages_per_s: f64,
}

impl Cost {
    /// What came between two readings of one life of an entry.
    pub fn between(before: &Reading, after: &Reading) -> Self {
        let seconds = (after.at - before.at).0.max(1) as f64 / 1e3;
        let (from, to) = (&before.control, &after.control);
        let rate = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        Self {
            core_share: rate(from.cpu_us, to.cpu_us) / 1e6,
            rss_mb: to.rss_kb as f64 * 1_024.0 / 1e6,
            bytes_per_s: rate(from.bytes_sent, to.bytes_sent),
            received_per_s: rate(from.bytes_received, to.bytes_received),
            messages_per_s: rate(from.messages_sent, to.messages_sent),
        }
    }
}
