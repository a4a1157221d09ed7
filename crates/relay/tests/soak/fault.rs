//! Which faults a seed brings, and when.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::process::GRACE;
use crate::proxy::Mode;

/// How long faults begin, in ms.
const SPAN: u64 = 6_000;
/// How many faults begin in that time.
const COUNT: std::ops::RangeInclusive<usize> = 8..=16;
/// How long one lasts, in ms.
const LASTS: std::ops::RangeInclusive<u64> = 200..=2_500;
/// How many times as long one of the platform lasts: entries must outlive the bound on
/// removed keys without it.
const PLATFORM_LASTS: u32 = 3;
/// The pause between two steps of a series through three entries, in ms.
const SERIES_GAP: u64 = 400;
/// From so many entries on, many are also killed or told to stop at the same moment.
const HERD_FROM: usize = 9;
/// How many such moments there are, and the part of the entries that each strikes.
const HERDS: std::ops::RangeInclusive<usize> = 1..=2;
const HERD_PART: usize = 3;
/// Within which time a herd is struck, in ms.
const HERD_SPAN: u64 = 200;

/// How many series of stops come on top, and within which time they begin, in ms.
const SERIES: std::ops::RangeInclusive<usize> = 1..=2;
const SERIES_SPAN: u64 = 4_000;
/// How many restarts of endpoints come on top.
const RESTARTS: std::ops::RangeInclusive<usize> = 4..=8;
/// How long an endpoint is gone that a request has ended, in ms.
const REVIVAL_GAP: std::ops::Range<u64> = 100..800;
/// How long an endpoint that starts again does not listen, in ms.
const RESTART_GAP: std::ops::RangeInclusive<u64> = 5..=80;
/// How long after it listens again its row may be written, in ms.
const LISTED_LATE: std::ops::RangeInclusive<u64> = 100..=800;
/// How long before its connections are reset its row may be written, in ms: relays learn of
/// it within 100.
const LISTED_EARLY: std::ops::RangeInclusive<u64> = 100..=400;
/// How many writes of rows that can't be used come on top.
const ROWS: std::ops::RangeInclusive<usize> = 4..=7;
/// How many of these rows are written at once, at most.
const MOST_LITTER: usize = 400;
/// How long the row of an endpoint can't be used, in ms.
const SPOILT: std::ops::RangeInclusive<u64> = 100..=900;

/// How many endpoints name a rate limit, from when to when, in ms, and of how many requests in
/// ten seconds. It outlasts the other faults, as it is judged only where nothing befalls an entry
/// for some seconds.
const LIMITS: std::ops::RangeInclusive<usize> = 0..=2;
const LIMIT_START: std::ops::RangeInclusive<u64> = 3_000..=5_000;
const LIMIT_LASTS: u64 = 9_500;
const LIMIT: std::ops::RangeInclusive<u32> = 0..=60;

/// How many times an endpoint turns all away for a while, when that begins, and how long it lasts,
/// in ms.
const OVERLOADS: std::ops::RangeInclusive<usize> = 0..=2;
const OVERLOAD_START: std::ops::RangeInclusive<u64> = 2_000..=7_000;
const OVERLOAD_LASTS: u64 = 1_500;

/// When all endpoints become brittle, in runs in which they do, and for how long, in ms. It
/// outlasts the other faults for the same reason as a limit.
const BRITTLE_RUNS: f64 = 0.5;
const BRITTLE_START: std::ops::RangeInclusive<u64> = 1_000..=4_000;
const BRITTLE_LASTS: u64 = 9_500;

/// The grace of a stop, in ms.
const GRACE_MS: u64 = GRACE.as_secs() * 1_000;

/// A fault, or a change that a run must bear.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Connections to an endpoint misbehave.
    EndpointPath(usize, Mode),
    /// Connections to the platform misbehave.
    PlatformPath(Mode),
    /// The platform misbehaves.
    Platform(Value),
    /// An entry is frozen.
    Freeze(usize),
    /// An entry is killed and started again.
    Kill(usize),
    /// An entry is told to stop and started again.
    Stop(usize),
    /// A key is removed.
    Revoke,
    /// The plan gets more routes.
    Grow,
    /// An endpoint leaves, and another one comes.
    Replace(usize),
    /// An endpoint starts again under its name and address.
    Restart(usize, Restart),
    /// So many rows that can't be used are written beside the others.
    Litter(usize),
    /// The row of an endpoint can't be used for a while.
    Spoil(usize),
    /// The answers of an endpoint name a rate limit for a while, in requests per ten seconds.
    Limit(usize, u32),
    /// An endpoint turns every request away for a while, and asks for a back-off.
    Overload(usize),
    /// All endpoints say for a while that they fail if they turn many requests away.
    Brittle,
}

