//! The control thread: drives the pure machine with sockets, timers and probes.

pub mod actor;
pub mod handle;
pub mod permit;

pub use actor::Actor;
pub use handle::{Answer, Handle};
pub use permit::Permit;
