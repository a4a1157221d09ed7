//! The known load of one endpoint.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::relay::RequestProfile;
use crate::relay::engine::Choice;
use crate::relay::engine::endpoint_report::{REPORT_LIFETIME, Report};
use crate::relay::engine::token_timing::TokenTiming;
use crate::relay::engine_speed::EngineSpeed;
use crate::relay::fading::DecayingAverage;
use crate::relay::health::{Health, HealthSignal};
use crate::relay::load_report::PeerLoad;
use crate::relay::plan::Engine;
use crate::relay::prefix::PrefixCache;
use crate::relay::work::{Part, Work};

/// The cost that one running request adds for another one, in ms: each step of the engine
/// takes about 0.1 ms longer, over some tens of steps.
const RUNNING_COST: f64 = 2.0;
/// The cost of a millisecond of prefill, in ms, for the requests queued behind it and the
/// streams decoded beside it.
const PREFILL_COST: f64 = 8.0;
/// The share of an engine's slots up to which another request does not endanger the running
/// ones. Above it, a burst that entries notice late may overfill the engine, which then
/// preempts requests that have begun.
const CROWDING_THRESHOLD: f64 = 0.6;
/// The cost of each request above the threshold, in ms: at a fifth of the slots more it
/// exceeds the cost of an engine of the other group.
const CROWDING_COST: f64 = 50.0;
/// From this many tokens on, prefill dominates the time to the first event, which then shows
/// the prefill rate.
const MIN_PREFILL_SAMPLE: f64 = 2_000.0;
/// A faster answer, in ms, shows that the prompt was cached after all: prefilling so many
/// tokens takes longer on any engine.
const MIN_PREFILL_TIME: f64 = 5.0;
/// The cost of a millisecond for which a stream runs after its first event: it holds a slot
/// and memory that others wait for, and is lost if the engine fails.
const STREAM_TIME_COST: f64 = 0.1;
/// An answer is overdue after this multiple of its expected wait plus a slack in ms for an
/// endpoint that is briefly busy with something else.
const OVERDUE_FACTOR: f64 = 2.0;
const OVERDUE_SLACK: f64 = 200.0;
/// An endpoint whose answer is overdue by this much is suspected to be out of reach, in ms: a sound
/// one may pause for some hundred.
const SILENCE: f64 = 300.0;
/// The time between two suspicions.
const SUSPICION_INTERVAL: Millis = Millis(1_000);
/// The share of a shared prefix that is expected in the cache of its owner.
const EXPECTED_CACHED_SHARE: f64 = 0.9;
/// The range of the factor by which an endpoint is slower than expected.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 20.0);

/// The load of one endpoint.
#[derive(Debug)]
pub(super) struct Load {
    pub service: String,
    pub health: Health,
    /// The factor by which its answers take longer than expected.
    slowness: DecayingAverage,
    pub token_timing: TokenTiming,
    in_flight: HashMap<u64, InFlight>,
    prefix_cache: PrefixCache,
    /// The last report, the number of own requests there at that time, and the time.
    report: Option<(Report, usize, Millis)>,
    /// When it was last suspected to be out of reach.
    suspected_at: Option<Millis>,
}

/// One request that is in flight at the endpoint.
#[derive(Debug)]
struct InFlight {
    began: Millis,
    /// The expected wait, in ms.
    expected: f64,
    /// The part of it that is a wait for a slot, in ms.
    slot_wait: f64,
    /// Prompt tokens that are not prefilled yet.
    pending_prefill: u32,
    /// Memory that it uses or will use, in tokens.
    reserved_tokens: u32,
    has_answered: bool,
    /// Prompt tokens that the engine had to prefill when the request was sent, its own
    /// included.
    prefill_ahead: f64,
    last_event: Option<Millis>,
}

/// The estimate for a request at one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Time until the first byte of its answer, in ms.
    pub expected_wait: f64,
    /// The part of the wait that is known to be due to other requests, in ms.
    pub queue: f64,
    /// The part of it that is a wait for a slot, in ms.
    pub slot_wait: f64,
    /// The delay of other requests, in ms.
    pub disturbance: f64,
    /// Prompt tokens that are expected to be cached there.
    pub cached_tokens: u32,
    /// Prompt tokens that the engine would have to prefill in total.
    pub prefill_tokens: f64,
    /// Requests of all entries there.
    pub running: f64,
    /// The time from the first event to the last, in ms.
    pub stream_time: f64,
}