/// How an endpoint starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// How long it does not listen.
    pub gap: Duration,
    /// When its row is written.
    pub listed: Listed,
    /// Whether it starts once more before its row is written.
    pub is_twice: bool,
}

/// When the row of an endpoint that starts again is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// So long before its connections are reset, as when their loss shows late.
    Early(Duration),
    /// While it does not listen yet.
    Before,
    /// So long after it listens again.
    After(Duration),
}

impl Event {
    fn new(at: u64, lasts: u64, fault: Fault) -> Self {
        Self {
            at: Duration::from_millis(at),
            lasts: Duration::from_millis(lasts),
            fault,
        }
    }
}

/// A fault and its time, from the beginning of the faults.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

/// Draws the faults of a run with so many entries and endpoints.
pub fn draw(random: &mut ChaCha8Rng, entries: usize, endpoints: usize) -> Vec<Event> {
    let count = random.random_range(COUNT);
    let mut events = Vec::new();
    for _ in 0..count {
        let at = random.random_range(0..SPAN);
        let lasts = Duration::from_millis(random.random_range(LASTS));
        let fault = one(random, entries, endpoints);
        let all = match fault {
            Fault::Stop(_) if random.random_bool(0.5) => (0..entries).map(Fault::Stop).collect(),
            Fault::Kill(_) if random.random_bool(0.3) => (0..entries).map(Fault::Kill).collect(),
            other => vec![other],
        };
        let steps = all.len() as u64;
        for (step, fault) in all.into_iter().enumerate() {
            // A series through any number of entries takes as long as one through three.
            let gap = SERIES_GAP.min(3 * SERIES_GAP / steps);
            let at = Duration::from_millis(at + step as u64 * gap);
            let is_platform = matches!(fault, Fault::PlatformPath(_) | Fault::Platform(_));
            let lasts = lasts * if is_platform { PLATFORM_LASTS } else { 1 };
            events.push(Event { at, lasts, fault });
        }
    }
    events
}

/// Draws series of stops that overlap with other faults of entries, or with one another.
pub fn draw_stops(random: &mut ChaCha8Rng, entries: usize) -> Vec<Event> {
    let count = random.random_range(SERIES);
    (0..count).flat_map(|_| stops(random, entries)).collect()
}

/// Draws moments at which a part of a large fleet is killed or told to stop.
pub fn draw_herds(random: &mut ChaCha8Rng, entries: usize) -> Vec<Event> {
    if entries < HERD_FROM {
        return Vec::new();
    }
    let count = random.random_range(HERDS);
    (0..count).flat_map(|_| herd(random, entries)).collect()
}

fn herd(random: &mut ChaCha8Rng, entries: usize) -> Vec<Event> {
    let at = random.random_range(0..SERIES_SPAN);
    let strike = *[Fault::Kill, Fault::Stop]
        .choose(random)
        .expect("there are faults");
    let struck = sample(random, entries, entries / HERD_PART);
    let one = |slot| Event::new(at + random.random_range(0..HERD_SPAN), 0, strike(slot));
    struck.into_iter().map(one).collect()
}

/// Draws endpoints that start again, some more than once.
pub fn draw_restarts(random: &mut ChaCha8Rng, endpoints: usize) -> Vec<Event> {
    let count = random.random_range(RESTARTS);
    let one = |_| {
        let at = random.random_range(0..SPAN);
        let endpoint = random.random_range(0..endpoints);
        let gap = random.random_range(RESTART_GAP);
        let late = random.random_range(LISTED_LATE);
        let early = random.random_range(LISTED_EARLY);
        let listed = match random.random_range(0..4) {
            0 => Listed::Before,
            1 => Listed::After(Duration::ZERO),
            2 => Listed::Early(Duration::from_millis(early)),
            _ => Listed::After(Duration::from_millis(late)),
        };
        let restart = Restart {
            gap: Duration::from_millis(gap),
            listed,
            is_twice: random.random_bool(0.3),
        };
        Event::new(at, 0, Fault::Restart(endpoint, restart))
    };
    (0..count).map(one).collect()
}

/// Draws how an endpoint starts again that a request has ended: not before some time, as one
/// that has crashed loads its model again.
pub fn draw_revival(random: &mut ChaCha8Rng) -> Restart {
    let gap = random.random_range(REVIVAL_GAP);
    let late = random.random_range(LISTED_LATE);
    Restart {
        gap: Duration::from_millis(gap),
        listed: Listed::After(Duration::from_millis(late)),
        is_twice: false,
    }
}

