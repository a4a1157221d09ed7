//! Requests that come from seeded sources, whatever becomes of them.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;

/// What one class of one workspace sends.
#[derive(Clone, Debug)]
pub struct Source {
    pub workspace: &'static str,
    pub class: &'static str,
    pub tier: u8,
    /// Requests a second.
    pub rate: f64,
    /// Median tokens of an answer.
    pub tokens: f64,
    /// Spread of the answers' length: the deviation of its logarithm.
    pub spread: f64,
    pub target: Millis,
    /// From, to, and how many times the rate.
    pub burst: Option<(Millis, Millis, f64)>,
    /// Distinct starts of prompts; 0 for none that recur.
    pub prefixes: u64,
    /// Share of the requests that break any engine half way.
    pub poison: f64,
}

impl Source {
    pub const fn new(workspace: &'static str, class: &'static str, tier: u8, rate: f64) -> Self {
        Self {
            workspace,
            class,
            tier,
            rate,
            tokens: 10.0,
            spread: 0.0,
            target: Millis(1_000),
            burst: None,
            prefixes: 0,
            poison: 0.0,
        }
    }

    pub const fn answers(mut self, tokens: f64, spread: f64, target: Millis) -> Self {
        self.tokens = tokens;
        self.spread = spread;
        self.target = target;
        self
    }

    pub const fn burst(mut self, from: Millis, to: Millis, times: f64) -> Self {
        self.burst = Some((from, to, times));
        self
    }

    pub const fn prefixes(mut self, prefixes: u64) -> Self {
        self.prefixes = prefixes;
        self
    }

    pub const fn poison(mut self, share: f64) -> Self {
        self.poison = share;
        self
    }

    fn rate_at(&self, at: f64) -> f64 {
        match self.burst {
            Some((from, to, times)) if at >= from.0 as f64 && at < to.0 as f64 => self.rate * times,
            _ => self.rate,
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Millis,
    /// Index of its source.
    pub source: usize,
    pub tokens: u64,
    pub prefix: u64,
    /// Whether it breaks any engine.
    pub poison: bool,
}

/// All arrivals before `end`, in order.
pub fn arrivals(sources: &[Source], end: Millis, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(index as u64 * 7_919));
        let mut at = 0.0;
        loop {
            let draw: f64 = random.random_range(f64::EPSILON..1.0);
            at += -draw.ln() * 1_000.0 / source.rate_at(at);
            if at >= end.0 as f64 {
                break;
            }
            all.push(arrival(source, index, at, &mut random));
        }
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.source));
    all
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn arrival(source: &Source, index: usize, at: f64, random: &mut ChaCha8Rng) -> Arrival {
    let tokens = source.tokens * (source.spread * normal(random)).exp();
    let prefix = match source.prefixes {
        0 => 0,
        some => woodgap_core::pool::choice::splitmix64(
            random.random_range(1..=some) + 1_000 * index as u64,
        ),
    };
    Arrival {
        at: Millis(at as u64),
        source: index,
        tokens: tokens.round().max(1.0) as u64,
        prefix,
        poison: source.poison > 0.0 && random.random_bool(source.poison),
    }
}

/// A draw of the standard normal distribution (Box and Muller).
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = random.random_range(f64::EPSILON..1.0);
    let angle: f64 = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
