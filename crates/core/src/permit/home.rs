//! The home side: answers the asks for the pools that this entry is home to.
//!
//! All state here is soft: a new home rebuilds it from what the entries hold.

use std::collections::BTreeMap;

use crate::control::event;
use crate::name::{self, Incarnation};
use crate::permit::message::{Ask, End, Grant, Reply};
use crate::permit::post::Urgency;
use crate::permit::{Context, Id, Post};
use crate::pool::{Decision, Limits, Waiter};

mod audit;
mod lending;
mod seat;
mod takeover;

use seat::{Entry, Holder, Phase, Seat, State};

/// The pools that this entry is home to, and what each entry has of them.
#[derive(Debug)]
pub struct Home {
    limits: Limits,
    seats: BTreeMap<Id, Seat>,
    holders: BTreeMap<Incarnation, Holder>,
    identities: BTreeMap<u64, (Incarnation, u64)>,
    /// Counts what needs a number of its own within this life: pools, adopted
    /// permits, loans. Starts elsewhere after each restart of the control branch.
    drawn: u32,
}

impl Home {
    /// Home to nothing. The generation counts the restarts of the control branch.
    pub fn new(limits: Limits, generation: u32) -> Self {
        Self {
            limits,
            seats: BTreeMap::new(),
            holders: BTreeMap::new(),
            identities: BTreeMap::new(),
            drawn: generation << 24,
        }
    }

    /// The pools that this entry is home to, with their waiting lists.
    pub fn pools(&self) -> impl Iterator<Item = (Id, &crate::pool::Pool)> {
        self.seats.iter().map(|(id, seat)| (*id, &seat.pool))
    }

