//! Lends slots of an uncontended pool, so that most requests need no message.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{self, Reply, Usage};
use crate::permit::transport::{Receipt, Urgency};
use crate::permit::{Context, NameHash, Transport};

use super::state::{LentSlots, ManagedPool, Phase, Rate};
use super::{Home, request_name};

/// How long the borrower may use a loan. A longer lifetime needs fewer messages,
/// but lets a disconnected borrower keep slots for longer while a higher tier
/// waits.
pub const LOAN_LIFETIME: Millis = Millis(1_000);
/// How much longer than the borrower the pool considers the loan valid, so that
/// the report of the remaining runs can be lost once and repeated. The pool adds
/// the same time again.
pub const LOAN_GRACE: Millis = Millis(500);
/// The window over which the requests of an entry are counted.
const SPAN: Millis = Millis(1_000);
/// Number of requests within the window from which on an entry is lent slots.
/// Keeping up a loan takes two messages a second, which fewer requests would not
/// save.
const MIN_REQUESTS_FOR_LOAN: u32 = 3;
/// A loan takes at most this fraction (one in `PART`) of the free slots, so that
/// several entries can have a loan and the first request of another entry finds
/// a free slot.
const PART: u32 = 4;
/// Interval at which a recall is repeated until the loan is settled.
const RECALL_INTERVAL: Millis = Millis(100);

impl Home {
    /// Counts a request, and lends slots to an entry that sends many.
    pub(super) fn count_request(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        id: NameHash,
    ) {
        let own = transport.own();
        let Some(managed) = self.pools.get_mut(&id) else {
            return;
        };
        if from == own || !matches!(managed.phase, Phase::Serving) {
            return;
        }
        let recent_requests = managed.count_request(context.now, from);
        if recent_requests >= MIN_REQUESTS_FOR_LOAN && !managed.pool.contended() {
            self.lend(context, transport, from, id, recent_requests);
        }
    }

    fn lend(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        to: Incarnation,
        id: NameHash,
        recent_requests: u32,
    ) {
        let number = self.next_number();
        let Some(managed) = self.pools.get_mut(&id) else {
            return;
        };
        managed.extend_loan(context.now, to);
        let wanted = recent_requests.min(managed.pool.stats().free / PART);
        let until = context.now + LOAN_LIFETIME + LOAN_GRACE;
        let places = managed.pool.lend(context.now, to, wanted, until);
        if places.is_empty() {
            return;
        }
        managed.rates.remove(&to);
        let lent = managed.loans.entry(to).or_insert_with(|| LentSlots {
            number,
            permits: BTreeMap::new(),
            until,
            last_stated: 0,
            last_recall: None,
        });
        for place in places {
            let permits = lent.permits.entry(place.endpoint).or_default();
            permits.extend(place.permits);
        }
        managed.send_loan(transport, to, id);
    }

    /// Handles a report on the use of a loan.
    pub fn usage(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        receipt: Receipt,
        usage: &Usage,
    ) {
        if let Some(managed) = self.pools.get_mut(&usage.pool) {
            managed.record_runs(context, from, usage);
        }
        for held in &usage.held {
            let permit = self.take_lent_permit(context, from, usage.pool, held.endpoint);
            self.adopt_permit(context, from, held, permit);
        }
        if usage.finished {
            self.end_loan(context, transport, from, usage);
        } else if usage.held.is_empty() {
            self.renew_loan(context, transport, from, receipt, usage);
        }
    }

    /// Removes a slot from a loan, for a run that outlasts it.
    fn take_lent_permit(
        &mut self,
        context: &Context,
        from: Incarnation,
        pool: NameHash,
        endpoint: NameHash,
    ) -> Option<u64> {
        let lent = self.pools.get_mut(&pool)?.loans.get_mut(&from)?;
        let endpoint = context.topology.endpoint(endpoint)?;
        lent.permits.get_mut(endpoint)?.pop_first()
    }

    /// Ends a loan. The runs that remained under it have been adopted before.
    fn end_loan(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        usage: &Usage,
    ) {
        let Some(managed) = self.pools.get_mut(&usage.pool) else {
            return;
        };
        let known = managed
            .loans
            .get(&from)
            .is_some_and(|lent| lent.number == usage.loan);
        let mut decisions = Vec::new();
        if known && let Some(lent) = managed.loans.remove(&from) {
            for permit in lent.permits() {
                managed
                    .pool
                    .return_loan(context.now, permit, &mut decisions);
            }
        }
        self.apply_decisions(transport, usage.pool, decisions);
    }

