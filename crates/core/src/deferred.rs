//! Deferred requests: recorded first, carried out later, their answers kept.
//!
//! The work is cut into [`SHARDS`] by the hash of workspace and identity. Each
//! shard is carried out by the one entry that holds its lease, which the entries
//! that are preferred for it take first ([`Duty`](crate::lease::Duty)). A request has two rows: the
//! [`Job`], which is there until it has ended, and the [`Receipt`], by which its
//! caller finds it. Each move of a job requires its row's version and the fence
//! of the shard's lease, so that a holder that wakes late moves nothing.

pub mod backoff;
pub mod end;
pub mod job;
pub mod queue;
pub mod shard;

pub use backoff::Backoff;
pub use end::{After, End, Outcome, Receipt, State};
pub use job::{Form, Job, Next, Sent, Stage};
pub use queue::{Row, Slot, choose};
pub use shard::{SHARDS, Shard};

#[cfg(test)]
mod tests;
