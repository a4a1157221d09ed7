//! What one endpoint has to do, as far as this entry knows.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::relay::Ask;
use crate::relay::engine::Choice;
use crate::relay::engine::beat::Beat;
use crate::relay::fading::Fading;
use crate::relay::health::{Health, Sign};
use crate::relay::load_report::PeerLoad;
use crate::relay::pace::Pace;
use crate::relay::plan::Engine;
use crate::relay::prefix::Prefix;
use crate::relay::work::{Part, Work};

/// The price of one running request to one more, in ms: each step of the engine
/// takes about a tenth of a millisecond longer, over some tens of steps.
const RUNNING_COST: f64 = 2.0;
/// What a millisecond of reading a prompt costs the requests that come after it
/// and the streams beside it, in ms.
const READING_COST: f64 = 8.0;
/// The part of an engine's slots up to which one more request is no danger to
/// those that run: above it, a burst that the entries see late may overfill the
/// engine, and it would put requests back that had begun.
const EASE: f64 = 0.6;
/// The price of each request above that, in ms: at a fifth of the slots more it
/// exceeds the price of an engine of the other side.
const CROWDING_COST: f64 = 50.0;
/// From so many tokens on, reading takes most of the time to the first event, so that
/// this tells how fast an engine reads.
const LEAST_READ: f64 = 2_000.0;
/// An answer that comes sooner, in ms, shows that the prompt was kept after all: to
/// read so much takes longer on any engine.
const LEAST_TIME: f64 = 5.0;
/// What a millisecond costs for which a stream runs after its first event: it holds
/// a place and memory that others wait for, and is lost if the engine is.
const RUN_COST: f64 = 0.1;
/// An answer is overdue after so many times its expected wait, and a span in ms
/// that an endpoint may be busy with something else.
const OVERDUE_FACTOR: f64 = 2.0;
const OVERDUE_SLACK: f64 = 200.0;
/// The part of a shared prompt that the entries' common choice for it is
/// believed to keep.
const EXPECTED_KEPT: f64 = 0.9;
/// After so long a report of load counts for nothing.
const REPORT_LIFE: Millis = Millis(1_000);
/// Bounds of the factor by which an endpoint is slower than expected.
const SLOWNESS: (f64, f64) = (0.5, 20.0);

/// The load that an endpoint reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What one endpoint has to do.
#[derive(Debug)]
pub(super) struct Load {
    pub service: String,
    pub health: Health,
    /// The factor by which its answers take longer than expected.
    slowness: Fading,
    pub beat: Beat,
    flights: HashMap<u64, Flight>,
    prefix: Prefix,
    /// The last report, the own requests there at the time, and the time.
    report: Option<(Report, usize, Millis)>,
}

/// One request that is with the endpoint.
#[derive(Debug)]
struct Flight {
    began: Millis,
    /// The wait that was expected, in ms.
    expected: f64,
    /// Prompt tokens that are not read yet.
    unread: u32,
    /// Tokens of memory that it takes or will take.
    held: u32,
    answered: bool,
    /// What the engine had to read in all when it was sent, in tokens.
    ahead: f64,
    last_event: Option<Millis>,
}

/// What a request would meet at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Time until the first byte of its answer, in ms.
    pub wait: f64,
    /// The part of that which is known to be due to other requests, in ms.
    pub queue: f64,
    /// What other requests suffer, in ms.
    pub disturbance: f64,
    /// Prompt tokens that are believed to be kept there.
    pub kept: u32,
    /// Prompt tokens that the engine would have to read in all.
    pub unread: f64,
    /// Requests there, of all entries.
    pub running: f64,
    /// The time from the first event to the last, in ms.
    pub run: f64,
}

impl Flight {
    /// For how long, in ms, its answer is overdue.
    fn overdue(&self, now: Millis) -> f64 {
        let due = self.expected * OVERDUE_FACTOR + OVERDUE_SLACK;
        ((now - self.began).0 as f64 - due).max(0.0)
    }
}

