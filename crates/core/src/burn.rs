//! Counts of what became of requests: the raw material of the burn report.

mod ledger;
mod pace;
mod recorder;

use std::ops::Not;

use serde::{Deserialize, Serialize};

pub use ledger::Ledger;
pub use recorder::Recorder;

use crate::clock::Millis;
use crate::name;
use crate::tier::Tier;

/// The table that holds one row per entry, incarnation and minute.
pub const TABLE: &str = "burn";

/// The grain of the counts: fine enough for a burn over five minutes, coarse
/// enough that an entry keeps a day of them in memory.
pub const MINUTE: Millis = Millis::from_secs(60);

/// The minute that a time lies in, counted from the Unix epoch.
///
/// ```
/// use woodgap_core::burn::minute;
/// use woodgap_core::clock::Millis;
///
/// assert_eq!(minute(Millis(119_999)), 1);
/// ```
pub const fn minute(unix: Millis) -> u64 {
    unix.0 / MINUTE.0
}

/// What the counts are kept by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The workspace's tier at the time.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
    /// The workspace; an empty name stands for several whose counts were merged.
    pub workspace: name::Workspace,
}

impl Key {
    /// The key that counts of all workspaces of this tier and class are merged under.
    #[must_use]
    pub fn merged(&self) -> Self {
        Self {
            workspace: name::Workspace::from(""),
            ..self.clone()
        }
    }

    /// Whether the workspace is no longer known.
    pub fn is_merged(&self) -> bool {
        self.workspace.as_str().is_empty()
    }
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
    /// The minute in which this life began; each minute since then has a row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<u64>,
    /// Whether the life ended in this minute, with all its counts recorded.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub last: bool,
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
