//! Several machines over a network in memory, with real frames between them.

mod endpoints;
mod membership;
mod network;
