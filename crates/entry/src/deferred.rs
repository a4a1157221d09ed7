//! Deferred requests: recorded, carried out by the holder of their shard's lease,
//! and their answers kept for collection.

pub mod accept;
pub mod branch;
pub mod engine;
pub mod handle;
pub mod rows;
pub mod run;
pub mod shard;
pub mod storage;
pub mod store;
pub mod sweep;
pub mod work;

pub use accept::Accept;
pub use branch::Branch;
pub use handle::Handle;
pub use run::Runner;
pub use shard::Worker;
pub use storage::Storage;
pub use store::Store;
