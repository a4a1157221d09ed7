//! Which entries are alive, as one entry sees it.

pub mod home;
pub mod member;
pub mod message;

pub use member::{Member, Members, Standing};
pub use message::Message;
