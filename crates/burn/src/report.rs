//! From rows to the report: pure sums.

use std::collections::BTreeMap;

use serde::Serialize;
use woodgap_core::burn::{Count, Row};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::tier::Tier;

use crate::figure::Figure;

/// The version of the JSON form; it changes when a field changes its meaning or goes.
pub const SCHEMA: &str = "woodgap-burn/1";

/// A minute, the grain of the counts.
pub const MINUTE: Millis = Millis::from_secs(60);

/// What a report is about.
#[derive(Clone, Debug)]
pub struct Scope {
    /// The first moment, in milliseconds since the Unix epoch.
    pub from: Millis,
    /// The end, in milliseconds since the Unix epoch; its minute is still counted.
    pub until: Millis,
    /// The share of requests that should meet their target, between 0 and 1.
    pub objective: f64,
}

/// The report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// [`SCHEMA`].
    pub schema: &'static str,
    /// The first moment, in milliseconds since the Unix epoch.
    pub from: Millis,
    /// The end, in milliseconds since the Unix epoch.
    pub until: Millis,
    /// By tier and class, the highest tier first.
    pub lines: Vec<Line>,
    /// All lines together.
    pub total: Figure,
}

/// The figures of one tier and class.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The tier.
    pub tier: Tier,
    /// The class.
    pub class: name::Class,
    /// The figures.
    #[serde(flatten)]
    pub figure: Figure,
}

impl Report {
    /// Adds up the rows that lie within the scope.
    pub fn from_rows(rows: &[Row], scope: &Scope) -> Self {
        let minutes = scope.from.0 / MINUTE.0..=scope.until.0 / MINUTE.0;
        let mut sums: BTreeMap<(Tier, &name::Class), Count> = BTreeMap::new();
        let mut total = Count::default();
        let inside = rows.iter().filter(|row| minutes.contains(&row.minute));
        for cell in inside.flat_map(|row| &row.cells) {
            let sum = sums.entry((cell.key.tier, &cell.key.class)).or_default();
            sum.add(&cell.count);
            total.add(&cell.count);
        }
        let line = |((tier, class), count): ((Tier, &name::Class), Count)| Line {
            tier,
            class: class.clone(),
            figure: Figure::new(count, scope.objective),
        };
        Self {
            schema: SCHEMA,
            from: scope.from,
            until: scope.until,
            lines: sums.into_iter().map(line).collect(),
            total: Figure::new(total, scope.objective),
        }
    }
}
