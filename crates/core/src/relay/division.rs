//! Partition of a service's engines between decode-heavy and prefill-heavy streams.
//!
//! Every prompt that an engine prefills delays the events of the streams that it decodes. The
//! engines are therefore put into an order that all entries share: the first few serve
//! decode-heavy streams (short prompts, long answers), the others serve prefill-heavy ones.
//! The numbers follow the demand of both kinds.

use crate::clock::Millis;
use crate::relay::RequestProfile;
use crate::relay::Work;
use crate::relay::engine_speed::EngineSpeed;
use crate::relay::load_report::{self, RequiredRate};
use crate::relay::roster::Endpoint;

/// Prompt tokens that an engine can prefill in the time of one output token at moderate load,
/// with about twenty other streams (50 tokens per ms, 6 ms per token). Large and small engines
/// are faster or slower at both alike. The remaining differences between models are corrected
/// by [`Lateness`](crate::relay::lateness::Lateness).
const PREFILL_TOKENS_PER_OUTPUT_TOKEN: f64 = 300.0;
/// A stream is decode-heavy if decoding its answer takes at least this many times as long as
/// prefilling its prompt.
const DECODE_HEAVY_RATIO: f64 = 15.0;
/// The share of an engine's slots that decode-heavy streams fill at the target load.
const TARGET_SLOT_UTILIZATION: f64 = 0.4;
/// The share of its time that an engine spends on prefill at the target load.
const TARGET_PREFILL_UTILIZATION: f64 = 0.6;
/// The number of engines for decode-heavy streams changes only if it differs from the target
/// by more than this, so that it does not oscillate.
const HYSTERESIS: f64 = 0.7;
/// The share of the gap between two events that an engine may spend on prefill.
const MAX_PREFILL_SHARE_OF_GAP: f64 = 0.35;
/// Time constant of the moving average of demand, in ms.
const SPAN: f64 = 3_000.0;

/// Moving average of the demand of one entry's requests to a service.
#[derive(Debug, Default)]
pub struct Demand {
    needed: RequiredRate,
    at: Millis,
    decode_engines: usize,
    /// The shortest event gap allowed by any decode-heavy stream.
    gap: Option<Millis>,
}

impl Demand {
    /// Adds the demand of a request for which `prefill_tokens` prompt tokens have to be
    /// prefilled.
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
            self.needed.prefill += reading / TARGET_PREFILL_UTILIZATION / SPAN;
        }
    }

    /// Records whether a stream was late.
    pub fn record_stream_end(&mut self, is_decode_heavy: bool, is_late: bool, now: Millis) {
        self.needed = self.needed(now);
        self.at = now;
        self.needed.lateness.record(is_decode_heavy, is_late);
    }

    /// The most tokens an engine may have left to prefill before the event gaps of its
    /// decode-heavy streams become too long.
    pub fn max_prefill_backlog(&self, speed: &EngineSpeed) -> f64 {
        let gap = self.gap.map_or(f64::INFINITY, |gap| gap.0 as f64);
        MAX_PREFILL_SHARE_OF_GAP * gap * speed.prefill_rate()
    }

    /// The current demand of this entry's requests.
    pub fn needed(&self, now: Millis) -> RequiredRate {
        let age = (now - self.at).0 as f64;
        let factor = (-age / SPAN).exp();
        let mut lateness = self.needed.lateness;
        lateness.decay(factor);
        RequiredRate {
            steady: self.needed.steady * factor,
            prefill: self.needed.prefill * factor,
            lateness,
        }
    }

    /// Returns how many of the engines serve decode-heavy streams, given the demand of the
    /// other entries as well.
    pub fn allocate(&mut self, engines: usize, others: RequiredRate, now: Millis) -> usize {
        let own = self.needed(now);
        let mut lateness = own.lateness;
        lateness.add(&others.lateness);
        let decode = (own.steady + others.steady) * lateness.decode_weight();
        let total = decode + own.prefill + others.prefill;
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

/// The engines of a service, divided into two groups.
#[derive(Debug)]
pub struct Partition<'e> {
    engines: Vec<&'e Endpoint>,
    decode_engines: usize,
}

impl<'e> Partition<'e> {
    /// Sorts the engines into the order that all entries share; the first `decode_engines` of
    /// them serve decode-heavy streams.
    pub fn new(endpoints: &[&'e Endpoint], decode_engines: usize) -> Self {
        let mut engines = endpoints.to_vec();
        engines.sort_by_cached_key(|it| (load_report::life_hash(&it.life), it.life.clone()));
        Self {
            engines,
            decode_engines,
        }
    }

    /// All engines in order, each with whether it serves decode-heavy streams.
    pub fn engines(&self) -> impl Iterator<Item = (&'e Endpoint, bool)> {
        let engines = self.engines.iter().enumerate();
        engines.map(|(index, engine)| (*engine, index < self.decode_engines))
    }

    /// Whether a request belongs on the engines for decode-heavy streams.
    pub fn uses_decode_engines(&self, work: Option<&Work>) -> bool {
        self.decode_engines > 0 && work.is_some_and(is_decode_heavy)
    }
}

/// Whether decoding the answer takes much longer than prefilling the prompt.
pub fn is_decode_heavy(work: &Work) -> bool {
    decode_time(work) >= DECODE_HEAVY_RATIO * f64::from(work.prompt_tokens)
}

/// The decoding time of the answer, in prompt tokens that could be prefilled meanwhile.
pub(super) fn decode_time(work: &Work) -> f64 {
    f64::from(work.expected_output()) * PREFILL_TOKENS_PER_OUTPUT_TOKEN
}
