//! One entry's life, and what is known of it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// Whether a member takes part. Of two pieces of news with the same version the
/// later in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Answers.
    Live,
    /// Missed probes, but may come back.
    Suspect,
    /// Stops as planned: takes no new work and is home to nothing.
    Leaving,
    /// Gone; a later life is another member of the same name.
    Gone,
}

/// One life of an entry. In this form it is also the news of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry's name.
    pub name: name::Entry,
    /// This life; larger than that of any earlier life of the name.
    pub incarnation: name::Incarnation,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Where it takes other entries' messages.
    pub peer: SocketAddr,
    /// Where it takes callers' requests.
    pub http: SocketAddr,
    /// Whether it takes part.
    pub standing: Standing,
    /// Orders news of the standing; only the member itself raises it.
    pub version: u32,
    /// What it says of itself.
    pub heartbeat: Heartbeat,
    /// When this was last heard of, on the own clock.
    #[serde(skip)]
    pub heard: Millis,
}

/// What a member says of itself, time and again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Orders the figures: the member's own clock.
    pub updated_at: Millis,
    /// The configuration that it has in force; 0 before its first.
    pub revision: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests that it has taken and not yet ended.
    pub running: u32,
    /// Digest of what it knows of the endpoints' states, the same where two agree.
    pub endpoints: u32,
}

impl Member {
    /// Whether it takes part: live, or only suspected.
    pub fn active(&self) -> bool {
        matches!(self.standing, Standing::Live | Standing::Suspect)
    }
}
