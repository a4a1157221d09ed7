//! Adds rows up by minute, tier and class, and notes who recorded when.
//!
//! Rows can be added as they are read, so that a day of a large fleet's rows
//! is never in memory at once.

use std::collections::{BTreeMap, BTreeSet};

use woodgap_core::burn::{Count, Row};
use woodgap_core::name;
use woodgap_core::tier::Tier;

use crate::span::Span;

/// What the report's lines are kept by.
pub type Key = (Tier, name::Class);

/// One life of an entry.
pub type Life = (name::Entry, name::Incarnation);

/// The minutes that a life recorded.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// The minutes with a row.
    pub minutes: BTreeSet<u64>,
    /// The minute in which the life began, if its rows tell.
    pub started: Option<u64>,
    /// The minute that bears the mark of a clean end.
    pub last: Option<u64>,
}

/// Sums of rows.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    workspace: Option<name::Workspace>,
    minutes: BTreeMap<u64, BTreeMap<Key, Count>>,
    lives: BTreeMap<Life, Presence>,
    merged: u64,
    end: Option<u64>,
}

impl Tally {
    /// An empty tally of all workspaces, or of one.
    pub fn new(workspace: Option<name::Workspace>) -> Self {
        Self {
            workspace,
            ..Self::default()
        }
    }

    /// Adds a row; each row is to be added once.
    pub fn add(&mut self, row: &Row) {
        let life = (row.entry.clone(), row.incarnation);
        let presence = self.lives.entry(life).or_default();
        presence.minutes.insert(row.minute);
        presence.started = presence.started.or(row.started);
        if row.last {
            presence.last = presence.last.max(Some(row.minute));
        }
        let sums = self.minutes.entry(row.minute).or_default();
        for cell in &row.cells {
            if let Some(workspace) = &self.workspace
                && *workspace != cell.key.workspace
            {
                // It can't be told whether these are the workspace's.
                self.merged += if cell.key.is_merged() {
                    cell.count.ended
                } else {
                    0
                };
                continue;
            }
            let key = (cell.key.tier, cell.key.class.clone());
            sums.entry(key).or_default().add(&cell.count);
        }
    }

    /// Notes that from this minute on, rows may be there that were not added.
    pub fn cut(&mut self, end: u64) {
        self.end = Some(end);
    }

    /// The part of a span whose rows were all added.
    pub fn known(&self, span: Span) -> Span {
        Span {
            end: self.end.map_or(span.end, |end| end.min(span.end)),
            ..span
        }
    }

    /// The counts of a span, by tier and class.
    pub fn sums(&self, span: Span) -> BTreeMap<Key, Count> {
        let mut sums: BTreeMap<Key, Count> = BTreeMap::new();
        for (key, count) in self.cells(span) {
            if let Some(sum) = sums.get_mut(key) {
                sum.add(count);
            } else {
                sums.insert(key.clone(), *count);
            }
        }
        sums
    }

    /// How many minutes of a span have a row of any entry.
    pub fn covered(&self, span: Span) -> u64 {
        self.minutes.range(span.first..span.end).count() as u64
    }

    /// The minutes that each life recorded.
    pub fn lives(&self) -> &BTreeMap<Life, Presence> {
        &self.lives
    }

    /// The workspace that is tallied alone, if any.
    pub fn workspace(&self) -> Option<&name::Workspace> {
        self.workspace.as_ref()
    }

    /// Requests left out because their workspace was not recorded.
    pub fn merged(&self) -> u64 {
        self.merged
    }

    fn cells(&self, span: Span) -> impl Iterator<Item = (&Key, &Count)> {
        let minutes = self.minutes.range(span.first..span.end);
        minutes.flat_map(|(_, sums)| sums)
    }
}
