//! Reserves slots for short requests by holding back long ones.

use crate::clock::Millis;
use crate::tier::Tier;

/// Number of buckets by run duration. Each bound is four times the one before.
pub const BUCKETS: usize = 8;
/// Minimum distance in buckets between a request and those that it must leave
/// slots to. With two, only requests over four times as long are held back.
const MIN_BUCKET_GAP: usize = 2;
/// Upper bound of the first bucket.
const FIRST_BUCKET_END: Millis = Millis(125);
/// A wait for a slot of a tenth of the target leaves enough time for the run.
const WAIT_DIVISOR: u64 = 10;
/// Time constant of the rates' exponential decay: the time after which a burst
/// of arrivals counts as sustained.
const RATE_TIME_CONSTANT_MS: f64 = 20_000.0;
const TIERS: usize = Tier::LOWEST.number() as usize;

/// Returns the bucket of a run with this expected duration.
///
/// ```
/// use woodgap_core::{clock::Millis, pool::reserve::duration_bucket};
///
/// assert_eq!(duration_bucket(Millis(100)), 0);
/// assert_eq!(duration_bucket(Millis(600)), 2);
/// assert_eq!(duration_bucket(Millis(1_000_000)), 7);
/// ```
pub fn duration_bucket(duration: Millis) -> usize {
    let mut end = FIRST_BUCKET_END.0;
    let mut bucket = 0;
    while duration.0 >= end && bucket + 1 < BUCKETS {
        end *= 4;
        bucket += 1;
    }
    bucket
}

/// Exponentially decaying rate of recent events.
#[derive(Clone, Debug, Default)]
pub struct DecayingRate {
    value: f64,
    updated_at: Millis,
}

impl DecayingRate {
    /// Counts an event.
    pub fn add(&mut self, now: Millis) {
        self.value = self.per_ms(now) + 1.0 / RATE_TIME_CONSTANT_MS;
        self.updated_at = now;
    }

    /// Returns the rate in events per millisecond.
    pub fn per_ms(&self, now: Millis) -> f64 {
        self.value * (-((now - self.updated_at).0 as f64) / RATE_TIME_CONSTANT_MS).exp()
    }
}

/// Expected and active runs of one tier and bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Mean number of concurrent runs.
    expected_runs: f64,
    /// Acceptable wait for a slot, if any runs are expected.
    wait: Option<Millis>,
    /// Active runs.
    running: u32,
}

/// Expected and used slots by tier and bucket.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    cells: [[Cell; BUCKETS]; TIERS],
}

impl Reserve {
    /// Clears the expected runs.
    pub fn clear_expected(&mut self) {
        for cell in self.cells.as_flattened_mut() {
            cell.expected_runs = 0.0;
            cell.wait = None;
        }
    }

    /// Adds the expected mean number of concurrent runs of a class with this
    /// target.
    pub fn add_expected(&mut self, tier: Tier, bucket: usize, runs: f64, target: Millis) {
        let cell = &mut self.cells[tier_index(tier)][bucket];
        cell.expected_runs += runs;
        let wait = Millis(target.0 / WAIT_DIVISOR);
        cell.wait = Some(cell.wait.map_or(wait, |known| known.min(wait)));
    }

    /// Counts a started run.
    pub fn start(&mut self, tier: Tier, bucket: usize) {
        self.cells[tier_index(tier)][bucket].running += 1;
    }

    /// Counts an ended run.
    pub fn end(&mut self, tier: Tier, bucket: usize) {
        let running = &mut self.cells[tier_index(tier)][bucket].running;
        *running = running.saturating_sub(1);
    }

    /// Returns how many free slots a request of this tier and bucket must leave
    /// to much shorter requests of the same or higher tiers: their expected
    /// peak use, at most `most`, minus their current use. Zero if longer runs
    /// end often enough for a slot to come free in time.
    pub fn reserved(&self, tier: Tier, bucket: usize, most: u32) -> u32 {
        let Some(bucket_limit) = (bucket + 1).checked_sub(MIN_BUCKET_GAP) else {
            return 0;
        };
        let above = &self.cells[..=tier_index(tier)];
        let shorter_cells = || above.iter().flat_map(|row| &row[..bucket_limit]);
        let Some(wait) = shorter_cells().filter_map(|cell| cell.wait).min() else {
            return 0;
        };
        if self.end_rate(bucket_limit) * wait.0 as f64 >= 1.0 {
            return 0;
        }
        let expected_runs: f64 = shorter_cells().map(|cell| cell.expected_runs).sum();
        let running: u32 = shorter_cells().map(|cell| cell.running).sum();
        peak_runs(expected_runs).min(most).saturating_sub(running)
    }

    /// Returns how many runs of this and the longer buckets end per
    /// millisecond.
    fn end_rate(&self, from: usize) -> f64 {
        let end_rate = |bucket: usize| {
            let running: u32 = self.cells.iter().map(|row| row[bucket].running).sum();
            f64::from(running) / typical_duration_ms(bucket)
        };
        (from..BUCKETS).map(end_rate).sum()
    }
}

/// Returns the typical duration of a run of the bucket, in ms.
fn typical_duration_ms(bucket: usize) -> f64 {
    (FIRST_BUCKET_END.0 << (2 * bucket)) as f64 / 2.0
}

/// Returns the peak number of concurrent runs for this mean. Arrivals are
/// assumed to be random (Poisson), so this is two standard deviations above the
/// mean.
fn peak_runs(mean: f64) -> u32 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let peak = (mean + 2.0 * mean.sqrt()).ceil() as u32;
    peak
}

fn tier_index(tier: Tier) -> usize {
    usize::from(tier.number() - Tier::HIGHEST.number())
}

#[cfg(test)]
mod tests;
