//! The eras of a store, as its answers name them.
//!
//! A store that comes back from an older copy gives its versions out again. Clients of a store
//! therefore hand out [stamps](woodgap_core::era) in place of versions, and take them back: what is
//! remembered of an earlier era is then never mistaken for what has the same number now.

use std::cell::Cell;

use woodgap_core::era::{self, Era};

use crate::Error;
use crate::table::{Check, Outcome, Transaction};

/// The header with the era in the product's own form.
pub const HEADER: &str = "x-woodgap-era";

/// The latest era that a store has named. All clients of one store in a process share it.
///
/// ```
/// use woodgap_platform::era::Eras;
///
/// let eras = Eras::default();
/// let first = eras.note(Some(1)).unwrap();
/// // An answer that names no era belongs to the latest one.
/// assert_eq!(eras.note(None), Some(first));
/// assert!(eras.note(Some(2)) > Some(first));
/// // An answer that was made before the restore says nothing of what is there now.
/// assert_eq!(eras.note(Some(1)), None);
/// ```
#[derive(Debug, Default)]
pub struct Eras {
    latest: Cell<Option<Era>>,
}

impl Eras {
    /// Takes in the era that an answer names. Returns the answer's era; `None` if it is earlier
    /// than the latest one.
    pub fn note(&self, named: Option<u64>) -> Option<Era> {
        let latest = self.latest.get();
        let era = named.map_or(latest.unwrap_or_default(), Era::new);
        match latest {
            Some(latest) if era < latest => return None,
            Some(latest) if era > latest => log::warn!(
                before = latest.number(), era = era.number();
                "the store has come back from an older copy"
            ),
            _ => {}
        }
        self.latest.set(Some(era));
        Some(era)
    }

    /// The latest era; the first one where no answer has named any.
    pub fn latest(&self) -> Era {
        self.latest.get().unwrap_or_default()
    }

    /// The transaction with the store's own versions in its checks.
    ///
    /// ```
    /// use woodgap_platform::era::Eras;
    /// use woodgap_platform::table::{Place, Transaction};
    ///
    /// let eras = Eras::default();
    /// let read = eras.note(Some(1)).unwrap().stamp(7);
    /// let transaction = Transaction::default().check(Place::new("t", "k"), read);
    /// assert_eq!(eras.unstamped(&transaction).unwrap().checks[0].version, 7);
    /// eras.note(Some(2));
    /// assert_eq!(eras.unstamped(&transaction), Err(vec![0]));
    /// ```
    ///
    /// # Errors
    ///
    /// The indexes of the checks that are of an earlier era, so that they can't hold.
    pub fn unstamped(&self, transaction: &Transaction) -> Result<Transaction, Vec<usize>> {
        let latest = self.latest();
        let is_outdated = |check: &Check| check.version != 0 && Era::of(check.version) != latest;
        let checks = transaction.checks.iter().enumerate();
        let outdated = checks.filter(|(_, check)| is_outdated(check));
        let failed: Vec<_> = outdated.map(|(index, _)| index).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        let mut unstamped = transaction.clone();
        for check in &mut unstamped.checks {
            check.version = era::version(check.version);
        }
        Ok(unstamped)
    }

    /// The outcome of a transaction that was sent in one era and answered in another, with stamps
    /// in place of versions.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if a check held in an era in which its version is another row's state.
    pub fn stamped(
        transaction: &Transaction,
        outcome: Outcome,
        asked_in: Era,
        answered_in: Era,
    ) -> Result<Outcome, Error> {
        let has_checks = transaction.checks.iter().any(|check| check.version != 0);
        match outcome {
            Outcome::Committed { .. } if has_checks && asked_in != answered_in => {
                let message = "the store has come back from an older copy meanwhile";
                Err(Error::Unknown(message.to_owned()))
            }
            Outcome::Committed { versions } => {
                let stamps = versions.into_iter().map(|it| answered_in.stamp(it));
                Ok(Outcome::Committed {
                    versions: stamps.collect(),
                })
            }
            Outcome::Conflict { .. } => Ok(outcome),
        }
    }
}
