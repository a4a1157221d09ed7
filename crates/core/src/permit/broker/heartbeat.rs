//! Repeating what was not answered, and comparing notes with each home.

use std::collections::BTreeMap;

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
/// How much longer a digest may wait for an ask to go with, while only permits
/// are held.
const PATIENCE: Millis = Millis(1_000);
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
        if self
            .heartbeats
            .get(&home)
            .is_some_and(|due| step.context.now >= *due)
        {
            self.send_digest(step, home);
        }
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
        self.heartbeats.retain(|peer, _| peers.contains_key(peer));
        for (peer, urgent) in peers {
            let due = *self.heartbeats.entry(peer).or_insert(now + HEARTBEAT);
            let due = if urgent { due } else { due + PATIENCE };
            if now >= due {
                self.send_digest(step, peer);
            }
        }
    }

    fn send_digest(&mut self, step: &mut Step, peer: Incarnation) {
        let now = step.context.now;
        self.heartbeats.insert(peer, now + HEARTBEAT);
        let digest = Call::Digest(self.digest(peer));
        step.post.call(now, peer, Urgency::Now, digest);
    }

    /// The homes with which notes are to be compared, and whether at once when
    /// it is time: asks wait there, or it is silent and has to answer something.
    fn peers(&self, step: &Step) -> BTreeMap<Incarnation, bool> {
        let asked = self
            .wanted
            .values()
            .filter_map(|wanted| match wanted.place {
                Place::Asked { home, .. } => Some((home, true)),
                _ => None,
            });
        let held = self
            .held
            .values()
            .filter_map(|holding| match holding.source {
                Source::Home(home) => Some((home, false)),
                _ => None,
            });
        let ended = self.ends.values().map(|end| (end.home, false));
        let members = step.context.members.active();
        let silent = members.map(|member| (member.incarnation, true));
        let silent = silent.filter(|(entry, _)| step.post.silent(*entry));
        let mut peers = BTreeMap::new();
        for (peer, urgent) in held.chain(ended).chain(asked).chain(silent) {
            *peers.entry(peer).or_default() |= urgent;
        }
        peers
    }

    fn digest(&self, peer: Incarnation) -> Digest {
        let mut digest = Digest::default();
        for (number, queued) in self.asked_of(peer, None) {
            if queued {
                digest.add(number, false);
            }
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
        let asked = self.asked_of(home, scope);
        let mut items: Vec<(u64, Option<Held>)> = asked.map(|(number, _)| (number, None)).collect();
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

    /// Asks that wait for a home's answer, and whether it said that it keeps them.
    fn asked_of(&self, peer: Incarnation, scope: Option<Id>) -> impl Iterator<Item = (u64, bool)> {
        self.wanted.iter().filter_map(move |(number, wanted)| {
            let Place::Asked {
                home, pool, queued, ..
            } = wanted.place
            else {
                return None;
            };
            let of = home == peer && scope.is_none_or(|scope| scope == pool);
            of.then_some((*number, queued))
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
