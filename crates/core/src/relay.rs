//! Decisions of the relay, which passes whole requests to endpoints by route.
//!
//! A [`Plan`] says which routes, services and workspaces there are; a [`Table`]
//! is the plan made ready for look-ups. The rest decides on one request: which
//! endpoint it goes to, whether it may be sent again, and what a caller is told.

pub mod active_plan;
pub mod admission;
pub mod budget;
pub mod claim;
pub mod dating;
pub mod duty;
pub mod engine;
pub mod engine_speed;
pub mod evacuation;
pub mod fading;
pub mod fleet;
pub mod health;
pub mod lateness;
pub mod partition;
pub mod plan;
pub mod prefix;
pub mod profile;
pub mod rest;
pub mod roster;
pub mod shutdown;
pub mod sizing;
pub mod table;
pub mod tidings;
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
