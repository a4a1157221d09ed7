//! Several changes of rows in one transaction, each with a fate of its own.

use std::collections::HashSet;

use serde_json::Value;
use woodgap_core::once::Written;
use woodgap_platform::Error;
use woodgap_platform::table::{Outcome, Place, Transaction};

/// A change of one row, if it has a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row.
    pub place: Place,
    /// The version that it must have, 0 for "no such row".
    pub over: u64,
    /// The new value; none deletes the row.
    pub value: Option<Value>,
}

/// What becomes of one change of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is settled.
    Settled(Written),
    /// Another change of the batch was in conflict, so that nothing was done.
    Again,
}

/// Takes changes out of a queue, oldest first, so that no two are of one row:
/// in one transaction the second would not see the first.
pub fn take<T>(queue: &mut Vec<T>, most: usize, place: impl Fn(&T) -> &Place) -> Vec<T> {
    let mut places = HashSet::new();
    let mut taken = Vec::new();
    let mut left = Vec::new();
    for change in queue.drain(..) {
        if taken.len() < most && places.insert(place(&change).clone()) {
            taken.push(change);
        } else {
            left.push(change);
        }
    }
    *queue = left;
    taken
}

/// All changes as one transaction.
pub fn transaction<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Transaction {
    let mut transaction = Transaction::default();
    for change in changes {
        transaction = transaction.check(change.place.clone(), change.over);
        transaction = match &change.value {
            Some(value) => transaction.put(change.place.clone(), value.clone()),
            None => transaction.delete(change.place.clone()),
        };
    }
    transaction
}

/// The fate of each of a batch's changes.
pub fn fates(count: usize, result: &Result<Outcome, Error>) -> Vec<Fate> {
    let all = |written: Written| vec![Fate::Settled(written); count];
    match result {
        Ok(Outcome::Committed { versions }) if versions.len() == count => {
            let committed = |version: &u64| Fate::Settled(Written::Committed(*version));
            versions.iter().map(committed).collect()
        }
        Ok(Outcome::Conflict { failed }) => {
            // A service that does not say which checks failed is asked once for each.
            let named = failed.iter().any(|index| *index < count);
            let fate = |index| {
                if named && !failed.contains(&index) {
                    Fate::Again
                } else {
                    Fate::Settled(Written::Conflict)
                }
            };
            (0..count).map(fate).collect()
        }
        // An answer that does not fit the question says nothing either.
        Ok(Outcome::Committed { .. }) => all(Written::Unknown),
        Err(error) if error.may_have_taken_effect() => all(Written::Unknown),
        Err(_) => all(Written::Unavailable),
    }
}

#[cfg(test)]
mod tests;
