//! The state that a home keeps for each pool and each entry.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::name::{self, Incarnation};
use crate::permit::NameHash;
use crate::permit::message::{Digest, Grant};
use crate::pool::{Pool, Waiter};

use super::lending::LOAN_GRACE;

/// A pool of this home.
#[derive(Debug)]
pub struct ManagedPool {
    /// The name of the pool.
    pub name: name::Pool,
    /// The queue and the slots.
    pub pool: Pool,
    /// Whether the pool grants permits yet.
    pub phase: Phase,
    /// The loans, by borrower.
    pub loans: BTreeMap<Incarnation, LentSlots>,
    /// How often each entry sends requests.
    pub rates: BTreeMap<Incarnation, Rate>,
}

/// Whether a pool grants permits yet.
#[derive(Debug)]
pub enum Phase {
    /// Not yet: the permits granted by earlier homes are being collected.
    Rebuilding(Rebuild),
    /// The pool grants permits.
    Serving,
}

/// The state of collecting the permits that earlier homes granted.
#[derive(Debug)]
pub struct Rebuild {
    /// When the pool starts to grant permits, even if reports are missing.
    pub until: Millis,
    /// When the entries whose report is missing are asked again.
    pub next_claim: Millis,
    /// Entries whose report is incomplete, with the first permit number not yet
    /// covered.
    pub missing: BTreeMap<Incarnation, u64>,
    /// Requests that arrived in the meantime.
    pub waiting: Vec<Waiter>,
}

/// Slots lent to one entry.
#[derive(Debug)]
pub struct LentSlots {
    /// Distinguishes this loan from earlier ones.
    pub number: u32,
    /// The pool's permits, by endpoint.
    pub permits: BTreeMap<name::Endpoint, BTreeSet<u64>>,
    /// When the pool ends the loan on its own.
    pub until: Millis,
    /// The sequence number of the message that last stated the loan.
    pub last_stated: u32,
    /// When the loan was last recalled.
    pub last_recall: Option<Millis>,
}

/// Counts the requests of an entry within a window.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// The start of the window.
    pub window_start: Millis,
    /// Number of requests since then.
    pub count: u32,
}

/// The requests and permits of one entry.
#[derive(Debug, Default)]
pub struct Holder {
    /// The records, by permit number.
    pub records: BTreeMap<u64, PermitRecord>,
    /// When state was last compared or requested; `None` until the first tick,
    /// and after each digest until the next tick.
    pub last_reconciled: Option<Millis>,
}

/// A permit request of an entry, from its arrival to the end of its permit.
#[derive(Debug)]
pub struct PermitRecord {
    /// The pool.
    pub pool: NameHash,
    /// Hash of workspace and identity, or 0 if there is no identity.
    pub identity: u64,
    /// Whether the request has been granted.
    pub state: PermitState,
    /// The sequence number of the message that confirmed the request as queued.
    pub queued_message: Option<u32>,
    /// The sequence number of the message that last carried the grant.
    pub grant_message: Option<u32>,
}

/// Whether a request has been granted.
#[derive(Clone, Copy, Debug)]
pub enum PermitState {
    /// The request is waiting.
    Waiting,
    /// The request has been granted.
    Held {
        /// The pool's number for the permit.
        permit: u64,
        /// The grant that was sent to the entry.
        grant: Grant,
    },
}

impl PermitRecord {
    /// Creates a record for a request that has just arrived.
    pub fn waiting(pool: NameHash, identity: u64) -> Self {
        Self {
            pool,
            identity,
            state: PermitState::Waiting,
            queued_message: None,
            grant_message: None,
        }
    }

    /// Returns what the entry knows about the request after receiving messages
    /// up to `acked`: nothing, that it is queued (false), or that it was granted
    /// (true).
    pub fn known_at(&self, acked: u32) -> Option<bool> {
        if self.grant_message.is_some_and(|told| told <= acked) {
            return Some(true);
        }
        let queued = self.queued_message.is_some_and(|queued| queued <= acked);
        queued.then_some(false)
    }
}

impl Holder {
    /// Returns the digest expected from the entry after it has received messages
    /// up to `acked`.
    pub fn digest(&self, acked: u32) -> Digest {
        let mut digest = Digest::default();
        for (permit, record) in &self.records {
            if let Some(held) = record.known_at(acked) {
                digest.add(*permit, held);
            }
        }
        digest
    }
}

impl ManagedPool {
    /// Removes loans that the pool has ended.
    pub fn drop_ended_loans(&mut self, now: Millis) {
        self.loans.retain(|_, lent| now <= lent.until + LOAN_GRACE);
    }
}

impl LentSlots {
    /// Returns the number of lent slots by endpoint, as sent in messages.
    pub fn slots(&self) -> Vec<(NameHash, u32)> {
        let count = |permits: &BTreeSet<u64>| u32::try_from(permits.len()).unwrap_or(u32::MAX);
        self.permits
            .iter()
            .map(|(endpoint, permits)| (NameHash::of_endpoint(endpoint), count(permits)))
            .collect()
    }

    /// Iterates over the permits of all lent slots.
    pub fn permits(&self) -> impl Iterator<Item = u64> {
        self.permits.values().flatten().copied()
    }
}