/// Draws rows that can't be used, beside sound ones and over them.
pub fn draw_rows(random: &mut ChaCha8Rng, endpoints: usize) -> Vec<Event> {
    let count = random.random_range(ROWS);
    let one = |_| {
        let at = random.random_range(0..SPAN);
        let lasts = random.random_range(SPOILT);
        let fault = match random.random_range(0..4) {
            0 => Fault::Litter(MOST_LITTER),
            1 => Fault::Litter(random.random_range(1..=10)),
            _ => Fault::Spoil(random.random_range(0..endpoints)),
        };
        Event::new(at, lasts, fault)
    };
    (0..count).map(one).collect()
}

/// Draws endpoints that name a rate limit.
pub fn draw_limits(random: &mut ChaCha8Rng, endpoints: usize) -> Vec<Event> {
    let count = random.random_range(LIMITS);
    let one = |endpoint| {
        let at = random.random_range(LIMIT_START);
        let per_ten_seconds = random.random_range(LIMIT);
        Event::new(at, LIMIT_LASTS, Fault::Limit(endpoint, per_ten_seconds))
    };
    (0..count.min(endpoints)).map(one).collect()
}

/// Draws endpoints that turn every request away for a while.
pub fn draw_overloads(random: &mut ChaCha8Rng, endpoints: usize) -> Vec<Event> {
    let count = random.random_range(OVERLOADS);
    let one = |_| {
        let at = random.random_range(OVERLOAD_START);
        Event::new(
            at,
            OVERLOAD_LASTS,
            Fault::Overload(random.random_range(0..endpoints)),
        )
    };
    (0..count).map(one).collect()
}

/// Draws whether all endpoints become brittle for a while.
pub fn draw_brittle(random: &mut ChaCha8Rng) -> Option<Event> {
    let at = random.random_range(BRITTLE_START);
    let event = Event::new(at, BRITTLE_LASTS, Fault::Brittle);
    random.random_bool(BRITTLE_RUNS).then_some(event)
}

fn stops(random: &mut ChaCha8Rng, entries: usize) -> Vec<Event> {
    let slot = random.random_range(0..entries);
    let other = (slot + random.random_range(1..entries)) % entries;
    let at = random.random_range(0..SERIES_SPAN);
    let soon = at + random.random_range(0..SERIES_GAP);
    let later = at + random.random_range(0..GRACE_MS);
    let lasts = random.random_range(LASTS);
    let stop = |at, slot| Event::new(at, 0, Fault::Stop(slot));
    let second = match random.random_range(0..3) {
        0 => Event::new(later, lasts, Fault::Kill(other)),
        1 => Event::new(later, lasts, Fault::Freeze(other)),
        // The process is told twice, and the one after it as soon as it is there.
        _ => {
            return vec![
                stop(at, slot),
                stop(soon, slot),
                stop(soon + GRACE_MS, slot),
            ];
        }
    };
    vec![stop(at, slot), second]
}

fn one(random: &mut ChaCha8Rng, entries: usize, endpoints: usize) -> Fault {
    let entry = random.random_range(0..entries);
    let endpoint = random.random_range(0..endpoints);
    let mode = mode(random);
    match random.random_range(0..12) {
        0..=2 => Fault::EndpointPath(endpoint, mode),
        3 => Fault::PlatformPath(mode),
        4 => Fault::Platform(platform(random)),
        5 => Fault::Freeze(entry),
        6 => Fault::Kill(entry),
        7..=8 => Fault::Stop(entry),
        9 => Fault::Revoke,
        10 => Fault::Grow,
        _ => Fault::Replace(endpoint),
    }
}

fn mode(random: &mut ChaCha8Rng) -> Mode {
    let delay = Mode::Delay(Duration::from_millis(random.random_range(5..200)));
    let all = [
        delay,
        Mode::Reset,
        Mode::HoldRequests,
        Mode::HoldAnswers,
        Mode::Silent,
    ];
    *all.choose(random).expect("there are modes")
}

fn platform(random: &mut ChaCha8Rng) -> Value {
    let all = [
        json!({"down": true}),
        json!({"delay_ms": 700}),
        json!({"lose_acks": 5}),
        json!({"lose_requests": 5}),
        json!({"cut_answers": 5}),
    ];
    all.choose(random).expect("there are faults").clone()
}
