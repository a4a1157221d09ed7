//! Which plan is in force, and until when it is known to be the newest.

use std::sync::Arc;

use crate::clock::Millis;
use crate::relay::Table;

/// The plan in force.
///
/// It moves forward only. `as_of` is the latest moment of which it is known that
/// no newer plan had been accepted before it, on this process's own clock.
#[derive(Debug, Default)]
pub struct ActivePlan {
    table: Option<Arc<Table>>,
    as_of: Millis,
}

/// What became of a plan that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Confirmed,
    /// A newer one is in force.
    Outdated,
}

impl ActivePlan {
    /// The plan in force; none before the first was learnt.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The version in force; 0 before the first was learnt.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// How long ago the plan in force was known to be the newest.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.as_of
    }

    /// Takes a plan that was the newest at `as_of`.
    pub fn offer(&mut self, table: Arc<Table>, as_of: Millis) -> Offer {
        match table.version().cmp(&self.version()) {
            std::cmp::Ordering::Less => return Offer::Outdated,
            std::cmp::Ordering::Equal if self.table.is_some() => {
                self.as_of = self.as_of.max(as_of);
                return Offer::Confirmed;
            }
            _ => {}
        }
        self.table = Some(table);
        self.as_of = self.as_of.max(as_of);
        Offer::Applied
    }

    /// Notes that a version was the newest at `as_of`.
    ///
    /// Gives back whether it is newer than the one in force, and so to be fetched.
    pub fn confirm(&mut self, version: u64, as_of: Millis) -> bool {
        if version == self.version() && self.table.is_some() {
            self.as_of = self.as_of.max(as_of);
        }
        version > self.version()
    }
}