impl InFlight {
    /// The time for which its answer is overdue, in ms.
    fn overdue(&self, now: Millis) -> f64 {
        let deadline = self.expected * OVERDUE_FACTOR + OVERDUE_SLACK;
        ((now - self.began).0 as f64 - deadline).max(0.0)
    }
}

impl Load {
    /// Creates the state of an idle endpoint; `memory_tokens` is the memory of an engine.
    pub fn new(service: &str, memory_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            health: Health::default(),
            slowness: DecayingAverage::new(1.0),
            token_timing: TokenTiming::default(),
            in_flight: HashMap::new(),
            prefix_cache: PrefixCache::new(memory_tokens),
            report: None,
            suspected_at: None,
        }
    }

    /// The number of own requests there.
    pub fn running(&self) -> usize {
        self.in_flight.len()
    }

    /// The number of own requests there that began after this time.
    pub fn begun_since(&self, time: Millis) -> usize {
        let requests = self.in_flight.values();
        requests.filter(|request| request.began > time).count()
    }

    /// Prompt tokens of the own requests that are not prefilled yet.
    pub fn pending_prefill(&self) -> u32 {
        self.in_flight
            .values()
            .map(|request| request.pending_prefill)
            .sum()
    }

    /// Memory that the own requests use or will use, in tokens.
    pub fn reserved_tokens(&self) -> u32 {
        self.in_flight
            .values()
            .map(|request| request.reserved_tokens)
            .sum()
    }

    /// The time, in ms, for which the most overdue request waits for its answer: the first
    /// sign of an endpoint that accepts requests and does nothing.
    pub fn overdue(&self, now: Millis) -> f64 {
        let waiting = self
            .in_flight
            .values()
            .filter(|request| !request.has_answered);
        let overdue = waiting.map(|request| request.overdue(now));
        overdue.fold(0.0, f64::max)
    }

    /// Whether the endpoint has been silent for long enough to suspect that it is out of reach, and
    /// was not suspected just before.
    pub fn suspect(&mut self, now: Millis) -> bool {
        let is_recent = self
            .suspected_at
            .is_some_and(|at| now - at < SUSPICION_INTERVAL);
        if is_recent || self.health.is_suspended() || self.overdue(now) < SILENCE {
            return false;
        }
        self.suspected_at = Some(now);
        true
    }

    /// Requests of other entries there by the last report, decreasing with its age.
    pub fn reported_others(&self, now: Millis) -> f64 {
        let Some((report, own, at)) = self.report else {
            return 0.0;
        };
        let age = (now - at).0 as f64 / REPORT_LIFETIME.0 as f64;
        let all = f64::from(report.running + report.waiting);
        (all - own as f64).max(0.0) * (1.0 - age).max(0.0)
    }

    /// Records the load that the endpoint reported.
    pub fn record_report(&mut self, report: Report, now: Millis) {
        self.report = Some((report, self.in_flight.len(), now));
    }

    /// Adds a request.
    pub fn begin(
        &mut self,
        number: u64,
        choice: &Choice,
        profile: &RequestProfile<'_>,
        now: Millis,
    ) {
        let parts: &[Part] = profile.work.map_or(&[], |work| &work.parts);
        self.prefix_cache.record(parts, now);
        let prompt = profile.work.map_or(0, |work| work.prompt_tokens);
        let output = profile.work.map_or(0, Work::expected_output);
        let request = InFlight {
            began: now,
            expected: choice.expected_wait,
            slot_wait: choice.slot_wait,
            pending_prefill: prompt.saturating_sub(choice.cached_tokens),
            reserved_tokens: prompt + output,
            has_answered: false,
            prefill_ahead: choice.prefill_tokens,
            last_event: None,
        };
        self.in_flight.insert(number, request);
    }

    /// Records the first byte of an answer that is no refusal, which ends the prefill. Returns how
    /// long it took without the expected wait for a slot, in ms, or `None` if the request is
    /// unknown.
    pub fn record_first_byte(
        &mut self,
        number: u64,
        speed: &mut EngineSpeed,
        now: Millis,
    ) -> Option<f64> {
        let request = self.in_flight.get_mut(&number)?;
        request.has_answered = true;
        request.pending_prefill = 0;
        let took = (now - request.began).0 as f64;
        let worked = (took - request.slot_wait).max(0.0);
        if request.prefill_ahead >= MIN_PREFILL_SAMPLE && worked >= MIN_PREFILL_TIME {
            speed.record_prefill(request.prefill_ahead, worked);
        }
        let ratio = took / request.expected.max(1.0);
        let sample = ratio * self.slowness.value_at(now);
        self.slowness
            .record(sample.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1), now);
        Some(worked)
    }

    /// Records that the endpoint refused a request: its prompt is not prefilled there. How soon it
    /// said so shows nothing about its speed.
    pub fn record_refusal(&mut self, number: u64) {
        if let Some(request) = self.in_flight.get_mut(&number) {
            request.has_answered = true;
            request.pending_prefill = 0;
        }
    }

    /// Records an event of a stream. Returns the gap before it, in ms.
    pub fn record_event(&mut self, number: u64, now: Millis) -> Option<Millis> {
        let request = self.in_flight.get_mut(&number)?;
        let last = request.last_event.replace(now);
        last.map(|last| now - last)
    }

    /// The factor by which its answers take longer than expected.
    pub fn slowness(&self, now: Millis) -> f64 {
        self.slowness.value_at(now)
    }

    /// Removes a request. If its answer is overdue, that counts as a failure of the endpoint,
    /// whichever side ended it. Returns how long an answered request held a slot, in ms.
    pub fn end(&mut self, number: u64, now: Millis) -> Option<f64> {
        let request = self.in_flight.remove(&number)?;
        if !request.has_answered && request.overdue(now) > 0.0 {
            self.health.record(HealthSignal::Failure, now);
        }
        let held = (now - request.began).0 as f64 - request.slot_wait;
        request.has_answered.then_some(held.max(0.0))
    }

    /// Records what a connection or an answer shows about the endpoint.
    pub fn record_signal(&mut self, signal: HealthSignal, now: Millis) {
        self.health.record(signal, now);
        if signal == HealthSignal::Lost {
            self.prefix_cache.clear();
        }
    }
}

