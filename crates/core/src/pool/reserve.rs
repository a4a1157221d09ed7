//! Slots kept free of long requests while short ones are about.

use crate::clock::Millis;
use crate::tier::Tier;

/// Lanes by length of run; each is four times as long as the one before.
pub const LANES: usize = 8;
/// Lanes between a request and those whose slots it may not take: only what is
/// over four times as long is held back.
const APART: usize = 2;
/// Where the shortest lane ends.
const FIRST_LANE: Millis = Millis(125);
/// Span over which arrivals are counted: as long as a burst takes to be one.
const SPAN: f64 = 20_000.0;
const TIERS: usize = Tier::LOWEST.number() as usize;

/// The lane of a run that is expected to take so long.
///
/// ```
/// use woodgap_core::{clock::Millis, pool::reserve::lane};
///
/// assert_eq!(lane(Millis(100)), 0);
/// assert_eq!(lane(Millis(600)), 2);
/// assert_eq!(lane(Millis(1_000_000)), 7);
/// ```
pub fn lane(span: Millis) -> usize {
    let mut end = FIRST_LANE.0;
    let mut lane = 0;
    while span.0 >= end && lane + 1 < LANES {
        end *= 4;
        lane += 1;
    }
    lane
}

/// Arrivals of late, as a rate that fades.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    value: f64,
    at: Millis,
}

impl Rate {
    /// Counts an arrival.
    pub fn add(&mut self, now: Millis) {
        self.value = self.per_ms(now) + 1.0 / SPAN;
        self.at = now;
    }

    /// Arrivals a millisecond.
    pub fn per_ms(&self, now: Millis) -> f64 {
        self.value * (-((now - self.at).0 as f64) / SPAN).exp()
    }
}

/// Slots that each tier and lane is expected to use, and those it uses.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    wanted: [[f64; LANES]; TIERS],
    used: [[u32; LANES]; TIERS],
}

impl Reserve {
    /// Forgets what was expected.
    pub fn clear(&mut self) {
        self.wanted = [[0.0; LANES]; TIERS];
    }

    /// Expects so many runs at once, on average.
    pub fn expect(&mut self, tier: Tier, lane: usize, runs: f64) {
        self.wanted[row(tier)][lane] += runs;
    }

    /// A run started.
    pub fn start(&mut self, tier: Tier, lane: usize) {
        self.used[row(tier)][lane] += 1;
    }

    /// A run ended.
    pub fn end(&mut self, tier: Tier, lane: usize) {
        let used = &mut self.used[row(tier)][lane];
        *used = used.saturating_sub(1);
    }

    /// Free slots that a request of this tier and lane has to leave to much
    /// shorter ones of its own or a higher tier.
    pub fn held(&self, tier: Tier, lane: usize) -> u32 {
        let Some(shorter) = (lane + 1).checked_sub(APART) else {
            return 0;
        };
        let rows = self.wanted.iter().zip(&self.used).take(row(tier) + 1);
        rows.map(|(wanted, used)| held(&wanted[..shorter], &used[..shorter]))
            .sum()
    }
}

/// The runs expected at a busy moment, less those that go on.
fn held(wanted: &[f64], used: &[u32]) -> u32 {
    let wanted: f64 = wanted.iter().sum();
    let used: u32 = used.iter().sum();
    if wanted < f64::EPSILON {
        return 0;
    }
    // Arrivals are taken for random: two standard deviations above the mean.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let busy = (wanted + 2.0 * wanted.sqrt()).ceil() as u32;
    busy.saturating_sub(used)
}

fn row(tier: Tier) -> usize {
    usize::from(tier.number() - Tier::HIGHEST.number())
}
