//! Leases on background work: deferred requests and orders to endpoints.

use woodgap_core::clock::Millis;

use crate::platform::Platform;
use crate::reader::Section;
use crate::rule;

/// The shortest lease, in ms: below it the calls of the platform take too great a part.
const SHORTEST: u64 = 500;
/// The longest lease, in ms: a dead holder's work waits this long.
const LONGEST: u64 = 120_000;
/// How many calls of the platform must fit into a lease, so that one that times
/// out does not cost it.
const CALLS: u64 = 3;

/// Leases on background work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// How long a lease lasts after each renewal.
    pub duration: Millis,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            duration: Millis(15_000),
        }
    }
}

impl Lease {
    pub(crate) fn read(section: &Section) -> Self {
        let duration = section.or(
            "duration_ms",
            &rule::millis(SHORTEST, LONGEST),
            Self::default().duration,
        );
        Self { duration }
    }

    /// Checks the lease against the platform's timeout.
    pub(crate) fn check(self, section: &Section, platform: &Platform) {
        let needed = platform.timeout.0.saturating_mul(CALLS);
        if self.duration.0 >= needed {
            return;
        }
        section.reject(
            "lease",
            format!("duration_ms {}", self.duration.0),
            &format!("at least {CALLS} times platform.timeout_ms, {needed}"),
            "Raise the duration, or lower the timeout.",
        );
    }
}
