//! Messages by which entries tell one another of endpoints.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::endpoint::State;
use crate::instance::Load;
use crate::name;

/// A message about endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Marks; of two, each side keeps what holds.
    States(Vec<State>),
    /// Load reports, by the entry that probes.
    Loads {
        /// When they were sent, on the sender's clock.
        at: Millis,
        /// The reports.
        reports: Vec<Report>,
    },
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The load; its age counts up to the sending.
    pub load: Load,
}
