//! Retransmits unanswered messages and periodically compares state with each
//! home.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name::Incarnation;
use crate::permit::message::{self, Call, Digest, HeldPermit, Release, Sync};
use crate::permit::transport::Urgency;
use crate::permit::{Context, NameHash};

use super::{ActivePermit, Broker, MAX_RETRY_DELAY, Source, Step, WaitState, profile};

/// Interval at which a digest is sent to each home. A lost message can keep a
/// slot idle, or a grant from its request, for about this long.
const DIGEST_INTERVAL: Millis = Millis(1_000);
/// Additional time that a digest may wait to be sent along with a permit
/// request, while this entry only holds permits at that home.
const DIGEST_DELAY: Millis = Millis(1_000);
/// Maximum number of items in one [`Sync`], so that it fits into one datagram.
pub(super) const MAX_SYNC_ITEMS: usize = 10;

impl Broker {
    /// Runs the periodic work of the broker.
    pub fn tick(&mut self, step: &mut Step) {
        self.retry_requests(step);
        self.retry_placement(step);
        self.tick_loans(step);
        self.tick_fallback(step);
        self.send_due_digests(step);
    }

    fn retry_requests(&mut self, step: &mut Step) {
        let now = step.context.now;
        let mut due = Vec::new();
        for (number, pending) in &mut self.pending {
            if let WaitState::AtHome {
                queued: false,
                retry_at,
                backoff,
                ..
            } = &mut pending.wait
                && now >= *retry_at
            {
                *backoff = MAX_RETRY_DELAY.min(*backoff + *backoff);
                *retry_at = now + *backoff;
                due.push(*number);
            }
        }
        for number in due {
            self.send_acquire(step, number);
        }
    }

