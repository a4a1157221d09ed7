//! What came of a run of the simulation.

use woodgap_core::clock::Millis;

/// What came of one source's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub sent: u64,
    pub met: u64,
    pub complete: u64,
    pub refused: u64,
    pub failed: u64,
    /// Longest time from arrival to the end of a complete one.
    pub longest: Millis,
    /// Longest wait inside an engine.
    pub queued: Millis,
    pub latencies: Vec<u64>,
}

impl Tally {
    pub fn attainment(&self) -> f64 {
        self.met as f64 / self.sent.max(1) as f64
    }

    pub fn median(&self) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or(0)
    }
}

/// What came of it all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub by_source: Vec<Tally>,
    /// Tokens of runs that broke off.
    pub wasted: u64,
    pub useful: u64,
    /// Requests shed while a lower tier's waited, or was sent within a second after.
    pub inversions: u64,
    /// Requests without an end, an hour after the last arrival.
    pub lost: usize,
    /// Answers whose prompt's start was found in the cache, of those that have one.
    pub hits: u64,
    pub misses: u64,
    /// Runs by engine.
    pub runs: Vec<u64>,
}

impl Report {
    pub fn sent(&self) -> u64 {
        self.by_source.iter().map(|tally| tally.sent).sum()
    }

    pub fn met(&self) -> u64 {
        self.by_source.iter().map(|tally| tally.met).sum()
    }

    /// Attainment of the sources of which this holds.
    pub fn attainment(&self, which: impl Fn(usize) -> bool) -> f64 {
        let chosen = || {
            let all = self.by_source.iter().enumerate();
            all.filter(|(index, _)| which(*index))
        };
        let met: u64 = chosen().map(|(_, tally)| tally.met).sum();
        let sent: u64 = chosen().map(|(_, tally)| tally.sent).sum();
        met as f64 / sent.max(1) as f64
    }
}
