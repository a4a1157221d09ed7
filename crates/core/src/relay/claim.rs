//! Who does the duties of one entry at a time, as entries tell one another.
//!
//! Only the lease lets an entry act. A claim tells where counts are to be sent, and whose turn it
//! is to care for the lease; and it holds back whoever got the lease while a holder is still heard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::usage::Window;
use crate::relay::{prefix, tidings};

/// How much longer than the platform's bound an entry waits before it takes the duties again that
/// it had: another one may have acted in between.
const BACK_OFF_MARGIN: Millis = Millis(1_000);

/// Who does the duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The number under which it acts: of two claims the one with the greater number is later.
    pub number: u64,
    /// The entry.
    pub holder: name::Entry,
    /// Where the holder, and the entry that is likely to follow it, take messages.
    pub collectors: Vec<SocketAddr>,
    /// The last window that is settled.
    pub settled: Option<Window>,
    /// Rises for as long as the holder is certain of the lease.
    pub heartbeat: u64,
    /// Whether the holder has given the lease back.
    pub is_released: bool,
}

impl Claim {
    /// Whether this claim tells something later than another.
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

    /// Whether it tells more than that the holder goes on.
    pub fn differs_beyond_heartbeat(&self, other: &Self) -> bool {
        let news = |claim: &Self| (claim.number, claim.settled, claim.is_released);
        news(self) != news(other)
    }

    /// Whether another entry that has just got the lease may act: not while this claim's holder
    /// may still hold it, as heard so long ago, for a lease that is held for `hold`. The lease
    /// itself shuts that out, unless the platform's rows were put back to before the holder's take.
    pub fn allows_takeover_by(&self, other: &name::Entry, silence: Millis, hold: Millis) -> bool {
        self.is_released || self.holder == *other || silence >= hold
    }
}

/// The number under which to act: above all that were used before, also where the platform's rows
/// were put back to an older state, as time has passed since.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::claim::next_number;
///
/// assert_eq!(next_number(Some(7), None, Millis(1_000)), 1_000);
/// assert_eq!(next_number(Some(2_000), Some(2_500), Millis(1_000)), 2_501);
/// ```
pub fn next_number(written: Option<u64>, heard: Option<u64>, unix: Millis) -> u64 {
    let used = written.max(heard);
    used.map_or(unix.0, |used| unix.0.max(used + 1))
}

/// An entry's lot for a claim, evenly from 0 to 1: another one for each claim.
pub fn sample(claim: Option<&Claim>, entry: &name::Entry) -> f64 {
    let number = claim.map_or(0, |claim| claim.number);
    let drawn = prefix::mix(tidings::hash(entry.as_str()), number);
    f64::from(tidings::short(drawn)) / f64::from(u32::MAX)
}

/// What an entry knows that may take the duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How many others come before it.
    pub rank: usize,
    /// Whether it has run for long enough to know its rank.
    pub is_rank_known: bool,
    /// Whether the whole system starts for the first time, and it is one of the first.
    pub is_bootstrapping: bool,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// For how long it has run.
    pub uptime: Millis,
    /// How long ago it last had the duties, if it did in this life.
    pub last_held: Option<Millis>,
    /// For how long nothing was heard of the holder.
    pub holder_silence: Millis,
    /// Its [`sample`] for the present claim.
    pub sample: f64,
    /// How many entries there are.
    pub entries: usize,
}

/// How many entries care for the duties: the first has them, the second follows it.
const CANDIDATES: usize = 2;
/// After so long without a word of the holder others care too, as those that come first may be
/// gone as well and still be counted.
const SILENCE: Millis = Millis(2_500);
/// How many do so: half of a fleet may be gone.
const DRAWN: f64 = 8.0;

impl Candidate {
    /// Whether it should have the duties, if nobody has them. `bound` is the span within which
    /// the platform does not take the calls of an entry before and after another's.
    pub fn is_eligible(&self, bound: Millis) -> bool {
        let pause = bound + BACK_OFF_MARGIN;
        if self.is_stopping || self.last_held.is_some_and(|ago| ago < pause) {
            return false;
        }
        // An earlier life of it may have had them just before.
        let has_rested = self.uptime >= pause && self.is_rank_known;
        let is_drawn = self.sample * (self.entries as f64) < DRAWN;
        let is_next = self.rank < CANDIDATES || (self.holder_silence >= SILENCE && is_drawn);
        (self.is_bootstrapping && !self.is_rank_known) || (has_rested && is_next)
    }
}
