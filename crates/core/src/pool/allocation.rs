//! Slots in use by runs and loans, one for each permit.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::pool::choice::splitmix64;
use crate::tier::Tier;

/// How long an ended permit is remembered, so that a late or repeated message
/// does not revive it. It exceeds the longest delay of a message.
const ENDED_PERMIT_RETENTION: Millis = Millis::from_secs(30);
/// Number of low bits of a permit that count the permits of one home.
const COUNTER_BITS: u32 = 32;

/// What an allocated slot is used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Use {
    /// A request runs there.
    Run(Run),
    /// It is lent until this time.
    Lent(Millis),
}

/// An active run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// The request.
    pub request: name::Request,
    /// The tier.
    pub tier: Tier,
    /// The class's id.
    pub class: u32,
    /// The flow's id.
    pub flow: u32,
    /// Duration bucket of the class when the run started.
    pub bucket: usize,
    /// Cost charged so far, in tokens.
    pub charged: f64,
    /// Whether it was granted from its class's minimum share.
    pub from_class_share: bool,
    /// Number of endpoints that had failed the request before; unknown for an
    /// adopted run.
    pub attempt: Option<usize>,
}

/// An allocated slot of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// Incarnation of the entry that holds it.
    pub holder: name::Incarnation,
    /// The endpoint's id.
    pub endpoint: u32,
    /// When it was allocated or adopted.
    pub since: Millis,
    /// What it is used for.
    pub purpose: Use,
}

/// All allocations, by permit.
#[derive(Debug)]
pub struct Allocations {
    last_permit: u64,
    list: BTreeMap<u64, Allocation>,
    by_request: BTreeSet<(name::Request, u64)>,
    loans: BTreeSet<(Millis, u64)>,
    ended: HashSet<u64>,
    ended_at: VecDeque<(Millis, u64)>,
}

impl Allocations {
    /// Creates an empty set. Permits of different seeds differ in their high
    /// bits.
    pub fn new(seed: u64) -> Self {
        Self {
            last_permit: splitmix64(seed) >> COUNTER_BITS << COUNTER_BITS,
            list: BTreeMap::new(),
            by_request: BTreeSet::new(),
            loans: BTreeSet::new(),
            ended: HashSet::new(),
            ended_at: VecDeque::new(),
        }
    }

    /// Returns a new, unique permit.
    pub fn next_permit(&mut self) -> u64 {
        self.last_permit = self.last_permit.wrapping_add(1);
        self.last_permit
    }

    /// Returns the allocation of a permit.
    pub fn get(&self, permit: u64) -> Option<&Allocation> {
        self.list.get(&permit)
    }

    /// Iterates over all allocations in the order of their permits.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Allocation)> {
        self.list
            .iter()
            .map(|(permit, allocation)| (*permit, allocation))
    }

    /// Returns the permit under which a request runs; the greatest one if it
    /// has several.
    pub fn by_request(&self, request: name::Request) -> Option<u64> {
        let permits = self.by_request.range((request, 0)..=(request, u64::MAX));
        permits.last().map(|(_, permit)| *permit)
    }

    /// Returns whether the permit ended recently.
    pub fn has_ended(&self, permit: u64) -> bool {
        self.ended.contains(&permit)
    }

    /// Returns the number of lent slots.
    pub fn lent(&self) -> usize {
        self.loans.len()
    }

    /// Adds an allocation.
    pub fn insert(&mut self, permit: u64, allocation: Allocation) {
        match allocation.purpose {
            Use::Run(run) => {
                self.by_request.insert((run.request, permit));
            }
            Use::Lent(until) => {
                self.loans.insert((until, permit));
            }
        }
        self.list.insert(permit, allocation);
    }

    /// Removes an allocation.
    pub fn remove(&mut self, permit: u64) -> Option<Allocation> {
        let allocation = self.list.remove(&permit)?;
        match allocation.purpose {
            Use::Run(run) => self.by_request.remove(&(run.request, permit)),
            Use::Lent(until) => self.loans.remove(&(until, permit)),
        };
        Some(allocation)
    }

    /// Extends a loan. Returns false if the permit has none.
    pub fn extend_loan(&mut self, permit: u64, until: Millis) -> bool {
        let Some(allocation) = self.list.get_mut(&permit) else {
            return false;
        };
        let Use::Lent(old) = allocation.purpose else {
            return false;
        };
        self.loans.remove(&(old, permit));
        self.loans.insert((until, permit));
        allocation.purpose = Use::Lent(until);
        true
    }

    /// Returns the loan that ends first if it has ended.
    pub fn expired(&self, now: Millis) -> Option<u64> {
        let (until, permit) = self.loans.first()?;
        (*until < now).then_some(*permit)
    }

    /// Remembers an ended permit for `ENDED_PERMIT_RETENTION`.
    pub fn record_end(&mut self, now: Millis, permit: u64) {
        if self.ended.insert(permit) {
            self.ended_at.push_back((now, permit));
        }
    }

    /// Forgets permits that ended longer ago than that.
    pub fn forget_ended(&mut self, now: Millis) {
        while let Some((at, permit)) = self.ended_at.front().copied() {
            if now - at < ENDED_PERMIT_RETENTION {
                return;
            }
            self.ended_at.pop_front();
            self.ended.remove(&permit);
        }
    }
}
