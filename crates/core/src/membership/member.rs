//! The state of one member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// Membership status. Of two updates with the same version, the one that is later in this order
/// takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Responds to probes.
    Live,
    /// Missed probes, but has not been declared gone.
    Suspect,
    /// Is shutting down as planned: accepts no new work and is home to no pool.
    Leaving,
    /// Is gone. A later incarnation replaces it under the same name.
    Gone,
}

/// One incarnation of an entry. Gossip carries updates in this form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry's name.
    pub name: name::Entry,
    /// This incarnation; greater than every earlier one of the same name.
    pub incarnation: name::Incarnation,
    /// The entry's data centre.
    pub data_centre: name::DataCentre,
    /// The address that receives messages from other entries.
    pub peer: SocketAddr,
    /// The address that serves callers' requests.
    pub http: SocketAddr,
    /// The membership status.
    pub standing: Standing,
    /// Orders updates to `standing`. Only the member itself increments it.
    pub version: u32,
    /// The state that the member last reported about itself.
    pub heartbeat: Heartbeat,
    /// When the member was last heard from, by the local clock.
    #[serde(skip)]
    pub heard: Millis,
}

/// State that a member reports about itself periodically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// When the member produced this heartbeat, by its own clock. Orders its heartbeats.
    pub updated_at: Millis,
    /// The revision of the active configuration; 0 before the first one is applied.
    pub revision: u64,
    /// Whether the member accepts new work.
    pub ready: bool,
    /// Number of requests accepted and not yet finished.
    pub running: u32,
    /// Digest of the member's view of endpoint states; equal for two members whose views agree.
    pub endpoints: u32,
}

impl Member {
    /// Returns whether the member is live or only suspected.
    pub fn active(&self) -> bool {
        matches!(self.standing, Standing::Live | Standing::Suspect)
    }
}
