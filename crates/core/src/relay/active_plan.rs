//! The active plan, and the time up to which it is known to be the newest.

use std::sync::Arc;

use crate::clock::Millis;
use crate::relay::Table;

/// The active plan.
///
/// Its version never decreases. `as_of` is the latest time, on this process's own clock,
/// before which no newer plan is known to have been accepted.
#[derive(Debug, Default)]
pub struct ActivePlan {
    table: Option<Arc<Table>>,
    as_of: Millis,
}

/// The newest plan that the source is known to hold.
///
/// A source that has come back from an older copy may lack the plan in force. Until it holds that
/// plan again, or a later one, its word that nothing is new confirms nothing: it may have lost a
/// later one as well.
///
/// ```
/// use woodgap_core::relay::active_plan::SourcePlan;
///
/// let mut source = SourcePlan::default();
/// assert_eq!(source.newest(), None);
/// source.read(11);
/// assert_eq!(source.newest(), Some(11));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SourcePlan {
    newest: Option<u64>,
}

impl SourcePlan {
    /// Records that this version was read as the newest.
    pub fn read(&mut self, version: u64) {
        self.newest = Some(version);
    }

    /// The version of the newest plan; `None` before any was read.
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }
}

/// What became of a plan that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is now the active plan.
    Applied,
    /// It was the active plan already.
    Confirmed,
    /// A newer plan is active.
    Outdated,
}

impl ActivePlan {
    /// The active plan; `None` until the first one is received.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// The active version; 0 until the first plan is received.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// The time since the active plan was last known to be the newest.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.as_of
    }

    /// Activates a plan that was the newest at `as_of`, unless a newer one is active.
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

    /// Records that a version was the newest at `as_of`.
    ///
    /// Returns whether that version is newer than the active one and has to be fetched.
    pub fn confirm(&mut self, version: u64, as_of: Millis) -> bool {
        if version == self.version() && self.table.is_some() {
            self.as_of = self.as_of.max(as_of);
        }
        version > self.version()
    }
}
