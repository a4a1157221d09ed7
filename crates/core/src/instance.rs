//! Instances as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

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

/// An endpoint's report of its load, which may be seconds old.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Age of the figures.
    pub age: Millis,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub queued: u32,
    /// Requests that run side by side at full speed.
    pub slots: u32,
    /// Tokens (or calls) a second over the last seconds.
    pub tokens_per_second: f64,
    /// Whether the endpoint knows that it is leaving.
    pub state: State,
}
