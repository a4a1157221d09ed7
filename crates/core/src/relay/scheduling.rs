//! Scheduling of a service that has too little capacity, by all entries together.
//!
//! Each entry decides about its own requests, by what all entries observe: how much is asked of a
//! service, and how much of it is answered in time. `docs/SCHEDULING.md` describes the parts.

mod average;
pub mod cost;
pub mod demand;
pub mod level;
pub mod queue;
pub mod report;
pub mod returns;
pub mod room;
pub mod scheduler;
pub mod share;

pub use report::Report;
pub use room::Room;
pub use scheduler::Scheduler;
