//! What a run found, by class and tier.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::totals::Totals;

/// Digits kept of each delay: a fault of a thousandth at most.
const DIGITS: u8 = 3;
/// The longest delay told apart, one hour in microseconds: no run is longer.
const LONGEST: u64 = 3_600_000_000;

/// Everything that is said about a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The run's name, which all its tags begin with.
    pub run: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The span of the arrivals in milliseconds.
    pub span_ms: u64,
    /// Sums over all requests.
    pub totals: Totals,
    /// Share of requests that met their target, by tier.
    pub attainment: BTreeMap<u8, f64>,
    /// Requests a second that were complete within their target.
    pub goodput: f64,
    /// One row per class and tier.
    pub rows: Vec<Row>,
}

/// The figures of one class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The class's name in the traffic description.
    pub class: String,
    /// Its workspace's tier.
    pub tier: u8,
    /// Whether its rate changes over time.
    pub bursts: bool,
    /// Counts of requests by what became of them.
    #[serde(flatten)]
    pub totals: Totals,
    /// Requests that were complete within their target.
    pub met: u64,
    /// Their share of all that were sent.
    pub attainment: f64,
    /// The same as requests a second.
    pub goodput: f64,
    /// Delay of the first token.
    pub first_token: Delays,
    /// Delay of the whole answer.
    pub complete_after: Delays,
    /// Time between tokens.
    pub between_tokens: Delays,
}

/// Delays in milliseconds at some percentiles; 0 if there was none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delays {
    /// Half are shorter.
    pub p50_ms: f64,
    /// 95 of a hundred are shorter.
    pub p95_ms: f64,
    /// 99 of a hundred are shorter.
    pub p99_ms: f64,
}

/// Collects delays without keeping each.
#[derive(Clone, Debug)]
pub struct Recorder(Histogram<u64>);

impl Default for Recorder {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST, DIGITS);
        Self(histogram.expect("both constants are within the library's bounds"))
    }
}

impl Recorder {
    /// Takes one delay.
    pub fn add(&mut self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Takes the delays of another recorder.
    pub fn merge(&mut self, other: &Self) {
        for bucket in other.0.iter_recorded() {
            let value = bucket.value_iterated_to();
            let count = bucket.count_since_last_iteration();
            self.0.saturating_record_n(value, count);
        }
    }

    /// How many delays were added.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    fn add_ms(&mut self, delay: Option<f64>) {
        if let Some(delay) = delay {
            self.add(Duration::from_secs_f64(delay / 1e3));
        }
    }

    /// The quantiles, in milliseconds.
    pub fn delays(&self) -> Delays {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1e3;
        Delays {
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        }
    }
}

/// The raw material of a report.
#[derive(Clone, Debug)]
pub struct Findings {
    /// The run's name.
    pub run: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The span of the arrivals.
    pub span: Duration,
    /// All requests.
    pub events: Vec<Event>,
    /// Times between tokens by class.
    pub gaps: BTreeMap<String, Recorder>,
    /// Classes whose rate changes over time.
    pub bursting: BTreeSet<String>,
}

impl Report {
    /// The report on these findings.
    pub fn new(findings: &Findings) -> Self {
        let mut groups = BTreeMap::<(u8, &str), Vec<&Event>>::new();
        for event in &findings.events {
            let key = (event.tier, event.class.as_str());
            groups.entry(key).or_default().push(event);
        }
        let span = findings.span.as_secs_f64();
        let rows: Vec<_> = groups
            .into_iter()
            .map(|((tier, class), events)| {
                let gaps = findings.gaps.get(class);
                Row {
                    bursts: findings.bursting.contains(class),
                    ..Row::new(tier, class, &events, gaps, span)
                }
            })
            .collect();
        Self {
            run: findings.run.clone(),
            seed: findings.seed,
            span_ms: u64::try_from(findings.span.as_millis()).unwrap_or(u64::MAX),
            totals: Totals::of(&findings.events),
            attainment: attainment(&rows),
            goodput: rows.iter().map(|row| row.goodput).sum(),
            rows,
        }
    }
}

impl Report {
    /// Classes of tiers that were sent and of which nothing was completed.
    pub fn starved(&self) -> u64 {
        let starved = |row: &&Row| row.totals.sent > 0 && row.totals.complete == 0;
        self.rows.iter().filter(starved).count() as u64
    }
}

impl Row {
    fn new(tier: u8, class: &str, events: &[&Event], gaps: Option<&Recorder>, span: f64) -> Self {
        let totals = Totals::of(events.iter().copied());
        let met = events.iter().filter(|event| event.met).count() as u64;
        let mut first = Recorder::default();
        let mut complete = Recorder::default();
        for event in events {
            first.add_ms(event.first_token_ms);
            complete.add_ms(event.complete_ms);
        }
        Self {
            class: class.to_owned(),
            tier,
            bursts: false,
            totals,
            met,
            attainment: share(met as f64, totals.sent as f64),
            goodput: share(met as f64, span),
            first_token: first.delays(),
            complete_after: complete.delays(),
            between_tokens: gaps.map(Recorder::delays).unwrap_or_default(),
        }
    }
}

fn attainment(rows: &[Row]) -> BTreeMap<u8, f64> {
    let mut counts = BTreeMap::<u8, (u64, u64)>::new();
    for row in rows {
        let count = counts.entry(row.tier).or_default();
        count.0 += row.met;
        count.1 += row.totals.sent;
    }
    counts
        .into_iter()
        .map(|(tier, (met, sent))| (tier, share(met as f64, sent as f64)))
        .collect()
}

fn share(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            run, seed, span_ms, ..
        } = self;
        writeln!(formatter, "run {run}, seed {seed}, {span_ms} ms")?;
        writeln!(
            formatter,
            "{:<18} {:>4} {:>6} {:>8} {:>6} {:>7} {:>8} {:>7} {:>5} {:>6} {:>5} {:>7} {:>4}  \
             {:>20}  {:>20}  {:>17}",
            "class",
            "tier",
            "sent",
            "complete",
            "met",
            "attain",
            "goodput",
            "not_run",
            "may",
            "broken",
            "lost",
            "crossed",
            "cut",
            "first 50/95/99 ms",
            "complete 50/95/99 ms",
            "gap 50/95/99 ms"
        )?;
        for row in &self.rows {
            writeln!(formatter, "{row}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Row {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let totals = &self.totals;
        write!(
            formatter,
            "{:<18} {:>4} {:>6} {:>8} {:>6} {:>7.4} {:>6.2}/s {:>7} {:>5} {:>6} {:>5} {:>7} {:>4}  \
             {:>20}  {:>20}  {:>17}",
            self.class,
            self.tier,
            totals.sent,
            totals.complete,
            self.met,
            self.attainment,
            self.goodput,
            totals.refused_not_run,
            totals.may_have_run,
            totals.broken_by_kill,
            totals.lost,
            totals.crossed,
            totals.cut,
            self.first_token.to_string(),
            self.complete_after.to_string(),
            self.between_tokens.to_string()
        )
    }
}

impl fmt::Display for Delays {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            p50_ms,
            p95_ms,
            p99_ms,
        } = self;
        write!(formatter, "{p50_ms:.1}/{p95_ms:.1}/{p99_ms:.1}")
    }
}

#[cfg(test)]
mod tests;
