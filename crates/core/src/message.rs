//! What entries say to one another; each part of the machine has its own kind.

use serde::{Deserialize, Serialize};

use crate::{endpoint, membership, permit, revision};

/// A message between two entries. Every kind is idempotent: the network may
/// lose, repeat and reorder it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Who is alive.
    Membership(membership::Message),
    /// How endpoints are.
    Endpoint(endpoint::Message),
    /// Places at endpoints.
    Permit(permit::Message),
    /// Configuration.
    Revision(revision::Message),
}
