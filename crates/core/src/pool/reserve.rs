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
/// A wait for a slot of a tenth of the target leaves time enough for the rest.
const WAIT_SHARE: u64 = 10;
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

/// What is expected of one tier and lane, and what runs of it.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Runs at once, on average.
    wanted: f64,
    /// The wait for a slot that its requests can well bear, if any are expected.
    wait: Option<Millis>,
    /// Runs.
    used: u32,
}

/// Slots that each tier and lane is expected to use, and those it uses.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    cells: [[Cell; LANES]; TIERS],
}

impl Reserve {
    /// Forgets what was expected.
    pub fn clear(&mut self) {
        for cell in self.cells.as_flattened_mut() {
            cell.wanted = 0.0;
            cell.wait = None;
        }
    }

    /// Expects so many runs at once, on average, of a class with this target.
    pub fn expect(&mut self, tier: Tier, lane: usize, runs: f64, target: Millis) {
        let cell = &mut self.cells[row(tier)][lane];
        cell.wanted += runs;
        let wait = Millis(target.0 / WAIT_SHARE);
        cell.wait = Some(cell.wait.map_or(wait, |known| known.min(wait)));
    }

    /// A run started.
    pub fn start(&mut self, tier: Tier, lane: usize) {
        self.cells[row(tier)][lane].used += 1;
    }

    /// A run ended.
    pub fn end(&mut self, tier: Tier, lane: usize) {
        let used = &mut self.cells[row(tier)][lane].used;
        *used = used.saturating_sub(1);
    }

    /// Free slots that a request of this tier and lane has to leave to much
    /// shorter ones of its own or a higher tier: what these are expected to
    /// use at a busy moment, `most` at most, less what they use. Nothing where
    /// longer runs end so often that a slot comes free soon enough anyhow.
    pub fn held(&self, tier: Tier, lane: usize, most: u32) -> u32 {
        let Some(shorter) = (lane + 1).checked_sub(APART) else {
            return 0;
        };
        let above = &self.cells[..=row(tier)];
        let short = || above.iter().flat_map(|row| &row[..shorter]);
        let Some(wait) = short().filter_map(|cell| cell.wait).min() else {
            return 0;
        };
        if self.ends(shorter) * wait.0 as f64 >= 1.0 {
            return 0;
        }
        let wanted: f64 = short().map(|cell| cell.wanted).sum();
        let used: u32 = short().map(|cell| cell.used).sum();
        busy(wanted).min(most).saturating_sub(used)
    }

    /// Runs of this and the longer lanes that end in a millisecond.
    fn ends(&self, from: usize) -> f64 {
        let ends = |lane: usize| {
            let used: u32 = self.cells.iter().map(|row| row[lane].used).sum();
            f64::from(used) / usual(lane)
        };
        (from..LANES).map(ends).sum()
    }
}

/// The usual length of a run of the lane, in ms.
fn usual(lane: usize) -> f64 {
    (FIRST_LANE.0 << (2 * lane)) as f64 / 2.0
}

/// Runs at a busy moment, if there are so many on average. Arrivals are taken
/// for random: two standard deviations above the mean.
fn busy(mean: f64) -> u32 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let busy = (mean + 2.0 * mean.sqrt()).ceil() as u32;
    busy
}

fn row(tier: Tier) -> usize {
    usize::from(tier.number() - Tier::HIGHEST.number())
}

#[cfg(test)]
mod tests;
