//! Taking over pools as their new home, and handing them over to another.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{Reply, Sync};
use crate::permit::transport::Urgency;
use crate::permit::{Context, NameHash, Transport};
use crate::pool::Pool;

use super::Home;
use super::state::{ManagedPool, PermitState, Phase, Rebuild};

/// How long a new home waits for the entries to report their permits: one digest
/// interval.
pub const REBUILD_TIMEOUT: Millis = Millis(1_000);
/// Interval at which entries whose report is missing are told of the new home
/// again.
const CLAIM_INTERVAL: Millis = Millis(100);

impl Home {
    /// Adapts the pools to a change of members, homes or endpoints.
    pub fn topology_changed(&mut self, context: &Context, transport: &mut Transport) {
        self.forget_dead_entries(context, transport);
        self.drop_moved_pools(context, transport);
        self.take_over_pools(context);
        self.update_endpoints(context, transport, None);
    }

    /// Updates the endpoints of one pool, or of all pools.
    pub fn update_endpoints(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        only: Option<NameHash>,
    ) {
        let ids: Vec<NameHash> = self
            .pools
            .keys()
            .copied()
            .filter(|id| only.is_none_or(|only| only == *id))
            .collect();
        for id in ids {
            let Some(managed) = self.pools.get_mut(&id) else {
                continue;
            };
            let endpoints: Vec<_> = context
                .topology
                .usable_endpoints(id, context.directory)
                .collect();
            let mut decisions = Vec::new();
            managed
                .pool
                .set_endpoints(context.now, &endpoints, &mut decisions);
            self.apply_decisions(transport, id, decisions);
        }
    }

    fn forget_dead_entries(&mut self, context: &Context, transport: &mut Transport) {
        let known = self.holders.keys();
        let lent = self.pools.values().flat_map(|managed| managed.loans.keys());
        let mut gone: Vec<Incarnation> = known
            .chain(lent)
            .copied()
            .filter(|entry| !context.is_alive(*entry))
            .collect();
        gone.sort_unstable();
        gone.dedup();
        for managed in self.pools.values_mut() {
            if let Phase::Rebuilding(rebuild) = &mut managed.phase {
                rebuild.missing.retain(|entry, _| context.is_alive(*entry));
            }
        }
        for entry in gone {
            self.forget_entry(context, transport, entry);
        }
    }

    fn forget_entry(&mut self, context: &Context, transport: &mut Transport, entry: Incarnation) {
        self.holders.remove(&entry);
        self.identity_holders
            .retain(|_, (holder, _)| *holder != entry);
        let ids: Vec<NameHash> = self.pools.keys().copied().collect();
        for id in ids {
            let Some(managed) = self.pools.get_mut(&id) else {
                continue;
            };
            managed.loans.remove(&entry);
            managed.rates.remove(&entry);
            if let Phase::Rebuilding(rebuild) = &mut managed.phase {
                rebuild.waiting.retain(|waiter| waiter.holder != entry);
            }
            let mut decisions = Vec::new();
            managed
                .pool
                .forget_holder(context.now, entry, &mut decisions);
            self.apply_decisions(transport, id, decisions);
        }
    }

    fn drop_moved_pools(&mut self, context: &Context, transport: &mut Transport) {
        let own = Some(transport.own());
        let left: Vec<NameHash> = self
            .pools
            .keys()
            .copied()
            .filter(|id| context.topology.home(*id) != own)
            .collect();
        for id in left {
            self.pools.remove(&id);
            self.redirect_waiting(context, transport, id);
        }
    }

    /// Removes all records of a pool and redirects its waiting requests to the
    /// new home.
    fn redirect_waiting(&mut self, context: &Context, transport: &mut Transport, id: NameHash) {
        let hint = context.topology.home(id);
        let mut left = Vec::new();
        for (holder, permits) in &self.holders {
            let of_pool = permits
                .records
                .iter()
                .filter(|(_, record)| record.pool == id);
            left.extend(of_pool.map(|(permit, record)| (*holder, *permit, record.state)));
        }
        for (holder, permit, state) in left {
            self.remove_record(holder, permit);
            if matches!(state, PermitState::Waiting) {
                transport.send_reply(holder, Urgency::Now, Reply::NotHome(permit, hint));
            }
        }
    }

    fn take_over_pools(&mut self, context: &Context) {
        let own = Some(context.members.own().incarnation);
        for (id, info) in context.topology.pools() {
            if info.home != own || self.pools.contains_key(&id) {
                continue;
            }
            let rebuild = Rebuild {
                until: context.now + REBUILD_TIMEOUT,
                next_claim: context.now,
                missing: context
                    .members
                    .iter()
                    .filter(|member| context.is_alive(member.incarnation))
                    .map(|member| (member.incarnation, 0))
                    .collect(),
                waiting: Vec::new(),
            };
            let seed = self.next_number();
            let managed = ManagedPool {
                name: info.pool.clone(),
                pool: Pool::new(self.limits.clone(), u64::from(seed)),
                phase: Phase::Rebuilding(rebuild),
                loans: BTreeMap::new(),
                rates: BTreeMap::new(),
            };
            self.pools.insert(id, managed);
        }
    }

    /// Notes that an entry has reported its permits for one pool.
    pub(super) fn record_sync(&mut self, from: Incarnation, sync: &Sync) {
        let in_scope = |id: &NameHash| sync.scope.is_some_and(|scope| scope == *id);
        for (_, managed) in self.pools.iter_mut().filter(|(id, _)| in_scope(id)) {
            let Phase::Rebuilding(rebuild) = &mut managed.phase else {
                continue;
            };
            let next = rebuild.missing.get_mut(&from);
            if let Some(next) = next.filter(|next| **next >= sync.from) {
                match sync.to.checked_add(1) {
                    Some(after) => *next = after.max(*next),
                    None => {
                        rebuild.missing.remove(&from);
                    }
                }
            }
        }
    }

    /// Continues to collect the permits granted by earlier homes of a pool, and
    /// starts to grant when that is complete or has timed out.
    pub(super) fn advance_rebuild(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        id: NameHash,
    ) {
        let Some(managed) = self.pools.get_mut(&id) else {
            return;
        };
        let Phase::Rebuilding(rebuild) = &mut managed.phase else {
            return;
        };
        if rebuild.missing.is_empty() || context.now >= rebuild.until {
            self.serve(context, transport, id);
            return;
        }
        if context.now >= rebuild.next_claim {
            rebuild.next_claim = context.now + CLAIM_INTERVAL;
            for entry in rebuild.missing.keys() {
                transport.send_reply(*entry, Urgency::Now, Reply::Claim(id));
            }
        }
    }

    /// Starts to grant permits.
    fn serve(&mut self, context: &Context, transport: &mut Transport, id: NameHash) {
        let Some(managed) = self.pools.get_mut(&id) else {
            return;
        };
        let phase = std::mem::replace(&mut managed.phase, Phase::Serving);
        let Phase::Rebuilding(rebuild) = phase else {
            return;
        };
        // The highest tier goes first, so that no free slot is given to a lower
        // one.
        let mut waiting = rebuild.waiting;
        waiting.sort_by_key(|waiter| (waiter.ask.tier, waiter.ask.deadline));
        let mut decisions = Vec::new();
        for waiter in waiting {
            managed.pool.ask(context.now, waiter, &mut decisions);
        }
        self.apply_decisions(transport, id, decisions);
    }
}
