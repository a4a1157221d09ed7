//! Service order within one tier: weighted fair queueing between flows by
//! measured cost, and earliest deadline first among the flows within their
//! share.

use std::collections::{BTreeSet, HashMap};

use crate::clock::Millis;
use crate::name;
use crate::pool::class::Classes;
use crate::pool::flow::{Flow, Flows, Head};
use crate::pool::reserve::BUCKETS;
use crate::pool::tag::Tag;

/// A flow's position in its fair queue: the duration bucket and the sort key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spot {
    /// Within its share; sorted by the deadline of its first request.
    Ready(usize, Millis),
    /// Ahead of its share; sorted by the start tag of its next service.
    Ahead(usize, Tag),
    /// None of its requests can meet its target; sorted by the start tag of its
    /// next service.
    Late(usize, Tag),
}

/// The waiting flows of one duration bucket.
#[derive(Debug, Default)]
struct DurationBucket {
    ready: BTreeSet<(Millis, u32)>,
    ahead: BTreeSet<(Tag, u32)>,
    late: BTreeSet<(Tag, u32)>,
}

/// Number and total weight of a workspace's waiting flows.
#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceLoad {
    flows: u32,
    weight: f64,
    /// The workspace's own weight, that of the first of these flows.
    workspace_weight: f64,
}

/// The waiting flows of one tier.
///
/// Virtual time advances with the service given, divided by the total weight
/// of the waiting workspaces. A flow is within its share if the start tag of its next
/// service is not after virtual time. Flows within their share come first, by
/// earliest deadline. Next come flows ahead of their share, and last those
/// whose requests can't meet their target.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    buckets: [DurationBucket; BUCKETS],
    workspaces: HashMap<name::Workspace, WorkspaceLoad>,
    /// Total weight of these workspaces.
    total_weight: f64,
}

impl FairQueue {
    /// Adds a flow that got its first waiting request.
    pub fn join(&mut self, flow: &mut Flow) {
        let load = self.workspaces.entry(flow.workspace.clone()).or_default();
        if load.flows == 0 {
            load.workspace_weight = flow.workspace_weight;
            self.total_weight += load.workspace_weight;
        }
        load.flows += 1;
        load.weight += flow.weight;
        flow.virtual_start = flow.virtual_start.max(self.virtual_time);
    }

    /// Removes a flow that has no waiting request left.
    pub fn leave(&mut self, flow: &Flow) {
        let Some(load) = self.workspaces.get_mut(&flow.workspace) else {
            return;
        };
        load.flows -= 1;
        load.weight -= flow.weight;
        if load.flows == 0 {
            self.total_weight -= load.workspace_weight;
            self.workspaces.remove(&flow.workspace);
        }
    }

    /// Moves a flow to the position given by its first request and its share.
    pub fn place(&mut self, now: Millis, id: u32, flow: &mut Flow, classes: &Classes) {
        let class = classes.get(flow.class);
        let spot = match flow.head(now + class.time_needed()) {
            None => None,
            Some(Head::Late) => Some(Spot::Late(class.bucket, Tag(flow.virtual_start))),
            Some(Head::OnTime(deadline)) if flow.virtual_start <= self.virtual_time => {
                Some(Spot::Ready(class.bucket, deadline))
            }
            Some(Head::OnTime(_)) => Some(Spot::Ahead(class.bucket, Tag(flow.virtual_start))),
        };
        if spot == flow.spot {
            return;
        }
        self.remove_from_order(id, flow);
        match spot {
            None => {}
            Some(Spot::Ready(bucket, deadline)) => {
                self.buckets[bucket].ready.insert((deadline, id));
            }
            Some(Spot::Ahead(bucket, tag)) => {
                self.buckets[bucket].ahead.insert((tag, id));
            }
            Some(Spot::Late(bucket, tag)) => {
                self.buckets[bucket].late.insert((tag, id));
            }
        }
        flow.spot = spot;
    }

