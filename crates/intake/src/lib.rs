//! Bounds in sum what a process holds for its callers: connections, heads, bodies, answers.
//!
//! Every connection is registered with the process's [`Intake`] and read through a [`Gate`], which
//! passes on only as much as the phase of the request allows: a head up to its limit, a body while
//! somebody reads it, and little of what comes ahead of time. The HTTP server behind the gate can't
//! buffer more than that, whatever callers send.
//!
//! Who gets room, and who gives way where it runs short, is decided in [`woodgap_core::intake`].

pub mod body;
pub mod connection;
pub mod gate;
pub mod intake;
pub mod served;

pub use body::{Bounds, Refusal};
pub use connection::{Connection, Serving};
pub use gate::Gate;
pub use intake::Intake;
pub use served::Served;
