//! The platform's list of live and leaving instances; it lags.

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use woodgap_core::name;

use crate::Error;

/// Path of the list: `GET` returns a JSON array of [`Instance`].
pub const PATH: &str = "/instances/v1";

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs `woodgap-entry`.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether an instance is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to go: no new work.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique among instances.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Where it takes HTTP requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Whether it is wanted.
    pub state: State,
    /// Models or service names that it serves; empty for entries.
    #[serde(default)]
    pub targets: Vec<name::Target>,
    /// Requests that it runs side by side at full speed; 0 for entries.
    #[serde(default)]
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Where an entry takes its peers' messages (UDP and TCP).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
}

/// The instance list.
pub trait List {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Instance>, Error>>;
}
