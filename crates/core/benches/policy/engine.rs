//! Engines: slots, a queue by priority, a pace, a cache of prompts' starts, lagging reports.

use std::collections::{BTreeMap, VecDeque};

use woodgap_core::clock::Millis;
use woodgap_core::instance::{Load, State};

/// From the slot to the first token, with a warm cache.
const FIRST_TOKEN: f64 = 60.0;
/// Between tokens.
const PER_TOKEN: f64 = 20.0;
/// Prompts' starts that an engine keeps.
const CACHED: usize = 40;

/// A run, waiting inside the engine or with its slot.
#[derive(Clone, Debug)]
pub struct Job {
    pub permit: u64,
    /// Index of the arrival.
    pub request: usize,
    pub tokens: u64,
    pub prefix: u64,
    pub sent: Millis,
}

/// A job that got its slot: when its first token comes and when it ends.
#[derive(Clone, Debug)]
pub struct Started {
    pub job: Job,
    pub first: Millis,
    pub end: Millis,
}

#[derive(Clone, Debug)]
pub struct Engine {
    /// What it says it runs side by side.
    pub claimed: u32,
    /// What it does run.
    pub slots: u32,
    /// 1 for the usual pace.
    pub speed: f64,
    /// Extra time for a prompt that is not in the cache.
    pub prefill: f64,
    pub report_lag: Millis,
    queue: BTreeMap<(u8, u64), Job>,
    entered: u64,
    pub running: u32,
    cache: VecDeque<u64>,
    pub hits: u64,
    pub misses: u64,
    past: VecDeque<(Millis, u32, u32)>,
}

impl Engine {
    pub fn new(slots: u32) -> Self {
        Self {
            claimed: slots,
            slots,
            speed: 1.0,
            prefill: 0.0,
            report_lag: Millis(2_000),
            queue: BTreeMap::new(),
            entered: 0,
            running: 0,
            cache: VecDeque::new(),
            hits: 0,
            misses: 0,
            past: VecDeque::new(),
        }
    }

    pub fn enter(&mut self, priority: u8, job: Job) {
        self.queue.insert((priority, self.entered), job);
        self.entered += 1;
    }

    /// The next job that gets its slot, if one is free.
    pub fn admit(&mut self, now: Millis) -> Option<Started> {
        if self.running >= self.slots {
            return None;
        }
        let (_, job) = self.queue.pop_first()?;
        self.running += 1;
        let warm = self.warm(job.prefix);
        let prefill = if warm { 0.0 } else { self.prefill };
        let first = (FIRST_TOKEN + prefill) / self.speed;
        let rest = PER_TOKEN * (job.tokens - 1) as f64 / self.speed;
        Some(Started {
            first: now + span(first),
            end: now + span(first + rest),
            job,
        })
    }

    pub fn leave(&mut self) {
        self.running -= 1;
    }

    /// Notes its load, and reports it as it was a while ago.
    pub fn report(&mut self, now: Millis) -> Load {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.past.push_back((now, self.running, queued));
        while self.past.len() > 1 && now - self.past[1].0 >= self.report_lag {
            self.past.pop_front();
        }
        let (at, running, queued) = self.past[0];
        Load {
            age: now - at,
            running,
            queued,
            slots: self.claimed,
            tokens_per_second: f64::from(running) * self.speed * 1_000.0 / PER_TOKEN,
            state: State::Live,
        }
    }

    fn warm(&mut self, prefix: u64) -> bool {
        if prefix == 0 {
            return true;
        }
        let known = self.cache.iter().position(|known| *known == prefix);
        if let Some(index) = known {
            self.cache.remove(index);
            self.hits += 1;
        } else {
            self.misses += 1;
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        known.is_some()
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn span(ms: f64) -> Millis {
    Millis(ms.round() as u64)
}
