//! Seeded arrivals: Poisson per class, with rates that change over time.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::Error;
use crate::traffic::{Class, Tokens, Traffic};

/// The most requests of one run: the whole plan is held in memory.
pub const LIMIT: usize = 1_000_000;

/// One request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// Index of the class in the traffic description.
    pub class: usize,
    /// Tokens of the answer.
    pub length: u32,
}

/// Where a plan ends.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// No arrival is later than this.
    pub duration: Option<Duration>,
    /// No more arrivals than this.
    pub count: Option<usize>,
}

/// The span of a run that is given neither a duration nor a count.
const DEFAULT_DURATION: Duration = Duration::from_secs(10);

/// All arrivals of a run in the order of time; the same seed gives the same plan.
///
/// # Errors
///
/// [`Error::TooMany`] if there would be more than [`LIMIT`].
///
/// ```
/// use std::time::Duration;
/// use woodgap_load::arrival::{Bounds, plan};
/// use woodgap_load::traffic::Traffic;
///
/// let text = r#"{"classes": [{"name": "links", "workspace": "murphy", "key": "k",
///     "class": "share-link", "target": "story-7b", "rate_per_s": 5, "tier": 1,
///     "target_ms": 500}]}"#;
/// let traffic = Traffic::parse(text).unwrap();
/// let bounds = Bounds { duration: None, count: Some(20) };
/// assert_eq!(plan(&traffic, 1, bounds).unwrap().len(), 20);
/// ```
pub fn plan(traffic: &Traffic, seed: u64, bounds: Bounds) -> Result<Vec<Arrival>, Error> {
    let bounds = match bounds {
        Bounds {
            duration: None,
            count: None,
        } => Bounds {
            duration: Some(DEFAULT_DURATION),
            count: None,
        },
        bounds => bounds,
    };
    let mut arrivals = Vec::new();
    for (index, class) in traffic.classes.iter().enumerate() {
        let of_class = Arrivals::new(class, index, seed, bounds.duration);
        let most = bounds.count.unwrap_or(LIMIT + 1);
        arrivals.extend(of_class.take(most));
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.class));
    arrivals.truncate(bounds.count.unwrap_or(usize::MAX));
    if arrivals.len() > LIMIT {
        return Err(Error::TooMany {
            planned: arrivals.len(),
            limit: LIMIT,
        });
    }
    Ok(arrivals)
}

/// The arrivals of one class, without end unless there is a duration.
struct Arrivals<'a> {
    class: &'a Class,
    index: usize,
    /// Seconds from the start of the run.
    now: f64,
    end: f64,
    random: ChaCha8Rng,
}

impl<'a> Arrivals<'a> {
    fn new(class: &'a Class, index: usize, seed: u64, duration: Option<Duration>) -> Self {
        Self {
            class,
            index,
            now: 0.0,
            end: duration.map_or(f64::INFINITY, |duration| duration.as_secs_f64()),
            random: ChaCha8Rng::seed_from_u64(seed ^ digest(&class.name)),
        }
    }

    /// The next arrival in seconds; the draw starts anew at each change of the
    /// rate, which a Poisson process allows.
    fn next_at(&mut self) -> Option<f64> {
        loop {
            let rate = rate(self.class, self.now);
            let change = next_change(self.class, self.now);
            if rate > 0.0 {
                let draw: f64 = Exp1.sample(&mut self.random);
                let at = self.now + draw / rate;
                if at < change {
                    self.now = at;
                    return (at < self.end).then_some(at);
                }
            }
            if change >= self.end || change.is_infinite() {
                return None;
            }
            self.now = change;
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let at = self.next_at()?;
        Some(Arrival {
            at: Duration::from_secs_f64(at),
            class: self.index,
            length: length(self.class.tokens, &mut self.random),
        })
    }
}

/// Arrivals a second at a time in seconds.
fn rate(class: &Class, now: f64) -> f64 {
    let in_force = class
        .bursts
        .iter()
        .filter(|burst| seconds(burst.from_ms) <= now && now < seconds(burst.to_ms));
    class.rate_per_s * in_force.map(|burst| burst.factor).product::<f64>()
}

/// The first time after `now` at which a burst starts or ends.
fn next_change(class: &Class, now: f64) -> f64 {
    class
        .bursts
        .iter()
        .flat_map(|burst| [seconds(burst.from_ms), seconds(burst.to_ms)])
        .filter(|at| *at > now)
        .fold(f64::INFINITY, f64::min)
}

fn seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 1..=max first"
)]
fn length(tokens: Tokens, random: &mut ChaCha8Rng) -> u32 {
    match tokens {
        Tokens::Fixed(length) => length,
        Tokens::Lognormal { median, sigma, max } => {
            LogNormal::new(median.ln(), sigma).map_or(1, |distribution| {
                let drawn = distribution.sample(random).round();
                drawn.clamp(1.0, f64::from(max)) as u32
            })
        }
    }
}

/// FNV-1a: each class draws from a stream of its own, so adding a class
/// leaves the arrivals of the others as they were.
fn digest(name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

#[cfg(test)]
mod tests;
