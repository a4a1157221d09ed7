//! Statistics of a pool for metrics and the operators' API.

use std::collections::BTreeMap;

use crate::name;
use crate::tier::Tier;

/// Snapshot of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Waiting requests by tier; tiers without any are omitted.
    pub waiting: BTreeMap<Tier, u32>,
    /// Runs and loans by endpoint, including endpoints that get no new work.
    pub in_flight: BTreeMap<name::Endpoint, u32>,
    /// Number of lent slots.
    pub lent: u32,
    /// Number of slots of all endpoints that may get new work.
    pub slots: u32,
    /// Number of slots that can be allocated now.
    pub free: u32,
}
