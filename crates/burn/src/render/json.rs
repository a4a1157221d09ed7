//! The report for machines.

use crate::report::Report;

/// The report as one JSON object, in the form that `docs/operators/burn.md` states.
///
/// # Errors
///
/// Those of `serde_json`.
pub fn render(report: &Report) -> serde_json::Result<String> {
    serde_json::to_string_pretty(report)
}
