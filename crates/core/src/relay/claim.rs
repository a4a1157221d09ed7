//! The claim to the duties that one entry performs at a time, as gossiped between entries.
//!
//! Only the lease permits an entry to act. The claim tells the others where to send counts and who
//! is next to compete for the lease. It also holds back an entry that acquired the lease while
//! another holder is still heard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::usage::Window;
use crate::relay::{load_report, prefix};

/// Added to the platform's minimum separation before an entry competes again for duties that it
/// held before: another entry may have acted in between.
const REACQUIRE_MARGIN: Millis = Millis(1_000);

/// Who performs the duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The number under which the holder acts; of two claims, the one with the greater number is
    /// later.
    pub number: u64,
    /// The entry that performs the duties.
    pub holder: name::Entry,
    /// Addresses to which counts are sent: the holder, and the entry that will probably succeed it.
    pub collectors: Vec<SocketAddr>,
    /// The last settled window.
    pub settled: Option<Window>,
    /// Increases while the holder is certain of its lease.
    pub heartbeat: u64,
    /// Whether the holder has released the lease.
    pub is_released: bool,
}

impl Claim {
    /// Whether this claim is later than the other one.
    pub fn supersedes(&self, other: &Self) -> bool {
        let order = |claim: &Self| {
            (
                claim.number,
                claim.settled,
                claim.heartbeat,
                claim.is_released,
            )
        };
        order(self) > order(other)
    }

    /// Whether the claims differ in more than the heartbeat.
    pub fn differs_beyond_heartbeat(&self, other: &Self) -> bool {
        let content = |claim: &Self| (claim.number, claim.settled, claim.is_released);
        content(self) != content(other)
    }

    /// Whether another entry that has just acquired the lease may act. It may not while this
    /// claim's holder may still consider itself the holder, given how long it has been silent and
    /// that a lease is held for `hold`. The lease itself prevents two holders, unless the
    /// platform's rows were restored to a state from before the holder acquired it.
    pub fn allows_takeover_by(&self, other: &name::Entry, silence: Millis, hold: Millis) -> bool {
        self.is_released || self.holder == *other || silence >= hold
    }
}

/// The next number to act under. It exceeds all earlier ones, even if the platform's rows were
/// restored to an older state, since it is at least the current time.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::claim::next_number;
///
/// assert_eq!(next_number(Some(7), None, Millis(1_000)), 1_000);
/// assert_eq!(next_number(Some(2_000), Some(2_500), Millis(1_000)), 2_501);
/// ```
pub fn next_number(written: Option<u64>, heard: Option<u64>, unix_now: Millis) -> u64 {
    let highest = written.max(heard);
    highest.map_or(unix_now.0, |highest| unix_now.0.max(highest + 1))
}

/// A pseudo-random sample, uniformly distributed from 0 to 1 over the entries and different for
/// each claim.
pub fn sample(claim: Option<&Claim>, entry: &name::Entry) -> f64 {
    let number = claim.map_or(0, |claim| claim.number);
    let hash = prefix::mix(load_report::name_hash(entry.as_str()), number);
    f64::from(load_report::low_32_bits(hash)) / f64::from(u32::MAX)
}

/// The state that decides whether an entry competes for the duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How many other entries precede it.
    pub rank: usize,
    /// Whether it has run long enough to know its rank.
    pub is_rank_known: bool,
    /// Whether this is the first start of the whole system, and the entry is one of the seeds.
    pub is_bootstrapping: bool,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// How long it has run.
    pub uptime: Millis,
    /// How long ago it last held the duties, if it did since its start.
    pub last_held: Option<Millis>,
    /// How long nothing was heard of the holder.
    pub holder_silence: Millis,
    /// Its [`sample`] for the current claim.
    pub sample: f64,
    /// The number of entries.
    pub entries: usize,
}

/// How many entries compete for the duties at all times: the first holds them, the second succeeds
/// it.
const PRIMARY_CANDIDATES: usize = 2;
/// After this long without a message of the holder, other entries compete too: those of the first
/// ranks may be gone as well, but still be counted.
const HOLDER_TIMEOUT: Millis = Millis(2_500);
/// How many of them compete on average, as half of the fleet may be gone.
const EXPECTED_FALLBACKS: f64 = 8.0;

impl Candidate {
    /// Whether the entry should acquire the duties if nobody holds them. The platform refuses calls
    /// of an entry within `min_separation` of another entry's calls.
    pub fn is_eligible(&self, min_separation: Millis) -> bool {
        let cooldown = min_separation + REACQUIRE_MARGIN;
        if self.is_stopping || self.last_held.is_some_and(|ago| ago < cooldown) {
            return false;
        }
        // It may have held the duties shortly before it restarted.
        let has_cooled_down = self.uptime >= cooldown && self.is_rank_known;
        let is_selected = self.sample * (self.entries as f64) < EXPECTED_FALLBACKS;
        let has_turn = self.rank < PRIMARY_CANDIDATES
            || (self.holder_silence >= HOLDER_TIMEOUT && is_selected);
        (self.is_bootstrapping && !self.is_rank_known) || (has_cooled_down && has_turn)
    }
}
