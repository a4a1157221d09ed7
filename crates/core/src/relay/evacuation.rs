//! Data centres that the operators empty: their endpoints are to receive nothing more
//! until that is withdrawn.
//!
//! What is known is a set and the revision at which it stood at the platform. Of two sets
//! the one with the higher revision is the later, by whichever way they come.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::name;

/// The data centres that are evacuated, as of a revision.
///
/// ```
/// use woodgap_core::relay::evacuation::{Change, Evacuation};
///
/// let mut evacuation = Evacuation::default();
/// let change = |revision, is_evacuated| Change {
///     revision,
///     data_centre: "a".into(),
///     is_evacuated,
/// };
/// assert!(evacuation.apply(&[change(7, true)]));
/// assert!(evacuation.covers(&"a".into()));
/// // What is older changes nothing.
/// assert!(!evacuation.apply(&[change(6, false)]));
/// assert!(evacuation.apply(&[change(8, false)]));
/// assert!(!evacuation.covers(&"a".into()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    revision: u64,
    data_centres: BTreeSet<name::DataCentre>,
}

/// A data centre that is evacuated from a revision on, or no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Since when, by the platform's count of changes.
    pub revision: u64,
    /// Which.
    pub data_centre: name::DataCentre,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
}

impl Evacuation {
    /// The data centres that were evacuated at a revision.
    pub fn new(revision: u64, data_centres: BTreeSet<name::DataCentre>) -> Self {
        Self {
            revision,
            data_centres,
        }
    }

    /// The last revision at which the set is known to have stood; 0 where none was ever learnt.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The data centres that are evacuated.
    pub fn data_centres(&self) -> &BTreeSet<name::DataCentre> {
        &self.data_centres
    }

    /// Whether endpoints of a data centre are to receive nothing.
    pub fn covers(&self, data_centre: &name::DataCentre) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Takes the whole set as it stood at a revision. Gives back whether that changes anything.
    ///
    /// The same set at a later revision is no news, but what held in between no longer counts.
    pub fn replace(&mut self, whole: Self) -> bool {
        if whole.revision <= self.revision {
            return false;
        }
        let is_news = whole.data_centres != self.data_centres;
        *self = whole;
        is_news
    }

    /// Takes changes in the order of their revisions. Gives back whether any was news.
    pub fn apply(&mut self, changes: &[Change]) -> bool {
        let before = self.revision;
        for change in changes {
            self.take(change);
        }
        self.revision > before
    }

    fn take(&mut self, change: &Change) {
        if change.revision <= self.revision {
            return;
        }
        self.revision = change.revision;
        if change.is_evacuated {
            self.data_centres.insert(change.data_centre.clone());
        } else {
            self.data_centres.remove(&change.data_centre);
        }
    }
}
