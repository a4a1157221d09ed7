//! Orders to endpoints.

use woodgap_core::clock::Millis;

use crate::entry::Lease;
use crate::reader::Section;
use crate::rule;

/// The longest pause between two looks at the endpoints, in ms.
const LONGEST_POLL: u64 = 60_000;
/// The longest time for one order to be sent, in ms.
const LONGEST_SEND: u64 = 30_000;
/// The longest time for a load, in ms: an hour.
const LONGEST_LOAD: u64 = 60 * 60 * 1_000;
/// The most loads at once.
const MOST_LOADS: usize = 1_000;
/// How often a send must fit into a lease: its holder starts none that might
/// outlast it.
const SENDS: u64 = 3;

/// Orders to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Orders {
    /// The pause between two looks at the wanted state and at the endpoints.
    pub poll: Millis,
    /// The longest time for one order to be sent.
    pub send_timeout: Millis,
    /// After this time a load no longer counts against `loads_at_once`.
    pub load_timeout: Millis,
    /// The most endpoints of a data centre that load at once.
    pub loads_at_once: usize,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            poll: Millis(4_000),
            send_timeout: Millis(2_000),
            load_timeout: Millis(600_000),
            loads_at_once: 2,
        }
    }
}

impl Orders {
    pub(crate) fn read(section: &Section) -> Self {
        let default = Self::default();
        Self {
            poll: section.or("poll_ms", &rule::millis(10, LONGEST_POLL), default.poll),
            send_timeout: section.or(
                "send_timeout_ms",
                &rule::millis(10, LONGEST_SEND),
                default.send_timeout,
            ),
            load_timeout: section.or(
                "load_timeout_ms",
                &rule::millis(100, LONGEST_LOAD),
                default.load_timeout,
            ),
            loads_at_once: section.or(
                "loads_at_once",
                &rule::whole(1, MOST_LOADS),
                default.loads_at_once,
            ),
        }
    }

    /// Checks the sends against the lease under which they go out.
    pub(crate) fn check(self, section: &Section, lease: Lease) {
        let most = lease.duration.0 / SENDS;
        if self.send_timeout.0 <= most {
            return;
        }
        section.reject(
            "orders",
            format!("send_timeout_ms {}", self.send_timeout.0),
            &format!("at most a third of lease.duration_ms, {most}"),
            "Lower the timeout, or raise the duration.",
        );
    }
}
