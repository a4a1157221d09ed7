//! Orders to endpoints: kept in the table service, carried out under a lease.

pub mod branch;
pub mod desk;
pub mod store;
pub mod wire;

pub use store::Store;
