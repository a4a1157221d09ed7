//! The figures that are worked out from counts.

use serde::Serialize;
use woodgap_core::burn::Count;

/// Counts with the errors that their objectives allow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    count: Count,
    /// Requests that may miss their target, by the objectives of their classes.
    allowed: f64,
}

impl Sum {
    /// Adds counts of a class with this objective.
    pub fn add(&mut self, count: &Count, objective: f64) {
        self.count.add(count);
        self.allowed += counted(count) as f64 * (1.0 - objective);
    }

    /// The figures of all that was added.
    pub fn figure(&self) -> Figure {
        let count = self.count;
        let counted = counted(&count);
        let missed = counted.saturating_sub(count.met);
        let tokens = count.tokens_useful + count.tokens_wasted;
        Figure {
            count,
            goodput: count.met,
            counted,
            attainment: share(counted - missed, counted),
            wasted_share: share(count.tokens_wasted, tokens),
            burn: (counted > 0).then(|| missed as f64 / self.allowed),
        }
    }
}

/// Counts with the shares that people read off them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The counts themselves.
    #[serde(flatten)]
    pub count: Count,
    /// Requests answered once, whole and within their latency target.
    pub goodput: u64,
    /// Requests that count for attainment: all that ended, less those whose
    /// caller went away first.
    pub counted: u64,
    /// Share of the counted requests that met their target; none if none counts.
    pub attainment: Option<f64>,
    /// Share of the tokens (or calls) that were wasted; none if there were none.
    pub wasted_share: Option<f64>,
    /// How fast the error budget is spent: 1 spends it exactly within its
    /// period; none if no request counts.
    pub burn: Option<f64>,
}

impl Figure {
    /// The figures of counts against an objective above 0 and below 1.
    ///
    /// ```
    /// use woodgap_burn::figure::Figure;
    /// use woodgap_core::burn::Count;
    ///
    /// let count = Count { ended: 110, abandoned: 10, met: 98, ..Count::default() };
    /// let figure = Figure::new(&count, 0.99);
    /// assert_eq!(figure.attainment, Some(0.98));
    /// assert!((figure.burn.unwrap() - 2.0).abs() < 1e-9);
    /// ```
    pub fn new(count: &Count, objective: f64) -> Self {
        let mut sum = Sum::default();
        sum.add(count, objective);
        sum.figure()
    }
}

fn counted(count: &Count) -> u64 {
    count.ended.saturating_sub(count.abandoned)
}

fn share(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}
