//! Scheduling parameters of a pool.

use crate::clock::Millis;

/// Limits and shares of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of waiting requests for each slot.
    pub waiting_per_slot: u32,
    /// Minimum share of the pool's service for each waiting class, 0 to 1.
    pub share: f64,
    /// Upper bound of the sum of all classes' minimum shares, 0 to 1.
    pub share_total: f64,
    /// Maximum share of the slots that are reserved for short requests, 0 to 1.
    pub reserve: f64,
    /// Ratio of an endpoint's load to the mean up to which requests with equal
    /// prompt prefixes go to it; 1 turns prefix affinity off.
    pub affinity: f64,
    /// How long requests wait in a pool without endpoints before they are
    /// rejected.
    pub no_endpoint_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            waiting_per_slot: 8,
            share: 0.02,
            share_total: 0.2,
            reserve: 0.25,
            affinity: 2.0,
            no_endpoint_timeout: Millis(2_000),
        }
    }
}
