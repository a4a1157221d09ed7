//! A yes or no that several entries may change and all come to agree on.

use serde::{Deserialize, Serialize};

/// A yes or no with a count of its changes. Of two, the one with more changes
/// holds, and of two with as many the yes.
///
/// ```
/// use woodgap_core::endpoint::Flag;
///
/// let mut here = Flag::default();
/// let mut there = Flag::default();
/// assert!(here.set(true));
/// assert!(there.merge(here) && there.is_set());
/// // A repeated or late word changes nothing.
/// assert!(there.set(false));
/// assert!(!there.merge(here) && !there.is_set());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Flag {
    // The order of the fields is the order of precedence.
    changes: u32,
    set: bool,
}

impl Flag {
    /// Whether it is a yes.
    pub const fn is_set(self) -> bool {
        self.set
    }

    /// Changes it; says whether that is a change.
    pub fn set(&mut self, set: bool) -> bool {
        if self.set == set {
            return false;
        }
        self.changes += 1;
        self.set = set;
        true
    }

    /// Takes in another entry's word; says whether that changed what holds here.
    pub fn merge(&mut self, other: Self) -> bool {
        let before = self.set;
        *self = other.max(*self);
        self.set != before
    }
}
