//! Decision logic of the relay, which forwards whole requests to endpoints by route.
//!
//! A [`Plan`] lists routes, services and workspaces; a [`Table`] is a plan indexed for
//! look-ups. The other modules decide about a single request: which endpoint serves it,
//! whether it may be retried, and which error its caller gets.

pub mod active_plan;
pub mod admission;
pub mod back_off;
pub mod brittle;
pub mod budget;
pub mod claim;
pub mod dating;
pub mod departure;
pub mod division;
pub mod duty;
pub mod engine;
pub mod engine_speed;
pub mod evacuation;
pub mod fading;
pub mod fleet;
pub mod handover;
pub mod health;
pub mod isolation;
pub mod lateness;
pub mod load_report;

pub mod plan;
pub mod prefix;
pub mod profile;
pub mod rate_limit;
pub mod rest;
pub mod resumption;
mod retention;
pub mod roster;
mod rotation;
pub mod scheduling;
pub mod shutdown;
pub mod sizing;
pub mod standstill;
pub mod table;
pub mod true_time;
pub mod usage;
pub mod warming;
pub mod work;

pub use active_plan::ActivePlan;
pub use budget::RetryBudget;
pub use evacuation::Evacuation;
pub use plan::Plan;
pub use profile::RequestProfile;
pub use roster::Roster;
pub use table::Table;
pub use work::Work;
