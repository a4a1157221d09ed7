//! Configuration: read from the platform, kept in force, changed by operators.

pub mod record;
pub mod store;
pub mod watcher;

pub use store::Store;
pub use watcher::Watcher;
