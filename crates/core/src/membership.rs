//! Cluster membership and failure detection, as seen by one entry.

pub mod change;
pub mod detector;
pub mod home;
pub mod member;
pub mod members;
pub mod message;

pub use change::Change;
pub use detector::Detector;
pub use member::{Heartbeat, Member, Standing};
pub use members::Members;
pub use message::Message;
