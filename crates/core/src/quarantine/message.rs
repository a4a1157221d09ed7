//! What entries tell one another of a request, with ages in place of moments, as each has a
//! clock of its own.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;
use crate::quarantine::Crash;
use crate::quarantine::RETENTION;
use crate::quarantine::record::{CountedCrash, MAX_CRASHES};

/// What an entry knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// Which request.
    pub request: Fingerprint,
    /// How often a run that ended well has ended the count of its crashes: what was counted
    /// before is void.
    pub acquittals: u32,
    /// Whether a run of it has ended well at all.
    pub is_popular: bool,
    /// Its crashes since.
    pub crashes: Vec<ReportedCrash>,
}

/// What the platform keeps of a request that is withheld, for entries that start when all others
/// are gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHistory {
    /// What was known of it.
    pub told: CrashHistory,
    /// When that was, by the time of day: entries that are gone share no other clock with those
    /// that come. A step of it makes a hold some seconds longer or shorter.
    pub written_unix: Millis,
}

impl StoredHistory {
    /// What is known of it, as of this time of day.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::fingerprint::{Fingerprint, Request};
    /// use woodgap_core::quarantine::{Crash, StoredHistory, Quarantine};
    ///
    /// let request = Request { caller: "", method: "GET", host: "", target: "/", body: b"" };
    /// let request = Fingerprint::of(&request);
    /// let mut quarantine = Quarantine::default();
    /// for endpoint in 1..=3 {
    ///     let at = Millis::from_secs(u64::from(endpoint));
    ///     let crash = Crash { endpoint, sent: at, at, pieces: 0 };
    ///     quarantine.record_crash(request, crash, at);
    /// }
    /// let now = Millis::from_secs(5);
    /// let told = quarantine.withheld_history(request, now).unwrap();
    /// let kept = StoredHistory { told, written_unix: Millis::from_secs(1_000) };
    /// let mut later = Quarantine::default();
    /// later.merge_histories(&[kept.history_at(Millis::from_secs(1_060))], Millis::from_secs(100));
    /// assert!(later.hold(request, Millis::from_secs(100)).is_some());
    /// ```
    pub fn history_at(&self, now_unix: Millis) -> CrashHistory {
        let since = now_unix - self.written_unix;
        let crashes = self.told.crashes.iter();
        let crashes = crashes.map(|heard| ReportedCrash {
            age: heard.age + since,
            ..*heard
        });
        CrashHistory {
            crashes: crashes.collect(),
            ..self.told.clone()
        }
    }

    /// Whether it may be what an entry has written: its moments lie within what is remembered.
    pub fn is_sound(&self) -> bool {
        let crashes = &self.told.crashes;
        let is_recent = |heard: &ReportedCrash| heard.age <= RETENTION && heard.lasted <= RETENTION;
        crashes.len() <= MAX_CRASHES && crashes.iter().all(is_recent)
    }

    /// Whether it is forgotten by this time of day.
    pub fn is_expired(&self, now_unix: Millis) -> bool {
        let told = self.history_at(now_unix);
        told.crashes.iter().all(|heard| heard.age >= RETENTION)
    }
}

/// A crash, by how long ago it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    endpoint: u32,
    /// How long the endpoint had the request.
    lasted: Millis,
    age: Millis,
    /// How many pieces of the answer had come.
    pieces: u32,
    /// How many runs of the request it cut off.
    runs: u32,
}

impl ReportedCrash {
    /// As it is told now.
    pub fn of(counted: &CountedCrash, now: Millis) -> Self {
        let CountedCrash { crash, runs } = counted;
        Self {
            endpoint: crash.endpoint,
            lasted: crash.at - crash.sent,
            age: now - crash.at,
            pieces: crash.pieces,
            runs: *runs,
        }
    }

    /// On the own clock.
    pub fn counted(&self, now: Millis) -> CountedCrash {
        let at = now - self.age;
        let crash = Crash {
            endpoint: self.endpoint,
            sent: at - self.lasted,
            at,
            pieces: self.pieces,
        };
        CountedCrash {
            crash,
            runs: self.runs,
        }
    }
}
