//! Counts by minute and key, held until they are recorded.

use std::collections::BTreeMap;

use crate::burn::{Cell, Count, Key, Row};
use crate::name;

/// Counts of the minutes that are not yet recorded.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    minutes: BTreeMap<u64, BTreeMap<Key, Count>>,
    cells: usize,
}

impl Ledger {
    /// Holds a minute from now on, even if nothing is counted in it.
    pub fn open(&mut self, minute: u64) {
        self.minutes.entry(minute).or_default();
    }

    /// Adds to the counts of a minute.
    pub fn add(&mut self, minute: u64, key: &Key, count: &Count) {
        let cells = self.minutes.entry(minute).or_default();
        if let Some(sum) = cells.get_mut(key) {
            sum.add(count);
        } else {
            cells.insert(key.clone(), *count);
            self.cells += 1;
        }
    }

    /// The rows of all minutes that are held, oldest first.
    pub fn rows(&self, entry: &name::Entry, incarnation: name::Incarnation) -> Vec<Row> {
        let minutes = self.minutes.keys();
        minutes
            .filter_map(|minute| self.row(*minute, entry, incarnation))
            .collect()
    }

    /// The row of one minute, if it is held.
    pub fn row(
        &self,
        minute: u64,
        entry: &name::Entry,
        incarnation: name::Incarnation,
    ) -> Option<Row> {
        let cells = self.minutes.get(&minute)?;
        let cell = |(key, count): (&Key, &Count)| Cell {
            key: key.clone(),
            count: *count,
        };
        Some(Row {
            entry: entry.clone(),
            incarnation,
            minute,
            cells: cells.iter().map(cell).collect(),
            started: None,
            last: false,
        })
    }

    /// Whether adding to this key of a minute needs no room.
    pub fn has(&self, minute: u64, key: &Key) -> bool {
        let cells = self.minutes.get(&minute);
        cells.is_some_and(|cells| cells.contains_key(key))
    }

    /// How many counts a minute holds.
    pub fn width(&self, minute: u64) -> usize {
        self.minutes.get(&minute).map_or(0, BTreeMap::len)
    }

    /// How many counts are held in all.
    pub fn cells(&self) -> usize {
        self.cells
    }

    /// Merges the workspaces of a minute into one count per tier and class.
    pub fn merge(&mut self, minute: u64) {
        let Some(cells) = self.minutes.get_mut(&minute) else {
            return;
        };
        let detailed = std::mem::take(cells);
        self.cells -= detailed.len();
        for (key, count) in detailed {
            self.add(minute, &key.merged(), &count);
        }
    }

    /// Forgets a minute, once its row is recorded and can no longer change.
    pub fn forget(&mut self, minute: u64) {
        if let Some(cells) = self.minutes.remove(&minute) {
            self.cells -= cells.len();
        }
    }
}
