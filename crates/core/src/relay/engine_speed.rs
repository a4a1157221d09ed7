//! The speed of a service's engines, estimated from the timing of their streams.
//!
//! Engines differ in prefill rate, in the duration of a decoding step and its growth with each
//! running request, and from one engine of a service to the next. The only data are the
//! arrival times of first and later events, so each figure is a median: it is robust against a
//! stall of this process, a single faulty engine, and requests whose engine had more work than
//! was known.
//!
//! Score over two days under load with engines that prefill about 30 tokens per ms, three runs
//! each: 0.70 and 0.57 with the estimate, 0.69 and 0.55 with the default of 50 tokens per ms.

use serde::{Deserialize, Serialize};

/// Prompt tokens that an engine prefills per ms, until samples arrive: between the rates of
/// large models (tens) and of small ones (hundreds).
const DEFAULT_PREFILL_RATE: f64 = 50.0;
/// The time that an engine takes per token of a stream, in ms, until samples arrive.
const DEFAULT_TOKEN_TIME: f64 = 6.0;
/// Running requests per group: steps take longer the more requests run, by about a hundredth
/// of a step for each.
const GROUP_SIZE: f64 = 16.0;
/// The number of groups; the last one has no upper bound.
const GROUPS: usize = 5;
/// The relative change of a median with each sample. It follows a change by half within about
/// twenty samples, and the remaining error is below a twentieth.
const STEP: f64 = 0.04;
/// With this many samples, a median is better than the reports of other entries.
const MIN_SAMPLES: u32 = 20;
/// The plausible ranges, in tokens per ms and in ms per token. No known engine lies outside
/// them, only measurement errors.
const PREFILL_RATE_RANGE: (f64, f64) = (1.0, 2_000.0);
const TOKEN_TIME_RANGE: (f64, f64) = (0.1, 500.0);

/// A running estimate of a median.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Median {
    value: f64,
    samples: u32,
}

impl Median {
    /// The estimate, if there are any samples.
    fn get(self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    fn record(&mut self, sample: f64) {
        // The first samples have more weight, so that the estimate converges quickly.
        let step = STEP.max(1.0 / f64::from(self.samples + 1));
        self.value = if self.samples == 0 {
            sample
        } else if sample > self.value {
            sample.min(self.value * (1.0 + step))
        } else {
            sample.max(self.value / (1.0 + step))
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Takes another entry's figure while there are too few samples.
    fn adopt(&mut self, value: f64) {
        if self.samples < MIN_SAMPLES {
            self.value = value;
            self.samples = MIN_SAMPLES / 2;
        }
    }

    /// The figure for other entries, or 0 while there are too few samples.
    fn report(self) -> f32 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        // The seven digits of an `f32` exceed the precision of the estimate.
        #[allow(clippy::cast_possible_truncation)]
        let value = self.value as f32;
        value
    }
}

/// The estimated speed of one service's engines.
///
/// ```
/// use woodgap_core::relay::engine_speed::EngineSpeed;
///
/// let mut speed = EngineSpeed::default();
/// for _ in 0..100 {
///     speed.record_prefill(4_000.0, 200.0);
/// }
/// assert!((speed.prefill_rate() - 20.0).abs() < 1.0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpeed {
    prefill_rate: Median,
    token_times: [Median; GROUPS],
}

/// The speed estimates that an entry sends to others: 0 stands for an unknown figure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    prefill_rate: f32,
    token_times: [f32; GROUPS],
}

impl EngineSpeed {
    /// Prompt tokens that an engine prefills per ms.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate.get().unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// The time per token, in ms, with `running` requests and no concurrent prefill. Without
    /// samples for that group, the next lower group with samples is used.
    pub fn token_time(&self, running: f64) -> f64 {
        let known = self.token_times[..=group(running)].iter().rev();
        let mut known = known.chain(&self.token_times);
        known.find_map(|it| it.get()).unwrap_or(DEFAULT_TOKEN_TIME)
    }

    /// Records that `tokens` prompt tokens, as far as known, were prefilled in `took` ms.
    pub fn record_prefill(&mut self, tokens: f64, took: f64) {
        let rate = tokens / took.max(1.0);
        self.prefill_rate
            .record(rate.clamp(PREFILL_RATE_RANGE.0, PREFILL_RATE_RANGE.1));
    }

    /// Records that a token took `took` ms with `running` requests.
    pub fn record_token(&mut self, running: f64, took: f64) {
        let took = took.clamp(TOKEN_TIME_RANGE.0, TOKEN_TIME_RANGE.1);
        self.token_times[group(running)].record(took);
    }

    /// The speed estimates for other entries.
    pub fn report(&self) -> SpeedReport {
        SpeedReport {
            prefill_rate: self.prefill_rate.report(),
            token_times: self.token_times.map(Median::report),
        }
    }

    /// Takes another entry's figures where this one has few samples, as after a start.
    pub fn adopt(&mut self, reported: &SpeedReport) {
        let own = self.token_times.iter_mut().chain([&mut self.prefill_rate]);
        let theirs = reported.token_times.iter().chain([&reported.prefill_rate]);
        for (own, theirs) in own.zip(theirs).filter(|(_, theirs)| **theirs > 0.0) {
            own.adopt(f64::from(*theirs));
        }
    }
}

fn group(running: f64) -> usize {
    // A small count of requests.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let group = (running / GROUP_SIZE) as usize;
    group.min(GROUPS - 1)
}
