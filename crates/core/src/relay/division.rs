//! Which engines of a service are for which sort of streams.
//!
//! A stream whose events must come in quick succession suffers from each prompt
//! that its engine reads beside it. So the engines stand in an order that all
//! entries share, and the first few are for steady streams, the others for long
//! prompts. How many depends on what both sorts need.

use crate::clock::Millis;
use crate::relay::Ask;
use crate::relay::Work;
use crate::relay::load_report::{self, RequiredRate};
use crate::relay::pace::Pace;
use crate::relay::roster::Endpoint;

/// How many prompt tokens an engine could read in the time that it takes for a token of
/// a stream at ease, beside some twenty others (50 in a ms, 6 ms): large engines and
/// small ones read faster and write faster alike. What differs from one make to the
/// next is left to [`Lateness`](crate::relay::lateness::Lateness).
const READ_FOR_WRITTEN: f64 = 300.0;
/// A stream is steady if it runs for so many times as long as its prompt is read.
const STEADY_RATIO: f64 = 15.0;
/// The part of an engine's slots that steady streams fill at ease.
const STEADY_FILL: f64 = 0.4;
/// The part of its time that an engine spends on reading prompts at ease.
const READING_FILL: f64 = 0.6;
/// How far the number of engines for steady streams may be from what is needed
/// before it changes, so that it does not move to and fro.
const SLACK: f64 = 0.7;
/// The part of a pause between two events that an engine may spend on reading.
const CALM_PART: f64 = 0.35;
/// The span over which demand is averaged, in ms.
const SPAN: f64 = 3_000.0;

/// What one entry's requests to a service need, averaged over a while.
#[derive(Debug, Default)]
pub struct Demand {
    needed: RequiredRate,
    at: Millis,
    steady: usize,
    /// The shortest pause that steady streams may have between two events.
    gap: Option<Millis>,
}

impl Demand {
    /// Counts a request of which so many prompt tokens must be read.
    pub fn add(&mut self, ask: &Ask<'_>, unread: u32, now: Millis) {
        let (Some(work), Some(engine)) = (ask.work, ask.engine) else {
            return;
        };
        self.needed = self.needed(now);
        self.at = now;
        if is_steady(work) {
            let slots = STEADY_FILL * f64::from(engine.slots.max(1));
            self.needed.steady += running_time(work) / slots / SPAN;
            self.gap = self.gap.min(ask.gap).or(ask.gap);
        } else {
            let reading = f64::from(unread);
            self.needed.prefill += reading / READING_FILL / SPAN;
        }
    }

    /// Counts how a stream ended.
    pub fn ended(&mut self, is_steady: bool, is_late: bool, now: Millis) {
        self.needed = self.needed(now);
        self.at = now;
        self.needed.lateness.count(is_steady, is_late);
    }

    /// How many tokens an engine may have to read before the pauses of its steady
    /// streams become too long.
    pub fn calm_tokens(&self, pace: &Pace) -> f64 {
        let gap = self.gap.map_or(f64::INFINITY, |gap| gap.0 as f64);
        CALM_PART * gap * pace.read_rate()
    }

    /// What this entry's requests ask of engines now.
    pub fn needed(&self, now: Millis) -> RequiredRate {
        let age = (now - self.at).0 as f64;
        let left = (-age / SPAN).exp();
        let mut lateness = self.needed.lateness;
        lateness.fade(left);
        RequiredRate {
            steady: self.needed.steady * left,
            prefill: self.needed.prefill * left,
            lateness,
        }
    }

    /// How many of the engines are for steady streams, given what the requests of
    /// other entries need.
    pub fn settle(&mut self, engines: usize, others: RequiredRate, now: Millis) -> usize {
        let own = self.needed(now);
        let mut lateness = own.lateness;
        lateness.add(&others.lateness);
        let steady = (own.steady + others.steady) * lateness.favour_steady();
        let all = steady + own.prefill + others.prefill;
        let wanted = if all > 0.0 {
            engines as f64 * steady / all
        } else {
            0.0
        };
        if (wanted - self.steady as f64).abs() > SLACK {
            // Between 0 and the number of engines.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let rounded = wanted.round() as usize;
            self.steady = rounded;
        }
        let least = usize::from(steady > 0.0);
        self.steady = self.steady.max(least).min(engines / 2);
        self.steady
    }
}

/// The engines of a service, divided in two.
#[derive(Debug)]
pub struct Division<'e> {
    engines: Vec<&'e Endpoint>,
    steady: usize,
}

impl<'e> Division<'e> {
    /// Puts the engines in order; the first few are for steady streams.
    pub fn new(endpoints: &[&'e Endpoint], steady: usize) -> Self {
        let mut engines = endpoints.to_vec();
        engines.sort_by_cached_key(|it| (load_report::life_hash(&it.life), it.life.clone()));
        Self { engines, steady }
    }

    /// All engines, in order, each with whether it is for steady streams.
    pub fn engines(&self) -> impl Iterator<Item = (&'e Endpoint, bool)> {
        let engines = self.engines.iter().enumerate();
        engines.map(|(place, engine)| (*engine, place < self.steady))
    }

    /// Whether the engines for steady streams are meant for a request.
    pub fn is_for_steady(&self, work: Option<&Work>) -> bool {
        self.steady > 0 && work.is_some_and(is_steady)
    }
}

/// Whether a request's answer runs much longer than its prompt is read.
pub fn is_steady(work: &Work) -> bool {
    running_time(work) >= STEADY_RATIO * f64::from(work.prompt_tokens)
}

/// How long an answer runs, in prompt tokens that could be read in that time.
fn running_time(work: &Work) -> f64 {
    f64::from(work.output()) * READ_FOR_WRITTEN
}
