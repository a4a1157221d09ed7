//! The home side of one pool: who waits, who is granted next and where, who is shed.
//!
//! NB: this is the skeleton: the order is by tier, then by arrival.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::control::directory::Endpoint;
use crate::control::event::Done;
use crate::name;
use crate::tier::Tier;

pub mod decision;
pub mod limits;
pub mod stats;

pub use decision::{Decision, Held, Loan, Waiter};
pub use limits::Limits;
pub use stats::Stats;

/// The priority inside an engine of a request of this tier, 0 first.
pub fn priority(tier: Tier) -> u8 {
    tier.number()
}

#[derive(Debug)]
struct Place {
    request: Option<name::Request>,
    holder: name::Incarnation,
    endpoint: name::Endpoint,
    tier: Tier,
    until: Option<Millis>,
}

/// One pool: its waiting list and its endpoints' slots.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    next_permit: u64,
    endpoints: BTreeMap<name::Endpoint, (SocketAddr, u32)>,
    waiting: BTreeMap<Tier, VecDeque<Waiter>>,
    places: BTreeMap<u64, Place>,
}

impl Pool {
    /// A pool that knows no endpoints yet. The seed must differ between homes
    /// and between lives of one entry: permits are drawn from it.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            next_permit: seed << 32,
            endpoints: BTreeMap::new(),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
        }
    }

    /// Takes in the endpoints that may get new work, in place of those known
    /// before. Runs at the others go on.
    pub fn set_endpoints(
        &mut self,
        _now: Millis,
        endpoints: &[&Endpoint],
        out: &mut Vec<Decision>,
    ) {
        self.endpoints = endpoints
            .iter()
            .map(|endpoint| (endpoint.name.clone(), (endpoint.address, endpoint.slots)))
            .collect();
        self.dispatch(out);
    }

    /// Takes a request in. Idempotent: one that waits keeps its place, and one
    /// that was granted gets its grant again.
    pub fn ask(&mut self, _now: Millis, waiter: Waiter, out: &mut Vec<Decision>) {
        let request = waiter.ask.request;
        let granted = self
            .places
            .iter()
            .find(|(_, place)| place.request == Some(request));
        if let Some((permit, place)) = granted {
            out.extend(self.grant(*permit, place));
            return;
        }
        let known = self.waiting.values().flatten();
        if known.into_iter().any(|known| known.ask.request == request) {
            return;
        }
        let tier = waiter.ask.tier;
        self.waiting.entry(tier).or_default().push_back(waiter);
        self.dispatch(out);
        self.shed(out);
    }

    /// The request no longer waits, nor holds a place. Idempotent.
    pub fn withdraw(&mut self, _now: Millis, request: name::Request, out: &mut Vec<Decision>) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiter| waiter.ask.request != request);
        }
        self.places
            .retain(|_, place| place.request != Some(request));
        self.dispatch(out);
    }

    /// Takes a permit back. Idempotent: unknown permits are ignored. The end
    /// of a run under a loan leaves the place lent.
    pub fn done(&mut self, _now: Millis, done: &Done, out: &mut Vec<Decision>) {
        if self
            .places
            .get(&done.permit)
            .is_some_and(|place| place.until.is_none())
        {
            self.places.remove(&done.permit);
        }
        self.dispatch(out);
    }

    /// Takes over a run that an earlier home granted, or that outlasts a loan
    /// of this one. Idempotent. The endpoint's slots may be exceeded by it.
    pub fn adopt(&mut self, _now: Millis, held: Held) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiter| waiter.ask.request != held.request);
        }
        let place = Place {
            request: Some(held.request),
            holder: held.holder,
            endpoint: held.endpoint,
            tier: held.tier,
            until: None,
        };
        self.places.insert(held.permit, place);
    }

    /// An entry's life ended: its waiting requests go, and its places are free again.
    pub fn forget_holder(
        &mut self,
        _now: Millis,
        holder: name::Incarnation,
        out: &mut Vec<Decision>,
    ) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiter| waiter.holder != holder);
        }
        self.places.retain(|_, place| place.holder != holder);
        self.dispatch(out);
    }

    /// Time has passed: loans end, estimates are renewed. To be called every
    /// 50 ms or so.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.places
            .retain(|_, place| place.until.is_none_or(|until| now <= until));
        self.dispatch(out);
    }

    /// Lends up to this many places, only while nobody waits and many slots are free.
    pub fn lend(
        &mut self,
        _now: Millis,
        holder: name::Incarnation,
        want: u32,
        until: Millis,
    ) -> Vec<Loan> {
        let mut loans = Vec::new();
        for _ in 0..want {
            if self.contended() {
                break;
            }
            let Some((endpoint, address)) = self.free_endpoint() else {
                break;
            };
            let permit = self.draw();
            let place = Place {
                request: None,
                holder,
                endpoint: endpoint.clone(),
                tier: Tier::HIGHEST,
                until: Some(until),
            };
            self.places.insert(permit, place);
            loans.push(Loan {
                permits: vec![permit],
                endpoint,
                address,
                until,
            });
        }
        loans
    }

    /// Lets a loan run longer, only while places could be lent. False: the
    /// loan ends as it stands, or has ended.
    pub fn extend_loan(&mut self, _now: Millis, permit: u64, until: Millis) -> bool {
        if self.contended() {
            return false;
        }
        match self.places.get_mut(&permit) {
            Some(place) if place.until.is_some() => {
                place.until = Some(until);
                true
            }
            _ => false,
        }
    }

    /// Takes a lent place back before its time. Idempotent.
    pub fn return_loan(&mut self, _now: Millis, permit: u64, out: &mut Vec<Decision>) {
        let lent = |place: &Place| place.until.is_some();
        if self.places.get(&permit).is_some_and(lent) {
            self.places.remove(&permit);
        }
        self.dispatch(out);
    }

    /// Learns from the end of a run under a loan, which [`Self::done`] can't
    /// do as the pool never saw the request. The loan goes on.
    pub fn learn(&mut self, _now: Millis, _tier: Tier, _class: &name::Class, _done: &Done) {}

    /// Lent places by holder, for recalling them when the pool is contended.
    pub fn loans(&self) -> BTreeMap<name::Incarnation, Vec<u64>> {
        let mut loans: BTreeMap<name::Incarnation, Vec<u64>> = BTreeMap::new();
        for (permit, place) in &self.places {
            if place.until.is_some() {
                loans.entry(place.holder).or_default().push(*permit);
            }
        }
        loans
    }

    /// Whether somebody waits or few slots are free: nothing is lent then.
    pub fn contended(&self) -> bool {
        let stats = self.stats();
        !stats.waiting.is_empty() || stats.free * 2 < stats.slots
    }

    /// The pool's figures.
    pub fn stats(&self) -> Stats {
        let mut stats = Stats::default();
        for (tier, queue) in &self.waiting {
            if !queue.is_empty() {
                let count = u32::try_from(queue.len()).unwrap_or(u32::MAX);
                stats.waiting.insert(*tier, count);
            }
        }
        for place in self.places.values() {
            *stats.in_flight.entry(place.endpoint.clone()).or_default() += 1;
            stats.lent += u32::from(place.until.is_some());
        }
        for (endpoint, (_, slots)) in &self.endpoints {
            let used = stats.in_flight.get(endpoint).copied().unwrap_or(0);
            stats.slots += slots;
            stats.free += slots.saturating_sub(used);
        }
        stats
    }

    fn draw(&mut self) -> u64 {
        self.next_permit += 1;
        self.next_permit
    }

    fn free_endpoint(&self) -> Option<(name::Endpoint, SocketAddr)> {
        let stats = self.stats();
        let used = |name: &name::Endpoint| stats.in_flight.get(name).copied().unwrap_or(0);
        let free = self
            .endpoints
            .iter()
            .filter(|(name, (_, slots))| used(name) < *slots);
        let best = free.min_by_key(|(name, _)| used(name))?;
        Some((best.0.clone(), best.1.0))
    }

    fn grant(&self, permit: u64, place: &Place) -> Option<Decision> {
        Some(Decision::Grant {
            request: place.request?,
            holder: place.holder,
            permit,
            endpoint: place.endpoint.clone(),
            address: self.endpoints.get(&place.endpoint)?.0,
            priority: priority(place.tier),
        })
    }

    fn dispatch(&mut self, out: &mut Vec<Decision>) {
        while let Some((endpoint, _)) = self.free_endpoint() {
            let next = self.waiting.values_mut().find_map(VecDeque::pop_front);
            let Some(waiter) = next else {
                return;
            };
            let place = Place {
                request: Some(waiter.ask.request),
                holder: waiter.holder,
                endpoint,
                tier: waiter.ask.tier,
                until: None,
            };
            let permit = self.draw();
            out.extend(self.grant(permit, &place));
            self.places.insert(permit, place);
        }
    }

    fn shed(&mut self, out: &mut Vec<Decision>) {
        let slots: u32 = self.endpoints.values().map(|(_, slots)| slots).sum();
        let bound = (slots * self.limits.waiting_per_slot) as usize;
        while self.waiting.values().map(VecDeque::len).sum::<usize>() > bound {
            let newest = self.waiting.values_mut().rev().find_map(VecDeque::pop_back);
            out.extend(newest.map(|waiter| Decision::Shed {
                request: waiter.ask.request,
                holder: waiter.holder,
                retry_after: Millis(1_000),
            }));
        }
    }
}
