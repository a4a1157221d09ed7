//! Places at endpoints, shared between entries: each pool has a home that
//! grants them in the fleet's order.

pub mod message;

pub use message::Message;
