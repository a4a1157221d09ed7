//! What a home keeps of each pool and of each entry.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::name::{self, Incarnation};
use crate::permit::Id;
use crate::permit::message::{Digest, Grant};
use crate::pool::{Pool, Waiter};

use super::lending::GRACE;

/// One pool of this home.
#[derive(Debug)]
pub struct Seat {
    /// The pool's name.
    pub name: name::Pool,
    /// Its waiting list and slots.
    pub pool: Pool,
    /// Whether it grants already.
    pub phase: Phase,
    /// What is lent, by borrower.
    pub loans: BTreeMap<Incarnation, Lent>,
    /// How often each entry asks.
    pub rates: BTreeMap<Incarnation, Rate>,
}

/// Whether a pool grants already.
#[derive(Debug)]
pub enum Phase {
    /// Not yet: what earlier homes granted is being learnt.
    Rebuilding(Rebuild),
    /// It grants.
    Serving,
}

/// What is still to be learnt before a pool grants.
#[derive(Debug)]
pub struct Rebuild {
    /// The pool grants from here on, whatever is missing.
    pub until: Millis,
    /// When those that are missing are told again.
    pub next_claim: Millis,
    /// Entries that have not said what they hold, with the number from which on.
    pub missing: BTreeMap<Incarnation, u64>,
    /// Asks that came meanwhile.
    pub waiting: Vec<Waiter>,
}

/// Places lent to one entry.
#[derive(Debug)]
pub struct Lent {
    /// Tells this loan from earlier ones.
    pub loan: u32,
    /// The pool's permits, by endpoint.
    pub permits: BTreeMap<name::Endpoint, BTreeSet<u64>>,
    /// When the pool takes the places back by itself.
    pub until: Millis,
    /// The message that last stated the loan.
    pub told: u32,
    /// When it was last recalled.
    pub recalled: Option<Millis>,
}

/// Counts an entry's asks within a span.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// The start of the span.
    pub since: Millis,
    /// Asks since then.
    pub count: u32,
}

/// All that one entry waits for and holds here.
#[derive(Debug, Default)]
pub struct Holder {
    /// By number.
    pub entries: BTreeMap<u64, Entry>,
    /// When notes were last compared, or were last asked for; none before the
    /// first tick.
    pub audited: Option<Millis>,
}

/// One ask of an entry, from its arrival to its end.
#[derive(Debug)]
pub struct Entry {
    /// The pool.
    pub seat: Id,
    /// Hash of workspace and identity; 0 for none.
    pub identity: u64,
    /// Whether it was granted.
    pub state: State,
    /// The message that said that the ask is kept.
    pub queued: Option<u32>,
    /// The message that last carried the grant.
    pub told: Option<u32>,
}

/// Whether an ask was granted.
#[derive(Clone, Copy, Debug)]
pub enum State {
    /// It waits.
    Waiting,
    /// It was granted.
    Held {
        /// The pool's number of the permit.
        permit: u64,
        /// What the entry was told.
        grant: Grant,
    },
}

impl Entry {
    /// An ask that has just come.
    pub fn waiting(seat: Id, identity: u64) -> Self {
        Self {
            seat,
            identity,
            state: State::Waiting,
            queued: None,
            told: None,
        }
    }

    /// What the entry knows of it if it has seen messages up to a number:
    /// nothing, that it waits (false), or that it was granted (true).
    pub fn known(&self, seen: u32) -> Option<bool> {
        if self.told.is_some_and(|told| told <= seen) {
            return Some(true);
        }
        let queued = self.queued.is_some_and(|queued| queued <= seen);
        queued.then_some(false)
    }
}

impl Holder {
    /// The digest that the entry should send if it has seen messages up to a number.
    pub fn digest(&self, seen: u32) -> Digest {
        let mut digest = Digest::default();
        for (permit, entry) in &self.entries {
            if let Some(held) = entry.known(seen) {
                digest.add(*permit, held);
            }
        }
        digest
    }
}

impl Seat {
    /// Forgets loans that the pool has taken back.
    pub fn drop_ended_loans(&mut self, now: Millis) {
        self.loans.retain(|_, lent| now <= lent.until + GRACE);
    }
}

impl Lent {
    /// Places by endpoint, as messages state them.
    pub fn places(&self) -> Vec<(Id, u32)> {
        let count = |permits: &BTreeSet<u64>| u32::try_from(permits.len()).unwrap_or(u32::MAX);
        self.permits
            .iter()
            .map(|(endpoint, permits)| (Id::of_endpoint(endpoint), count(permits)))
            .collect()
    }

    /// All places.
    pub fn permits(&self) -> impl Iterator<Item = u64> {
        self.permits.values().flatten().copied()
    }
}
