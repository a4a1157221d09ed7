//! Which jobs of a shard are started next.

use std::collections::BTreeMap;

use crate::deferred::Job;
use crate::name;
use crate::tier::Tier;

/// A job's row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's version.
    pub version: u64,
    /// The job.
    pub job: Job,
}

/// Whose job runs here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The tier.
    pub tier: Tier,
    /// The workspace.
    pub workspace: name::Workspace,
}

impl Slot {
    /// The slot that a job takes.
    pub fn of(job: &Job) -> Self {
        Self {
            tier: job.tier,
            workspace: job.key.workspace.clone(),
        }
    }
}

/// Chooses the rows to start, given the jobs that run here already.
///
/// Each tier has slots of its own: a tier's jobs may wait long for an endpoint,
/// and must not keep a higher tier's from asking for one, nor the reverse. Which
/// tier gets an endpoint first is decided where all requests wait, not here.
/// Within a tier, the workspace with the fewest jobs running is next.
pub fn choose<'a>(rows: &[&'a Row], running: &[Slot], per_tier: usize) -> Vec<&'a Row> {
    let mut tiers: BTreeMap<Tier, Vec<&Row>> = BTreeMap::new();
    for row in rows {
        tiers.entry(row.job.tier).or_default().push(row);
    }
    let mut chosen = Vec::new();
    for (tier, mut waiting) in tiers {
        let mut counts: BTreeMap<&name::Workspace, usize> = BTreeMap::new();
        for slot in running.iter().filter(|slot| slot.tier == tier) {
            *counts.entry(&slot.workspace).or_default() += 1;
        }
        let free = per_tier.saturating_sub(counts.values().sum());
        for _ in 0..free {
            let Some(next) = next(&waiting, &counts) else {
                break;
            };
            let row = waiting.swap_remove(next);
            *counts.entry(&row.job.key.workspace).or_default() += 1;
            chosen.push(row);
        }
    }
    chosen
}

fn next(waiting: &[&Row], running: &BTreeMap<&name::Workspace, usize>) -> Option<usize> {
    let order = |row: &Row| {
        let count = running.get(&row.job.key.workspace).copied();
        (count.unwrap_or(0), row.job.created, row.key.clone())
    };
    let first = waiting
        .iter()
        .enumerate()
        .min_by_key(|(_, row)| order(row))?;
    Some(first.0)
}
