//! Configuration: read from the platform, kept in force, changed by operators.

pub mod in_force;
pub mod pace;
pub mod record;
pub mod store;
pub mod watcher;

pub use in_force::InForce;
pub use pace::Pace;
pub use store::Store;
