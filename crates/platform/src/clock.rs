//! Reads the machine's clocks into [`Millis`].

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use woodgap_core::clock::Millis;

/// A monotonic clock that also knows the time of day at its start.
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
    started: Instant,
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
            started: Instant::now(),
            unix_at_start: Millis(unix),
        }
    }

    /// Milliseconds since the start; never goes back, whatever the time of day does.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Milliseconds since the Unix epoch, for records that outlive the process.
    pub fn unix(&self) -> Millis {
        self.unix_at_start + self.now()
    }
}
