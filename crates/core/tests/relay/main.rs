//! Decisions of the relay, as tables and properties.

mod admission;
mod budget;
mod claim;
mod duty;
mod engine;
mod evacuation;
mod farewell;
mod fleet;
mod force;
mod health;
mod lives;
mod outage;
mod pace;
mod part;
mod plan;
mod prefix;
mod rest;
mod roster;
mod shutdown;
mod sizing;
mod source;
mod table;
mod time;
mod true_time;
mod usage;
mod warming;
