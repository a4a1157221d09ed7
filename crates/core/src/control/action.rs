//! What the machine wants done.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::message::Message;
use crate::{name, revision};

/// Leave to send a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub request: name::Request,
    /// Names the permit when it is given back.
    pub permit: u64,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// The priority inside the engine, 0 (first) to 9 (last).
    pub priority: u8,
    /// Granted without the pool's home, which is unreachable, out of the own
    /// entry's fraction of the slots.
    pub degraded: bool,
}

/// Why a request was refused; none of them ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Shed: the waiting list is full. Come back after the span.
    Overloaded(Millis),
    /// No endpoint serves the target now.
    NoEndpoint,
}

/// Something to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give a local request its endpoint.
    Grant(Grant),
    /// Refuse a local request.
    Refuse(name::Request, Refusal),
    /// Another request with the same identity waits or runs at the entry of
    /// this life; the local one is not served here.
    Elsewhere(name::Request, name::Incarnation),
    /// Send a message to another entry.
    Send(SocketAddr, Message),
    /// Put changes in force, and report it as an event.
    Apply(Vec<revision::message::Change>),
    /// Put everything in force at once, and report it as an event.
    Replace {
        /// The revision of the whole.
        revision: u64,
        /// The documents, as JSON.
        documents: Vec<String>,
    },
    /// Send everything that is in force to another entry, in parts.
    SendAll(SocketAddr),
    /// Ask an endpoint for its load, and report the answer as an event.
    Probe(name::Endpoint, SocketAddr),
    /// Take no new work from now on.
    Leave,
    /// Stop as planned: a later life of this entry has started.
    Stop,
}
