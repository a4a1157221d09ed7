//! Places at endpoints, shared between entries: each pool has a home that
//! grants them in the fleet's order.

pub mod agent;
pub mod broker;
pub mod context;
pub mod home;
pub mod id;
pub mod message;
pub mod post;
pub mod topology;

pub use agent::{Agent, View};
pub use context::Context;
pub use id::Id;
pub use message::Message;
pub use post::Post;
pub use topology::Topology;
