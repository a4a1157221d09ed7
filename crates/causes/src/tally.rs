//! Counts of requests by route, endpoint and time, in bounded memory.

use std::collections::BTreeMap;

use jiff::Timestamp;
use serde::Serialize;

use crate::cause::{Cause, Verdict, judge};
use crate::line::{Ended, Line};

/// The most routes, and endpoints, that are told apart: a busy deployment has some
/// thousands of endpoints in a day. The rest counts as [`REST`].
const MOST_NAMES: usize = 5_000;
/// What the others are called.
const REST: &str = "(others)";
/// The most steps of time: with more of them the steps become twice as long.
const MOST_STEPS: usize = 600;

/// Requests that had to be served.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// All of them.
    pub owed: u64,
    /// Those that were not served on time, by cause.
    pub lost: BTreeMap<Cause, u64>,
}

impl Count {
    /// Those that were not served on time.
    pub fn all_lost(&self) -> u64 {
        self.lost.values().sum()
    }

    fn add(&mut self, cause: Option<Cause>) {
        self.owed += 1;
        if let Some(cause) = cause {
            *self.lost.entry(cause).or_default() += 1;
        }
    }

    fn merge(&mut self, other: &Self) {
        self.owed += other.owed;
        for (cause, count) in &other.lost {
            *self.lost.entry(*cause).or_default() += count;
        }
    }
}

/// How first bytes came against their forecasts, in hundredths of the forecast.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Forecast {
    /// By tenths of the forecast, up to fifty of them: 10 is as forecast.
    pub tenths: BTreeMap<u64, u64>,
}

/// The largest number of tenths that is told apart.
const MOST_TENTHS: u64 = 50;

impl Forecast {
    fn add(&mut self, ended: &Ended) {
        if ended.expected_wait_ms < 1.0 || ended.first_byte_ms == 0 {
            return;
        }
        let tenths = ended.first_byte_ms as f64 * 10.0 / ended.expected_wait_ms;
        // Clamped to what is told apart.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tenths = (tenths as u64).min(MOST_TENTHS);
        *self.tenths.entry(tenths).or_default() += 1;
    }

    /// The tenths of the forecast that this part, from 0 to 1, came within.
    pub fn quantile(&self, part: f64) -> Option<u64> {
        let all: u64 = self.tenths.values().sum();
        let mut left = part * all as f64;
        self.tenths.iter().find_map(|(tenths, count)| {
            left -= *count as f64;
            (left <= 0.0).then_some(*tenths)
        })
    }
}

/// What was counted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Tally {
    /// Lines that are none of a relay's log.
    pub malformed: u64,
    /// All requests.
    pub all: Count,
    /// By route.
    pub routes: BTreeMap<String, Count>,
    /// By the endpoint of the last attempt.
    pub endpoints: BTreeMap<String, Count>,
    /// The length of a step of time, in s.
    pub step_s: i64,
    /// By the step in which they arrived: its first second since 1970.
    pub steps: BTreeMap<i64, Count>,
    /// How good the forecasts were.
    pub forecast: Forecast,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            malformed: 0,
            all: Count::default(),
            routes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            step_s: 1,
            steps: BTreeMap::new(),
            forecast: Forecast::default(),
        }
    }
}

impl Tally {
    /// Counts a line.
    pub fn add(&mut self, line: &str) {
        match Line::read(line) {
            Line::Ended(at, ended) => self.ended(at, &ended),
            Line::Other => {}
            Line::Malformed => self.malformed += 1,
        }
    }

    fn ended(&mut self, at: Timestamp, ended: &Ended) {
        let cause = match judge(ended) {
            Verdict::OnTime => None,
            Verdict::Lost(cause) => Some(cause),
            Verdict::NotOwed => return,
        };
        self.forecast.add(ended);
        self.all.add(cause);
        named(&mut self.routes, &ended.route).add(cause);
        if !ended.endpoint.is_empty() {
            named(&mut self.endpoints, &ended.endpoint).add(cause);
        }
        let took = i64::try_from(ended.took_ms).unwrap_or(i64::MAX);
        let arrived = at.as_millisecond().saturating_sub(took);
        let second = arrived.div_euclid(1_000);
        self.steps.entry(self.step(second)).or_default().add(cause);
        if self.steps.len() > MOST_STEPS {
            self.coarsen();
        }
    }

    fn step(&self, second: i64) -> i64 {
        second.div_euclid(self.step_s) * self.step_s
    }

    fn coarsen(&mut self) {
        self.step_s *= 2;
        for (second, count) in std::mem::take(&mut self.steps) {
            let step = self.step(second);
            self.steps.entry(step).or_default().merge(&count);
        }
    }
}

fn named<'m>(counts: &'m mut BTreeMap<String, Count>, name: &str) -> &'m mut Count {
    let is_full = counts.len() >= MOST_NAMES && !counts.contains_key(name);
    let name = if is_full { REST } else { name };
    counts.entry(name.to_owned()).or_default()
}
