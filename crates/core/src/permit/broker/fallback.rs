//! Serving alone while a pool's home is unreachable: the entry's own fraction
//! of the slots, under the same rules.

use std::collections::BTreeMap;

use crate::control::directory::Endpoint;
use crate::control::event::Ask;
use crate::name::{self, Incarnation};
use crate::permit::message::{Grant, Run};
use crate::permit::{Context, Id};
use crate::pool::{Decision, Limits, Pool, Waiter};

use super::{Broker, Source, Step};

/// The pools of which this entry serves its fraction.
#[derive(Debug)]
pub struct Fallback {
    limits: Limits,
    pools: BTreeMap<Id, Pool>,
    drawn: u32,
}

/// What this entry holds at each endpoint by leave of a home.
pub type Counts = BTreeMap<Id, u32>;

impl Fallback {
    /// Nothing is served alone.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: BTreeMap::new(),
            drawn: 0,
        }
    }

    /// The pools that are served alone now.
    pub fn pools(&self) -> Vec<Id> {
        self.pools.keys().copied().collect()
    }

    /// Forgets pools in which nothing waits or runs.
    pub fn drop_idle(&mut self) {
        let busy = |pool: &Pool| {
            let stats = pool.stats();
            !stats.waiting.is_empty() || stats.in_flight.values().any(|count| *count > 0)
        };
        self.pools.retain(|_, pool| busy(pool));
    }

    fn ask(&mut self, context: &Context, id: Id, waiter: Waiter, counts: &Counts) -> Vec<Decision> {
        let mut decisions = self.refresh(context, id, counts);
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.ask(context.now, waiter, &mut decisions);
        }
        decisions
    }

    /// Takes in how the slots and the members stand now.
    fn refresh(&mut self, context: &Context, id: Id, counts: &Counts) -> Vec<Decision> {
        self.drawn += 1;
        let (limits, seed) = (&self.limits, u64::from(self.drawn));
        let pool = self
            .pools
            .entry(id)
            .or_insert_with(|| Pool::new(limits.clone(), seed));
        let own: Vec<Endpoint> = context
            .topology
            .usable(id, context.directory)
            .map(|endpoint| fraction(context, endpoint, counts))
            .collect();
        let mut decisions = Vec::new();
        let own: Vec<&Endpoint> = own.iter().collect();
        pool.set_endpoints(context.now, &own, &mut decisions);
        pool.tick(context.now, &mut decisions);
        decisions
    }

    /// A run ended.
    pub fn done(&mut self, step: &Step, id: Id, permit: u64, run: Run) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if let Some(pool) = self.pools.get_mut(&id) {
            let done = run.done(request(step.post.own(), 0), permit);
            pool.done(step.context.now, &done, &mut decisions);
        }
        decisions
    }

    /// A request no longer waits here, nor is counted here.
    pub fn withdraw(&mut self, step: &Step, id: Id, number: u64) -> Vec<Decision> {
        let request = request(step.post.own(), number);
        let mut decisions = Vec::new();
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.withdraw(step.context.now, request, &mut decisions);
        }
        decisions
    }
}

impl Broker {
    /// Has a request wait for the own fraction of a pool.
    pub(super) fn ask_alone(&mut self, step: &mut Step, pool: Id, number: u64, mut ask: Ask) {
        let holder = step.post.own();
        ask.request = request(holder, number);
        let counts = self.counts(pool);
        let waiter = Waiter { ask, holder };
        let decisions = self.fallback.ask(&step.context, pool, waiter, &counts);
        self.carry_out_alone(step, pool, decisions);
    }

    /// Goes on with the pools that are served alone.
    pub(super) fn tick_alone(&mut self, step: &mut Step) {
        for pool in self.fallback.pools() {
            let counts = self.counts(pool);
            let decisions = self.fallback.refresh(&step.context, pool, &counts);
            self.carry_out_alone(step, pool, decisions);
        }
        self.fallback.drop_idle();
    }

    /// Passes on what the pool of the own fraction decided.
    pub(super) fn carry_out_alone(&mut self, step: &mut Step, pool: Id, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant {
                    request,
                    permit,
                    endpoint,
                    priority,
                    ..
                } => {
                    let Some(wanted) = self.take(request.sequence) else {
                        continue;
                    };
                    let grant = Grant {
                        permit: request.sequence,
                        endpoint: Id::of_endpoint(&endpoint),
                        priority,
                        contended: true,
                    };
                    let source = Source::Alone(permit);
                    self.hold(step, request.sequence, &wanted.ask, pool, &grant, source);
                }
                Decision::Shed {
                    request,
                    retry_after,
                    ..
                } => self.turned_down_alone(step, pool, request.sequence, Some(retry_after)),
                Decision::NoEndpoint { request, .. } => {
                    self.turned_down_alone(step, pool, request.sequence, None);
                }
            }
        }
    }

    fn turned_down_alone(
        &mut self,
        step: &mut Step,
        pool: Id,
        number: u64,
        shed: Option<crate::clock::Millis>,
    ) {
        let Some(mut wanted) = self.take(number) else {
            return;
        };
        wanted.tried.push(pool);
        wanted.shed = wanted.shed.max(shed);
        self.place(step, wanted);
    }

    /// What this entry holds of a pool at each endpoint, but for its own fraction.
    fn counts(&self, pool: Id) -> Counts {
        let mut counts = Counts::new();
        for holding in self.held.values().filter(|holding| holding.pool == pool) {
            if !matches!(holding.source, Source::Alone(_)) {
                *counts.entry(holding.endpoint).or_default() += 1;
            }
        }
        counts
    }
}

fn request(own: Incarnation, number: u64) -> name::Request {
    name::Request {
        incarnation: own,
        sequence: number,
    }
}

/// An endpoint with the slots that this entry may use alone: its fraction, less
/// what it holds there already.
///
/// The fractions of entries that see the same members add up to the slots; the
/// remainders go round, so that few slots among many entries are used as well.
fn fraction(context: &Context, endpoint: &Endpoint, counts: &Counts) -> Endpoint {
    let mut names: Vec<&name::Entry> = context
        .members
        .active()
        .map(|member| &member.name)
        .collect();
    names.sort_unstable();
    let entries = u32::try_from(names.len()).unwrap_or(u32::MAX).max(1);
    let own = &context.members.own().name;
    let rank = names.iter().position(|name| *name == own).unwrap_or(0);
    let id = Id::of_endpoint(&endpoint.name);
    let turn = (u32::try_from(rank).unwrap_or(0) + id.spread()) % entries;
    let share = endpoint.slots / entries + u32::from(turn < endpoint.slots % entries);
    let mut own = endpoint.clone();
    own.slots = share.saturating_sub(counts.get(&id).copied().unwrap_or(0));
    own
}
