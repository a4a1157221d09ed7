//! Which engines of a service are for which sort of streams.
//!
//! A stream whose events must come in quick succession suffers from each prompt
//! that its engine reads beside it. So the engines stand in an order that all
//! entries share, and the first few are for steady streams, the others for long
//! prompts. How many depends on what both sorts need.

use crate::clock::Millis;
use crate::relay::RequestProfile;
use crate::relay::Work;
use crate::relay::engine_speed::EngineSpeed;
use crate::relay::roster::Endpoint;
use crate::relay::tidings::{self, Needed};

/// How many prompt tokens an engine could read in the time that it takes for a token of
/// a stream at ease, beside some twenty others (50 in a ms, 6 ms): large engines and
/// small ones read faster and write faster alike. What differs from one make to the
/// next is left to [`Lateness`](crate::relay::lateness::Lateness).
const PREFILL_TOKENS_PER_OUTPUT_TOKEN: f64 = 300.0;
/// A stream is steady if it runs for so many times as long as its prompt is read.
const DECODE_HEAVY_RATIO: f64 = 15.0;
/// The part of an engine's slots that steady streams fill at ease.
const TARGET_SLOT_UTILIZATION: f64 = 0.4;
/// The part of its time that an engine spends on reading prompts at ease.
const TARGET_PREFILL_UTILIZATION: f64 = 0.6;
/// How far the number of engines for steady streams may be from what is needed
/// before it changes, so that it does not move to and fro.
const HYSTERESIS: f64 = 0.7;
/// The part of a pause between two events that an engine may spend on reading.
const MAX_PREFILL_SHARE_OF_GAP: f64 = 0.35;
/// The span over which demand is averaged, in ms.
const SPAN: f64 = 3_000.0;

/// What one entry's requests to a service need, averaged over a while.
#[derive(Debug, Default)]
pub struct Demand {
    needed: Needed,
    at: Millis,
    decode_engines: usize,
    /// The shortest pause that steady streams may have between two events.
    gap: Option<Millis>,
}

impl Demand {
    /// Counts a request of which so many prompt tokens must be read.
    pub fn record_request(
        &mut self,
        profile: &RequestProfile<'_>,
        prefill_tokens: u32,
        now: Millis,
    ) {
        let (Some(work), Some(engine)) = (profile.work, profile.engine) else {
            return;
        };
        self.needed = self.needed(now);
        self.at = now;
        if is_decode_heavy(work) {
            let slots = TARGET_SLOT_UTILIZATION * f64::from(engine.slots.max(1));
            self.needed.steady += decode_time(work) / slots / SPAN;
            self.gap = self.gap.min(profile.gap).or(profile.gap);
        } else {
            let reading = f64::from(prefill_tokens);
            self.needed.reading += reading / TARGET_PREFILL_UTILIZATION / SPAN;
        }
    }

    /// Counts how a stream ended.
    pub fn record_stream_end(&mut self, is_decode_heavy: bool, is_late: bool, now: Millis) {
        self.needed = self.needed(now);
        self.at = now;
        self.needed.lateness.record(is_decode_heavy, is_late);
    }

    /// How many tokens an engine may have to read before the pauses of its steady
    /// streams become too long.
    pub fn max_prefill_backlog(&self, speed: &EngineSpeed) -> f64 {
        let gap = self.gap.map_or(f64::INFINITY, |gap| gap.0 as f64);
        MAX_PREFILL_SHARE_OF_GAP * gap * speed.prefill_rate()
    }

    /// What this entry's requests ask of engines now.
    pub fn needed(&self, now: Millis) -> Needed {
        let age = (now - self.at).0 as f64;
        let factor = (-age / SPAN).exp();
        let mut lateness = self.needed.lateness;
        lateness.decay(factor);
        Needed {
            steady: self.needed.steady * factor,
            reading: self.needed.reading * factor,
            lateness,
        }
    }

    /// How many of the engines are for steady streams, given what the requests of
    /// other entries need.
    pub fn allocate(&mut self, engines: usize, others: Needed, now: Millis) -> usize {
        let own = self.needed(now);
        let mut lateness = own.lateness;
        lateness.add(&others.lateness);
        let decode = (own.steady + others.steady) * lateness.decode_weight();
        let total = decode + own.reading + others.reading;
        let wanted = if total > 0.0 {
            engines as f64 * decode / total
        } else {
            0.0
        };
        if (wanted - self.decode_engines as f64).abs() > HYSTERESIS {
            // Between 0 and the number of engines.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let rounded = wanted.round() as usize;
            self.decode_engines = rounded;
        }
        let least = usize::from(decode > 0.0);
        self.decode_engines = self.decode_engines.max(least).min(engines / 2);
        self.decode_engines
    }
}

/// The engines of a service, divided in two.
#[derive(Debug)]
pub struct Partition<'e> {
    engines: Vec<&'e Endpoint>,
    decode_engines: usize,
}

impl<'e> Partition<'e> {
    /// Puts the engines in order; the first few are for steady streams.
    pub fn new(endpoints: &[&'e Endpoint], decode_engines: usize) -> Self {
        let mut engines = endpoints.to_vec();
        engines.sort_by_cached_key(|it| (tidings::life_hash(&it.life), it.life.clone()));
        Self {
            engines,
            decode_engines,
        }
    }

    /// All engines, in order, each with whether it is for steady streams.
    pub fn engines(&self) -> impl Iterator<Item = (&'e Endpoint, bool)> {
        let engines = self.engines.iter().enumerate();
        engines.map(|(index, engine)| (*engine, index < self.decode_engines))
    }

    /// Whether the engines for steady streams are meant for a request.
    pub fn uses_decode_engines(&self, work: Option<&Work>) -> bool {
        self.decode_engines > 0 && work.is_some_and(is_decode_heavy)
    }
}

/// Whether a request's answer runs much longer than its prompt is read.
pub fn is_decode_heavy(work: &Work) -> bool {
    decode_time(work) >= DECODE_HEAVY_RATIO * f64::from(work.prompt_tokens)
}

/// How long an answer runs, in prompt tokens that could be read in that time.
fn decode_time(work: &Work) -> f64 {
    f64::from(work.expected_output()) * PREFILL_TOKENS_PER_OUTPUT_TOKEN
}
