//! Who is granted next, and who has to make room.

use crate::clock::Millis;
use crate::pool::choice::{Want, splitmix64};
use crate::pool::place::{Place, Run, Use};
use crate::pool::reserve::LANES;
use crate::pool::waiting::Entry;
use crate::pool::{Decision, Pool, priority};
use crate::tier::Tier;

/// Requests that are looked at for one that an open endpoint suits, of each kind.
const LOOK: usize = 4;
/// How long a retry waits for an endpoint that has not failed it.
const AVOIDS_FOR: Millis = Millis(2_000);
/// Slots that a pool is taken to have before it knows its endpoints.
const UNKNOWN_SLOTS: u32 = 16;
/// Bounds of the time after which a shed caller is told to come back.
const COME_BACK: std::ops::RangeInclusive<u64> = 500..=30_000;

/// What a tier with waiting requests does next.
enum Next {
    /// This request goes to this endpoint.
    Grant(u64, u32),
    /// No open endpoint suits its requests: a lower tier may have it.
    Unsuited,
    /// What is open is kept for shorter requests: no lower tier passes it.
    Held,
}

impl Pool {
    /// Grants and sheds what there is to, and refuses everybody where there
    /// has been no endpoint for long.
    pub(super) fn settle(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.endpoints.wake(now);
        while self.grant_one(now, out) {}
        self.shed(now, out);
        self.give_up(now, out);
    }

    fn grant_one(&mut self, now: Millis, out: &mut Vec<Decision>) -> bool {
        if self.waiting.is_empty() || self.endpoints.room() == 0 {
            return false;
        }
        let due: Vec<u64> = self.waiting.due().take(LOOK).collect();
        if let Some((number, endpoint)) = self.first_suited(now, due) {
            self.grant(now, number, endpoint, true, out);
            return true;
        }
        let tiers: Vec<Tier> = self.waiting.tiers().map(|(tier, _)| tier).collect();
        for tier in tiers {
            match self.next_of(now, tier) {
                Next::Grant(number, endpoint) => {
                    self.grant(now, number, endpoint, false, out);
                    return true;
                }
                Next::Unsuited => {}
                Next::Held => return false,
            }
        }
        false
    }

    /// The request that a tier serves next, and where. The first one is all
    /// that is looked at, unless no open endpoint suits it.
    fn next_of(&mut self, now: Millis, tier: Tier) -> Next {
        let allowed = self.allowed(tier);
        for count in [1, LOOK] {
            let next = self.waiting.next(now, &self.classes, tier, allowed, count);
            if next.is_empty() {
                return Next::Held;
            }
            if let Some((number, endpoint)) = self.first_suited(now, next) {
                return Next::Grant(number, endpoint);
            }
        }
        Next::Unsuited
    }

    /// The lanes of which a tier may grant requests now: while room is short,
    /// long ones leave what is kept for short ones.
    fn allowed(&self, tier: Tier) -> [bool; LANES] {
        let room = self.endpoints.room();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = (f64::from(self.endpoints.slots()) * self.limits.reserve) as u32;
        if room > most {
            return [true; LANES];
        }
        std::array::from_fn(|lane| room > self.reserve.held(tier, lane, most))
    }

    fn first_suited(
        &self,
        now: Millis,
        numbers: impl IntoIterator<Item = u64>,
    ) -> Option<(u64, u32)> {
        let mut numbers = numbers.into_iter();
        numbers.find_map(|number| {
            let endpoint = self.choose(now, self.waiting.get(number))?;
            Some((number, endpoint))
        })
    }

    fn choose(&self, now: Millis, entry: &Entry) -> Option<u32> {
        let ask = &entry.waiter.ask;
        let class = self.classes.get(entry.class);
        let want = Want {
            avoid: &ask.avoid,
            avoided_too: now - entry.since >= AVOIDS_FOR,
            prefix: ask.prefix,
            spare: class.spare(ask.deadline - now),
        };
        self.endpoints.choose(now, &want)
    }

    fn grant(&mut self, now: Millis, number: u64, id: u32, shared: bool, out: &mut Vec<Decision>) {
        let Some((entry, cost)) = self.take_out(now, number, shared) else {
            return;
        };
        let ask = &entry.waiter.ask;
        let run = Run {
            request: ask.request,
            tier: ask.tier,
            class: entry.class,
            flow: entry.flow,
            lane: self.classes.get(entry.class).lane,
            charged: cost,
            shared,
            attempt: Some(ask.avoid.len()),
        };
        let place = Place {
            holder: entry.waiter.holder,
            endpoint: id,
            since: now,
            used: Use::Run(run),
        };
        let permit = self.places.draw();
        self.endpoints.change(now, id, |endpoint| {
            endpoint.take(now);
            endpoint.note_trial(now);
        });
        self.start(permit, place, run);
        self.grants.add(now);
        let endpoint = self.endpoints.get(id);
        out.extend(endpoint.address.map(|address| Decision::Grant {
            request: ask.request,
            holder: entry.waiter.holder,
            permit,
            endpoint: endpoint.name.clone(),
            address,
            priority: priority(ask.tier, shared),
        }));
    }

    /// Takes a request off the list and charges what it is expected to cost.
    fn take_out(&mut self, now: Millis, number: u64, shared: bool) -> Option<(Entry, f64)> {
        let entry = self.waiting.get(number);
        let (class, flow) = (entry.class, entry.flow);
        let cost = self.classes.get(class).history.cost();
        self.waiting
            .charge(now, &self.classes, class, flow, cost, shared);
        if shared {
            self.waiting.rotate(now, &self.classes, class, flow);
        }
        let entry = self.waiting.remove(now, &self.classes, number)?;
        Some((entry, cost))
    }

    fn shed(&mut self, now: Millis, out: &mut Vec<Decision>) {
        let slots = self.known_slots.unwrap_or(UNKNOWN_SLOTS);
        let bound = slots.saturating_mul(self.limits.waiting_per_slot) as usize;
        while self.waiting.bounded() > bound {
            let Some(number) = self.waiting.victim(now, &self.classes) else {
                return;
            };
            let retry_after = self.retry_after(now, number);
            let waiter = self.leave_number(now, number);
            out.extend(waiter.map(|waiter| Decision::Shed {
                request: waiter.ask.request,
                holder: waiter.holder,
                retry_after,
            }));
        }
    }

    /// How long the list takes to empty at the present rate of grants, spread
    /// by a half each way so that callers do not come back all at once.
    fn retry_after(&self, now: Millis, number: u64) -> Millis {
        let rate = self.grants.per_ms(now).max(f64::MIN_POSITIVE);
        let spread = 0.5 + (splitmix64(number) % 1_000) as f64 / 1_000.0;
        let span = (self.waiting.len() as f64 / rate * spread).min(1e9);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let span = span as u64;
        Millis(span.clamp(*COME_BACK.start(), *COME_BACK.end()))
    }

    fn give_up(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if self.endpoints.slots() > 0 {
            self.empty_since = None;
            return;
        }
        let since = *self.empty_since.get_or_insert(now);
        if now - since < self.limits.no_endpoint_timeout {
            return;
        }
        for number in self.waiting.numbers() {
            let waiter = self.leave_number(now, number);
            out.extend(waiter.map(|waiter| Decision::NoEndpoint {
                request: waiter.ask.request,
                holder: waiter.holder,
            }));
        }
    }
}
