//! Inputs and decisions of a pool.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name;
use crate::tier::Tier;

/// A request to be scheduled and its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The request's parameters.
    pub ask: Ask,
    /// Incarnation of the entry that holds the request.
    pub holder: name::Incarnation,
}

/// A run that an earlier home of the pool granted and that is still active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The request.
    pub request: name::Request,
    /// Incarnation of the entry that holds it.
    pub holder: name::Incarnation,
    /// The permit under which it runs.
    pub permit: u64,
    /// The endpoint where it runs.
    pub endpoint: name::Endpoint,
    /// The workspace's tier.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
}

/// A scheduling decision about a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to an endpoint.
    Grant {
        /// The request.
        request: name::Request,
        /// Incarnation of the entry that holds it.
        holder: name::Incarnation,
        /// Identifies the permit when it is returned.
        permit: u64,
        /// The endpoint.
        endpoint: name::Endpoint,
        /// The endpoint's address for requests.
        address: SocketAddr,
        /// The priority inside the engine, 0 (first) to 9 (last).
        priority: u8,
    },
    /// The waiting list is full and the request was dropped from it. It has not
    /// been granted since its last ask. If that ask had a list of endpoints to
    /// avoid, the request ran before it.
    Shed {
        /// The request.
        request: name::Request,
        /// Incarnation of the entry that holds it.
        holder: name::Incarnation,
        /// When the caller should retry.
        retry_after: Millis,
    },
    /// No endpoint of the pool accepts work.
    NoEndpoint {
        /// The request.
        request: name::Request,
        /// Incarnation of the entry that holds it.
        holder: name::Incarnation,
    },
}

/// Slots lent to an entry, which may reuse them until the loan ends.
///
/// Each permit covers one run at a time. Runs that are still active when the
/// loan ends are reported by [`Pool::adopt`](crate::pool::Pool::adopt) and
/// ended by [`Pool::done`](crate::pool::Pool::done).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// One permit for each slot.
    pub permits: Vec<u64>,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The endpoint's address for requests.
    pub address: SocketAddr,
    /// Time from which no run may start under the loan.
    pub until: Millis,
}
