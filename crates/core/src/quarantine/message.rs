//! What entries tell one another of a request, with ages in place of moments, as each has a
//! clock of its own.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;
use crate::quarantine::Crash;
use crate::quarantine::record::Counted;

/// What an entry knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Which request.
    pub request: Fingerprint,
    /// How often a run that ended well has ended the count of its crashes: what was counted
    /// before is void.
    pub acquittals: u32,
    /// Whether a run of it has ended well at all.
    pub is_popular: bool,
    /// Its crashes since.
    pub crashes: Vec<Heard>,
}

/// A crash, by how long ago it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    endpoint: u32,
    /// How long the endpoint had the request.
    lasted: Millis,
    age: Millis,
    /// How many runs of the request it cut off.
    runs: u32,
}

impl Heard {
    /// As it is told now.
    pub fn of(counted: &Counted, now: Millis) -> Self {
        let Counted { crash, runs } = counted;
        Self {
            endpoint: crash.endpoint,
            lasted: crash.at - crash.sent,
            age: now - crash.at,
            runs: *runs,
        }
    }

    /// On the own clock.
    pub fn counted(&self, now: Millis) -> Counted {
        let at = now - self.age;
        let crash = Crash {
            endpoint: self.endpoint,
            sent: at - self.lasted,
            at,
        };
        Counted {
            crash,
            runs: self.runs,
        }
    }
}
