//! The order within one tier: fair shares between flows by their measured
//! cost, and within these by urgency.

use std::collections::{BTreeSet, HashMap};

use crate::clock::Millis;
use crate::name;
use crate::pool::class::Classes;
use crate::pool::flow::{Flow, Flows, Head};
use crate::pool::reserve::LANES;
use crate::pool::tag::Tag;

/// Where a flow stands in its line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spot {
    /// Within its share; by the deadline of its first request.
    Ready(usize, Millis),
    /// Ahead of its share; by the start of its next service.
    Ahead(usize, Tag),
    /// All its requests have missed their target.
    Late(usize, Tag),
}

/// The flows of one length of run.
#[derive(Debug, Default)]
struct Lane {
    ready: BTreeSet<(Millis, u32)>,
    ahead: BTreeSet<(Tag, u32)>,
    late: BTreeSet<(Tag, u32)>,
}

/// A workspace's flows that have requests waiting.
#[derive(Clone, Copy, Debug, Default)]
struct Owner {
    flows: u32,
    weight: f64,
}

/// One tier's waiting flows.
///
/// Virtual time runs as fast as each workspace's share of the service given.
/// A flow whose next service starts at or before it is within its share. Of
/// those, the one with the earliest deadline goes first; then those ahead of
/// their share; then those whose requests can't meet their target any more.
#[derive(Debug, Default)]
pub struct Line {
    time: f64,
    lanes: [Lane; LANES],
    owners: HashMap<name::Workspace, Owner>,
}

impl Line {
    /// A flow got its first waiting request.
    pub fn join(&mut self, flow: &mut Flow) {
        let owner = self.owners.entry(flow.workspace.clone()).or_default();
        owner.flows += 1;
        owner.weight += flow.weight;
        flow.start = flow.start.max(self.time);
    }

    /// A flow has no waiting request any more.
    pub fn leave(&mut self, flow: &Flow) {
        let Some(owner) = self.owners.get_mut(&flow.workspace) else {
            return;
        };
        owner.flows -= 1;
        owner.weight -= flow.weight;
        if owner.flows == 0 {
            self.owners.remove(&flow.workspace);
        }
    }

    /// Puts a flow where its requests and its share call for.
    pub fn place(&mut self, now: Millis, id: u32, flow: &mut Flow, classes: &Classes) {
        let class = classes.get(flow.class);
        let spot = match flow.head(now + class.need()) {
            None => None,
            Some(Head::Late) => Some(Spot::Late(class.lane, Tag(flow.start))),
            Some(Head::Live(deadline)) if flow.start <= self.time => {
                Some(Spot::Ready(class.lane, deadline))
            }
            Some(Head::Live(_)) => Some(Spot::Ahead(class.lane, Tag(flow.start))),
        };
        if spot == flow.spot {
            return;
        }
        self.clear(id, flow);
        match spot {
            None => {}
            Some(Spot::Ready(lane, deadline)) => {
                self.lanes[lane].ready.insert((deadline, id));
            }
            Some(Spot::Ahead(lane, tag)) => {
                self.lanes[lane].ahead.insert((tag, id));
            }
            Some(Spot::Late(lane, tag)) => {
                self.lanes[lane].late.insert((tag, id));
            }
        }
        flow.spot = spot;
    }

    /// The flows to be served next among the lanes that may be, `count` at
    /// most. The first one is where it belongs; the others may have become
    /// late since they were last looked at.
    pub fn next(
        &mut self,
        now: Millis,
        allowed: [bool; LANES],
        count: usize,
        flows: &mut Flows,
        classes: &Classes,
    ) -> Vec<u32> {
        loop {
            self.admit(now, flows, classes);
            let first = self.first(allowed, count);
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

    /// Charges a flow for service; below zero if it was charged too much.
    pub fn charge(&mut self, flow: &mut Flow, cost: f64) {
        let owner = self.owners.get(&flow.workspace);
        let weight = owner.map_or(1.0, |owner| flow.weight / owner.weight.max(flow.weight));
        flow.start += cost / weight;
        self.time += cost / self.owners.len().max(1) as f64;
    }

    /// Whether a flow that comes back would start as a new one does.
    pub fn is_settled(&self, flow: &Flow) -> bool {
        flow.start <= self.time
    }

    fn clear(&mut self, id: u32, flow: &mut Flow) {
        match flow.spot.take() {
            None => {}
            Some(Spot::Ready(lane, deadline)) => {
                self.lanes[lane].ready.remove(&(deadline, id));
            }
            Some(Spot::Ahead(lane, tag)) => {
                self.lanes[lane].ahead.remove(&(tag, id));
            }
            Some(Spot::Late(lane, tag)) => {
                self.lanes[lane].late.remove(&(tag, id));
            }
        }
    }

    /// Moves those whose share has come up to the ready ones. With none ready,
    /// time moves on to the first.
    fn admit(&mut self, now: Millis, flows: &mut Flows, classes: &Classes) {
        if self.lanes.iter().all(|lane| lane.ready.is_empty()) {
            let ahead = self.lanes.iter().filter_map(|lane| lane.ahead.first());
            if let Some((tag, _)) = ahead.min() {
                self.time = self.time.max(tag.0);
            }
        }
        for lane in 0..LANES {
            while let Some((tag, id)) = self.lanes[lane].ahead.first().copied() {
                if tag.0 > self.time {
                    break;
                }
                self.place(now, id, flows.get_mut(id), classes);
            }
        }
    }

    fn first(&self, allowed: [bool; LANES], count: usize) -> Vec<u32> {
        let lanes = || {
            let lanes = self.lanes.iter().zip(allowed);
            lanes.filter_map(|(lane, allowed)| allowed.then_some(lane))
        };
        let mut first = Vec::with_capacity(count);
        merge(lanes().map(|lane| &lane.ready), count, &mut first);
        merge(lanes().map(|lane| &lane.ahead), count, &mut first);
        merge(lanes().map(|lane| &lane.late), count, &mut first);
        first
    }
}

/// Adds the least of several sets, up to `count` in all.
fn merge<'a, K: Ord + Copy + 'a>(
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
