//! Repeating what was not answered, and comparing notes with each home.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name::Incarnation;
use crate::permit::message::{self, Call, Digest, End, Held, Sync};
use crate::permit::post::Urgency;
use crate::permit::{Context, Id};

use super::{Broker, Holding, LONGEST_RETRY, Place, Source, Step, profile};

/// How often notes are compared with a home. The longest time for which a lost
/// message can keep a slot idle, or a grant from its request, is about this.
const HEARTBEAT: Millis = Millis(1_000);
/// Items in one [`Sync`], so that it fits in one datagram.
pub(super) const CHUNK: usize = 10;

impl Broker {
    /// Time has passed.
    pub fn tick(&mut self, step: &mut Step) {
        self.repeat_asks(step);
        self.place_again(step);
        self.tick_loans(step);
        self.tick_alone(step);
        self.beat(step);
    }

    fn repeat_asks(&mut self, step: &mut Step) {
        let now = step.context.now;
        let mut due = Vec::new();
        for (number, wanted) in &mut self.wanted {
            if let Place::Asked {
                queued: false,
                again,
                backoff,
                ..
            } = &mut wanted.place
                && now >= *again
            {
                *backoff = LONGEST_RETRY.min(*backoff + *backoff);
                *again = now + *backoff;
                due.push(*number);
            }
        }
        for number in due {
            self.send_ask(step, number);
        }
    }

