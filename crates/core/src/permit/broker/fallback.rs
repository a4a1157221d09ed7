//! Local fallback while a pool's home is unreachable: this entry uses its own
//! share of the slots, scheduled by the same rules as at a home.

use std::collections::BTreeMap;

use crate::control::directory::Endpoint;
use crate::control::event::Ask;
use crate::name::{self, Incarnation};
use crate::permit::message::{Grant, Run};
use crate::permit::{Context, NameHash};
use crate::pool::{Decision, Limits, Pool, Waiter};

use super::{Broker, Source, Step};

/// The pools for which this entry uses its own share of the slots.
#[derive(Debug)]
pub struct Fallback {
    limits: Limits,
    pools: BTreeMap<NameHash, Pool>,
    seeds_drawn: u32,
}

/// Number of permits that this entry holds at each endpoint outside its own
/// share.
pub type Counts = BTreeMap<NameHash, u32>;

impl Fallback {
    /// Creates a fallback without pools.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: BTreeMap::new(),
            seeds_drawn: 0,
        }
    }

    /// Returns the pools in local fallback.
    pub fn pools(&self) -> Vec<NameHash> {
        self.pools.keys().copied().collect()
    }

    /// Removes pools without waiting or running requests.
    pub fn drop_idle(&mut self) {
        let busy = |pool: &Pool| {
            let stats = pool.stats();
            !stats.waiting.is_empty() || stats.in_flight.values().any(|count| *count > 0)
        };
        self.pools.retain(|_, pool| busy(pool));
    }

    fn acquire(
        &mut self,
        context: &Context,
        id: NameHash,
        waiter: Waiter,
        counts: &Counts,
    ) -> Vec<Decision> {
        let mut decisions = self.refresh(context, id, counts);
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.ask(context.now, waiter, &mut decisions);
        }
        decisions
    }

    /// Updates the endpoints of a pool, and with them this entry's share of the
    /// slots.
    fn refresh(&mut self, context: &Context, id: NameHash, counts: &Counts) -> Vec<Decision> {
        self.seeds_drawn += 1;
        let (limits, seed) = (&self.limits, u64::from(self.seeds_drawn));
        let pool = self
            .pools
            .entry(id)
            .or_insert_with(|| Pool::new(limits.clone(), seed));
        let own: Vec<Endpoint> = context
            .topology
            .usable_endpoints(id, context.directory)
            .map(|endpoint| local_share(context, endpoint, counts))
            .collect();
        let mut decisions = Vec::new();
        let own: Vec<&Endpoint> = own.iter().collect();
        pool.set_endpoints(context.now, &own, &mut decisions);
        pool.tick(context.now, &mut decisions);
        decisions
    }

    /// Releases the slot of a run that has ended.
    pub fn done(&mut self, step: &Step, id: NameHash, permit: u64, run: Run) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if let Some(pool) = self.pools.get_mut(&id) {
            let done = run.done(request_name(step.transport.own(), 0), permit);
            pool.done(step.context.now, &done, &mut decisions);
        }
        decisions
    }

    /// Removes a request or a run from the pool.
    pub fn withdraw(&mut self, step: &Step, id: NameHash, number: u64) -> Vec<Decision> {
        let request = request_name(step.transport.own(), number);
        let mut decisions = Vec::new();
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.withdraw(step.context.now, request, &mut decisions);
        }
        decisions
    }
}

impl Broker {
    /// Queues a request for this entry's own share of a pool.
    pub(super) fn acquire_locally(
        &mut self,
        step: &mut Step,
        pool: NameHash,
        number: u64,
        mut ask: Ask,
    ) {
        let holder = step.transport.own();
        ask.request = request_name(holder, number);
        let counts = self.held_counts(pool);
        let waiter = Waiter { ask, holder };
        let decisions = self.fallback.acquire(&step.context, pool, waiter, &counts);
        self.apply_fallback_decisions(step, pool, decisions);
    }

    /// Updates the pools in local fallback and drops the idle ones.
    pub(super) fn tick_fallback(&mut self, step: &mut Step) {
        for pool in self.fallback.pools() {
            let counts = self.held_counts(pool);
            let decisions = self.fallback.refresh(&step.context, pool, &counts);
            self.apply_fallback_decisions(step, pool, decisions);
        }
        self.fallback.drop_idle();
    }

    /// Carries out the decisions of a pool in local fallback.
    pub(super) fn apply_fallback_decisions(
        &mut self,
        step: &mut Step,
        pool: NameHash,
        decisions: Vec<Decision>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Grant {
                    request,
                    permit,
                    endpoint,
                    priority,
                    ..
                } => {
                    let Some(pending) = self.take_pending(request.sequence) else {
                        continue;
                    };
                    let grant = Grant {
                        permit: request.sequence,
                        endpoint: NameHash::of_endpoint(&endpoint),
                        priority,
                        contended: true,
                    };
                    let source = Source::Local(permit);
                    self.hold(step, request.sequence, &pending.ask, pool, &grant, source);
                }
                Decision::Shed {
                    request,
                    retry_after,
                    ..
                } => self.reject_locally(step, pool, request.sequence, Some(retry_after)),
                Decision::NoEndpoint { request, .. } => {
                    self.reject_locally(step, pool, request.sequence, None);
                }
            }
        }
    }

    fn reject_locally(
        &mut self,
        step: &mut Step,
        pool: NameHash,
        number: u64,
        shed: Option<crate::clock::Millis>,
    ) {
        let Some(mut pending) = self.take_pending(number) else {
            return;
        };
        pending.tried_pools.push(pool);
        pending.shed = pending.shed.max(shed);
        self.place(step, pending);
    }

    /// Counts the permits that this entry holds at each endpoint of a pool,
    /// apart from those of the local fallback.
    fn held_counts(&self, pool: NameHash) -> Counts {
        let mut counts = Counts::new();
        for active in self.active.values().filter(|active| active.pool == pool) {
            if !matches!(active.source, Source::Local(_)) {
                *counts.entry(active.endpoint).or_default() += 1;
            }
        }
        counts
    }
}

fn request_name(own: Incarnation, number: u64) -> name::Request {
    name::Request {
        incarnation: own,
        sequence: number,
    }
}

/// Returns an endpoint whose slots are reduced to this entry's share, less the
/// permits that it already holds there.
///
/// The shares of entries with the same view of the members add up to the slots.
/// The remainder goes to different entries for different endpoints, so that a
/// small number of slots is used even among many entries.
fn local_share(context: &Context, endpoint: &Endpoint, counts: &Counts) -> Endpoint {
    let mut names: Vec<&name::Entry> = context
        .members
        .active()
        .map(|member| &member.name)
        .collect();
    names.sort_unstable();
    let entries = u32::try_from(names.len()).unwrap_or(u32::MAX).max(1);
    let own = &context.members.own().name;
    let rank = names.iter().position(|name| *name == own).unwrap_or(0);
    let id = NameHash::of_endpoint(&endpoint.name);
    let position = (u32::try_from(rank).unwrap_or(0) + id.rotation_offset()) % entries;
    let share = endpoint.slots / entries + u32::from(position < endpoint.slots % entries);
    let mut own = endpoint.clone();
    own.slots = share.saturating_sub(counts.get(&id).copied().unwrap_or(0));
    own
}
