//! What entries report to one another about a service.

use serde::{Deserialize, Serialize};

/// The most priorities that a report tells apart; less urgent ones are added to the last.
pub const MAX_PRIORITIES: usize = 4;
/// The most workspaces that a report lists individually.
pub const MAX_WORKSPACES: usize = 4;

/// What one entry observes of one service. Rates are cost per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The [`name_key`](crate::relay::load_report::name_key) of the service.
    pub service: u32,
    /// What is asked of the service and what is admitted, by priority, the most urgent first.
    pub demand: Vec<PriorityDemand>,
    /// The rate of the requests whose answers began.
    pub served: f32,
    /// The part of that rate whose answers were late.
    pub late: f32,
    /// Requests in flight.
    pub in_flight: u16,
    /// The entry's limit for all entries together, per unit of endpoint capacity; 0 for none.
    pub limit: f32,
    /// The workspaces that ask for most.
    pub heaviest: Vec<WorkspaceDemand>,
    /// The rate that all other workspaces ask for.
    pub rest: f32,
    /// The number of these workspaces.
    pub rest_count: u16,
}

/// The demand of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityDemand {
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The rate that is asked for.
    pub offered: f32,
    /// The rate that is admitted.
    pub admitted: f32,
}

/// The demand of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// The [`name_key`](crate::relay::load_report::name_key) of the workspace.
    pub workspace: u32,
    /// The rate that it asks for.
    pub offered: f32,
    /// Its weight.
    pub weight: f32,
}