impl Load {
    /// An endpoint with nothing to do; one with so many tokens of memory, if it is
    /// an engine.
    pub fn new(service: &str, memory_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            health: Health::default(),
            slowness: Fading::new(1.0),
            beat: Beat::default(),
            flights: HashMap::new(),
            prefix: Prefix::new(memory_tokens),
            report: None,
        }
    }

    /// The own requests there.
    pub fn running(&self) -> usize {
        self.flights.len()
    }

    /// Prompt tokens of the own requests that are not read yet.
    pub fn unread(&self) -> u32 {
        self.flights.values().map(|flight| flight.unread).sum()
    }

    /// Tokens of memory that the own requests take or will take.
    pub fn held(&self) -> u32 {
        self.flights.values().map(|flight| flight.held).sum()
    }

    /// For how long, in ms, the oldest request without an answer is overdue: the
    /// first sign of an endpoint that accepts requests and does nothing.
    pub fn overdue(&self, now: Millis) -> f64 {
        let waiting = self.flights.values().filter(|flight| !flight.answered);
        let overdue = waiting.map(|flight| flight.overdue(now));
        overdue.fold(0.0, f64::max)
    }

    /// Requests of other entries there, by the last report; it fades with age.
    pub fn reported_others(&self, now: Millis) -> f64 {
        let Some((report, own, at)) = self.report else {
            return 0.0;
        };
        let age = (now - at).0 as f64 / REPORT_LIFE.0 as f64;
        let all = f64::from(report.running + report.waiting);
        (all - own as f64).max(0.0) * (1.0 - age).max(0.0)
    }

    /// Takes the load that the endpoint reported.
    pub fn report(&mut self, report: Report, now: Millis) {
        self.report = Some((report, self.flights.len(), now));
    }

    /// Takes a request on.
    pub fn begin(&mut self, number: u64, choice: &Choice, ask: &Ask<'_>, now: Millis) {
        let parts: &[Part] = ask.work.map_or(&[], |work| &work.parts);
        self.prefix.touch(parts, now);
        let prompt = ask.work.map_or(0, |work| work.prompt_tokens);
        let output = ask.work.map_or(0, Work::output);
        let flight = Flight {
            began: now,
            expected: choice.wait,
            unread: prompt.saturating_sub(choice.kept),
            held: prompt + output,
            answered: false,
            ahead: choice.unread,
            last_event: None,
        };
        self.flights.insert(number, flight);
    }

    /// Notes the first byte of an answer: the prompt is read. Gives back how long
    /// it took, in ms; none if the request is not there.
    pub fn answered(&mut self, number: u64, pace: &mut Pace, now: Millis) -> Option<f64> {
        let flight = self.flights.get_mut(&number)?;
        flight.answered = true;
        flight.unread = 0;
        let took = (now - flight.began).0 as f64;
        if flight.ahead >= LEAST_READ && took >= LEAST_TIME {
            pace.read(flight.ahead, took);
        }
        let ratio = took / flight.expected.max(1.0);
        let sample = ratio * self.slowness.now(now);
        self.slowness
            .learn(sample.clamp(SLOWNESS.0, SLOWNESS.1), now);
        Some(took)
    }

    /// Notes an event of a stream; gives back the pause before it, in ms.
    pub fn event(&mut self, number: u64, now: Millis) -> Option<Millis> {
        let flight = self.flights.get_mut(&number)?;
        let last = flight.last_event.replace(now);
        last.map(|last| now - last)
    }

    /// The factor by which its answers take longer than expected.
    pub fn slowness(&self, now: Millis) -> f64 {
        self.slowness.now(now)
    }

    /// Takes a request off. One that ends while its answer is overdue tells
    /// against the endpoint, whoever ended it.
    pub fn end(&mut self, number: u64, now: Millis) {
        let Some(flight) = self.flights.remove(&number) else {
            return;
        };
        if !flight.answered && flight.overdue(now) > 0.0 {
            self.health.note(Sign::Bad, now);
        }
    }

    /// Takes in what a connection or an answer tells of the endpoint.
    pub fn note(&mut self, sign: Sign, now: Millis) {
        self.health.note(sign, now);
        if sign == Sign::Lost {
            self.prefix.clear();
        }
    }
}

/// What a request would meet at an engine, with what other entries have there.
pub(super) fn at_engine(
    load: Option<&Load>,
    others: PeerLoad,
    work: &Work,
    engine: Engine,
    is_favourite: bool,
    pace: &Pace,
    now: Millis,
) -> Estimate {
    let read_rate = pace.read_rate();
    let kept = kept(load, work, is_favourite);
    let unread = (f64::from(work.prompt_tokens) - kept).max(0.0);
    let ahead = load.map_or(0.0, |load| f64::from(load.unread())) + others.prefill_tokens;
    let running = load.map_or(0.0, |load| load.running() as f64) + others.running;
    let held = load.map_or(0.0, |load| f64::from(load.held())) + others.kv_tokens;
    let needed = held + f64::from(work.prompt_tokens + work.output());
    let lacking = (needed - f64::from(engine.memory_tokens)).max(0.0);
    let crowding = (running + 1.0 - EASE * f64::from(engine.slots)).max(0.0);
    let usual = pace.token_time(0.0);
    let token_time = load.map_or(usual, |load| load.beat.token_time(usual, now));
    let run = f64::from(work.output()) * token_time;
    // A sum of tokens that came from whole numbers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let kept = kept as u32;
    let queue = (ahead + lacking) / read_rate + running * RUNNING_COST;
    Estimate {
        wait: queue + unread / read_rate,
        queue,
        disturbance: READING_COST * unread / read_rate + crowding * CROWDING_COST + RUN_COST * run,
        kept,
        unread: ahead + unread,
        running,
        run,
    }
}

/// Prompt tokens that an engine is believed to keep: what this entry sent there,
/// or what all entries send to their common choice.
pub(super) fn kept(load: Option<&Load>, work: &Work, is_favourite: bool) -> f64 {
    let known = f64::from(known(load, work));
    if is_favourite {
        known.max(expected(work.shared_parts()))
    } else {
        known
    }
}

/// Prompt tokens that an engine keeps since this entry sent them there.
pub(super) fn known(load: Option<&Load>, work: &Work) -> u32 {
    load.map_or(0, |load| load.prefix.kept(&work.parts))
}

/// Prompt tokens of parts that the entries' common choice for them is believed to keep.
pub(super) fn expected(parts: &[Part]) -> f64 {
    let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
    EXPECTED_KEPT * f64::from(tokens)
}
