//! Leases in the table service, each kept by a task of its own.

pub mod hold;
pub mod rows;
pub mod time;

pub use hold::Hold;
pub use time::Time;
