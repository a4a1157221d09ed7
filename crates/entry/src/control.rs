//! The control thread: drives the pure machine with sockets, timers and probes.

pub mod actor;
pub mod handle;
pub mod ledger;
pub mod meter;
mod outbox;
pub mod permit;
pub mod snapshot;
pub mod socket;
pub mod stream;

pub use actor::Actor;
pub use handle::{Answer, Handle};
pub use ledger::Ledger;
pub use meter::Meter;
pub use permit::Permit;
pub use snapshot::Snapshot;
pub use socket::Socket;
