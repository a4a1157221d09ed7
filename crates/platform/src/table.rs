//! The transactional table service: rows with versions, changed together or not at all.

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Error;

/// Path of [`Transaction`] calls.
pub const TRANSACT_PATH: &str = "/table/v1/transact";
/// Path of [`Read`] calls.
pub const READ_PATH: &str = "/table/v1/read";
/// Path of [`Scan`] calls.
pub const SCAN_PATH: &str = "/table/v1/scan";

/// A row's place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The table.
    pub table: String,
    /// The key within the table.
    pub key: String,
}

impl Place {
    /// The place of a key in a table.
    pub fn new(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// A row as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key within its table.
    pub key: String,
    /// The value.
    pub value: Value,
    /// Grows with every write to the row; never 0.
    pub version: u64,
}

/// A condition on a row; version 0 stands for "no such row".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row.
    pub place: Place,
    /// The version that it must have.
    pub version: u64,
}

/// A change to a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub place: Place,
    /// The new value, or none to delete the row.
    pub value: Option<Value>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub checks: Vec<Check>,
    /// Carried out if they do.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires a version of a row; 0 for "no such row".
    #[must_use]
    pub fn check(mut self, place: Place, version: u64) -> Self {
        self.checks.push(Check { place, version });
        self
    }

    /// Puts a value.
    #[must_use]
    pub fn put(mut self, place: Place, value: Value) -> Self {
        self.writes.push(Write {
            place,
            value: Some(value),
        });
        self
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, place: Place) -> Self {
        self.writes.push(Write { place, value: None });
        self
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// All writes took effect.
    Committed {
        /// The new version of each written row, in the order of the writes; 0 for a delete.
        versions: Vec<u64>,
    },
    /// Nothing took effect.
    Conflict {
        /// Indexes of the checks that failed.
        failed: Vec<usize>,
    },
}

/// Reads rows by place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// The rows wanted.
    pub places: Vec<Place>,
}

/// Reads a range of rows in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The table.
    pub table: String,
    /// Only keys with this prefix; empty for all.
    #[serde(default)]
    pub prefix: String,
    /// Only keys after this one; empty for all.
    #[serde(default)]
    pub after: String,
    /// At most this many rows; the service gives at most [`Scan::MOST`].
    pub limit: usize,
}

impl Scan {
    /// The most rows that one scan returns.
    pub const MOST: usize = 1_000;
}

/// The table service.
pub trait Table {
    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the writes may have taken effect: settle it by a read.
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>>;

    /// Reads rows, in the order asked; none where there is no such row.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read never takes effect.
    fn read<'a>(
        &'a self,
        places: &'a [Place],
    ) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>, Error>>;

    /// Reads a range.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read never takes effect.
    fn scan<'a>(&'a self, scan: &'a Scan) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>>;
}

impl<T: Table + ?Sized> Table for std::rc::Rc<T> {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        (**self).transact(transaction)
    }

    fn read<'a>(
        &'a self,
        places: &'a [Place],
    ) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>, Error>> {
        (**self).read(places)
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        (**self).scan(scan)
    }
}
