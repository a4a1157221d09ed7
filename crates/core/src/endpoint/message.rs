//! Messages by which entries tell one another of endpoints.

use serde::{Deserialize, Serialize};

use crate::endpoint::State;
use crate::instance::Load;
use crate::name;

/// A message about endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Marks; of two, each side keeps what holds.
    States(Vec<State>),
    /// Load reports, by the entry that probes.
    Loads(Vec<Report>),
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Counts the prober's reports of this endpoint.
    pub sequence: u32,
    /// The load; its age counts up to the sending.
    pub load: Load,
}
