//! Reads the machine's clocks into [`Millis`].

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use woodgap_core::clock::Millis;

/// A monotonic clock that also knows the time of day at its start. It counts the time for which
/// the machine was suspended.
///
/// ```
/// use woodgap_platform::clock::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// assert!(clock.unix().0 > 1_600_000_000_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Millis,
    unix_at_start: Millis,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Self {
            started: since_boot(),
            unix_at_start: Millis(unix),
        }
    }

    /// Milliseconds since the start; never goes back, whatever the time of day does.
    pub fn now(&self) -> Millis {
        since_boot() - self.started
    }

    /// Milliseconds since the Unix epoch, for records that outlive the process.
    pub fn unix(&self) -> Millis {
        self.unix_at_start + self.now()
    }
}

/// The time since the machine was started, with the time for which it was suspended.
fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Millis(seconds * 1_000 + nanos / 1_000_000)
}
