//! What entries tell one another of their load at endpoints.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::engine_speed;
use crate::relay::lateness::Lateness;
use crate::relay::prefix;

/// After so long the share of another entry counts for nothing: it may be gone.
const SHARE_LIFE: Millis = Millis(1_500);

/// What one entry has in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Which life of which endpoint: its [`life_key`]. News of an earlier life so never
    /// count for a later one.
    pub endpoint: u32,
    /// Requests of the entry there.
    pub running: u32,
    /// Prompt tokens of them that are not read yet.
    pub unread: u32,
    /// Tokens of memory that its requests take or will take.
    pub held: u32,
    /// How long a token takes there now, in tenths of a ms; 0 if it was not seen of late.
    pub token_time: u16,
}

/// How much engines have to do, in prompt tokens to read in each ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Needed {
    /// For steady streams.
    pub steady: f64,
    /// For reading other prompts.
    pub reading: f64,
    /// How late both were of late.
    pub lateness: Lateness,
}

/// The work of one entry's requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Which service: the [`key`] of its name.
    pub service: u32,
    /// What it asks of engines.
    pub needed: Needed,
    /// How fast the entry has found them to be.
    pub pace: engine_speed::SpeedReport,
}

/// What an entry tells the others of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tidings {
    /// Its load by endpoint, the heaviest first.
    pub shares: Vec<Share>,
    /// Its work by service.
    pub works: Vec<Work>,
}

/// What the other entries have told.
#[derive(Debug, Default)]
pub struct Others {
    told: HashMap<name::Entry, Told>,
}

#[derive(Debug)]
struct Told {
    shares: HashMap<u32, Share>,
    works: Vec<Work>,
    at: Millis,
}

/// What the other entries have in flight at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Elsewhere {
    /// Requests.
    pub running: f64,
    /// Prompt tokens that are not read yet, less what has been read since.
    pub unread: f64,
    /// Tokens of memory that the requests take or will take.
    pub held: f64,
}

impl Others {
    /// Takes what an entry tells; it stands for all that it told before.
    pub fn tell(&mut self, entry: &name::Entry, tidings: &Tidings, now: Millis) {
        let shares = tidings.shares.iter().map(|share| (share.endpoint, *share));
        let told = Told {
            shares: shares.collect(),
            works: tidings.works.clone(),
            at: now,
        };
        self.told.insert(entry.clone(), told);
        self.told.retain(|_, told| now - told.at < SHARE_LIFE);
    }

    /// How many others have told lately.
    pub fn count(&self, now: Millis) -> usize {
        self.live(now).count()
    }

    /// What the others have at an endpoint that reads so many tokens in a ms.
    pub fn at(&self, endpoint: &name::Life, read_rate: f64, now: Millis) -> Elsewhere {
        let key = life_key(endpoint);
        let mut elsewhere = Elsewhere::default();
        let mut read = 0.0;
        for told in self.live(now) {
            if let Some(share) = told.shares.get(&key) {
                elsewhere.running += f64::from(share.running);
                elsewhere.held += f64::from(share.held);
                elsewhere.unread += f64::from(share.unread);
                let age = (now - told.at).0 as f64;
                read += f64::from(share.unread) * age * read_rate;
            }
        }
        // The engine reads the prompts of all entries in turn: what it has read
        // since is shared among them.
        if elsewhere.unread > 0.0 {
            let read = read / elsewhere.unread;
            elsewhere.unread = (elsewhere.unread - read).max(0.0);
        }
        elsewhere
    }

    /// What the others' requests to a service need.
    pub fn needed(&self, service: &str, now: Millis) -> Needed {
        let key = key(service);
        let works = self.live(now).flat_map(|told| &told.works);
        let mut all = Needed::default();
        for work in works.filter(|work| work.service == key) {
            all.steady += work.needed.steady;
            all.reading += work.needed.reading;
            all.lateness.add(&work.needed.lateness);
        }
        all
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &Told> {
        let told = self.told.values();
        told.filter(move |told| now - told.at < SHARE_LIFE)
    }
}

/// The short form of a name. Two names share one with a probability of one in
/// four thousand millions; their loads are then summed.
pub fn key(name: &str) -> u32 {
    short(hash(name))
}

/// The short form of an endpoint's life, as [`key`] is of a name.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name::{Endpoint, Life};
/// use woodgap_core::relay::tidings;
///
/// let unknown = Life::from(Endpoint::from("e-1"));
/// let known = Life { started_unix: Some(Millis(1_000)), ..unknown.clone() };
/// assert_eq!(tidings::life_key(&unknown), tidings::key("e-1"));
/// assert_ne!(tidings::life_key(&known), tidings::life_key(&unknown));
/// ```
pub fn life_key(life: &name::Life) -> u32 {
    short(life_hash(life))
}

/// A hash of an endpoint's life that is the same in all entries.
pub fn life_hash(life: &name::Life) -> u64 {
    let hash = hash(life.id.as_str());
    let started = life.started_unix;
    started.map_or(hash, |started| prefix::mix(hash, started.0))
}

/// The lower half of an evenly mixed number.
pub(super) fn short(hash: u64) -> u32 {
    #[allow(clippy::cast_possible_truncation)]
    let short = hash as u32;
    short
}

/// A hash of a name that is the same in all entries.
pub fn hash(name: &str) -> u64 {
    let bytes = name.bytes();
    bytes.fold(0, |hash, byte| prefix::mix(hash, u64::from(byte)))
}
