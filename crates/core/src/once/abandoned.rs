//! What one life of an entry remembers of the submissions that it gave up unsent.

use std::collections::BTreeSet;

use crate::name;

/// The most submissions remembered, some megabytes of them. One that is forgotten
/// counts as possibly sent, which is always safe.
const MAX_ENTRIES: usize = 100_000;

/// Submissions of one life that were not sent to an endpoint, and never will be.
///
/// ```
/// use woodgap_core::name::{Incarnation, Request};
/// use woodgap_core::once::AbandonedRequests;
///
/// let mut abandoned = AbandonedRequests::new(Incarnation(1));
/// let own = Request { incarnation: Incarnation(1), sequence: 7 };
/// abandoned.abandon(own);
/// assert!(abandoned.is_abandoned(own));
/// // Of another life nothing is known.
/// assert!(!abandoned.is_abandoned(Request { incarnation: Incarnation(2), ..own }));
/// ```
#[derive(Clone, Debug)]
pub struct AbandonedRequests {
    incarnation: name::Incarnation,
    abandoned: BTreeSet<u64>,
}

impl AbandonedRequests {
    /// The notes of a new life.
    pub fn new(incarnation: name::Incarnation) -> Self {
        Self {
            incarnation,
            abandoned: BTreeSet::new(),
        }
    }

    /// Notes that a submission will never be sent; to be called before anything
    /// that builds on it.
    pub fn abandon(&mut self, request: name::Request) {
        if request.incarnation != self.incarnation {
            return;
        }
        self.abandoned.insert(request.sequence);
        if self.abandoned.len() > MAX_ENTRIES {
            self.abandoned.pop_first();
        }
    }

    /// Whether a submission is known never to be sent.
    pub fn is_abandoned(&self, request: name::Request) -> bool {
        request.incarnation == self.incarnation && self.abandoned.contains(&request.sequence)
    }
}
