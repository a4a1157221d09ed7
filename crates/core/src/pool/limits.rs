//! The numbers that shape a pool's decisions.

use crate::clock::Millis;

/// Bounds and shares of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests that may wait per slot.
    pub waiting_per_slot: u32,
    /// Share of the pool's service owed to each waiting class, 0 to 1.
    pub share: f64,
    /// Bound of all classes' shares together, 0 to 1.
    pub share_total: f64,
    /// Share of the slots that may be kept free of long requests, 0 to 1.
    pub reserve: f64,
    /// Load above the mean up to which equal prompts go to one endpoint; 1 for none.
    pub affinity: f64,
    /// How long requests wait for a first endpoint before they are refused.
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
