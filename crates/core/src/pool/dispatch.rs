//! Grants waiting requests and sheds load.

use crate::clock::Millis;
use crate::pool::allocation::{Allocation, Run, Use};
use crate::pool::choice::{Criteria, splitmix64};
use crate::pool::reserve::BUCKETS;
use crate::pool::waiting::QueuedRequest;
use crate::pool::{Decision, Pool, priority};
use crate::tier::Tier;

/// Number of due classes, and of flows and requests in each flow, that are
/// examined for a request with a suitable endpoint.
const LOOKAHEAD: usize = 4;
/// How long a retry waits for an endpoint that has not failed it.
const AVOID_TIMEOUT: Millis = Millis(2_000);
/// Number of slots assumed before the pool knows its endpoints.
const DEFAULT_SLOTS: u32 = 16;
/// Range of the retry delay given to the caller of a shed request.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 500..=30_000;

/// Next step for a tier with waiting requests.
enum Next {
    /// Grant this request at this endpoint.
    Grant(u64, u32),
    /// No open endpoint suits the tier's requests; lower tiers may use the
    /// slots.
    NoSuitableEndpoint,
    /// The open slots are reserved for shorter requests, and lower tiers may
    /// not use them either.
    Reserved,
}

impl Pool {
    /// Grants as many requests as possible, sheds those above the bound, and
    /// rejects all if the pool has had no endpoint for too long.
    pub(super) fn schedule(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.endpoints.end_backoffs(now);
        while self.grant_one(now, out) {}
        self.shed(now, out);
        self.reject_without_endpoints(now, out);
    }

    fn grant_one(&mut self, now: Millis, out: &mut Vec<Decision>) -> bool {
        if self.waiting.is_empty() || self.endpoints.available() == 0 {
            return false;
        }
        let due: Vec<u64> = self.waiting.due().take(LOOKAHEAD).collect();
        if let Some((number, endpoint)) = self.first_with_endpoint(now, due) {
            self.grant(now, number, endpoint, true, out);
            return true;
        }
        let tiers: Vec<Tier> = self.waiting.tiers().map(|(tier, _)| tier).collect();
        for tier in tiers {
            match self.next_in_tier(now, tier) {
                Next::Grant(number, endpoint) => {
                    self.grant(now, number, endpoint, false, out);
                    return true;
                }
                Next::NoSuitableEndpoint => {}
                Next::Reserved => return false,
            }
        }
        false
    }

    /// Returns the request that a tier serves next and its endpoint. More than
    /// the first request is examined only if no open endpoint suits it.
    fn next_in_tier(&mut self, now: Millis, tier: Tier) -> Next {
        let allowed_buckets = self.allowed_buckets(tier);
        for count in [1, LOOKAHEAD] {
            let next = self
                .waiting
                .next_requests(now, &self.classes, tier, allowed_buckets, count);
            if next.is_empty() {
                return Next::Reserved;
            }
            if let Some((number, endpoint)) = self.first_with_endpoint(now, next) {
                return Next::Grant(number, endpoint);
            }
        }
        Next::NoSuitableEndpoint
    }

    /// Returns the duration buckets from which a tier may grant requests now.
    /// While few slots are free, long requests leave the reserved ones to short
    /// requests.
    fn allowed_buckets(&self, tier: Tier) -> [bool; BUCKETS] {
        let available = self.endpoints.available();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let max_reserved = (f64::from(self.endpoints.slots()) * self.limits.reserve) as u32;
        if available > max_reserved {
            return [true; BUCKETS];
        }
        std::array::from_fn(|bucket| available > self.reserve.reserved(tier, bucket, max_reserved))
    }

