//! Cost model and choice: the expected latency at each endpoint and its cost.

use crate::clock::Millis;
use crate::relay::RequestProfile;
use crate::relay::division::Partition;
use crate::relay::engine::candidates::PrefixOwners;
use crate::relay::engine::current::Occupancy;
use crate::relay::engine::load::{
    Estimate, Load, estimate_engine, expected_cached, expected_shared, known_cached,
};
use crate::relay::engine::source::PrefixSource;
use crate::relay::engine::{DEFAULT_SERVICE_TIME, LoadBalancer, candidates};
use crate::relay::engine_speed::EngineSpeed;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::work::Work;

/// The cost of stalling decode-heavy streams, in ms: higher than any wait.
const STALL_COST: f64 = 5_000.0;
/// The cost of an engine of the other group, in ms: a request waits this much longer in its
/// own group before it is sent to the other one.
const WRONG_GROUP_COST: f64 = 600.0;
/// The cost of an endpoint in another data centre, in ms: the round trip, and the traffic
/// between data centres, which is paid for. Prefilling a shared prompt again costs far more.
const REMOTE_COST: f64 = 5.0;
/// The cost of a certain failure, in ms: about the time that a caller waits before it is too
/// late for another attempt.
const FAILURE_COST: f64 = 2_000.0;
/// The cost of each millisecond for which an answer is overdue, in ms.
const OVERDUE_COST: f64 = 3.0;

/// Nearly all streams end within this multiple of their forecast: 90 % of 5,692 streams of a
/// run with bursts took at most 1.96 times as long as forecast.
const END_MARGIN: f64 = 2.0;

/// The selected endpoint, with the estimates that led to the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the first byte of the answer, in ms.
    pub expected_wait: f64,
    /// The part of the wait that is known to be due to other requests, in ms.
    pub queue: f64,
    /// The part of the wait that is a wait for a slot, in ms; 0 where the service is not
    /// scheduled.
    pub slot_wait: f64,
    /// Requests of this entry at the endpoint.
    pub own_running: usize,
    /// Known requests of all entries at the endpoint.
    pub running: f64,
    /// The time from the first event of the stream to the last, in ms.
    pub stream_time: f64,
    /// The total cost of the choice, in ms: the wait, and the delay of other requests.
    pub cost: f64,
    /// Prompt tokens that are expected to be cached there.
    pub cached_tokens: u32,
    /// An engine that has more of the prompt in its cache, from which the parts are fetched.
    pub prompt_source: Option<Endpoint>,
    /// Prompt tokens that the engine has to prefill then, including those of this request.
    pub prefill_tokens: f64,
}

impl Choice {
    /// Whether the answer is expected too late for a caller with this much time left.
    ///
    /// The measured slowness of an endpoint counts only while a request of this entry is there
    /// to correct it; otherwise the endpoint might be avoided forever.
    pub fn is_too_late(&self, remaining: Millis) -> bool {
        let remaining = remaining.0 as f64;
        self.queue > remaining || (self.own_running > 0 && self.expected_wait > remaining)
    }

    /// The time by which the answer has probably ended; `None` for a stream of unknown length.
    pub fn estimated_end(&self, is_stream: bool, now: Millis) -> Option<Millis> {
        if is_stream && self.stream_time <= 0.0 {
            return None;
        }
        let duration = (self.expected_wait + self.stream_time) * END_MARGIN;
        // A duration of some seconds.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let duration = Millis(duration as u64);
        Some(now + duration)
    }
}

/// The estimate for a request at an endpoint, and its total cost in ms.
#[derive(Clone, Copy, Debug)]
struct CostedEstimate {
    estimate: Estimate,
    cost: f64,
}

impl LoadBalancer {
    /// Selects the endpoint with the lowest cost; `None` if there is none or all are
    /// suspended.
    pub fn choose(
        &mut self,
        endpoints: &[&Endpoint],
        profile: &RequestProfile<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let open = endpoints.iter().filter(|it| !self.is_suspended(&it.life));
        let open: Vec<&Endpoint> = open.copied().collect();
        let partition = self.partition(&open, now);
        let speed = open.first().map(|it| self.speed(&it.service));
        let speed = speed.unwrap_or_default();
        let uses_decode_engines = partition.uses_decode_engines(profile.work);
        let owners = PrefixOwners::find(&partition, uses_decode_engines, profile);
        let preferred = owners.shared_prefix;
        let max_backlog = self.max_prefill_backlog(&open, &speed);
        let entries = self.peers.count(now) + 1;
        let candidates = candidates::sample(&partition, preferred, entries, self.next_seed());
        let choices = candidates.into_iter().map(|(engine, is_decode_engine)| {
            let is_preferred = preferred == Some(&engine.life);
            let mut costed = self.estimate(engine, profile, is_preferred, &speed, now);
            if is_decode_engine != uses_decode_engines {
                costed.cost += WRONG_GROUP_COST;
            }
            if is_decode_engine && costed.estimate.prefill_tokens > max_backlog {
                costed.cost += STALL_COST;
            }
            (engine, costed)
        });
        let best = choices.min_by(|(_, left), (_, right)| left.cost.total_cmp(&right.cost));
        let (endpoint, CostedEstimate { estimate, cost }) = best?;
        self.record_use(endpoint, now);
        let source = self.select_source(&open, endpoint, owners, profile);
        Some(Choice {
            endpoint: endpoint.clone(),
            expected_wait: estimate.expected_wait,
            queue: estimate.queue,
            slot_wait: estimate.slot_wait,
            own_running: self.own_running(&endpoint.life),
            running: estimate.running,
            stream_time: estimate.stream_time,
            cost,
            cached_tokens: estimate.cached_tokens,
            prompt_source: source.cloned(),
            prefill_tokens: estimate.prefill_tokens,
        })
    }

