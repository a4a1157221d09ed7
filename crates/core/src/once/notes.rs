//! What one life of an entry remembers of the submissions that it gave up unsent.

use std::collections::BTreeSet;

use crate::name;

/// The most submissions remembered, some megabytes of them. One that is forgotten
/// counts as possibly sent, which is always safe.
const MOST: usize = 100_000;

/// Submissions of one life that were not sent to an endpoint, and never will be.
///
/// ```
/// use woodgap_core::name::{Incarnation, Request};
/// use woodgap_core::once::Notes;
///
/// let mut notes = Notes::new(Incarnation(1));
/// let own = Request { incarnation: Incarnation(1), sequence: 7 };
/// notes.give_up(own);
/// assert!(notes.gave_up(own));
/// // Of another life nothing is known.
/// assert!(!notes.gave_up(Request { incarnation: Incarnation(2), ..own }));
/// ```
#[derive(Clone, Debug)]
pub struct Notes {
    incarnation: name::Incarnation,
    given_up: BTreeSet<u64>,
}

impl Notes {
    /// The notes of a new life.
    pub fn new(incarnation: name::Incarnation) -> Self {
        Self {
            incarnation,
            given_up: BTreeSet::new(),
        }
    }

    /// Notes that a submission will never be sent; to be called before anything
    /// that builds on it.
    pub fn give_up(&mut self, request: name::Request) {
        if request.incarnation != self.incarnation {
            return;
        }
        self.given_up.insert(request.sequence);
        if self.given_up.len() > MOST {
            self.given_up.pop_first();
        }
    }

    /// Whether a submission is known never to be sent.
    pub fn gave_up(&self, request: name::Request) -> bool {
        request.incarnation == self.incarnation && self.given_up.contains(&request.sequence)
    }
}