    fn first_with_endpoint(
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

    fn choose(&self, now: Millis, queued: &QueuedRequest) -> Option<u32> {
        let ask = &queued.waiter.ask;
        let class = self.classes.get(queued.class);
        let criteria = Criteria {
            avoid: &ask.avoid,
            allow_avoided: now - queued.since >= AVOID_TIMEOUT,
            prefix: ask.prefix,
            slack_ratio: class.slack_ratio(ask.deadline - now),
        };
        self.endpoints.choose(now, &criteria)
    }

    fn grant(
        &mut self,
        now: Millis,
        number: u64,
        id: u32,
        from_class_share: bool,
        out: &mut Vec<Decision>,
    ) {
        let Some((queued, cost)) = self.dequeue(now, number, from_class_share) else {
            return;
        };
        let ask = &queued.waiter.ask;
        let run = Run {
            request: ask.request,
            tier: ask.tier,
            class: queued.class,
            flow: queued.flow,
            bucket: self.classes.get(queued.class).bucket,
            charged: cost,
            from_class_share,
            attempt: Some(ask.avoid.len()),
        };
        let allocation = Allocation {
            holder: queued.waiter.holder,
            endpoint: id,
            since: now,
            purpose: Use::Run(run),
        };
        let permit = self.allocations.next_permit();
        self.endpoints.update(now, id, |endpoint| {
            endpoint.acquire(now);
            endpoint.record_trial(now);
        });
        self.start_run(permit, allocation, run);
        self.grant_rate.add(now);
        let endpoint = self.endpoints.get(id);
        out.extend(endpoint.address.map(|address| Decision::Grant {
            request: ask.request,
            holder: queued.waiter.holder,
            permit,
            endpoint: endpoint.name.clone(),
            address,
            priority: priority(ask.tier, from_class_share),
        }));
    }

    /// Removes a request from the waiting list and charges its expected cost.
    fn dequeue(
        &mut self,
        now: Millis,
        number: u64,
        from_class_share: bool,
    ) -> Option<(QueuedRequest, f64)> {
        let queued = self.waiting.get(number);
        let (class, flow) = (queued.class, queued.flow);
        let cost = self.classes.get(class).history.expected_cost();
        self.waiting
            .charge(now, &self.classes, class, flow, cost, from_class_share);
        if from_class_share {
            self.waiting.rotate(now, &self.classes, class, flow);
        }
        let queued = self.waiting.remove(now, &self.classes, number)?;
        Some((queued, cost))
    }

    fn shed(&mut self, now: Millis, out: &mut Vec<Decision>) {
        let slots = self.last_known_slots.unwrap_or(DEFAULT_SLOTS);
        let bound = slots.saturating_mul(self.limits.waiting_per_slot) as usize;
        while self.waiting.bounded_len() > bound {
            let Some(number) = self.waiting.shed_candidate(now, &self.classes) else {
                return;
            };
            let retry_after = self.retry_after(now, number);
            let waiter = self.remove_waiting_by_number(now, number);
            out.extend(waiter.map(|waiter| Decision::Shed {
                request: waiter.ask.request,
                holder: waiter.holder,
                retry_after,
            }));
        }
    }

    /// Estimates how long the waiting list takes to drain at the present rate
    /// of grants. The result is spread by half in each direction so that
    /// callers do not all retry at once.
    fn retry_after(&self, now: Millis, number: u64) -> Millis {
        let rate = self.grant_rate.per_ms(now).max(f64::MIN_POSITIVE);
        let spread = 0.5 + (splitmix64(number) % 1_000) as f64 / 1_000.0;
        let span = (self.waiting.len() as f64 / rate * spread).min(1e9);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let span = span as u64;
        Millis(span.clamp(*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end()))
    }

    fn reject_without_endpoints(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if self.endpoints.slots() > 0 {
            self.without_endpoints_since = None;
            return;
        }
        let since = *self.without_endpoints_since.get_or_insert(now);
        if now - since < self.limits.no_endpoint_timeout {
            return;
        }
        for number in self.waiting.numbers() {
            let waiter = self.remove_waiting_by_number(now, number);
            out.extend(waiter.map(|waiter| Decision::NoEndpoint {
                request: waiter.ask.request,
                holder: waiter.holder,
            }));
        }
    }
}
