//! The figures that are worked out from counts.

use serde::Serialize;
use woodgap_core::burn::Count;

/// Counts with the shares that people read off them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The counts themselves.
    #[serde(flatten)]
    pub count: Count,
    /// Requests answered once, whole and within their latency target.
    pub goodput: u64,
    /// Share of the requests that met their target; none if none counts.
    pub attainment: Option<f64>,
    /// Share of the tokens (or calls) that were wasted; none if there were none.
    pub wasted_share: Option<f64>,
    /// How fast the error budget is spent: 1 spends it exactly within its
    /// period; none if no request counts.
    pub burn: Option<f64>,
}

impl Figure {
    /// The figures of these counts against an objective between 0 and 1.
    ///
    /// ```
    /// use woodgap_burn::figure::Figure;
    /// use woodgap_core::burn::Count;
    ///
    /// let count = Count { ended: 110, abandoned: 10, met: 98, ..Count::default() };
    /// let figure = Figure::new(count, 0.99);
    /// assert_eq!(figure.attainment, Some(0.98));
    /// assert!((figure.burn.unwrap() - 2.0).abs() < 1e-9);
    /// ```
    pub fn new(count: Count, objective: f64) -> Self {
        let attainment = share(count.met, counted(&count));
        let tokens = count.tokens_useful + count.tokens_wasted;
        Self {
            count,
            goodput: count.met,
            attainment,
            wasted_share: share(count.tokens_wasted, tokens),
            burn: attainment.map(|attainment| (1.0 - attainment) / (1.0 - objective)),
        }
    }
}

/// Requests that count for attainment: a caller that went away had no use for a target.
pub fn counted(count: &Count) -> u64 {
    count.ended.saturating_sub(count.abandoned)
}

fn share(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}