    /// Returns at most `count` flows to serve next from the allowed buckets.
    /// Only the first one's position is guaranteed to be current; the others
    /// may have become late since their last update.
    pub fn next_flows(
        &mut self,
        now: Millis,
        allowed: [bool; BUCKETS],
        count: usize,
        flows: &mut Flows,
        classes: &Classes,
    ) -> Vec<u32> {
        loop {
            self.promote_eligible(now, flows, classes);
            let first = self.candidates(allowed, count);
            let Some(id) = first.first().copied() else {
                return first;
            };
            let flow = flows.get_mut(id);
            let before = flow.spot;
            self.place(now, id, flow, classes);
            if flow.spot == before {
                return first;
            }
        }
    }

    /// Charges a flow for service. A negative cost corrects an excessive
    /// charge.
    pub fn charge(&mut self, flow: &mut Flow, cost: f64) {
        let load = self.workspaces.get(&flow.workspace);
        let weight = load.map_or(1.0, |load| flow.weight / load.weight.max(flow.weight));
        flow.virtual_start += cost / (weight * flow.workspace_weight);
        let total_weight = if self.workspaces.is_empty() {
            flow.workspace_weight
        } else {
            self.total_weight
        };
        self.virtual_time += cost / total_weight;
    }

    /// Returns whether the flow would start at the same tag as a new one.
    pub fn is_within_share(&self, flow: &Flow) -> bool {
        flow.virtual_start <= self.virtual_time
    }

    fn remove_from_order(&mut self, id: u32, flow: &mut Flow) {
        match flow.spot.take() {
            None => {}
            Some(Spot::Ready(bucket, deadline)) => {
                self.buckets[bucket].ready.remove(&(deadline, id));
            }
            Some(Spot::Ahead(bucket, tag)) => {
                self.buckets[bucket].ahead.remove(&(tag, id));
            }
            Some(Spot::Late(bucket, tag)) => {
                self.buckets[bucket].late.remove(&(tag, id));
            }
        }
    }

    /// Moves flows that virtual time has reached to the ready set. If no flow
    /// is ready, advances virtual time to the first start tag.
    fn promote_eligible(&mut self, now: Millis, flows: &mut Flows, classes: &Classes) {
        if self.buckets.iter().all(|bucket| bucket.ready.is_empty()) {
            let ahead = self
                .buckets
                .iter()
                .filter_map(|bucket| bucket.ahead.first());
            if let Some((tag, _)) = ahead.min() {
                self.virtual_time = self.virtual_time.max(tag.0);
            }
        }
        for bucket in 0..BUCKETS {
            while let Some((tag, id)) = self.buckets[bucket].ahead.first().copied() {
                if tag.0 > self.virtual_time {
                    break;
                }
                self.place(now, id, flows.get_mut(id), classes);
            }
        }
    }

    fn candidates(&self, allowed: [bool; BUCKETS], count: usize) -> Vec<u32> {
        let buckets = || {
            let buckets = self.buckets.iter().zip(allowed);
            buckets.filter_map(|(bucket, allowed)| allowed.then_some(bucket))
        };
        let mut first = Vec::with_capacity(count);
        extend_with_least(buckets().map(|bucket| &bucket.ready), count, &mut first);
        extend_with_least(buckets().map(|bucket| &bucket.ahead), count, &mut first);
        extend_with_least(buckets().map(|bucket| &bucket.late), count, &mut first);
        first
    }
}

/// Appends the smallest elements of several sets until `first` holds `count`.
fn extend_with_least<'a, K: Ord + Copy + 'a>(
    sets: impl Iterator<Item = &'a BTreeSet<(K, u32)>>,
    count: usize,
    first: &mut Vec<u32>,
) {
    let wanted = count - first.len();
    if wanted == 0 {
        return;
    }
    let mut least: Vec<_> = sets.flat_map(|set| set.iter().take(wanted)).collect();
    least.sort_unstable();
    first.extend(least.into_iter().take(wanted).map(|(_, id)| *id));
}
