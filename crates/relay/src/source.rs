//! Where the configuration, the endpoints and the other entries are learnt from.
//!
//! [`table::TableSource`] reads them from the product's table service; a deployment on
//! another platform brings a source of its own. A source asks and decodes, and
//! decides nothing: when to ask again is up to [`crate::follow`].

pub mod row;
pub mod table;

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::name;
use woodgap_core::quarantine::Kept;
use woodgap_core::relay::Plan;
use woodgap_core::relay::evacuation::{self, Evacuation};
use woodgap_core::relay::roster::Endpoint;

use crate::source::row::Row;

/// What an answer of the source brought.
#[derive(Clone, Debug, PartialEq)]
pub struct Update<T> {
    /// Ask for what comes after this next time.
    pub cursor: u64,
    /// What is new; none if nothing changed.
    pub content: Option<T>,
    /// When the answer was made, on a steady clock of the source's; none where the
    /// source does not tell.
    pub produced_at: Option<Millis>,
}

/// Endpoints that are new, changed or gone.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoints {
    /// The whole list, as it is at the cursor.
    All(Vec<Row<Endpoint>>),
    /// Changes since the cursor that was asked with.
    Changes(Vec<Row<Endpoint>>),
}

/// Why the source gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// It can't be reached, does not answer in time, or turns us away.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// It has forgotten what comes after the cursor: ask for the whole.
    #[error("the history after the cursor is gone")]
    HistoryGone,
    /// What it holds can't be understood.
    #[error("not understood: {0}")]
    Malformed(String),
}

/// The configurations that an answer brought, the newest last.
pub type Plans = Vec<Row<Plan>>;

/// What operators say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorUpdate {
    /// The configurations that are new.
    pub plans: Plans,
    /// The data centres that they empty; none where nothing is told of them.
    pub evacuations: Option<Evacuations>,
}

impl OperatorUpdate {
    /// What is said, if anything is.
    pub fn non_empty(self) -> Option<Self> {
        let has_news = !self.plans.is_empty() || self.evacuations.is_some();
        has_news.then_some(self)
    }
}

/// Data centres that are evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evacuations {
    /// All of them.
    All(Evacuation),
    /// What changed since the cursor that was asked with.
    Changes(Vec<evacuation::Change>),
}

/// Where an entry takes messages of other entries, by name.
pub type Addresses = Vec<Row<SocketAddr>>;

/// A source; see the module.
pub trait Source {
    /// The configuration, as often as it changed after the cursor; the newest without one.
    /// The data centres that are evacuated, in the same way. With a cursor, the answer may be
    /// held for `wait` while nothing changes.
    fn plan(&self, after: Option<u64>, wait: Millis) -> Answer<'_, Update<OperatorUpdate>>;

    /// The endpoints, in the same way.
    fn endpoints(&self, after: Option<u64>, wait: Millis) -> Answer<'_, Update<Endpoints>>;

    /// Tells where this entry takes messages of others.
    fn announce<'a>(&'a self, entry: &'a name::Entry, address: SocketAddr) -> Answer<'a, ()>;

    /// Takes that back.
    fn withdraw<'a>(&'a self, entry: &'a name::Entry) -> Answer<'a, ()>;

    /// What all entries have told; some may be gone.
    fn entries(&self) -> Answer<'_, Addresses>;

    /// Keeps what is known of a request that is withheld.
    fn save_withheld<'a>(&'a self, kept: &'a Kept) -> Answer<'a, ()>;

    /// Takes that back.
    fn delete_withheld(&self, request: Fingerprint) -> Answer<'_, ()>;

    /// What all entries keep of requests that are withheld.
    fn list_withheld(&self) -> Answer<'_, Vec<Row<Kept>>>;
}

/// An answer to come.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;
