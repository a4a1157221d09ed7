//! What was done to the fleet during a run, and what endpoints did after it.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;

use crate::Error;
use crate::record::{self, Run};

/// One thing done, as a line of a file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// An endpoint was told, or an entry was told of it, to take no new work.
    Leave {
        /// The endpoint's base URL.
        url: String,
        /// Unix milliseconds, before it was told.
        at_ms: Millis,
    },
    /// An entry was stopped, and started anew.
    Restart {
        /// The entry's name.
        name: String,
        /// The exit code of the one that stopped.
        exit: i32,
    },
}

/// What came of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Entries that stopped by exit code 0 and were started anew.
    pub restarts: u64,
    /// Entries that stopped by another exit code.
    pub failed_stops: u64,
    /// Endpoints that were told to leave.
    pub leaves: u64,
    /// Runs that started at an endpoint after it was told to leave.
    pub new_work_after_leave: u64,
    /// The longest time between the two.
    pub new_work_after_leave_ms_max: Millis,
}

/// Reads what was done from a file of JSON lines.
///
/// # Errors
///
/// A file that can't be read, or a line that is something else.
pub fn read(path: &Path) -> Result<Vec<Act>, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error::File {
        path: path.to_owned(),
        error,
    })?;
    let act = |(index, line)| {
        serde_json::from_str(line).map_err(|error: serde_json::Error| Error::Event {
            path: path.to_owned(),
            line: index + 1,
            message: error.to_string(),
        })
    };
    text.lines().enumerate().map(act).collect()
}

/// The records of the endpoints that were told to leave, by base URL.
///
/// # Errors
///
/// A record that can't be read.
pub async fn records(acts: &[Act]) -> Result<BTreeMap<String, Vec<Run>>, Error> {
    let mut records = BTreeMap::new();
    for act in acts {
        if let Act::Leave { url, .. } = act {
            let runs = record::read(std::slice::from_ref(url)).await?;
            records.insert(url.clone(), runs);
        }
    }
    Ok(records)
}

/// Compares what was done with the records.
pub fn compare(acts: &[Act], records: &BTreeMap<String, Vec<Run>>) -> Findings {
    let mut findings = Findings::default();
    for act in acts {
        match act {
            Act::Restart { exit: 0, .. } => findings.restarts += 1,
            Act::Restart { .. } => findings.failed_stops += 1,
            Act::Leave { url, at_ms } => {
                findings.leaves += 1;
                findings.left(*at_ms, records.get(url).map_or(&[], Vec::as_slice));
            }
        }
    }
    findings
}

impl Findings {
    fn left(&mut self, at: Millis, runs: &[Run]) {
        let starts = runs.iter().filter_map(|run| run.started_ms);
        for start in starts.filter(|start| *start > at) {
            self.new_work_after_leave += 1;
            self.new_work_after_leave_ms_max = self.new_work_after_leave_ms_max.max(start - at);
        }
    }
}

#[cfg(test)]
mod tests;