    /// The engine from which the selected one fetches cached parts of the prompt, if the
    /// service's engines support such transfers.
    fn select_source<'e>(
        &self,
        engines: &[&'e Endpoint],
        chosen: &Endpoint,
        owners: PrefixOwners<'_>,
        profile: &RequestProfile<'_>,
    ) -> Option<&'e Endpoint> {
        let work = profile.work?;
        profile.engine.filter(|engine| engine.moves_prompts)?;
        let others = engines.iter().filter(|it| it.life != chosen.life);
        let sources = others.map(|engine| PrefixSource {
            engine,
            cached: self.available_from(engine, owners, work),
        });
        let best = sources.max_by(|left, right| left.cached.total_cmp(&right.cached))?;
        let known = known_cached(self.endpoints.get(&chosen.life), work);
        best.serves(known).then_some(best.engine)
    }

    /// The prompt tokens expected in an engine's cache that other engines could fetch.
    fn available_from(&self, engine: &Endpoint, owners: PrefixOwners<'_>, work: &Work) -> f64 {
        let load = self.endpoints.get(&engine.life);
        let cached = expected_cached(load, work, owners.shared_prefix == Some(&engine.life));
        if owners.first_part != Some(&engine.life) {
            return cached;
        }
        let first = work.shared_parts().get(..1).unwrap_or_default();
        cached.max(expected_shared(first))
    }

    fn next_seed(&mut self) -> u64 {
        self.draws += 1;
        prefix::mix(self.seed, self.draws)
    }

    /// The most tokens an engine may have left to prefill before its decode-heavy streams
    /// stall.
    fn max_prefill_backlog(&self, endpoints: &[&Endpoint], speed: &EngineSpeed) -> f64 {
        let first = endpoints.first();
        let demand = first.and_then(|it| self.demand_by_service.get(&it.service));
        demand.map_or(f64::INFINITY, |demand| demand.max_prefill_backlog(speed))
    }

    /// Divides the engines of a service between decode-heavy and prefill-heavy streams.
    fn partition<'e>(&mut self, endpoints: &[&'e Endpoint], now: Millis) -> Partition<'e> {
        let Some(first) = endpoints.first() else {
            return Partition::new(endpoints, 0);
        };
        let peers = self.peers.required_rate(&first.service, now);
        let demand = self.demand_by_service.get_mut(&first.service);
        let decode_engines =
            demand.map_or(0, |demand| demand.allocate(endpoints.len(), peers, now));
        Partition::new(endpoints, decode_engines)
    }

    fn estimate(
        &self,
        endpoint: &Endpoint,
        profile: &RequestProfile<'_>,
        is_preferred: bool,
        speed: &EngineSpeed,
        now: Millis,
    ) -> CostedEstimate {
        let load = self.endpoints.get(&endpoint.life);
        let is_scheduled = self.reports.is_scheduled(&endpoint.service);
        let mut estimate = match (profile.work, profile.engine) {
            (Some(work), Some(engine)) => {
                let mut peers = self
                    .peers
                    .load_at(&endpoint.life, speed.prefill_rate(), now);
                if is_scheduled {
                    let occupancy = Occupancy::of_engine(engine.slots);
                    let own = self.own_running(&endpoint.life) as f64;
                    peers.running = self.remaining_at(&endpoint.life, occupancy, now) - own;
                }
                estimate_engine(load, peers, work, engine, is_preferred, speed, now)
            }
            _ if is_scheduled => self.estimate_scheduled_service(endpoint, now),
            _ => self.estimate_service(load, endpoint, now),
        };
        if is_scheduled {
            let slots = profile.engine.map_or(endpoint.slots, |engine| engine.slots);
            estimate = self.with_slot_wait(estimate, &endpoint.service, slots);
            estimate = estimate.slowed(self.slowdown(&endpoint.life, now));
        }
        let slowness = load.map_or(1.0, |load| load.slowness(now));
        let failing = load.map_or(0.0, |load| load.health.failure_rate());
        let overdue = load.map_or(0.0, |load| load.overdue(now));
        let is_remote = endpoint.data_centre != self.data_centre;
        let remote = if is_remote { REMOTE_COST } else { 0.0 };
        let expected_wait = estimate.expected_wait * slowness;
        let failure_cost = failing * FAILURE_COST + overdue * OVERDUE_COST;
        CostedEstimate {
            estimate: Estimate {
                expected_wait,
                ..estimate
            },
            cost: expected_wait + estimate.disturbance + remote + failure_cost,
        }
    }

    /// The mean time of a request to a plain service, in ms.
    pub(super) fn service_time(&self, service: &str, now: Millis) -> f64 {
        let time = self.service_time.get(service);
        time.map_or(DEFAULT_SERVICE_TIME, |time| time.value_at(now))
    }

    /// The estimate for a request at an endpoint of a plain service.
    fn estimate_service(&self, load: Option<&Load>, endpoint: &Endpoint, now: Millis) -> Estimate {
        let time = self.service_time(&endpoint.service, now);
        let own = load.map_or(0.0, |load| load.running() as f64);
        let peers = load.map_or(0.0, |load| load.reported_others(now));
        let slots = f64::from(endpoint.slots.max(1));
        let waiting = (own + peers) / slots;
        Estimate {
            expected_wait: time * (1.0 + waiting),
            queue: DEFAULT_SERVICE_TIME * waiting,
            slot_wait: 0.0,
            disturbance: 0.0,
            cached_tokens: 0,
            prefill_tokens: 0.0,
            stream_time: 0.0,
            running: own + peers,
        }
    }
}
