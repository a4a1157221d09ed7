//! Submissions that one incarnation of an entry abandoned unsent.

use std::collections::BTreeSet;

use crate::name;

/// Maximum number of submissions remembered; they take some megabytes. A forgotten one is
/// treated as possibly sent, which is always safe.
const MAX_ENTRIES: usize = 100_000;

/// Submissions of one incarnation that were not sent to an endpoint and never will be.
///
/// ```
/// use woodgap_core::name::{Incarnation, Request};
/// use woodgap_core::once::AbandonedRequests;
///
/// let mut abandoned = AbandonedRequests::new(Incarnation(1));
/// let own = Request { incarnation: Incarnation(1), sequence: 7 };
/// abandoned.abandon(own);
/// assert!(abandoned.is_abandoned(own));
/// // Nothing is known about other incarnations.
/// assert!(!abandoned.is_abandoned(Request { incarnation: Incarnation(2), ..own }));
/// ```
#[derive(Clone, Debug)]
pub struct AbandonedRequests {
    incarnation: name::Incarnation,
    abandoned: BTreeSet<u64>,
}

impl AbandonedRequests {
    /// Creates an empty set for a new incarnation.
    pub fn new(incarnation: name::Incarnation) -> Self {
        Self {
            incarnation,
            abandoned: BTreeSet::new(),
        }
    }

    /// Records that a submission will never be sent. Call it before any action that relies on
    /// this.
    pub fn abandon(&mut self, request: name::Request) {
        if request.incarnation != self.incarnation {
            return;
        }
        self.abandoned.insert(request.sequence);
        if self.abandoned.len() > MAX_ENTRIES {
            self.abandoned.pop_first();
        }
    }

    /// Whether a submission is known to have been abandoned.
    pub fn is_abandoned(&self, request: name::Request) -> bool {
        request.incarnation == self.incarnation && self.abandoned.contains(&request.sequence)
    }
}
