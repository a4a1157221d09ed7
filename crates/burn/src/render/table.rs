//! The report for people: aligned columns of plain text.

use crate::figure::Figure;
use crate::report::{Line, Report};

/// Stands where there is nothing to divide by.
const NONE: &str = "-";

const HEADINGS: [&str; 10] = [
    "tier",
    "class",
    "ended",
    "attainment",
    "goodput",
    "complete",
    "not_run",
    "uncertain",
    "wasted",
    "burn",
];

/// The report as text.
pub fn render(report: &Report) -> String {
    let mut rows = vec![HEADINGS.map(str::to_owned).to_vec()];
    rows.extend(report.lines.iter().map(line));
    rows.push(cells("all", "", &report.total));
    align(&rows)
}

fn line(line: &Line) -> Vec<String> {
    cells(&line.tier.to_string(), line.class.as_str(), &line.figure)
}

fn cells(tier: &str, class: &str, figure: &Figure) -> Vec<String> {
    vec![
        tier.to_owned(),
        class.to_owned(),
        figure.count.ended.to_string(),
        percent(figure.attainment),
        figure.goodput.to_string(),
        figure.count.complete.to_string(),
        figure.count.not_run.to_string(),
        figure.count.uncertain.to_string(),
        percent(figure.wasted_share),
        decimal(figure.burn),
    ]
}

fn percent(share: Option<f64>) -> String {
    share.map_or_else(|| NONE.to_owned(), |share| format!("{:.2}%", share * 100.0))
}

fn decimal(number: Option<f64>) -> String {
    number.map_or_else(|| NONE.to_owned(), |number| format!("{number:.2}"))
}

/// Pads each column to its widest cell.
fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let widest = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns).filter_map(widest).collect();
    let padded = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).enumerate();
        let text: Vec<String> = cells
            .map(|(column, (cell, width))| match column {
                // Names read better from the left, numbers from the right.
                0 | 1 => format!("{cell:<width$}"),
                _ => format!("{cell:>width$}"),
            })
            .collect();
        text.join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(padded).collect()
}
