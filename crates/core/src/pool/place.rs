//! What is granted and lent: one place per permit.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::pool::choice::splitmix64;
use crate::tier::Tier;

/// How long an ended permit is remembered, so that a late or repeated message
/// about it does not bring it back: longer than any message is underway.
const REMEMBERED: Millis = Millis::from_secs(30);
/// Bits of a permit that count the permits of one home.
const COUNTER_BITS: u32 = 32;

/// What a place is used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Use {
    /// A request runs there.
    Run(Run),
    /// It is lent until this time.
    Lent(Millis),
}

/// A run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// The request.
    pub request: name::Request,
    /// Its tier.
    pub tier: Tier,
    /// Its class's number.
    pub class: u32,
    /// Its flow's number.
    pub flow: u32,
    /// Its lane when it started.
    pub lane: usize,
    /// What it was charged, in tokens.
    pub charged: f64,
    /// Whether it came out of its class's share.
    pub shared: bool,
    /// Endpoints that had failed it before; not known of a run taken over.
    pub attempt: Option<usize>,
}

/// A slot of an endpoint that is taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// The life of the entry that has it.
    pub holder: name::Incarnation,
    /// The endpoint's number.
    pub endpoint: u32,
    /// Since when.
    pub since: Millis,
    /// What for.
    pub used: Use,
}

/// All places taken, by permit.
#[derive(Debug)]
pub struct Places {
    next: u64,
    list: BTreeMap<u64, Place>,
    by_request: BTreeSet<(name::Request, u64)>,
    loans: BTreeSet<(Millis, u64)>,
    ended: HashSet<u64>,
    ended_at: VecDeque<(Millis, u64)>,
}

impl Places {
    /// No places. Permits of different seeds differ in their high bits.
    pub fn new(seed: u64) -> Self {
        Self {
            next: splitmix64(seed) >> COUNTER_BITS << COUNTER_BITS,
            list: BTreeMap::new(),
            by_request: BTreeSet::new(),
            loans: BTreeSet::new(),
            ended: HashSet::new(),
            ended_at: VecDeque::new(),
        }
    }

    /// A permit that was never given before.
    pub fn draw(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    /// The place of a permit.
    pub fn get(&self, permit: u64) -> Option<&Place> {
        self.list.get(&permit)
    }

    /// All places, by permit.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Place)> {
        self.list.iter().map(|(permit, place)| (*permit, place))
    }

    /// The permit under which a request runs; the last one, if it has several.
    pub fn by_request(&self, request: name::Request) -> Option<u64> {
        let permits = self.by_request.range((request, 0)..=(request, u64::MAX));
        permits.last().map(|(_, permit)| *permit)
    }

    /// Whether the permit ended a short while ago.
    pub fn has_ended(&self, permit: u64) -> bool {
        self.ended.contains(&permit)
    }

    /// Lent places.
    pub fn lent(&self) -> usize {
        self.loans.len()
    }

    /// Takes a place.
    pub fn insert(&mut self, permit: u64, place: Place) {
        match place.used {
            Use::Run(run) => {
                self.by_request.insert((run.request, permit));
            }
            Use::Lent(until) => {
                self.loans.insert((until, permit));
            }
        }
        self.list.insert(permit, place);
    }

    /// Gives a place back.
    pub fn remove(&mut self, permit: u64) -> Option<Place> {
        let place = self.list.remove(&permit)?;
        match place.used {
            Use::Run(run) => self.by_request.remove(&(run.request, permit)),
            Use::Lent(until) => self.loans.remove(&(until, permit)),
        };
        Some(place)
    }

    /// Lets a loan run longer. False if there is none under this permit.
    pub fn extend(&mut self, permit: u64, until: Millis) -> bool {
        let Some(place) = self.list.get_mut(&permit) else {
            return false;
        };
        let Use::Lent(old) = place.used else {
            return false;
        };
        self.loans.remove(&(old, permit));
        self.loans.insert((until, permit));
        place.used = Use::Lent(until);
        true
    }

    /// The loan that ends first, if it has ended.
    pub fn expired(&self, now: Millis) -> Option<u64> {
        let (until, permit) = self.loans.first()?;
        (*until < now).then_some(*permit)
    }

    /// Remembers for a while that a permit ended.
    pub fn note_end(&mut self, now: Millis, permit: u64) {
        if self.ended.insert(permit) {
            self.ended_at.push_back((now, permit));
        }
    }

    /// Forgets what ended long ago.
    pub fn forget_ended(&mut self, now: Millis) {
        while let Some((at, permit)) = self.ended_at.front().copied() {
            if now - at < REMEMBERED {
                return;
            }
            self.ended_at.pop_front();
            self.ended.remove(&permit);
        }
    }
}
