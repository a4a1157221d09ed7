//! How endpoints are: who probes which, and what entries tell one another of them.

pub mod flag;
pub mod lifetime;
pub mod message;
pub mod period;
pub mod state;
pub mod watch;

pub use flag::Flag;
pub use lifetime::Lifetime;
pub use message::{Message, Report};
pub use state::{Marks, State};
pub use watch::Watch;