    fn retry_placement(&mut self, step: &mut Step) {
        let now = step.context.now;
        let due = self.pending.iter().filter(
            |(_, pending)| matches!(pending.wait, WaitState::Unplaced(retry_at) if now >= retry_at),
        );
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            if let Some(pending) = self.take_pending(number) {
                self.place(step, pending);
            }
        }
    }

    /// Sends a permit request to its home, for the first time or again.
    pub(super) fn send_acquire(&mut self, step: &mut Step, number: u64) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let WaitState::AtHome { home, pool, .. } = pending.wait else {
            return;
        };
        let call = Call::Acquire(to_acquire(&step.context, number, pool, &pending.ask));
        step.transport
            .send_call(step.context.now, home, Urgency::Now, call);
        if self
            .digest_due
            .get(&home)
            .is_some_and(|due| step.context.now >= *due)
        {
            self.send_digest(step, home);
        }
    }

    /// Handles the reply that a home does not know a request that it had queued.
    pub fn unknown(&mut self, step: &mut Step, from: Incarnation, number: u64) {
        if self.pending_pool(number, from).is_none() {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&number)
            && let WaitState::AtHome { queued, .. } = &mut pending.wait
        {
            *queued = false;
        }
        self.send_acquire(step, number);
    }

    fn send_due_digests(&mut self, step: &mut Step) {
        let now = step.context.now;
        let peers = self.digest_peers(step);
        self.digest_due.retain(|peer, _| peers.contains_key(peer));
        for (peer, urgent) in peers {
            let due = *self.digest_due.entry(peer).or_insert(now + DIGEST_INTERVAL);
            let due = if urgent { due } else { due + DIGEST_DELAY };
            if now >= due {
                self.send_digest(step, peer);
            }
        }
    }

    fn send_digest(&mut self, step: &mut Step, peer: Incarnation) {
        let now = step.context.now;
        self.digest_due.insert(peer, now + DIGEST_INTERVAL);
        let digest = Call::Digest(self.digest(peer));
        step.transport.send_call(now, peer, Urgency::Now, digest);
    }

    /// Returns the homes to which digests are sent, and whether each digest is
    /// sent as soon as it is due: that is the case if requests wait there, or if
    /// the home is unresponsive and must be probed.
    fn digest_peers(&self, step: &Step) -> BTreeMap<Incarnation, bool> {
        let requested = self
            .pending
            .values()
            .filter_map(|pending| match pending.wait {
                WaitState::AtHome { home, .. } => Some((home, true)),
                _ => None,
            });
        let held = self
            .active
            .values()
            .filter_map(|active| match active.source {
                Source::Home(home) => Some((home, false)),
                _ => None,
            });
        let ended = self
            .unconfirmed_releases
            .values()
            .map(|release| (release.home, false));
        let members = step.context.members.active();
        let unresponsive = members.map(|member| (member.incarnation, true));
        let unresponsive = unresponsive.filter(|(entry, _)| step.transport.is_unresponsive(*entry));
        let mut peers = BTreeMap::new();
        for (peer, urgent) in held.chain(ended).chain(requested).chain(unresponsive) {
            *peers.entry(peer).or_default() |= urgent;
        }
        peers
    }

    fn digest(&self, peer: Incarnation) -> Digest {
        let mut digest = Digest::default();
        for (number, queued) in self.pending_at(peer, None) {
            if queued {
                digest.add(number, false);
            }
        }
        for (number, _) in self.permits_from(peer, None) {
            digest.add(number, true);
        }
        digest
    }

    /// Handles the confirmation that a home has received everything up to a
    /// message.
    pub fn digest_matched(&mut self, from: Incarnation, number: u32) {
        self.unconfirmed_releases
            .retain(|_, release| release.home != from || release.sent > number);
    }

    /// Handles the reply that a home's state of this entry differs from the
    /// digest.
    pub fn resync(&mut self, step: &mut Step, from: Incarnation) {
        let now = step.context.now;
        for (permit, release) in self
            .unconfirmed_releases
            .iter_mut()
            .filter(|(_, release)| release.home == from)
        {
            let call = Call::Release(Release {
                permit: *permit,
                result: release.result,
            });
            release.sent = step.transport.send_call(now, from, Urgency::Now, call);
        }
        self.send_sync(step, from, None);
    }

    /// Sends a home the full list of this entry's requests and permits there.
    pub(super) fn send_sync(&self, step: &mut Step, home: Incarnation, scope: Option<NameHash>) {
        let requested = self.pending_at(home, scope);
        let mut items: Vec<(u64, Option<HeldPermit>)> =
            requested.map(|(number, _)| (number, None)).collect();
        let held = self.permits_from(home, scope);
        items.extend(held.map(|(number, active)| (number, Some(to_held_permit(number, active)))));
        items.sort_by_key(|(number, _)| *number);
        let mut from = 0;
        let mut rest = items.as_slice();
        loop {
            let (chunk, after) = rest.split_at(rest.len().min(MAX_SYNC_ITEMS));
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
            step.transport
                .send_call(step.context.now, home, Urgency::Now, Call::Sync(sync));
            if rest.is_empty() {
                return;
            }
            from = to + 1;
        }
    }

    /// Iterates over the requests that wait at a home, and whether it has
    /// confirmed them as queued.
    fn pending_at(
        &self,
        peer: Incarnation,
        scope: Option<NameHash>,
    ) -> impl Iterator<Item = (u64, bool)> {
        self.pending.iter().filter_map(move |(number, pending)| {
            let WaitState::AtHome {
                home, pool, queued, ..
            } = pending.wait
            else {
                return None;
            };
            let of = home == peer && scope.is_none_or(|scope| scope == pool);
            of.then_some((*number, queued))
        })
    }

    /// Iterates over the permits that a home counts.
    fn permits_from(
        &self,
        peer: Incarnation,
        scope: Option<NameHash>,
    ) -> impl Iterator<Item = (u64, &ActivePermit)> {
        let of = move |active: &ActivePermit| {
            active.source == Source::Home(peer) && scope.is_none_or(|scope| scope == active.pool)
        };
        self.active
            .iter()
            .filter(move |(_, active)| of(active))
            .map(|(number, active)| (*number, active))
    }
}

/// Converts a permit into its message form.
pub(super) fn to_held_permit(permit: u64, active: &ActivePermit) -> HeldPermit {
    HeldPermit {
        permit,
        pool: active.pool,
        endpoint: active.endpoint,
        profile: active.profile.clone(),
        identity: active.identity,
    }
}

/// Converts a request into its message form.
fn to_acquire(context: &Context, permit: u64, pool: NameHash, ask: &Ask) -> message::Acquire {
    let (later, earlier) = (ask.deadline - context.now, context.now - ask.deadline);
    let span = |span: Millis| i64::try_from(span.0).unwrap_or(i64::MAX);
    message::Acquire {
        permit,
        pool,
        profile: profile(ask),
        weight: ask.weight,
        slack: span(later) - span(earlier),
        avoid: ask.avoid.iter().map(NameHash::of_endpoint).collect(),
        prefix: low_bits(ask.prefix),
        identity: ask.identity,
    }
}

/// Truncates a hash: half of it is enough to find a warm cache.
fn low_bits(hash: u64) -> u32 {
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or(0)
}