    /// Requests that run at an endpoint, and places lent there, in this home's pools.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        let pools = self.seats.values().map(|seat| seat.pool.stats());
        pools
            .filter_map(|stats| stats.in_flight.get(endpoint).copied())
            .sum()
    }

    /// Takes in an ask of an entry.
    pub fn ask(&mut self, context: &Context, post: &mut Post, from: Incarnation, ask: &Ask) {
        if !self.seats.contains_key(&ask.pool) {
            let reply = match context.topology.pool(ask.pool) {
                Some(place) => Reply::NotHome(ask.permit, place.home),
                None => Reply::NoEndpoint(ask.permit),
            };
            post.reply(from, Urgency::Now, reply);
        } else if self.answer_again(post, from, ask.permit) {
            // It was repeated, or delivered twice.
        } else if let Some(holder) = self.elsewhere(from, ask.identity) {
            post.reply(from, Urgency::Now, Reply::Elsewhere(ask.permit, holder));
        } else {
            self.take_in(context, post, from, ask);
        }
    }

    fn take_in(&mut self, context: &Context, post: &mut Post, from: Incarnation, ask: &Ask) {
        let Some(seat) = self.seats.get_mut(&ask.pool) else {
            return;
        };
        let waiter = Waiter {
            ask: unpack(context, from, ask, &seat.name),
            holder: from,
        };
        let mut decisions = Vec::new();
        match &mut seat.phase {
            Phase::Rebuilding(rebuild) => rebuild.waiting.push(waiter),
            Phase::Serving => seat.pool.ask(context.now, waiter, &mut decisions),
        }
        self.keep(from, ask.permit, Entry::waiting(ask.pool, ask.identity));
        self.carry_out(post, ask.pool, decisions);
        self.say_queued(post, from, ask.permit);
        self.count_ask(context, post, from, ask.pool);
        self.recall(context, post, ask.pool);
    }

    /// Takes in the end of an ask or of a permit.
    pub fn end(&mut self, context: &Context, post: &mut Post, from: Incarnation, end: &End) {
        let Some(entry) = self.remove(from, end.permit) else {
            return;
        };
        self.release(context, post, from, end, &entry);
    }

    /// Time has passed.
    pub fn tick(&mut self, context: &Context, post: &mut Post) {
        let ids: Vec<Id> = self.seats.keys().copied().collect();
        for id in ids {
            self.rebuild(context, post, id);
            let Some(seat) = self.seats.get_mut(&id) else {
                continue;
            };
            let mut decisions = Vec::new();
            seat.pool.tick(context.now, &mut decisions);
            seat.drop_ended_loans(context.now);
            self.carry_out(post, id, decisions);
            self.recall(context, post, id);
        }
        self.audit(context.now, post);
    }

    /// Frees what an entry of this home stood for.
    fn release(
        &mut self,
        context: &Context,
        post: &mut Post,
        from: Incarnation,
        end: &End,
        entry: &Entry,
    ) {
        let Some(seat) = self.seats.get_mut(&entry.seat) else {
            return;
        };
        let request = request(from, end.permit);
        let mut decisions = Vec::new();
        match &entry.state {
            State::Waiting => {
                if let Phase::Rebuilding(rebuild) = &mut seat.phase {
                    rebuild
                        .waiting
                        .retain(|waiter| waiter.ask.request != request);
                }
                seat.pool.withdraw(context.now, request, &mut decisions);
            }
            State::Held { permit, .. } => {
                let done = end.result.done(request, *permit);
                seat.pool.done(context.now, &done, &mut decisions);
            }
        }
        self.carry_out(post, entry.seat, decisions);
    }

    /// Says again how it stands with a known ask. False: it is not known.
    fn answer_again(&mut self, post: &mut Post, from: Incarnation, permit: u64) -> bool {
        let Some(entry) = self.entry(from, permit) else {
            return false;
        };
        if let State::Held { grant, .. } = entry.state {
            entry.told = Some(post.reply(from, Urgency::Now, Reply::Grant(grant)));
        }
        self.say_queued(post, from, permit);
        true
    }

    /// Says that an ask is kept, unless it was answered otherwise.
    fn say_queued(&mut self, post: &mut Post, from: Incarnation, permit: u64) {
        if let Some(entry) = self.entry(from, permit)
            && matches!(entry.state, State::Waiting)
        {
            // Many grants follow within the tick: then this goes in one message with them.
            entry.queued = Some(post.reply(from, Urgency::Tick, Reply::Queued(permit)));
        }
    }

    /// Passes on what a pool decided.
    fn carry_out(&mut self, post: &mut Post, id: Id, decisions: Vec<Decision>) {
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
                    let contended = self.seats[&id].pool.contended();
                    let grant = Grant {
                        permit: request.sequence,
                        endpoint: Id::of_endpoint(&endpoint),
                        priority,
                        contended,
                    };
                    self.granted(post, holder, permit, grant);
                }
                Decision::Shed {
                    request,
                    holder,
                    retry_after,
                } => {
                    self.remove(holder, request.sequence);
                    let reply = Reply::Shed(request.sequence, retry_after);
                    post.reply(holder, Urgency::Now, reply);
                }
                Decision::NoEndpoint { request, holder } => {
                    self.remove(holder, request.sequence);
                    post.reply(holder, Urgency::Now, Reply::NoEndpoint(request.sequence));
                }
            }
        }
    }

    fn granted(&mut self, post: &mut Post, holder: Incarnation, permit: u64, grant: Grant) {
        let Some(entry) = self.entry(holder, grant.permit) else {
            return;
        };
        entry.state = State::Held { permit, grant };
        entry.told = Some(post.reply(holder, Urgency::Now, Reply::Grant(grant)));
    }

    /// The entry at which another request of this identity waits or runs.
    fn elsewhere(&self, from: Incarnation, identity: u64) -> Option<Incarnation> {
        let (holder, _) = self.identities.get(&identity)?;
        (*holder != from).then_some(*holder)
    }

    fn entry(&mut self, holder: Incarnation, permit: u64) -> Option<&mut Entry> {
        self.holders.get_mut(&holder)?.entries.get_mut(&permit)
    }

    fn keep(&mut self, holder: Incarnation, permit: u64, entry: Entry) {
        if entry.identity != 0 {
            self.identities.insert(entry.identity, (holder, permit));
        }
        let holder = self.holders.entry(holder).or_default();
        holder.entries.insert(permit, entry);
    }

    fn remove(&mut self, from: Incarnation, permit: u64) -> Option<Entry> {
        let holder = self.holders.get_mut(&from)?;
        let entry = holder.entries.remove(&permit)?;
        if holder.entries.is_empty() {
            self.holders.remove(&from);
        }
        if self.identities.get(&entry.identity) == Some(&(from, permit)) {
            self.identities.remove(&entry.identity);
        }
        Some(entry)
    }

    fn draw(&mut self) -> u32 {
        self.drawn += 1;
        self.drawn
    }
}

/// An ask's name inside a pool: the numbers of one entry are unique.
fn request(holder: Incarnation, permit: u64) -> name::Request {
    name::Request {
        incarnation: holder,
        sequence: permit,
    }
}

/// An ask in the form that pools take.
fn unpack(context: &Context, from: Incarnation, ask: &Ask, pool: &name::Pool) -> event::Ask {
    let slack = crate::clock::Millis(ask.slack.unsigned_abs());
    let deadline = if ask.slack < 0 {
        context.now - slack
    } else {
        context.now + slack
    };
    let avoid = ask
        .avoid
        .iter()
        .filter_map(|id| context.topology.endpoint(*id).cloned());
    event::Ask {
        request: request(from, ask.permit),
        target: pool.target.clone(),
        workspace: ask.profile.workspace.clone(),
        tier: ask.profile.tier,
        class: ask.profile.class.clone(),
        weight: ask.weight,
        deadline,
        avoid: avoid.collect(),
        prefix: u64::from(ask.prefix),
        identity: ask.identity,
    }
}
