//! The figures of a measurement: a policy against the baseline.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::check::Findings;
use crate::inversion;
use crate::report::{Report, Row};

/// One run's report and what the records say about it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Measured {
    /// The report.
    pub report: Report,
    /// The comparison with the records, if they were asked for.
    pub check: Option<Findings>,
}

/// The runs under one policy.
#[derive(Clone, Debug)]
pub struct Side {
    /// The run in question.
    pub run: Measured,
    /// The same traffic without bursts.
    pub calm: Option<Measured>,
}

/// The runs under both policies.
#[derive(Clone, Debug)]
pub struct Sides {
    /// Under the policy in question; none if only the baseline was run.
    pub ours: Option<Side>,
    /// Under the baseline policy.
    pub baseline: Side,
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Tiers at twice the capacity.
    Tiers,
    /// One class at ten times its rate.
    Burst,
    /// Slow engines and stale reports.
    Unequal,
}

impl Kind {
    /// The kind of this name.
    ///
    /// ```
    /// use woodgap_load::case::Kind;
    ///
    /// assert_eq!(Kind::named("tiers"), Some(Kind::Tiers));
    /// assert_eq!(Kind::named("tears"), None);
    /// ```
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "tiers" => Some(Self::Tiers),
            "burst" => Some(Self::Burst),
            "unequal" => Some(Self::Unequal),
            _ => None,
        }
    }

    /// The JSON line.
    pub fn line(self, sides: &Sides) -> Line {
        let figures = |side: &Side| match self {
            Self::Tiers => Figures::Tiers(tiers(&side.run)),
            Self::Burst => Figures::Burst(burst(side)),
            Self::Unequal => Figures::Unequal(unequal(&side.run)),
        };
        Line {
            case: self,
            seed: sides.baseline.run.report.seed,
            ours: sides.ours.as_ref().map(figures),
            baseline: Prefixed(figures(&sides.baseline)),
        }
    }
}

/// The JSON line of a case: our figures, then the baseline's by prefixed names.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    case: Kind,
    seed: u64,
    #[serde(flatten)]
    ours: Option<Figures>,
    #[serde(flatten)]
    baseline: Prefixed,
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
enum Figures {
    Tiers(Tiers),
    Burst(Burst),
    Unequal(Unequal),
}

/// Serialises the fields of figures as `baseline_…`.
#[derive(Clone, Debug)]
struct Prefixed(Figures);

impl Serialize for Prefixed {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let value = serde_json::to_value(&self.0).map_err(serde::ser::Error::custom)?;
        let fields = value.as_object().into_iter().flatten();
        serializer.collect_map(fields.map(|(name, value)| (format!("baseline_{name}"), value)))
    }
}

#[derive(Clone, Debug, Serialize)]
struct Tiers {
    inversions: u64,
    inversions_beyond_share: u64,
    shed: u64,
    preempted: u64,
    attainment: BTreeMap<u8, f64>,
    sent: u64,
    complete: u64,
    lost: u64,
    goodput: f64,
    wasted: f64,
}

fn tiers(run: &Measured) -> Tiers {
    let inversion::Count {
        shed,
        preempted,
        inversions,
        beyond_share,
    } = run
        .check
        .as_ref()
        .map(|check| check.inversion)
        .unwrap_or_default();
    let totals = run.report.totals;
    Tiers {
        inversions,
        inversions_beyond_share: beyond_share,
        shed,
        preempted,
        attainment: run.report.attainment.clone(),
        sent: totals.sent,
        complete: totals.complete,
        lost: totals.lost,
        goodput: run.report.goodput,
        wasted: wasted(run),
    }
}

#[derive(Clone, Debug, Serialize)]
struct Burst {
    others_attainment: f64,
    others_attainment_calm: f64,
    bursting_attainment: f64,
    goodput: f64,
    lost: u64,
    wasted: f64,
}

fn burst(side: &Side) -> Burst {
    let calm = side.calm.as_ref();
    Burst {
        others_attainment: attainment(&side.run.report, |row| !row.bursts),
        others_attainment_calm: calm
            .map_or(0.0, |calm| attainment(&calm.report, |row| !row.bursts)),
        bursting_attainment: attainment(&side.run.report, |row| row.bursts),
        goodput: side.run.report.goodput,
        lost: side.run.report.totals.lost,
        wasted: wasted(&side.run),
    }
}

#[derive(Clone, Debug, Serialize)]
struct Unequal {
    goodput: f64,
    wasted: f64,
    attainment: f64,
    sent: u64,
    complete: u64,
    lost: u64,
}

fn unequal(run: &Measured) -> Unequal {
    let totals = run.report.totals;
    Unequal {
        goodput: run.report.goodput,
        wasted: wasted(run),
        attainment: attainment(&run.report, |_| true),
        sent: totals.sent,
        complete: totals.complete,
        lost: totals.lost,
    }
}

fn wasted(run: &Measured) -> f64 {
    run.check.as_ref().map_or(0.0, |check| check.wasted)
}

/// The share of the requests of some rows that met their target.
fn attainment(report: &Report, of: impl Fn(&Row) -> bool) -> f64 {
    let rows = report.rows.iter().filter(|row| of(row));
    let (met, sent) = rows.fold((0, 0), |(met, sent), row| {
        (met + row.met, sent + row.totals.sent)
    });
    if sent == 0 {
        0.0
    } else {
        met as f64 / sent as f64
    }
}

#[cfg(test)]
mod tests;