/// The estimate for a request at an engine, including the load of other entries there.
pub(super) fn estimate_engine(
    load: Option<&Load>,
    peers: PeerLoad,
    work: &Work,
    engine: Engine,
    is_preferred: bool,
    speed: &EngineSpeed,
    now: Millis,
) -> Estimate {
    let prefill_rate = speed.prefill_rate();
    let cached_tokens = expected_cached(load, work, is_preferred);
    let own_prefill = (f64::from(work.prompt_tokens) - cached_tokens).max(0.0);
    let ahead = load.map_or(0.0, |load| f64::from(load.pending_prefill())) + peers.prefill_tokens;
    let running = load.map_or(0.0, |load| load.running() as f64) + peers.running;
    let reserved = load.map_or(0.0, |load| f64::from(load.reserved_tokens())) + peers.kv_tokens;
    let needed = reserved + f64::from(work.prompt_tokens + work.expected_output());
    let memory_shortfall = (needed - f64::from(engine.memory_tokens)).max(0.0);
    let crowding = (running + 1.0 - CROWDING_THRESHOLD * f64::from(engine.slots)).max(0.0);
    let baseline = speed.token_time(0.0);
    let token_time = load.map_or(baseline, |load| load.token_timing.token_time(baseline, now));
    let stream_time = f64::from(work.expected_output()) * token_time;
    // A sum of tokens that were whole numbers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let cached_tokens = cached_tokens as u32;
    let queue = (ahead + memory_shortfall) / prefill_rate + running * RUNNING_COST;
    Estimate {
        expected_wait: queue + own_prefill / prefill_rate,
        queue,
        slot_wait: 0.0,
        disturbance: PREFILL_COST * own_prefill / prefill_rate
            + crowding * CROWDING_COST
            + STREAM_TIME_COST * stream_time,
        cached_tokens,
        prefill_tokens: ahead + own_prefill,
        running,
        stream_time,
    }
}

/// Prompt tokens that are expected in an engine's cache: those that this entry sent there, or,
/// on the preferred engine, the shared prefix that all entries send there.
pub(super) fn expected_cached(load: Option<&Load>, work: &Work, is_preferred: bool) -> f64 {
    let known = f64::from(known_cached(load, work));
    if is_preferred {
        known.max(expected_shared(work.shared_parts()))
    } else {
        known
    }
}

/// Prompt tokens in an engine's cache because this entry sent them there.
pub(super) fn known_cached(load: Option<&Load>, work: &Work) -> u32 {
    load.map_or(0, |load| load.prefix_cache.cached_tokens(&work.parts))
}

/// Tokens of shared parts that are expected in the cache of their owner.
pub(in crate::relay) fn expected_shared(parts: &[Part]) -> f64 {
    let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
    EXPECTED_CACHED_SHARE * f64::from(tokens)
}
