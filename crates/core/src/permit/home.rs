//! The home side of the protocol: answers the permit requests for the pools
//! whose home this entry is.
//!
//! All state here is soft: a new home rebuilds it from what the entries report.

use std::collections::BTreeMap;

use crate::control::event;
use crate::name::{self, Incarnation};
use crate::permit::message::{Acquire, Grant, Release, Reply};
use crate::permit::transport::Urgency;
use crate::permit::{Context, NameHash, Transport};
use crate::pool::{Decision, Limits, Waiter};

mod lending;
mod reconciliation;
mod state;
mod takeover;

use state::{Holder, ManagedPool, PermitRecord, PermitState, Phase};

/// The pools whose home this entry is, with the requests and permits of each
/// entry.
#[derive(Debug)]
pub struct Home {
    limits: Limits,
    pools: BTreeMap<NameHash, ManagedPool>,
    holders: BTreeMap<Incarnation, Holder>,
    identity_holders: BTreeMap<u64, (Incarnation, u64)>,
    /// Source of numbers that must be unique within this incarnation: pool
    /// seeds, adopted permits and loans. The generation in its upper bits
    /// separates restarts of the control branch.
    numbers_drawn: u32,
}

impl Home {
    /// Creates a home without pools. The generation counts the restarts of the
    /// control branch.
    pub fn new(limits: Limits, generation: u32) -> Self {
        Self {
            limits,
            pools: BTreeMap::new(),
            holders: BTreeMap::new(),
            identity_holders: BTreeMap::new(),
            numbers_drawn: generation << 24,
        }
    }

    /// Iterates over the pools whose home this entry is.
    pub fn pools(&self) -> impl Iterator<Item = (NameHash, &crate::pool::Pool)> {
        self.pools.iter().map(|(id, managed)| (*id, &managed.pool))
    }

