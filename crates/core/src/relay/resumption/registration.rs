//! What the platform stores of software versions, for entries that start when all others are gone.
//!
//! A version is *registered* once the platform has stored it, and no stream begins at one that is
//! not. So whoever reads all that is stored knows each version that may have begun a stream before:
//! an endpoint that is merely listed has begun none. That holds only if nothing of it was lost or
//! written by others who did not register, which a row on [`Completeness`] says.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::era::Era;
use crate::relay::resumption::stored::save_interval;
use crate::relay::resumption::{Build, Service};

/// The key of the row on completeness.
pub const COMPLETENESS_KEY: &str = "~complete";
/// How long the way of a message to another entry takes at most, beside a version's first streams.
const SPREAD: Millis = Millis(200);
/// How long a version waits after a start of entries while those before it still have half of the
/// endpoints: by then most callers have taken up what they lost, which nobody may know any more.
const START_HOLD: Millis = Millis(6_000);
/// By how much entries whose turn it is not stay apart, in ms.
const QUEUE_STEP_MS: f64 = 5.0;
/// How long an entry that has just started does not know the others, of which one has its turn.
const MEETING: Millis = Millis(500);
/// How long an entry leaves a registration to the one whose turn it is, while requests wait.
const URGENT_PATIENCE: Millis = Millis(150);
/// The same while other versions serve.
const PATIENCE: Millis = Millis(2_000);

/// Versions of a service that may have begun streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: String,
    /// Versions of it. Each that is registered has a row of its own, so that writers don't undo one
    /// another; earlier entries wrote all of them into one row, under the service's name.
    pub versions: Vec<String>,
}

impl ServiceVersions {
    /// One version of a service.
    pub fn one(service: &str, version: &str) -> Self {
        Self {
            service: service.to_owned(),
            versions: vec![version.to_owned()],
        }
    }

    /// The position of a service among the entries, one of which registers its versions.
    pub fn position(service: &str) -> u64 {
        Service::of(service).0
    }

    /// The key of the row; names may be longer than keys.
    ///
    /// ```
    /// use woodgap_core::relay::resumption::registration::ServiceVersions;
    ///
    /// let one = ServiceVersions::one("links", "v1");
    /// assert_ne!(one.key(), ServiceVersions::one("links", "v2").key());
    /// ```
    pub fn key(&self) -> String {
        match self.versions.as_slice() {
            [version] => format!("{:016x}", Build::of(&self.service, version).0),
            _ => self.service.clone(),
        }
    }
}

/// Since when all versions that began streams are registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completeness {
    /// The time of day in ms since the Unix epoch; 0 if no stream began before.
    pub complete_since_unix: Millis,
    /// The era of the store in which this was written. In a later one rows may be lost.
    pub era: Era,
}

impl Completeness {
    /// No stream began before the first registration.
    pub fn ever(era: Era) -> Self {
        Self {
            complete_since_unix: Millis::ZERO,
            era,
        }
    }
}

/// A row that is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Row {
    /// Versions.
    Versions(ServiceVersions),
    /// That there are no others.
    Completeness(Completeness),
}

impl Row {
    /// The key under which it is stored.
    pub fn key(&self) -> String {
        match self {
            Self::Versions(versions) => versions.key(),
            Self::Completeness(_) => COMPLETENESS_KEY.to_owned(),
        }
    }
}

/// All that was stored at a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The versions.
    pub versions: Vec<ServiceVersions>,
    /// For how long all that began streams have been registered; `None` if that is not known.
    pub complete_for: Option<Millis>,
}

/// What decides when a version is registered that has endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances {
    /// Whether it is this entry's turn to register versions of the service.
    pub is_owner: bool,
    /// For how long requests have been waiting for a version of the service; `None` if none do.
    pub wanted_for: Option<Millis>,
    /// For how long the version has been known.
    pub known_for: Millis,
    /// The part of the service's usable endpoints that have a registered version.
    pub registered_share: f64,
    /// Whether streams may have begun before this entry's start, whose callers come back.
    pub had_streams: bool,
    /// For how long this entry has run.
    pub uptime: Millis,
    /// How many entries there are.
    pub entries: usize,
    /// The place of this entry among those whose turn it is not, from 0 to 1.
    pub turn: f64,
}

impl Circumstances {
    /// Whether this entry registers the version now. Where no other one serves that is at once;
    /// else only after the streams of the others are stored, which began while there was nothing to
    /// confuse them with.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::resumption::registration::Circumstances;
    ///
    /// let alone = Circumstances {
    ///     is_owner: true,
    ///     wanted_for: None,
    ///     known_for: Millis(0),
    ///     registered_share: 0.0,
    ///     had_streams: true,
    ///     uptime: Millis(90_000),
    ///     entries: 9,
    ///     turn: 0.5,
    /// };
    /// assert!(alone.is_due());
    /// let beside_others = Circumstances { registered_share: 0.5, ..alone };
    /// assert!(!beside_others.is_due());
    /// assert!(Circumstances { known_for: Millis(800), ..beside_others }.is_due());
    /// ```
    pub fn is_due(&self) -> bool {
        if self.registered_share <= 0.0 {
            let queue = self.queue();
            let is_urgent = self
                .wanted_for
                .is_some_and(|it| it >= URGENT_PATIENCE + queue);
            let has_turn = self.is_owner && self.uptime >= MEETING;
            return has_turn || is_urgent || self.known_for >= PATIENCE + queue;
        }
        if self.had_streams && self.registered_share >= 0.5 && self.uptime < START_HOLD {
            return false;
        }
        let flushed = save_interval(self.entries) + SPREAD;
        let patience = if self.is_owner {
            Millis::ZERO
        } else {
            PATIENCE + self.queue()
        };
        self.known_for >= flushed + patience
    }

    /// Until this entry's turn comes among the others: the first one tells them.
    fn queue(&self) -> Millis {
        let all = self.entries as f64 * QUEUE_STEP_MS;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Millis((all * self.turn) as u64)
    }
}