    /// Renews a loan unless the pool is contended.
    fn renew_loan(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        from: Incarnation,
        receipt: Receipt,
        usage: &Usage,
    ) {
        let Some(managed) = self.pools.get_mut(&usage.pool) else {
            return;
        };
        let Some(lent) = managed.loans.get_mut(&from) else {
            return;
        };
        if lent.number != usage.loan {
            return;
        }
        let mut decisions = Vec::new();
        if receipt.acked >= lent.last_stated {
            for permit in take_surplus(lent, &usage.kept_slots) {
                managed
                    .pool
                    .return_loan(context.now, permit, &mut decisions);
            }
        }
        if !managed.pool.contended() {
            managed.extend_loan(context.now, from);
            managed.send_loan(transport, from, usage.pool);
        }
        self.apply_decisions(transport, usage.pool, decisions);
        self.recall_loans(context, transport, usage.pool);
    }

    /// Recalls all loans of a pool while requests are waiting.
    pub(super) fn recall_loans(
        &mut self,
        context: &Context,
        transport: &mut Transport,
        id: NameHash,
    ) {
        let Some(managed) = self.pools.get_mut(&id) else {
            return;
        };
        if managed.loans.is_empty() || !managed.pool.has_waiting() {
            return;
        }
        for (borrower, lent) in &mut managed.loans {
            let again = |at: Millis| context.now >= at + RECALL_INTERVAL;
            if lent.last_recall.is_none_or(again) {
                lent.last_recall = Some(context.now);
                transport.send_reply(*borrower, Urgency::Now, Reply::Recall(id, lent.number));
            }
        }
    }
}

impl ManagedPool {
    fn count_request(&mut self, now: Millis, from: Incarnation) -> u32 {
        let fresh = Rate {
            window_start: now,
            count: 0,
        };
        let rate = self.rates.entry(from).or_insert(fresh);
        if now >= rate.window_start + SPAN {
            *rate = fresh;
        }
        rate.count += 1;
        rate.count
    }

    /// Extends a loan from now on, and removes slots whose loan the pool has
    /// ended.
    fn extend_loan(&mut self, now: Millis, to: Incarnation) {
        let Some(lent) = self.loans.get_mut(&to) else {
            return;
        };
        let pool = &mut self.pool;
        lent.until = now + LOAN_LIFETIME + LOAN_GRACE;
        for permits in lent.permits.values_mut() {
            permits.retain(|permit| pool.extend_loan(now, *permit, lent.until));
        }
        lent.permits.retain(|_, permits| !permits.is_empty());
    }

    /// Sends the current state of a loan to its borrower.
    fn send_loan(&mut self, transport: &mut Transport, to: Incarnation, id: NameHash) {
        let Some(lent) = self.loans.get_mut(&to) else {
            return;
        };
        lent.last_recall = None;
        let loan = message::Loan {
            pool: id,
            loan: lent.number,
            lifetime: LOAN_LIFETIME,
            slots: lent.slots(),
        };
        lent.last_stated = transport.send_reply(to, Urgency::Tick, Reply::Loan(loan));
    }

    /// Feeds the runs under a loan into the pool's estimates.
    fn record_runs(&mut self, context: &Context, from: Incarnation, usage: &Usage) {
        let Some(lent) = self.loans.get(&from) else {
            return;
        };
        for record in &usage.records {
            let profile = usize::try_from(record.profile)
                .ok()
                .and_then(|index| usage.profiles.get(index));
            let permit = context
                .topology
                .endpoint(record.endpoint)
                .and_then(|endpoint| lent.permits.get(endpoint)?.first());
            if let (Some(profile), Some(permit)) = (profile, permit) {
                let done = record.result.done(request_name(from, 0), *permit);
                self.pool
                    .record_loan_run(context.now, profile.tier, &profile.class, &done);
            }
        }
    }
}

/// Removes the slots from a loan that its borrower does not keep.
fn take_surplus(lent: &mut LentSlots, kept_slots: &[(NameHash, u32)]) -> Vec<u64> {
    let mut returned = Vec::new();
    for (endpoint, permits) in &mut lent.permits {
        let id = NameHash::of_endpoint(endpoint);
        let kept = kept_slots.iter().find(|(kept, _)| *kept == id);
        let kept = kept.map_or(0, |(_, count)| *count as usize);
        while permits.len() > kept {
            returned.extend(permits.pop_last());
        }
    }
    returned
}
