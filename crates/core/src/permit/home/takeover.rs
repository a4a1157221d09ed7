//! Becoming home to a pool, and ceasing to be.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{Reply, Sync};
use crate::permit::post::Urgency;
use crate::permit::{Context, Id, Post};
use crate::pool::Pool;

use super::Home;
use super::seat::{Phase, Rebuild, Seat, State};

/// How long a new home waits for what the entries hold: one heartbeat.
pub const ROUND: Millis = Millis(1_000);
/// How often those that have said nothing are told again of the new home.
const CLAIM_PERIOD: Millis = Millis(100);

impl Home {
    /// Pools, homes or entries have changed.
    pub fn update(&mut self, context: &Context, post: &mut Post) {
        self.forget_gone(context, post);
        self.leave_pools(context, post);
        self.take_pools(context);
        self.update_endpoints(context, post, None);
    }

    /// Endpoints have changed; those of one pool, or of all.
    pub fn update_endpoints(&mut self, context: &Context, post: &mut Post, only: Option<Id>) {
        let ids: Vec<Id> = self
            .seats
            .keys()
            .copied()
            .filter(|id| only.is_none_or(|only| only == *id))
            .collect();
        for id in ids {
            let Some(seat) = self.seats.get_mut(&id) else {
                continue;
            };
            let endpoints: Vec<_> = context.topology.usable(id, context.directory).collect();
            let mut decisions = Vec::new();
            seat.pool
                .set_endpoints(context.now, &endpoints, &mut decisions);
            self.carry_out(post, id, decisions);
        }
    }

    fn forget_gone(&mut self, context: &Context, post: &mut Post) {
        let known = self.holders.keys();
        let lent = self.seats.values().flat_map(|seat| seat.loans.keys());
        let mut gone: Vec<Incarnation> = known
            .chain(lent)
            .copied()
            .filter(|entry| !context.alive(*entry))
            .collect();
        gone.sort_unstable();
        gone.dedup();
        for seat in self.seats.values_mut() {
            if let Phase::Rebuilding(rebuild) = &mut seat.phase {
                rebuild.missing.retain(|entry, _| context.alive(*entry));
            }
        }
        for entry in gone {
            self.forget(context, post, entry);
        }
    }

    fn forget(&mut self, context: &Context, post: &mut Post, entry: Incarnation) {
        self.holders.remove(&entry);
        self.identities.retain(|_, (holder, _)| *holder != entry);
        let ids: Vec<Id> = self.seats.keys().copied().collect();
        for id in ids {
            let Some(seat) = self.seats.get_mut(&id) else {
                continue;
            };
            seat.loans.remove(&entry);
            seat.rates.remove(&entry);
            if let Phase::Rebuilding(rebuild) = &mut seat.phase {
                rebuild.waiting.retain(|waiter| waiter.holder != entry);
            }
            let mut decisions = Vec::new();
            seat.pool.forget_holder(context.now, entry, &mut decisions);
            self.carry_out(post, id, decisions);
        }
    }

    fn leave_pools(&mut self, context: &Context, post: &mut Post) {
        let own = Some(post.own());
        let left: Vec<Id> = self
            .seats
            .keys()
            .copied()
            .filter(|id| context.topology.home(*id) != own)
            .collect();
        for id in left {
            self.seats.remove(&id);
            self.leave(context, post, id);
        }
    }

    /// Sends the waiting asks of a pool on to its new home.
    fn leave(&mut self, context: &Context, post: &mut Post, id: Id) {
        let hint = context.topology.home(id);
        let mut left = Vec::new();
        for (holder, entries) in &self.holders {
            let of_pool = entries.entries.iter().filter(|(_, entry)| entry.seat == id);
            left.extend(of_pool.map(|(permit, entry)| (*holder, *permit, entry.state)));
        }
        for (holder, permit, state) in left {
            self.remove(holder, permit);
            if matches!(state, State::Waiting) {
                post.reply(holder, Urgency::Now, Reply::NotHome(permit, hint));
            }
        }
    }

    fn take_pools(&mut self, context: &Context) {
        let own = Some(context.members.own().incarnation);
        for (id, place) in context.topology.pools() {
            if place.home != own || self.seats.contains_key(&id) {
                continue;
            }
            let rebuild = Rebuild {
                until: context.now + ROUND,
                next_claim: context.now,
                missing: context
                    .members
                    .iter()
                    .filter(|member| context.alive(member.incarnation))
                    .map(|member| (member.incarnation, 0))
                    .collect(),
                waiting: Vec::new(),
            };
            let seed = self.draw();
            let seat = Seat {
                name: place.pool.clone(),
                pool: Pool::new(self.limits.clone(), u64::from(seed)),
                phase: Phase::Rebuilding(rebuild),
                loans: BTreeMap::new(),
                rates: BTreeMap::new(),
            };
            self.seats.insert(id, seat);
        }
    }

    /// An entry has said what it holds of one pool, or of all.
    pub(super) fn note_synced(&mut self, from: Incarnation, sync: &Sync) {
        let in_scope = |id: &Id| sync.scope.is_some_and(|scope| scope == *id);
        for (_, seat) in self.seats.iter_mut().filter(|(id, _)| in_scope(id)) {
            let Phase::Rebuilding(rebuild) = &mut seat.phase else {
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

    /// Goes on with learning what earlier homes of a pool granted.
    pub(super) fn rebuild(&mut self, context: &Context, post: &mut Post, id: Id) {
        let Some(seat) = self.seats.get_mut(&id) else {
            return;
        };
        let Phase::Rebuilding(rebuild) = &mut seat.phase else {
            return;
        };
        if rebuild.missing.is_empty() || context.now >= rebuild.until {
            self.serve(context, post, id);
            return;
        }
        if context.now >= rebuild.next_claim {
            rebuild.next_claim = context.now + CLAIM_PERIOD;
            for entry in rebuild.missing.keys() {
                post.reply(*entry, Urgency::Now, Reply::Claim(id));
            }
        }
    }

    /// Begins to grant.
    fn serve(&mut self, context: &Context, post: &mut Post, id: Id) {
        let Some(seat) = self.seats.get_mut(&id) else {
            return;
        };
        let phase = std::mem::replace(&mut seat.phase, Phase::Serving);
        let Phase::Rebuilding(rebuild) = phase else {
            return;
        };
        // The highest tier first, so that no free slot goes to a lower one.
        let mut waiting = rebuild.waiting;
        waiting.sort_by_key(|waiter| (waiter.ask.tier, waiter.ask.deadline));
        let mut decisions = Vec::new();
        for waiter in waiting {
            seat.pool.ask(context.now, waiter, &mut decisions);
        }
        self.carry_out(post, id, decisions);
    }
}
