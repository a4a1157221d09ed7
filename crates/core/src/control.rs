//! The control side of one entry: one machine that turns events into actions.

pub mod action;
pub mod alone;
pub mod directory;
pub mod dispatch;
pub mod event;
pub mod machine;

pub use action::{Action, Grant, Refusal};
pub use directory::Directory;
pub use dispatch::Policy;
pub use event::{Ask, Done, Event, Held, Outcome, Own};
pub use machine::{Machine, Start};
