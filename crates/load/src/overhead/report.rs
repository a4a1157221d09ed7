//! The figures of a measurement, as a table for people and JSON for scripts.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::overhead::Times;

/// All rows of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Fixed when streams started.
    pub seed: u64,
    /// Tokens of each stream.
    pub tokens: u32,
    /// One row per number of streams.
    pub rows: Vec<Row>,
}

/// The figures of one number of streams at once; times in ms.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Streams at once.
    pub streams: usize,
    /// Time to the first token.
    pub first: Figure,
    /// Time between tokens.
    pub gap: Figure,
    /// The entry's memory above its idle one, per stream, in KiB.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kib_per_stream: Option<f64>,
    /// Streams without a whole answer, on both sides, by what they got instead.
    pub failed: BTreeMap<String, u64>,
}

/// A time on both sides, at the median and the 99th percentile.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figure {
    /// Directly, half of the times are below this.
    pub direct_median: f64,
    /// What the entry adds to the median.
    pub added_median: f64,
    /// Directly, 99% of the times are below this.
    pub direct_p99: f64,
    /// What the entry adds to the 99th percentile.
    pub added_p99: f64,
}

impl Figure {
    fn new(direct: &Histogram<u64>, entry: &Histogram<u64>) -> Self {
        let at = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            direct_median: at(direct, 0.5),
            added_median: at(entry, 0.5) - at(direct, 0.5),
            direct_p99: at(direct, 0.99),
            added_p99: at(entry, 0.99) - at(direct, 0.99),
        }
    }
}

impl Row {
    /// The figures of both sides' times; the memory is the growth of all streams, in bytes.
    pub fn new(streams: usize, direct: &Times, entry: &Times, grown: Option<u64>) -> Self {
        Self {
            streams,
            first: Figure::new(&direct.first, &entry.first),
            gap: Figure::new(&direct.gaps, &entry.gaps),
            kib_per_stream: grown.map(|bytes| bytes as f64 / 1_024.0 / streams as f64),
            failed: failed(direct, entry),
        }
    }
}

fn failed(direct: &Times, entry: &Times) -> BTreeMap<String, u64> {
    let sides = [("direct", direct), ("entry", entry)];
    let named = sides.into_iter().flat_map(|(side, times)| {
        let failed = times.failed.iter();
        failed.map(move |(code, count)| (format!("{side}: {code}"), *count))
    });
    named.collect()
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "streams  first token ms: direct, added at median; at p99   between tokens ms: the same         KiB/stream  failed"
        )?;
        for row in &self.rows {
            let memory = row.kib_per_stream.unwrap_or(f64::NAN);
            writeln!(
                formatter,
                "{:>7}  {}   {}  {memory:>10.1}  {:>6}",
                row.streams,
                row.first,
                row.gap,
                row.failed.values().sum::<u64>()
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:>8.3} {:>+8.3}; {:>8.3} {:>+8.3}",
            self.direct_median, self.added_median, self.direct_p99, self.added_p99
        )
    }
}

#[cfg(test)]
mod tests;
