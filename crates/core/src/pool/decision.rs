//! What goes into a pool and what it decides.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name;
use crate::tier::Tier;

/// A request that asks for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// What it asks for.
    pub ask: Ask,
    /// The life of the entry that holds the request.
    pub holder: name::Incarnation,
}

/// A run that an earlier home of the pool granted and that still goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// The request.
    pub request: name::Request,
    /// The life of the entry that holds it.
    pub holder: name::Incarnation,
    /// The permit under which it runs.
    pub permit: u64,
    /// Where it runs.
    pub endpoint: name::Endpoint,
    /// The workspace's tier.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
    /// The workspace.
    pub workspace: name::Workspace,
}

/// What becomes of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent to an endpoint.
    Grant {
        /// The request.
        request: name::Request,
        /// The life of the entry that holds it.
        holder: name::Incarnation,
        /// Names the permit when it is given back.
        permit: u64,
        /// The endpoint.
        endpoint: name::Endpoint,
        /// Where the endpoint takes requests.
        address: SocketAddr,
        /// The priority inside the engine, 0 (first) to 9 (last).
        priority: u8,
    },
    /// The list is full, and it had to make room. It was not granted since it
    /// last asked; one that asked with a list to avoid has run before that.
    Shed {
        /// The request.
        request: name::Request,
        /// The life of the entry that holds it.
        holder: name::Incarnation,
        /// When its caller should come back.
        retry_after: Millis,
    },
    /// No endpoint of the pool takes work.
    NoEndpoint {
        /// The request.
        request: name::Request,
        /// The life of the entry that holds it.
        holder: name::Incarnation,
    },
}

/// Places lent to an entry, to be used again and again until the loan ends.
///
/// Each permit stands for one run at a time. What still runs when the loan
/// ends is reported by [`Pool::adopt`](crate::pool::Pool::adopt) and ended by
/// [`Pool::done`](crate::pool::Pool::done).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// One permit per place.
    pub permits: Vec<u64>,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// No run may start under the loan from here on.
    pub until: Millis,
}
