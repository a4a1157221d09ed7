//! The relay: takes callers' requests whole, sends each to an endpoint of its
//! route's service, and passes the answer on as it is.
//!
//! How things are said on the wire is a [`dialect::Dialect`], where configuration
//! and endpoints come from a [`source::Source`]: both have the product's own form
//! here, and other platforms bring theirs. Decisions are in `woodgap_core::relay`.

pub mod dialect;
pub mod duties;
pub mod follow;
pub mod front;
pub mod gossip;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod options;
pub mod quarantine;
pub mod request;
pub mod scheduling;
pub mod source;
pub mod start;
pub mod state;
pub mod stop;
pub mod streams;
pub mod upkeep;
pub mod upstream;
