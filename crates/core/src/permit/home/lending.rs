//! Lending places of an uncontended pool, so that most requests need not ask.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{self, Reply, Usage};
use crate::permit::post::{Receipt, Urgency};
use crate::permit::{Context, Id, Post};

use super::seat::{Lent, Phase, Rate, Seat};
use super::{Home, request};

/// How long a loan lasts for its borrower. The longer, the fewer messages, and
/// the longer a cut-off borrower may go on while a higher tier waits.
pub const LIFE: Millis = Millis(1_000);
/// How much longer the pool is told that it lasts, so that the report of what
/// still runs can be lost once and repeated; the pool adds as much again.
pub const GRACE: Millis = Millis(500);
/// The span over which asks are counted.
const SPAN: Millis = Millis(1_000);
/// Asks within the span from which on an entry is lent places: two messages a
/// second keep up a loan, so that fewer asks would not pay for them.
const FREQUENT: u32 = 3;
/// A loan takes this part of the free slots at most, so that several entries
/// can have one and the first ask of another entry finds a slot.
const PART: u32 = 4;
/// How often a loan is recalled until it is settled.
const RECALL_PERIOD: Millis = Millis(100);

impl Home {
    /// Counts an ask, and lends places to an entry that asks often.
    pub(super) fn count_ask(
        &mut self,
        context: &Context,
        post: &mut Post,
        from: Incarnation,
        id: Id,
    ) {
        let own = post.own();
        let Some(seat) = self.seats.get_mut(&id) else {
            return;
        };
        if from == own || !matches!(seat.phase, Phase::Serving) {
            return;
        }
        let asks = seat.count(context.now, from);
        if asks >= FREQUENT && !seat.pool.contended() {
            self.lend(context, post, from, id, asks);
        }
    }

    fn lend(&mut self, context: &Context, post: &mut Post, to: Incarnation, id: Id, asks: u32) {
        let loan = self.draw();
        let Some(seat) = self.seats.get_mut(&id) else {
            return;
        };
        seat.extend_loan(context.now, to);
        let want = asks.min(seat.pool.stats().free / PART);
        let until = context.now + LIFE + GRACE;
        let places = seat.pool.lend(context.now, to, want, until);
        if places.is_empty() {
            return;
        }
        seat.rates.remove(&to);
        let lent = seat.loans.entry(to).or_insert_with(|| Lent {
            loan,
            permits: BTreeMap::new(),
            until,
            told: 0,
            recalled: None,
        });
        for place in places {
            let permits = lent.permits.entry(place.endpoint).or_default();
            permits.extend(place.permits);
        }
        seat.state_loan(post, to, id);
    }

    /// Takes in how a loan was used.
    pub fn usage(
        &mut self,
        context: &Context,
        post: &mut Post,
        from: Incarnation,
        receipt: Receipt,
        usage: &Usage,
    ) {
        if let Some(seat) = self.seats.get_mut(&usage.pool) {
            seat.learn(context, from, usage);
        }
        for held in &usage.held {
            let permit = self.lent_permit(context, from, usage.pool, held.endpoint);
            self.adopt(context, from, held, permit);
        }
        if usage.over {
            self.take_back(context, post, from, usage);
        } else if usage.held.is_empty() {
            self.renew(context, post, from, receipt, usage);
        }
    }

    /// Takes a place out of a loan, for a run that outlasts it.
    fn lent_permit(
        &mut self,
        context: &Context,
        from: Incarnation,
        pool: Id,
        endpoint: Id,
    ) -> Option<u64> {
        let lent = self.seats.get_mut(&pool)?.loans.get_mut(&from)?;
        let endpoint = context.topology.endpoint(endpoint)?;
        lent.permits.get_mut(endpoint)?.pop_first()
    }

