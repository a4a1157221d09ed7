//! Counts of what became of requests: the raw material of the burn report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name;
use crate::tier::Tier;

/// The table that holds one row per entry, incarnation and minute.
pub const TABLE: &str = "burn";

/// What the counts are kept by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The workspace's tier at the time.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
}

/// Counts of one key in one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Count {
    /// Requests that reached their end, whatever it was.
    pub ended: u64,
    /// Requests answered whole.
    pub complete: u64,
    /// Requests answered whole and within their latency target.
    pub met: u64,
    /// Refusals whose verdict was `not_run`.
    pub not_run: u64,
    /// Ends whose verdict was `may_have_run` or `ran`.
    pub uncertain: u64,
    /// Requests whose caller went away first.
    pub abandoned: u64,
    /// Tokens (or calls, for plain services) that reached a caller once.
    pub tokens_useful: u64,
    /// Tokens (or calls) discarded, doubled or cut off.
    pub tokens_wasted: u64,
}

impl Count {
    /// Adds another count to this one.
    pub fn add(&mut self, other: &Self) {
        self.ended += other.ended;
        self.complete += other.complete;
        self.met += other.met;
        self.not_run += other.not_run;
        self.uncertain += other.uncertain;
        self.abandoned += other.abandoned;
        self.tokens_useful += other.tokens_useful;
        self.tokens_wasted += other.tokens_wasted;
    }
}

/// One row: the counts of one entry's life in one minute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The entry that counted.
    pub entry: name::Entry,
    /// The entry's life.
    pub incarnation: name::Incarnation,
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// The counts; a list, since JSON keys are texts.
    pub cells: Vec<Cell>,
}

/// One key's counts within a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// What is counted.
    #[serde(flatten)]
    pub key: Key,
    /// The counts.
    #[serde(flatten)]
    pub count: Count,
}

impl Row {
    /// The row's key in the table: minutes sort first, so a report reads a range.
    pub fn table_key(&self) -> String {
        format!(
            "{:010}/{}/{:016x}",
            self.minute, self.entry, self.incarnation.0
        )
    }
}

/// Counts of the minutes that are not yet recorded.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    minutes: BTreeMap<u64, BTreeMap<Key, Count>>,
}

impl Ledger {
    /// Adds to the counts of a minute.
    pub fn add(&mut self, minute: u64, key: &Key, count: &Count) {
        let cells = self.minutes.entry(minute).or_default();
        if let Some(sum) = cells.get_mut(key) {
            sum.add(count);
        } else {
            cells.insert(key.clone(), *count);
        }
    }

    /// The rows of all minutes that are held, oldest first.
    pub fn rows(&self, entry: &name::Entry, incarnation: name::Incarnation) -> Vec<Row> {
        let row = |(minute, cells): (&u64, &BTreeMap<Key, Count>)| Row {
            entry: entry.clone(),
            incarnation,
            minute: *minute,
            cells: cells
                .iter()
                .map(|(key, count)| Cell {
                    key: key.clone(),
                    count: *count,
                })
                .collect(),
        };
        self.minutes.iter().map(row).collect()
    }

    /// Forgets a minute, once its row is recorded and can no longer change.
    pub fn forget(&mut self, minute: u64) {
        self.minutes.remove(&minute);
    }
}
