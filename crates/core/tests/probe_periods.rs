//! Probe periods by the square root rule against a uniform one, on lifetimes
//! drawn from a seed: detection latency at equal probes a second.

use std::fmt::Write;

use insta::assert_snapshot;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::endpoint::Lifetime;
use woodgap_core::endpoint::period::{fewest_probes, least_latency};

/// As many endpoints as each fleet has today.
const ENDPOINTS: usize = 55;
/// The uniform period, in ms.
const UNIFORM: f64 = 500.0;
/// How long is looked at, in seconds.
const HORIZON: f64 = 14.0 * DAY;
/// How often estimates and periods are looked at again, in seconds.
const RENEWAL: f64 = 300.0;
const MINUTE: f64 = 60.0;
const HOUR: f64 = 60.0 * MINUTE;
const DAY: f64 = 24.0 * HOUR;

/// The mean lifetime of each endpoint, in seconds.
type Mix = fn(usize) -> f64;

fn alike(_: usize) -> f64 {
    14.0 * DAY
}

fn few_flap(endpoint: usize) -> f64 {
    if endpoint < 3 {
        10.0 * MINUTE
    } else {
        14.0 * DAY
    }
}

fn a_fifth_flaps(endpoint: usize) -> f64 {
    if endpoint < 11 { HOUR } else { 14.0 * DAY }
}

fn spread(endpoint: usize) -> f64 {
    HOUR * 600_f64.powf(endpoint as f64 / ENDPOINTS as f64)
}

/// From what is known of the true means.
type Knowledge = fn(Mix) -> Known;

/// How periods are chosen from lifetimes.
type Rule = fn(&[f64]) -> Vec<f64>;

fn uniform(lifetimes: &[f64]) -> Vec<f64> {
    vec![UNIFORM; lifetimes.len()]
}

fn rate() -> f64 {
    ENDPOINTS as f64 * 1_000.0 / UNIFORM
}

fn unbounded(lifetimes: &[f64]) -> Vec<f64> {
    least_latency(lifetimes, rate(), Millis::from_secs(3_600))
}

fn within_a_second(lifetimes: &[f64]) -> Vec<f64> {
    least_latency(lifetimes, rate(), Millis(1_000))
}

/// Periods within the bounds that the product has.
fn in_use(lifetimes: &[f64]) -> Vec<f64> {
    let periods = within_a_second(lifetimes);
    periods
        .into_iter()
        .map(|period| period.max(100.0))
        .collect()
}

fn as_fast(lifetimes: &[f64]) -> Vec<f64> {
    fewest_probes(lifetimes, Millis(250))
}

/// An endpoint comes up or goes down.
struct Turn {
    at: f64,
    endpoint: usize,
    up: bool,
}

/// The turns of all endpoints in the order of time, drawn from a seed.
fn record(mix: Mix, seed: u64) -> Vec<Turn> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut turns = Vec::new();
    for endpoint in 0..ENDPOINTS {
        let mut exponential = |mean: f64| -mean * random.random_range(f64::EPSILON..1.0).ln();
        let (mut at, mut up) = (0.0, true);
        while at < HORIZON {
            turns.push(Turn { at, endpoint, up });
            at += exponential(if up { mix(endpoint) } else { MINUTE });
            up = !up;
        }
    }
    turns.sort_by(|one, other| one.at.total_cmp(&other.at));
    turns
}

/// What a rule came to.
struct Figures {
    failures: usize,
    mean_ms: f64,
    p99_ms: f64,
    probes_per_second: f64,
    report_age_ms: f64,
}

/// What is taken for each endpoint's lifetime.
#[derive(Clone, Copy)]
enum Known {
    /// The true mean.
    True(Mix),
    /// What the record has shown so far.
    Estimated,
}

fn millis(seconds: f64) -> Millis {
    // Two weeks of milliseconds, and never below zero.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = (seconds * 1_000.0) as u64;
    Millis(whole)
}

fn lifetimes(known: Known, estimates: &[Lifetime], now: f64) -> Vec<f64> {
    match known {
        Known::True(mix) => (0..ENDPOINTS).map(mix).collect(),
        Known::Estimated => estimates
            .iter()
            .map(|lifetime| lifetime.estimate(millis(now)))
            .collect(),
    }
}

/// Follows a record with lifetimes as they were known at each time.
fn follow(turns: &[Turn], rule: Rule, known: Known, seed: u64) -> Figures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut estimates = vec![Lifetime::new(Millis::ZERO); ENDPOINTS];
    let (mut probes, mut ages, mut now) = (0.0, 0.0, 0.0);
    let mut latencies = Vec::new();
    let mut rest = turns;
    while now < HORIZON {
        let periods = rule(&lifetimes(known, &estimates, now));
        let end = rest.first().map_or(HORIZON, |turn| turn.at);
        let span = end.min(now + RENEWAL).min(HORIZON) - now;
        probes += periods.iter().map(|period| 1_000.0 / period).sum::<f64>() * span;
        ages += periods.iter().sum::<f64>() / 2.0 * span;
        now += span;
        if let Some((turn, later)) = rest.split_first().filter(|_| now >= end) {
            if turn.up {
                estimates[turn.endpoint].begin(millis(now));
            } else {
                latencies.push(periods[turn.endpoint] * random.random::<f64>());
                estimates[turn.endpoint].end(millis(now));
            }
            rest = later;
        }
    }
    latencies.sort_by(f64::total_cmp);
    let failures = latencies.len();
    Figures {
        failures,
        mean_ms: latencies.iter().sum::<f64>() / failures as f64,
        p99_ms: latencies[failures * 99 / 100],
        probes_per_second: probes / HORIZON,
        report_age_ms: ages / HORIZON / ENDPOINTS as f64,
    }
}

#[test]
fn figures() {
    let mixes: [(&str, Mix); 4] = [
        ("alike", alike),
        ("3 of 55 flap", few_flap),
        ("11 of 55 flap", a_fifth_flaps),
        ("spread", spread),
    ];
    let rules: [(&str, Rule, Knowledge); 7] = [
        ("uniform", uniform, |_| Known::Estimated),
        ("eq. 4, true lives", unbounded, Known::True),
        ("eq. 4", unbounded, |_| Known::Estimated),
        ("eq. 4 within 1 s", within_a_second, |_| Known::Estimated),
        ("as in use", in_use, |_| Known::Estimated),
        ("eq. 6, true lives", as_fast, Known::True),
        ("eq. 6", as_fast, |_| Known::Estimated),
    ];
    let mut table = String::from(
        "lives          periods            failures  mean ms  p99 ms  probes/s  report age ms\n",
    );
    for (mix_name, mix) in mixes {
        let turns = record(mix, 7);
        for (rule_name, rule, known) in rules {
            let figures = follow(&turns, rule, known(mix), 8);
            writeln!(
                table,
                "{mix_name:14} {rule_name:18} {:8} {:8.0} {:7.0} {:9.1} {:14.0}",
                figures.failures,
                figures.mean_ms,
                figures.p99_ms,
                figures.probes_per_second,
                figures.report_age_ms,
            )
            .unwrap();
        }
    }
    assert_snapshot!(table);
}
