//! The permit protocol: shares the slots of endpoints between entries.
//!
//! Each pool (a target in one data centre) is coordinated by one entry, its
//! home. The home queues the requests of all entries and grants them permits in
//! tier order; a permit is the right to run one request in a slot of one
//! endpoint.

pub mod agent;
pub mod broker;
pub mod context;
pub mod home;
pub mod id;
pub mod message;
pub mod topology;
pub mod transport;

pub use agent::{Agent, View};
pub use context::Context;
pub use id::NameHash;
pub use message::Message;
pub use topology::Topology;
pub use transport::Transport;
