//! The source of the configuration, the endpoints and the addresses of other entries.
//!
//! [`table::TableSource`] reads them from the product's table service; a deployment on
//! another platform provides its own implementation. A source only queries and decodes;
//! [`crate::follow`] decides when to query again.

pub mod row;
pub mod table;

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, StoredHistory};
use woodgap_core::relay::Plan;
use woodgap_core::relay::evacuation::{self, Evacuation};
use woodgap_core::relay::resumption::registration;
use woodgap_core::relay::resumption::stored::Batch;
use woodgap_core::relay::roster::{Endpoint, Positions};

use crate::source::row::Row;

/// An answer of the source.
#[derive(Clone, Debug, PartialEq)]
pub struct Update<T> {
    /// The position to continue from in the next query.
    pub cursor: u64,
    /// The new content; none if nothing changed.
    pub content: Option<T>,
    /// When the source produced the answer, on its monotonic clock; none if the source does
    /// not say.
    pub produced_at: Option<Millis>,
}

/// The list of endpoints, or changes to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoints {
    /// The whole list as of the cursor.
    All(Vec<Row<Endpoint>>),
    /// The changes since the cursor in the query.
    Changes(Vec<Row<Endpoint>>),
}

/// Why the source gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The source can't be reached, does not answer in time, or refuses the call.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// The source no longer has the changes after the cursor; query without a cursor.
    #[error("the history after the cursor is gone")]
    HistoryGone,
    /// The answer can't be decoded.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The configurations in an answer, the newest last.
pub type Plans = Vec<Row<Plan>>;

/// What operators have configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorUpdate {
    /// The new configurations.
    pub plans: Plans,
    /// The data centres that they evacuate; none if the answer does not cover them.
    pub evacuations: Option<Evacuations>,
}

impl OperatorUpdate {
    /// The update itself, or none if it is empty.
    pub fn non_empty(self) -> Option<Self> {
        let has_content = !self.plans.is_empty() || self.evacuations.is_some();
        has_content.then_some(self)
    }
}

/// The evacuated data centres, or changes to them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evacuations {
    /// The whole set.
    All(Evacuation),
    /// The changes since the cursor in the query.
    Changes(Vec<evacuation::Change>),
}

/// The addresses at which entries receive gossip, by entry name.
pub type Addresses = Vec<Row<SocketAddr>>;

/// A source of configuration, endpoints and entry addresses. See the [module](self).
pub trait Source {
    /// Reads all configurations after the cursor, or the newest one if there is no cursor, and
    /// likewise the evacuated data centres. With a cursor, the answer may be held for `wait`
    /// while nothing changes.
    fn plan(&self, after: Option<u64>, wait: Millis) -> Answer<'_, Update<OperatorUpdate>>;

    /// Reads the endpoints; `after` and `wait` work as in [`Source::plan`].
    fn endpoints(&self, after: Option<u64>, wait: Millis) -> Answer<'_, Update<Endpoints>>;

    /// How the positions of [`Source::endpoints`] relate to its lists.
    fn positions(&self) -> Positions;

    /// Publishes the address at which this entry receives gossip.
    fn announce<'a>(&'a self, entry: &'a name::Entry, address: SocketAddr) -> Answer<'a, ()>;

    /// Removes the published address of this entry.
    fn withdraw<'a>(&'a self, entry: &'a name::Entry) -> Answer<'a, ()>;

    /// Reads the addresses that all entries have published; some may no longer run.
    fn entries(&self) -> Answer<'_, Addresses>;

    /// Stores the record of a withheld request.
    fn save_withheld<'a>(&'a self, kept: &'a StoredHistory) -> Answer<'a, ()>;

    /// Deletes the record of a withheld request.
    fn delete_withheld(&self, cause: Cause) -> Answer<'_, ()>;

    /// Reads the records of withheld requests that all entries have stored.
    fn list_withheld(&self) -> Answer<'_, Vec<Row<StoredHistory>>>;

    /// Stores a row on versions that may begin streams, under its key.
    fn save_versions<'a>(&'a self, row: &'a registration::Row) -> Answer<'a, ()>;

    /// Deletes the row on versions with this key, if it was written at this version.
    fn delete_versions<'a>(&'a self, key: &'a str, version: u64) -> Answer<'a, ()>;

    /// Reads all rows on versions.
    fn list_versions(&self) -> Answer<'_, Vec<Row<registration::Row>>>;

    /// Changes the batches of streams that an entry has stored.
    fn change_streams<'a>(
        &'a self,
        entry: &'a name::Entry,
        change: &'a StreamsChange,
    ) -> Answer<'a, ()>;

    /// Reads the batches of streams that an entry has stored; their keys are their
    /// [numbers](batch_number).
    fn list_streams<'a>(&'a self, entry: &'a name::Entry) -> Answer<'a, Vec<Row<Batch>>>;

    /// Reads which entries have stored streams.
    fn list_streamers(&self) -> Answer<'_, Vec<name::Entry>>;
}

/// A change of the batches of streams that an entry has stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamsChange {
    /// A new batch with its number.
    pub batch: Option<(u64, Batch)>,
    /// The numbers of batches to delete.
    pub deleted: Vec<u64>,
}

impl StreamsChange {
    /// Whether nothing is to be changed.
    pub fn is_empty(&self) -> bool {
        self.batch.is_none() && self.deleted.is_empty()
    }
}

/// The key of a batch: keys rise with the numbers.
///
/// ```
/// use woodgap_relay::source::{batch_key, batch_number};
///
/// assert!(batch_key(9) < batch_key(10));
/// assert_eq!(batch_number(&batch_key(9)), Some(9));
/// ```
pub fn batch_key(number: u64) -> String {
    format!("{number:020}")
}

/// The number of a batch by its key.
pub fn batch_number(key: &str) -> Option<u64> {
    key.parse().ok()
}

/// The future of a source's answer.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;