    /// Ends a loan. What still ran of it was adopted before.
    fn take_back(&mut self, context: &Context, post: &mut Post, from: Incarnation, usage: &Usage) {
        let Some(seat) = self.seats.get_mut(&usage.pool) else {
            return;
        };
        let known = seat
            .loans
            .get(&from)
            .is_some_and(|lent| lent.loan == usage.loan);
        let mut decisions = Vec::new();
        if known && let Some(lent) = seat.loans.remove(&from) {
            for permit in lent.permits() {
                seat.pool.return_loan(context.now, permit, &mut decisions);
            }
        }
        self.carry_out(post, usage.pool, decisions);
    }

    /// Lets a loan run on, if nobody needs its places.
    fn renew(
        &mut self,
        context: &Context,
        post: &mut Post,
        from: Incarnation,
        receipt: Receipt,
        usage: &Usage,
    ) {
        let Some(seat) = self.seats.get_mut(&usage.pool) else {
            return;
        };
        let Some(lent) = seat.loans.get_mut(&from) else {
            return;
        };
        if lent.loan != usage.loan {
            return;
        }
        let mut decisions = Vec::new();
        if receipt.seen >= lent.told {
            for permit in surplus(lent, &usage.keep) {
                seat.pool.return_loan(context.now, permit, &mut decisions);
            }
        }
        if !seat.pool.contended() {
            seat.extend_loan(context.now, from);
            seat.state_loan(post, from, usage.pool);
        }
        self.carry_out(post, usage.pool, decisions);
        self.recall(context, post, usage.pool);
    }

    /// Asks for lent places back while someone waits.
    pub(super) fn recall(&mut self, context: &Context, post: &mut Post, id: Id) {
        let Some(seat) = self.seats.get_mut(&id) else {
            return;
        };
        if seat.loans.is_empty() || !seat.pool.has_waiting() {
            return;
        }
        for (borrower, lent) in &mut seat.loans {
            let again = |at: Millis| context.now >= at + RECALL_PERIOD;
            if lent.recalled.is_none_or(again) {
                lent.recalled = Some(context.now);
                post.reply(*borrower, Urgency::Now, Reply::Recall(id, lent.loan));
            }
        }
    }
}

impl Seat {
    fn count(&mut self, now: Millis, from: Incarnation) -> u32 {
        let fresh = Rate {
            since: now,
            count: 0,
        };
        let rate = self.rates.entry(from).or_insert(fresh);
        if now >= rate.since + SPAN {
            *rate = fresh;
        }
        rate.count += 1;
        rate.count
    }

    /// Lets a loan last from now on; places that ended meanwhile leave it.
    fn extend_loan(&mut self, now: Millis, to: Incarnation) {
        let Some(lent) = self.loans.get_mut(&to) else {
            return;
        };
        let pool = &mut self.pool;
        lent.until = now + LIFE + GRACE;
        for permits in lent.permits.values_mut() {
            permits.retain(|permit| pool.extend_loan(now, *permit, lent.until));
        }
        lent.permits.retain(|_, permits| !permits.is_empty());
    }

    /// States a loan to its borrower.
    fn state_loan(&mut self, post: &mut Post, to: Incarnation, id: Id) {
        let Some(lent) = self.loans.get_mut(&to) else {
            return;
        };
        lent.recalled = None;
        let loan = message::Loan {
            pool: id,
            loan: lent.loan,
            life: LIFE,
            places: lent.places(),
        };
        lent.told = post.reply(to, Urgency::Tick, Reply::Loan(loan));
    }

    /// Learns from runs under a loan.
    fn learn(&mut self, context: &Context, from: Incarnation, usage: &Usage) {
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
                let done = record.result.done(request(from, 0), *permit);
                self.pool
                    .record_loan_run(context.now, profile.tier, &profile.class, &done);
            }
        }
    }
}

/// Takes out of a loan what its borrower does not keep.
fn surplus(lent: &mut Lent, keep: &[(Id, u32)]) -> Vec<u64> {
    let mut returned = Vec::new();
    for (endpoint, permits) in &mut lent.permits {
        let id = Id::of_endpoint(endpoint);
        let kept = keep.iter().find(|(kept, _)| *kept == id);
        let kept = kept.map_or(0, |(_, count)| *count as usize);
        while permits.len() > kept {
            returned.extend(permits.pop_last());
        }
    }
    returned
}
