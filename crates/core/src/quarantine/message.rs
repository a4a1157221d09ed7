//! The crash history of a cause as entries exchange it. Times are sent as ages, as each entry has
//! its own clock.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::quarantine::record::{CountedCrash, MAX_CRASHES};
use crate::quarantine::{Cause, Crash, RETENTION};

/// What an entry knows about the crashes of one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// The cause.
    pub cause: Cause,
    /// How many times a completed run has reset the crash count. Crashes counted before the last
    /// reset are void.
    pub acquittals: u32,
    /// Whether any run with the cause is known to have completed.
    pub popularity: Popularity,
    /// The crashes since the last reset.
    pub crashes: Vec<ReportedCrash>,
}

/// What is known of whether runs with a cause complete, from the least to the most that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Popularity {
    /// Nothing: whoever saw it crash endpoints had just started.
    #[default]
    Unknown,
    /// None has lately, at an entry that has seen others complete.
    Rare,
    /// Some have.
    Popular,
}

/// The crash history of a withheld cause as stored by the platform, for entries that start
/// when no other entry is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHistory {
    /// The crash history.
    pub told: CrashHistory,
    /// Wall-clock time of writing. An entry that starts later shares no other clock with the
    /// writer. A clock step lengthens or shortens a hold by some seconds.
    pub written_unix: Millis,
}

impl StoredHistory {
    /// Returns the crash history with its ages adjusted to the given wall-clock time.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::fingerprint::{Fingerprint, Request};
    /// use woodgap_core::quarantine::{Cause, Crash, StoredHistory, Quarantine};
    ///
    /// let request = Request { caller: "", method: "GET", host: "", target: "/", body: b"" };
    /// let cause = Cause::Request(Fingerprint::of(&request));
    /// let mut quarantine = Quarantine::default();
    /// for endpoint in 1..=3 {
    ///     let at = Millis::from_secs(u64::from(endpoint));
    ///     let crash = Crash { endpoint, sent: at, at, pieces: 0 };
    ///     quarantine.record_crash(&[cause], crash, at);
    /// }
    /// let now = Millis::from_secs(5);
    /// let told = quarantine.history_to_store(cause, now).unwrap();
    /// let kept = StoredHistory { told, written_unix: Millis::from_secs(1_000) };
    /// let mut later = Quarantine::default();
    /// later.merge_histories(&[kept.history_at(Millis::from_secs(1_060))], Millis::from_secs(100));
    /// assert!(later.hold(&[cause], Millis::from_secs(100)).is_some());
    /// ```
    pub fn history_at(&self, now_unix: Millis) -> CrashHistory {
        let since = now_unix - self.written_unix;
        let crashes = self.told.crashes.iter();
        let crashes = crashes.map(|reported| ReportedCrash {
            age: reported.age + since,
            ..*reported
        });
        CrashHistory {
            crashes: crashes.collect(),
            ..self.told.clone()
        }
    }

    /// Returns whether the value is plausible: all times are within the retention period, and there
    /// are not too many crashes.
    pub fn is_sound(&self) -> bool {
        let crashes = &self.told.crashes;
        let is_recent =
            |reported: &ReportedCrash| reported.age <= RETENTION && reported.lasted <= RETENTION;
        crashes.len() <= MAX_CRASHES && crashes.iter().all(is_recent)
    }

    /// Returns whether all crashes have expired at the given wall-clock time.
    pub fn is_expired(&self, now_unix: Millis) -> bool {
        let history = self.history_at(now_unix);
        history
            .crashes
            .iter()
            .all(|reported| reported.age >= RETENTION)
    }
}

/// A crash, with its age instead of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    endpoint: u32,
    /// How long the first request with the cause had been running on the endpoint.
    lasted: Millis,
    age: Millis,
    /// Number of pieces of the response received before the crash.
    pieces: u32,
    /// Number of runs with the cause that the crash interrupted.
    runs: u32,
}

impl ReportedCrash {
    /// Converts a crash to the form in which it is sent.
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

    /// Converts the received crash to local time.
    pub fn localize(&self, now: Millis) -> CountedCrash {
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
