//! Data centres that operators evacuate: their endpoints receive no requests until the evacuation
//! is withdrawn.
//!
//! An entry knows the set of evacuated data centres and the platform's revision of it. Of two sets,
//! the one with the higher revision is the later one, from whichever source it comes. Revisions are
//! [stamps](crate::era).

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
/// // Older changes are ignored.
/// assert!(!evacuation.apply(&[change(6, false)]));
/// assert!(evacuation.apply(&[change(8, false)]));
/// assert!(!evacuation.covers(&"a".into()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    revision: u64,
    data_centres: BTreeSet<name::DataCentre>,
}

/// A data centre whose evacuation begins or ends at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The platform's revision of the change.
    pub revision: u64,
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Whether it is evacuated from this revision on.
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

    /// The latest revision for which the set is known; 0 before any is.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The data centres that are evacuated.
    pub fn data_centres(&self) -> &BTreeSet<name::DataCentre> {
        &self.data_centres
    }

    /// Whether a data centre is evacuated, so that its endpoints receive no requests.
    pub fn covers(&self, data_centre: &name::DataCentre) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Replaces the set with a snapshot, unless that is older. Returns whether the set changed.
    ///
    /// An equal set at a later revision only advances the revision, so that changes before it no
    /// longer apply.
    pub fn replace(&mut self, snapshot: Self) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        let is_changed = snapshot.data_centres != self.data_centres;
        *self = snapshot;
        is_changed
    }

    /// Applies changes in the order of their revisions. Returns whether any of them was newer than
    /// the known revision.
    pub fn apply(&mut self, changes: &[Change]) -> bool {
        let before = self.revision;
        for change in changes {
            self.apply_one(change);
        }
        self.revision > before
    }

    fn apply_one(&mut self, change: &Change) {
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