    /// Returns the number of requests running at an endpoint and of slots lent
    /// there, in the pools of this home.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        let pools = self.pools.values().map(|managed| managed.pool.stats());
        pools
            .filter_map(|stats| stats.in_flight.get(endpoint).copied())
            .sum()
    }

    /// Handles a permit request from an entry.
    pub fn acquire(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        acquire: &Acquire,
    ) {
        if !self.pools.contains_key(&acquire.pool) {
            let reply = match context.topology.pool(acquire.pool) {
                Some(info) => Reply::NotHome(acquire.permit, info.home),
                None => Reply::NoEndpoint(acquire.permit),
            };
            transport.send_reply(from, Urgency::Now, reply);
        } else if self.repeat_answer(transport, from, acquire.permit) {
            // The request was retransmitted or delivered twice.
        } else if let Some(holder) = self.identity_holder(from, acquire.identity) {
            transport.send_reply(
                from,
                Urgency::Now,
                Reply::IdentityInUse(acquire.permit, holder),
            );
        } else {
            self.enqueue(context, transport, from, acquire);
        }
    }

    fn enqueue(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        acquire: &Acquire,
    ) {
        let Some(managed) = self.pools.get_mut(&acquire.pool) else {
            return;
        };
        let waiter = Waiter {
            ask: to_pool_ask(context, from, acquire, &managed.name),
            holder: from,
        };
        let mut decisions = Vec::new();
        match &mut managed.phase {
            Phase::Rebuilding(rebuild) => rebuild.waiting.push(waiter),
            Phase::Serving => managed.pool.ask(context.now, waiter, &mut decisions),
        }
        self.insert_record(
            from,
            acquire.permit,
            PermitRecord::waiting(acquire.pool, acquire.identity),
        );
        self.apply_decisions(transport, acquire.pool, decisions);
        self.send_queued(transport, from, acquire.permit);
        self.count_request(context, transport, from, acquire.pool);
        self.recall_loans(context, transport, acquire.pool);
    }

    /// Handles the end of a request or of a permit.
    pub fn release(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        release: &Release,
    ) {
        let Some(record) = self.remove_record(from, release.permit) else {
            return;
        };
        self.free_record(context, transport, from, release, &record);
    }

    /// Runs the periodic work of all pools.
    pub fn tick(&mut self, context: &Context, transport: &mut Transport) {
        let ids: Vec<NameHash> = self.pools.keys().copied().collect();
        for id in ids {
            self.advance_rebuild(context, transport, id);
            let Some(managed) = self.pools.get_mut(&id) else {
                continue;
            };
            let mut decisions = Vec::new();
            managed.pool.tick(context.now, &mut decisions);
            managed.drop_ended_loans(context.now);
            self.apply_decisions(transport, id, decisions);
            self.recall_loans(context, transport, id);
        }
        self.request_overdue_syncs(context.now, transport);
    }

    /// Frees the queue position or slot of a record that was removed.
    fn free_record(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        release: &Release,
        record: &PermitRecord,
    ) {
        let Some(managed) = self.pools.get_mut(&record.pool) else {
            return;
        };
        let request = request_name(from, release.permit);
        let mut decisions = Vec::new();
        match &record.state {
            PermitState::Waiting => {
                if let Phase::Rebuilding(rebuild) = &mut managed.phase {
                    rebuild
                        .waiting
                        .retain(|waiter| waiter.ask.request != request);
                }
                managed.pool.withdraw(context.now, request, &mut decisions);
            }
            PermitState::Held { permit, .. } => {
                let done = release.result.done(request, *permit);
                managed.pool.done(context.now, &done, &mut decisions);
            }
        }
        self.apply_decisions(transport, record.pool, decisions);
    }

    /// Repeats the answer to a known request. Returns false if the request is
    /// not known.
    fn repeat_answer(&mut self, transport: &mut Transport, from: Incarnation, permit: u64) -> bool {
        let Some(record) = self.record_mut(from, permit) else {
            return false;
        };
        if let PermitState::Held { grant, .. } = record.state {
            record.grant_message =
                Some(transport.send_reply(from, Urgency::Now, Reply::Grant(grant)));
        }
        self.send_queued(transport, from, permit);
        true
    }

    /// Confirms that a request is queued, unless it has been granted.
    fn send_queued(&mut self, transport: &mut Transport, from: Incarnation, permit: u64) {
        if let Some(record) = self.record_mut(from, permit)
            && matches!(record.state, PermitState::Waiting)
        {
            // Many grants follow within the tick; the confirmation then shares a
            // message with them.
            record.queued_message =
                Some(transport.send_reply(from, Urgency::Tick, Reply::Queued(permit)));
        }
    }

    /// Sends the decisions of a pool to the entries concerned.
    fn apply_decisions(
        &mut self,
        transport: &mut Transport,
        id: NameHash,
        decisions: Vec<Decision>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Grant {
                    request,
                    holder,
                    permit,
                    endpoint,
                    priority,
                    ..
                } => {
                    let contended = self.pools[&id].pool.contended();
                    let grant = Grant {
                        permit: request.sequence,
                        endpoint: NameHash::of_endpoint(&endpoint),
                        priority,
                        contended,
                    };
                    self.record_grant(transport, holder, permit, grant);
                }
                Decision::Shed {
                    request,
                    holder,
                    retry_after,
                } => {
                    self.remove_record(holder, request.sequence);
                    let reply = Reply::Shed(request.sequence, retry_after);
                    transport.send_reply(holder, Urgency::Now, reply);
                }
                Decision::NoEndpoint { request, holder } => {
                    self.remove_record(holder, request.sequence);
                    transport.send_reply(holder, Urgency::Now, Reply::NoEndpoint(request.sequence));
                }
            }
        }
    }

    fn record_grant(
        &mut self,
        transport: &mut Transport,
        holder: Incarnation,
        permit: u64,
        grant: Grant,
    ) {
        let Some(record) = self.record_mut(holder, grant.permit) else {
            return;
        };
        record.state = PermitState::Held { permit, grant };
        record.grant_message =
            Some(transport.send_reply(holder, Urgency::Now, Reply::Grant(grant)));
    }

    /// Returns the other entry at which a request with this identity is waiting
    /// or running.
    fn identity_holder(&self, from: Incarnation, identity: u64) -> Option<Incarnation> {
        let (holder, _) = self.identity_holders.get(&identity)?;
        (*holder != from).then_some(*holder)
    }

    fn record_mut(&mut self, holder: Incarnation, permit: u64) -> Option<&mut PermitRecord> {
        self.holders.get_mut(&holder)?.records.get_mut(&permit)
    }

    fn insert_record(&mut self, holder: Incarnation, permit: u64, record: PermitRecord) {
        if record.identity != 0 {
            self.identity_holders
                .insert(record.identity, (holder, permit));
        }
        let holder = self.holders.entry(holder).or_default();
        holder.records.insert(permit, record);
    }

    fn remove_record(&mut self, from: Incarnation, permit: u64) -> Option<PermitRecord> {
        let holder = self.holders.get_mut(&from)?;
        let record = holder.records.remove(&permit)?;
        if holder.records.is_empty() {
            self.holders.remove(&from);
        }
        if self.identity_holders.get(&record.identity) == Some(&(from, permit)) {
            self.identity_holders.remove(&record.identity);
        }
        Some(record)
    }

    fn next_number(&mut self) -> u32 {
        self.numbers_drawn += 1;
        self.numbers_drawn
    }
}

/// Builds the name of a request inside a pool. It is unique because an entry
/// uses each permit number once.
fn request_name(holder: Incarnation, permit: u64) -> name::Request {
    name::Request {
        incarnation: holder,
        sequence: permit,
    }
}

/// Converts a permit request into the form that pools take.
fn to_pool_ask(
    context: &Context,
    from: Incarnation,
    acquire: &Acquire,
    pool: &name::Pool,
) -> event::Ask {
    let slack = crate::clock::Millis(acquire.slack.unsigned_abs());
    let deadline = if acquire.slack < 0 {
        context.now - slack
    } else {
        context.now + slack
    };
    let avoid = acquire
        .avoid
        .iter()
        .filter_map(|id| context.topology.endpoint(*id).cloned());
    event::Ask {
        request: request_name(from, acquire.permit),
        target: pool.target.clone(),
        workspace: acquire.profile.workspace.clone(),
        tier: acquire.profile.tier,
        class: acquire.profile.class.clone(),
        weight: acquire.weight,
        deadline,
        avoid: avoid.collect(),
        prefix: u64::from(acquire.prefix),
        identity: acquire.identity,
    }
}
