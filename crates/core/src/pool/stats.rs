//! A pool's figures, for metrics and for the operators' calls.

use std::collections::BTreeMap;

use crate::name;
use crate::tier::Tier;

/// A pool at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Waiting requests by tier; tiers without any are left out.
    pub waiting: BTreeMap<Tier, u32>,
    /// Runs and lent places by endpoint, also of those that take no new work.
    pub in_flight: BTreeMap<name::Endpoint, u32>,
    /// Lent places.
    pub lent: u32,
    /// Slots of all endpoints that take new work.
    pub slots: u32,
    /// Slots that could be given away now.
    pub free: u32,
}
