//! The clocks that leases and what is done under them go by.

use woodgap_core::clock::Millis;

use crate::clock::Clock;

/// A monotonic clock, and the time of day for what outlives the process.
pub trait Time: Clone + 'static {
    /// Milliseconds on a scale that never goes back.
    fn now(&self) -> Millis;

    /// Milliseconds since the Unix epoch.
    fn unix(&self) -> Millis;
}

impl Time for Clock {
    fn now(&self) -> Millis {
        Clock::now(self)
    }

    fn unix(&self) -> Millis {
        Clock::unix(self)
    }
}
