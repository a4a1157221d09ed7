//! Compares the state that this home keeps for an entry with the state that the
//! entry reports.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{Digest, Grant, HeldPermit, Release, Reply, Run, Sync};
use crate::permit::transport::{Receipt, Urgency};
use crate::permit::{Context, NameHash, Transport};
use crate::pool;

use super::state::{Holder, PermitRecord, PermitState, Phase};
use super::{Home, request_name};

/// How long an entry with state at this home may send no digest before it is
/// asked for its state. An entry sends a digest every second, unless it believes
/// that it has no state here.
const DIGEST_TIMEOUT: Millis = Millis(3_000);
/// How long the confirmation of a matching digest may wait for another message
/// to the same entry. It must stay well below the time after which the entry
/// considers this one unresponsive.
const DIGEST_MATCHED_DELAY: Millis = Millis(200);
/// The bit that marks adopted permits. Pools number their own permits without
/// it.
const ADOPTED_BIT: u64 = 1 << 63;

impl Home {
    /// Compares an entry's digest with the state that this home expects.
    pub fn digest(
        &mut self,
        now: Millis,
        transport: &mut Transport,
        from: Incarnation,
        receipt: Receipt,
        digest: Digest,
    ) {
        if !receipt.newest {
            return;
        }
        let holder = self.holders.get_mut(&from);
        let expected = holder.map_or(Digest::default(), |holder| {
            holder.last_reconciled = None;
            holder.digest(receipt.acked)
        });
        if digest == expected {
            let urgency = Urgency::By(now + DIGEST_MATCHED_DELAY);
            transport.send_reply(from, urgency, Reply::DigestMatched(receipt.number));
        } else {
            transport.send_reply(from, Urgency::Now, Reply::Resync);
        }
    }

    /// Requests a full list from entries that have not sent a digest for too
    /// long.
    pub(super) fn request_overdue_syncs(&mut self, now: Millis, transport: &mut Transport) {
        for (entry, holder) in &mut self.holders {
            let since = *holder.last_reconciled.get_or_insert(now);
            if now >= since + DIGEST_TIMEOUT {
                holder.last_reconciled = Some(now);
                transport.send_reply(*entry, Urgency::Tick, Reply::Resync);
            }
        }
    }

    /// Handles the list of an entry's requests and permits within a scope and a
    /// range.
    pub fn sync(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        receipt: Receipt,
        sync: &Sync,
    ) {
        if !receipt.newest {
            return;
        }
        self.drop_unlisted(context, transport, from, receipt, sync);
        for held in &sync.held {
            self.adopt_permit(context, from, held, None);
        }
        for permit in &sync.waiting {
            self.confirm_waiting(transport, from, *permit);
        }
        self.record_sync(from, sync);
    }

    fn drop_unlisted(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        receipt: Receipt,
        sync: &Sync,
    ) {
        let listed: BTreeSet<u64> = sync.waiting.iter().copied().collect();
        let held = sync.held.iter().map(|held| held.permit);
        let listed: BTreeSet<u64> = held.chain(listed).collect();
        let Some(holder) = self.holders.get(&from) else {
            return;
        };
        let ended: Vec<u64> = known_in_range(holder, receipt.acked, sync)
            .filter(|permit| !listed.contains(permit))
            .collect();
        for permit in ended {
            let result = Run::UNUSED;
            self.release(context, transport, from, &Release { permit, result });
        }
    }

    fn confirm_waiting(&mut self, transport: &mut Transport, from: Incarnation, permit: u64) {
        let Some(record) = self.record_mut(from, permit) else {
            transport.send_reply(from, Urgency::Now, Reply::Unknown(permit));
            return;
        };
        if let PermitState::Held { grant, .. } = record.state {
            record.grant_message =
                Some(transport.send_reply(from, Urgency::Now, Reply::Grant(grant)));
        }
    }

    /// Takes over a permit that this home did not grant, or a run that continues
    /// in a lent slot.
    pub(super) fn adopt_permit(
        &mut self,
        context: &Context,
        from: Incarnation,
        held: &HeldPermit,
        lent_permit: Option<u64>,
    ) {
        let known = self
            .record_mut(from, held.permit)
            .map(|record| record.state);
        if matches!(known, Some(PermitState::Held { .. })) {
            return;
        }
        let number = self.next_number();
        let Some(managed) = self.pools.get_mut(&held.pool) else {
            return;
        };
        let request = request_name(from, held.permit);
        if let Phase::Rebuilding(rebuild) = &mut managed.phase {
            rebuild
                .waiting
                .retain(|waiter| waiter.ask.request != request);
        }
        let permit = lent_permit.unwrap_or(ADOPTED_BIT | u64::from(number));
        if let Some(endpoint) = context.topology.endpoint(held.endpoint) {
            let adopted = pool::ActiveRun {
                request,
                holder: from,
                permit,
                endpoint: endpoint.clone(),
                tier: held.profile.tier,
                class: held.profile.class.clone(),
                workspace: held.profile.workspace.clone(),
            };
            managed.pool.adopt(context.now, adopted);
        }
        let grant = Grant {
            permit: held.permit,
            endpoint: held.endpoint,
            priority: pool::priority(held.profile.tier, false),
            contended: true,
        };
        let mut record = PermitRecord::waiting(held.pool, held.identity);
        record.state = PermitState::Held { permit, grant };
        record.grant_message = Some(0);
        self.insert_record(from, held.permit, record);
    }

    /// Returns the number of requests and permits by pool.
    pub fn records_by_pool(&self) -> BTreeMap<NameHash, usize> {
        let mut counts = BTreeMap::new();
        for record in self
            .holders
            .values()
            .flat_map(|holder| holder.records.values())
        {
            *counts.entry(record.pool).or_default() += 1;
        }
        counts
    }
}

/// Iterates over the numbers within the scope and range of a sync that its
/// sender must know.
fn known_in_range<'a>(
    holder: &'a Holder,
    acked: u32,
    sync: &'a Sync,
) -> impl Iterator<Item = u64> + 'a {
    holder
        .records
        .range(sync.from..=sync.to)
        .filter(move |(_, record)| record.known_at(acked).is_some())
        .filter(move |(_, record)| sync.scope.is_none_or(|scope| scope == record.pool))
        .map(|(permit, _)| *permit)
}
