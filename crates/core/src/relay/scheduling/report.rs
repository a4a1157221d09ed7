//! What entries report to one another about a service, and the sum of these reports.

mod totals;

pub use totals::{Group, Totals, Workspace};

use serde::{Deserialize, Serialize};

use crate::relay::load_report;

/// The most priorities that a report tells apart; less urgent ones are added to the last.
pub const MAX_PRIORITIES: usize = 4;
/// The most workspaces that a report lists individually.
pub const MAX_WORKSPACES: usize = 4;
/// The priorities that an entry tells apart; less urgent ones count as the last.
pub const PRIORITIES: usize = 1 << PRIORITY_BITS;

/// The lowest bits of a workspace's key hold the priority of the demand.
const PRIORITY_BITS: u32 = 3;

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
    /// The entry's [base](crate::relay::scheduling::level::Level::base): its limit for all entries
    /// together, per unit of endpoint capacity; 0 for none.
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
    /// The [`workspace_key`] of the workspace and the priority of its requests.
    pub workspace: u32,
    /// The rate that it asks for.
    pub offered: f32,
    /// Its weight.
    pub weight: f32,
}

/// The key of a workspace's requests of one priority: the
/// [`name_key`](load_report::name_key) of the workspace, with the lowest bits replaced by the
/// priority. So reports show which part of each priority's demand the listed workspaces have.
pub fn workspace_key(workspace: &str, priority: u8) -> u32 {
    let mask = low_bits(PRIORITIES - 1);
    load_report::name_key(workspace) & !mask | low_bits(priority_index(priority))
}

/// The index of a priority among those that are told apart.
pub fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// The index of the priority in a [`workspace_key`].
pub fn priority_of(key: u32) -> usize {
    key as usize % PRIORITIES
}

/// Adds the less urgent priorities of a report to the last one that is kept.
pub(super) fn merge_priorities(report: &mut Report, kept: usize) {
    let merged = report.demand.split_off(kept.min(report.demand.len()));
    let Some(last) = report.demand.last_mut() else {
        return;
    };
    for demand in merged {
        last.offered += demand.offered;
        last.admitted += demand.admitted;
    }
    let last = priority_index(last.priority);
    for listed in &mut report.heaviest {
        let priority = priority_of(listed.workspace);
        listed.workspace -= low_bits(priority.saturating_sub(last));
    }
}

pub(super) fn saturating_count(count: f64) -> u16 {
    // Clamped to the range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = count.clamp(0.0, f64::from(u16::MAX)) as u16;
    count
}

fn low_bits(index: usize) -> u32 {
    u32::try_from(index).unwrap_or_default()
}
