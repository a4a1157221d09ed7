//! Decisions of the relay, which passes whole requests to endpoints by route.
//!
//! A [`Plan`] says which routes, services and workspaces there are; a [`Table`]
//! is the plan made ready for look-ups. The rest decides on one request: which
//! endpoint it goes to, whether it may be sent again, and what a caller is told.

pub mod admission;
pub mod ask;
pub mod autoscaling;
pub mod budget;
pub mod claim;
pub mod division;
pub mod engine;
pub mod evacuation;
pub mod fading;
pub mod fleet;
pub mod force;
pub mod health;
pub mod lateness;
pub mod load_report;
pub mod median_clock;
pub mod pace;
pub mod plan;
pub mod platform_clock;
pub mod polling;
pub mod prefix;
pub mod rest;
pub mod roster;
pub mod shutdown;
pub mod table;
pub mod usage;
pub mod warming;
pub mod work;

pub use ask::Ask;
pub use budget::Budget;
pub use evacuation::Evacuation;
pub use force::Force;
pub use plan::Plan;
pub use roster::Roster;
pub use table::Table;
pub use work::Work;
