//! The entry daemon: takes callers' requests, asks for a place at an endpoint,
//! sends them there and streams the answers back.

pub mod admin;
pub mod caller;
pub mod configuration;
pub mod control;
pub mod deferred;
pub mod endpoint;
pub mod housekeeping;
pub mod once;
pub mod options;
pub mod orders;
pub mod recording;
pub mod request;
pub mod running;
pub mod shared;
pub mod start;
pub mod stop;
pub mod supervisor;
pub mod telemetry;