    fn place_again(&mut self, step: &mut Step) {
        let now = step.context.now;
        let due = self
            .wanted
            .iter()
            .filter(|(_, wanted)| matches!(wanted.place, Place::Unplaced(again) if now >= again));
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            if let Some(wanted) = self.take(number) {
                self.place(step, wanted);
            }
        }
    }

    /// Sends an ask, for the first time or again.
    pub(super) fn send_ask(&mut self, step: &mut Step, number: u64) {
        let Some(wanted) = self.wanted.get(&number) else {
            return;
        };
        let Place::Asked { home, pool, .. } = wanted.place else {
            return;
        };
        let call = Call::Ask(pack(&step.context, number, pool, &wanted.ask));
        step.post.call(step.context.now, home, Urgency::Now, call);
    }

    /// The home does not know an ask that it said it keeps.
    pub fn unknown(&mut self, step: &mut Step, from: Incarnation, number: u64) {
        if self.asked(number, from).is_none() {
            return;
        }
        if let Some(wanted) = self.wanted.get_mut(&number)
            && let Place::Asked { queued, .. } = &mut wanted.place
        {
            *queued = false;
        }
        self.send_ask(step, number);
    }

    fn beat(&mut self, step: &mut Step) {
        let now = step.context.now;
        let peers = self.peers(step);
        self.heartbeats.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            let due = self.heartbeats.entry(peer).or_insert(now + HEARTBEAT);
            if now < *due {
                continue;
            }
            *due = now + HEARTBEAT;
            let digest = self.digest(peer);
            step.post
                .call(now, peer, Urgency::Now, Call::Digest(digest));
        }
    }

    /// The homes with which notes are to be compared.
    fn peers(&self, step: &Step) -> BTreeSet<Incarnation> {
        let asked = self
            .wanted
            .values()
            .filter_map(|wanted| match wanted.place {
                Place::Asked { home, .. } => Some(home),
                _ => None,
            });
        let held = self
            .held
            .values()
            .filter_map(|holding| match holding.source {
                Source::Home(home) => Some(home),
                _ => None,
            });
        let ended = self.ends.values().map(|end| end.home);
        // A silent home is asked until it answers.
        let silent = step
            .context
            .members
            .active()
            .map(|member| member.incarnation);
        let silent = silent.filter(|entry| step.post.silent(*entry));
        let own = step.post.own();
        asked
            .chain(held)
            .chain(ended)
            .chain(silent)
            .filter(|peer| *peer != own)
            .collect()
    }

    fn digest(&self, peer: Incarnation) -> Digest {
        let mut digest = Digest::default();
        for number in self.waiting_at(peer, None) {
            digest.add(number, false);
        }
        for (number, _) in self.held_of(peer, None) {
            digest.add(number, true);
        }
        digest
    }

    /// The home has all that was sent up to a message.
    pub fn agreed(&mut self, from: Incarnation, number: u32) {
        self.ends
            .retain(|_, end| end.home != from || end.sent > number);
    }

    /// A home keeps something else of this entry than this entry does.
    pub fn resync(&mut self, step: &mut Step, from: Incarnation) {
        let now = step.context.now;
        for (permit, end) in self.ends.iter_mut().filter(|(_, end)| end.home == from) {
            let call = Call::End(End {
                permit: *permit,
                result: end.result,
            });
            end.sent = step.post.call(now, from, Urgency::Now, call);
        }
        self.sync(step, from, None);
    }

    /// Tells a home all that this entry waits for and holds there.
    pub(super) fn sync(&self, step: &mut Step, home: Incarnation, scope: Option<Id>) {
        let mut items: Vec<(u64, Option<Held>)> = self
            .waiting_at(home, scope)
            .map(|number| (number, None))
            .collect();
        let held = self.held_of(home, scope);
        items.extend(held.map(|(number, holding)| (number, Some(pack_held(number, holding)))));
        items.sort_by_key(|(number, _)| *number);
        let mut from = 0;
        let mut rest = items.as_slice();
        loop {
            let (chunk, after) = rest.split_at(rest.len().min(CHUNK));
            rest = after;
            let to = rest.first().map_or(u64::MAX, |(number, _)| number - 1);
            let sync = Sync {
                scope,
                from,
                to,
                waiting: chunk
                    .iter()
                    .filter(|(_, held)| held.is_none())
                    .map(|(number, _)| *number)
                    .collect(),
                held: chunk.iter().filter_map(|(_, held)| held.clone()).collect(),
            };
            step.post
                .call(step.context.now, home, Urgency::Now, Call::Sync(sync));
            if rest.is_empty() {
                return;
            }
            from = to + 1;
        }
    }

    /// Asks that a home said it keeps.
    fn waiting_at(&self, peer: Incarnation, scope: Option<Id>) -> impl Iterator<Item = u64> {
        self.wanted.iter().filter_map(move |(number, wanted)| {
            let Place::Asked {
                home,
                pool,
                queued: true,
                ..
            } = wanted.place
            else {
                return None;
            };
            let of = home == peer && scope.is_none_or(|scope| scope == pool);
            of.then_some(*number)
        })
    }

    /// Permits that a home counts.
    fn held_of(
        &self,
        peer: Incarnation,
        scope: Option<Id>,
    ) -> impl Iterator<Item = (u64, &Holding)> {
        let of = move |holding: &Holding| {
            holding.source == Source::Home(peer) && scope.is_none_or(|scope| scope == holding.pool)
        };
        self.held
            .iter()
            .filter(move |(_, holding)| of(holding))
            .map(|(number, holding)| (*number, holding))
    }
}

/// A permit in the form of messages.
pub(super) fn pack_held(permit: u64, holding: &Holding) -> Held {
    Held {
        permit,
        pool: holding.pool,
        endpoint: holding.endpoint,
        profile: holding.profile.clone(),
        identity: holding.identity,
    }
}

/// An ask in the form of messages.
fn pack(context: &Context, permit: u64, pool: Id, ask: &Ask) -> message::Ask {
    let (later, earlier) = (ask.deadline - context.now, context.now - ask.deadline);
    let span = |span: Millis| i64::try_from(span.0).unwrap_or(i64::MAX);
    message::Ask {
        permit,
        pool,
        profile: profile(ask),
        weight: ask.weight,
        slack: span(later) - span(earlier),
        avoid: ask.avoid.iter().map(Id::of_endpoint).collect(),
        prefix: short(ask.prefix),
        identity: ask.identity,
    }
}

/// Half of a hash is enough to find a warm cache.
fn short(hash: u64) -> u32 {
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or(0)
}
