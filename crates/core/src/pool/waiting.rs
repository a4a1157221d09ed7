//! The waiting list of a pool: its requests in service order and in shed order.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::clock::Millis;
use crate::name;
use crate::pool::class::Classes;
use crate::pool::decision::Waiter;
use crate::pool::fair_queue::FairQueue;
use crate::pool::flow::{Flow, Flows};
use crate::pool::reserve::BUCKETS;
use crate::pool::share::Shares;
use crate::pool::tag::Tag;
use crate::tier::Tier;

/// How long an idle flow that is ahead of its share is kept.
const IDLE_FLOW_RETENTION: Millis = Millis::from_secs(60);

/// A waiting request.
#[derive(Debug)]
pub struct QueuedRequest {
    /// The request and its holder.
    pub waiter: Waiter,
    /// The class's id.
    pub class: u32,
    /// The flow's id.
    pub flow: u32,
    /// When it started waiting.
    pub since: Millis,
    /// Its own terms.
    pub terms: Terms,
}

/// The terms of a waiting request that differ between the users of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Its cost; `None` for the expected cost of its class.
    pub cost: Option<f64>,
    /// The weight of its workspace relative to others, more than 0.
    pub workspace_weight: f64,
    /// Whether it is served before the others of its tier, and shed after
    /// them.
    pub goes_first: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            cost: None,
            workspace_weight: 1.0,
            goes_first: false,
        }
    }
}

impl QueuedRequest {
    /// Returns whether it is shed only if its tier has no other to shed.
    fn is_shed_last(&self) -> bool {
        self.is_retry() || self.terms.goes_first
    }

    /// Returns its cost in units of its class's minimum share.
    fn share_cost(&self, classes: &Classes) -> f64 {
        let class = classes.get(self.class);
        let cost = self.terms.cost;
        cost.unwrap_or_else(|| class.history.expected_cost()) / class.share_weight
    }

    /// Returns whether an endpoint has failed it before.
    pub fn is_retry(&self) -> bool {
        !self.waiter.ask.avoid.is_empty()
    }
}

/// The waiting requests of one tier.
#[derive(Debug, Default)]
struct Queue {
    service_order: FairQueue,
    /// Requests that go first, by arrival.
    first: BTreeSet<u64>,
    /// Flows by the number of their first attempts that may be shed, relative
    /// to their weight, then by the newest of these.
    shed_order: BTreeSet<(Tag, u64, u32)>,
    /// Retries and requests that go first, if they may be shed, by arrival.
    sheddable_retries: BTreeSet<u64>,
    count: u32,
}

impl Queue {
    fn can_shed(&self) -> bool {
        !self.shed_order.is_empty() || !self.sheddable_retries.is_empty()
    }
}

/// How a flow without waiting requests leaves the minimum shares.
type LeaveShare = fn(&mut Shares, u32, u32, u64);

/// The waiting list of a pool.
#[derive(Debug)]
pub struct Waiting {
    next_number: u64,
    requests: BTreeMap<u64, QueuedRequest>,
    by_request: HashMap<name::Request, u64>,
    flows: Flows,
    flow_ids: HashMap<name::Workspace, Vec<(u32, u32)>>,
    queues: BTreeMap<Tier, Queue>,
    shares: Shares,
}

impl Waiting {
    /// Creates an empty list with these minimum shares.
    pub fn new(shares: Shares) -> Self {
        Self {
            next_number: 0,
            requests: BTreeMap::new(),
            by_request: HashMap::new(),
            flows: Flows::default(),
            flow_ids: HashMap::new(),
            queues: BTreeMap::new(),
            shares,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many requests count towards the bound: all except the next
    /// one of each class.
    pub fn bounded_len(&self) -> usize {
        self.requests.len() - self.shares.classes()
    }

    /// Returns the number of waiting requests of each non-empty tier, highest
    /// first.
    pub fn tiers(&self) -> impl Iterator<Item = (Tier, u32)> {
        let queues = self.queues.iter().filter(|(_, queue)| queue.count > 0);
        queues.map(|(tier, queue)| (*tier, queue.count))
    }

    /// Returns whether the request waits.
    pub fn contains(&self, request: name::Request) -> bool {
        self.by_request.contains_key(&request)
    }

    /// Returns the waiting request with this number.
    pub fn get(&self, number: u64) -> &QueuedRequest {
        &self.requests[&number]
    }

    /// Returns how many requests wait in a request's flow, relative to the
    /// weight of its workspace.
    pub fn weighted_flow_len(&self, number: u64) -> Tag {
        self.flows.get(self.get(number).flow).weighted_len()
    }

    /// Returns the id of the flow of this class and workspace, assigning one on
    /// first use.
    pub fn flow(
        &mut self,
        now: Millis,
        classes: &Classes,
        class: u32,
        workspace: &name::Workspace,
    ) -> u32 {
        if let Some(known) = self.flow_ids.get(workspace)
            && let Some((_, id)) = known.iter().find(|(known, _)| *known == class)
        {
            return *id;
        }
        let tier = classes.get(class).tier;
        let flow = Flow::new(tier, class, workspace.clone(), now);
        let id = self.flows.add(flow);
        let ids = self.flow_ids.entry(workspace.clone()).or_default();
        ids.push((class, id));
        id
    }

    /// Adds a request that does not wait yet.
    pub fn insert(&mut self, now: Millis, classes: &Classes, class: u32, waiter: Waiter) {
        self.insert_with(now, classes, class, waiter, Terms::default());
    }

    /// Adds a request that does not wait yet, on its own terms.
    pub fn insert_with(
        &mut self,
        now: Millis,
        classes: &Classes,
        class: u32,
        waiter: Waiter,
        terms: Terms,
    ) {
        let flow = self.flow(now, classes, class, &waiter.ask.workspace);
        let number = self.next_number;
        self.next_number += 1;
        let queued = QueuedRequest {
            waiter,
            class,
            flow,
            since: now,
            terms,
        };
        self.join(classes, &queued, number);
        self.by_request.insert(queued.waiter.ask.request, number);
        self.requests.insert(number, queued);
        self.refresh(now, classes, class, flow);
    }

    /// Removes a request by name.
    pub fn remove_request(
        &mut self,
        now: Millis,
        classes: &Classes,
        request: name::Request,
    ) -> Option<QueuedRequest> {
        let number = *self.by_request.get(&request)?;
        self.remove(now, classes, number)
    }

    /// Removes a request by number.
    pub fn remove(&mut self, now: Millis, classes: &Classes, number: u64) -> Option<QueuedRequest> {
        self.remove_with(now, classes, number, Shares::leave)
    }

    /// Removes a request that was refused, or that was granted from its class's
    /// minimum share. The class keeps the share that it has not received.
    pub fn remove_keeping_share(
        &mut self,
        now: Millis,
        classes: &Classes,
        request: name::Request,
    ) -> Option<QueuedRequest> {
        let number = *self.by_request.get(&request)?;
        self.remove_with(now, classes, number, Shares::leave_unserved)
    }

    /// Returns the numbers of the requests held by an entry's incarnation.
    pub fn held_by(&self, holder: name::Incarnation) -> Vec<u64> {
        let held = self
            .requests
            .iter()
            .filter(|(_, queued)| queued.waiter.holder == holder);
        held.map(|(number, _)| *number).collect()
    }

    /// Returns the numbers of all waiting requests, by arrival.
    pub fn numbers(&self) -> Vec<u64> {
        self.requests.keys().copied().collect()
    }

    /// Returns the next request of each class whose minimum share is due, the
    /// longest due first.
    pub fn due(&self) -> impl Iterator<Item = u64> {
        let due = self.shares.due();
        due.filter_map(|class| self.shares.head(class))
    }

    /// Returns the requests that a tier serves next from the allowed buckets:
    /// the first `count` requests that go first, then the first `count`
    /// requests of each of the first `count` flows.
    pub fn next_requests(
        &mut self,
        now: Millis,
        classes: &Classes,
        tier: Tier,
        allowed: [bool; BUCKETS],
        count: usize,
    ) -> Vec<u64> {
        let Some(queue) = self.queues.get_mut(&tier) else {
            return Vec::new();
        };
        let mut next: Vec<u64> = queue.first.iter().take(count).copied().collect();
        let fair_queue = &mut queue.service_order;
        let flows = fair_queue.next_flows(now, allowed, count, &mut self.flows, classes);
        let order = |id: u32| self.flows.get(id).service_order().take(count);
        let others = flows.into_iter().flat_map(order);
        next.extend(others.filter(|number| !queue.first.contains(number)));
        next
    }

    /// Predicts the order in which the waiting requests are served if no other
    /// comes and all cost the same: those due by the minimum share of their
    /// class, then tier by tier, flows in turn.
    pub fn service_order(&mut self, now: Millis, classes: &Classes) -> Vec<u64> {
        let mut order: Vec<u64> = self.due().collect();
        for queue in self.queues.values_mut().filter(|queue| queue.count > 0) {
            order.extend(&queue.first);
            let count = queue.count as usize;
            let fair_queue = &mut queue.service_order;
            let flows =
                fair_queue.next_flows(now, [true; BUCKETS], count, &mut self.flows, classes);
            order.extend(in_turn(&flows, &self.flows));
        }
        let mut seen = HashSet::new();
        order.retain(|number| seen.insert(*number));
        order
    }

    /// Returns the request to shed: in the lowest tier, from the flow with the
    /// most requests that may be shed, one that can't meet its target, else the
    /// newest. Retries and requests that go first are chosen only if the tier
    /// has no other to shed.
    pub fn shed_candidate(&mut self, now: Millis, classes: &Classes) -> Option<u64> {
        let mut queues = self.queues.iter().rev();
        let (tier, _) = queues.find(|(_, queue)| queue.can_shed())?;
        self.shed_candidate_in(now, classes, *tier)
    }

    /// Returns the request to shed from this tier, as [`Self::shed_candidate`].
    pub fn shed_candidate_in(&mut self, now: Millis, classes: &Classes, tier: Tier) -> Option<u64> {
        let queue = self.queues.get(&tier)?;
        let Some((_, _, flow)) = queue.shed_order.last() else {
            return queue.sheddable_retries.last().copied();
        };
        let flow = self.flows.get_mut(*flow);
        let time_needed = classes.get(flow.class).time_needed();
        flow.shed_candidate(now + time_needed)
    }

    /// Charges a flow and its class for a run's cost, or for the difference
    /// from what was charged before. `from_class_share` marks a run granted
    /// from its class's minimum share.
    pub fn charge(
        &mut self,
        now: Millis,
        classes: &Classes,
        class: u32,
        flow: u32,
        cost: f64,
        from_class_share: bool,
    ) {
        self.shares.record_service(cost);
        let share_cost = cost / classes.get(class).share_weight;
        if from_class_share {
            self.shares.charge(class, share_cost);
        } else {
            self.shares.credit_tier_service(class, share_cost);
        }
        let tier = classes.get(class).tier;
        let fair_queue = &mut self.queues.entry(tier).or_default().service_order;
        fair_queue.charge(self.flows.get_mut(flow), cost);
        self.refresh(now, classes, class, flow);
    }

    /// Ends the flow's turn within its class, so that another flow is next.
    pub fn rotate(&mut self, now: Millis, classes: &Classes, class: u32, flow: u32) {
        let turn = self.flows.get(flow).turn;
        self.flows.get_mut(flow).turn = self.shares.rotate(class, flow, turn);
        self.refresh(now, classes, class, flow);
    }

    /// Counts a started run of the flow.
    pub fn start(&mut self, flow: u32) {
        self.flows.get_mut(flow).running += 1;
    }

    /// Counts an ended run of the flow.
    pub fn end(&mut self, now: Millis, flow: u32) {
        let flow = self.flows.get_mut(flow);
        flow.running = flow.running.saturating_sub(1);
        flow.idle_since = now;
    }

    /// Forgets the debt of a class.
    pub fn forget_class(&mut self, class: u32) {
        self.shares.forget_debt(class);
    }

    /// Removes idle flows and paid debts.
    pub fn forget_idle(&mut self, now: Millis) {
        self.shares.forget_paid_debts();
        let queues = &self.queues;
        let flow_ids = &mut self.flow_ids;
        self.flows.remove_if(|id, flow| {
            let fair_queue = queues.get(&flow.tier).map(|queue| &queue.service_order);
            let settled = fair_queue.is_none_or(|fair_queue| fair_queue.is_within_share(flow));
            let old = flow.is_idle() && (settled || now - flow.idle_since > IDLE_FLOW_RETENTION);
            if old && let Some(ids) = flow_ids.get_mut(&flow.workspace) {
                ids.retain(|(_, known)| *known != id);
                if ids.is_empty() {
                    flow_ids.remove(&flow.workspace);
                }
            }
            old
        });
    }

    fn join(&mut self, classes: &Classes, queued: &QueuedRequest, number: u64) {
        let ask = &queued.waiter.ask;
        let flow = self.flows.get_mut(queued.flow);
        let queue = self.queues.entry(ask.tier).or_default();
        queue.count += 1;
        if flow.is_empty() {
            flow.weight = ask.weight.max(1) as f64;
            flow.workspace_weight = queued.terms.workspace_weight;
            queue.service_order.join(flow);
            let cost = queued.share_cost(classes);
            flow.turn = self.shares.join(queued.class, queued.flow, cost);
        }
        flow.insert(number, ask.deadline, !queued.is_shed_last());
        if queued.is_shed_last() {
            queue.sheddable_retries.insert(number);
        }
        if queued.terms.goes_first {
            queue.first.insert(number);
        }
    }

    fn remove_with(
        &mut self,
        now: Millis,
        classes: &Classes,
        number: u64,
        leave_share: LeaveShare,
    ) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&number)?;
        self.by_request.remove(&queued.waiter.ask.request);
        self.leave(&queued, number, leave_share);
        self.refresh(now, classes, queued.class, queued.flow);
        Some(queued)
    }

    fn leave(&mut self, queued: &QueuedRequest, number: u64, leave_share: LeaveShare) {
        let ask = &queued.waiter.ask;
        let flow = self.flows.get_mut(queued.flow);
        let queue = self.queues.entry(ask.tier).or_default();
        queue.count -= 1;
        queue.sheddable_retries.remove(&number);
        queue.first.remove(&number);
        flow.remove(number, ask.deadline);
        if flow.is_empty() {
            queue.service_order.leave(flow);
            leave_share(&mut self.shares, queued.class, queued.flow, flow.turn);
        }
    }

    /// Updates the indexes after a change of a class and one of its flows.
    fn refresh(&mut self, now: Millis, classes: &Classes, class: u32, flow: u32) {
        self.refresh_head(classes, class);
        self.refresh_shed_key(flow);
        let flow_ref = self.flows.get_mut(flow);
        let queue = self.queues.entry(flow_ref.tier).or_default();
        queue.service_order.place(now, flow, flow_ref, classes);
    }

    /// Updates the class's next request, which is exempt from the bound.
    fn refresh_head(&mut self, classes: &Classes, class: u32) {
        let old = self.shares.head(class);
        let flow = self.shares.next_flow(class);
        let new = flow.and_then(|flow| self.flows.get(flow).oldest());
        if old != new {
            old.inspect(|number| self.set_exempt(*number, false));
            new.inspect(|number| self.set_exempt(*number, true));
        }
        let head = new.and_then(|number| self.requests.get(&number));
        let cost = head.map_or(0.0, |queued| queued.share_cost(classes));
        self.shares.set_head(class, new, cost);
    }

    fn set_exempt(&mut self, number: u64, exempt: bool) {
        let Some(queued) = self.requests.get(&number) else {
            return;
        };
        if queued.is_shed_last() {
            let queue = self.queues.entry(queued.waiter.ask.tier).or_default();
            if exempt {
                queue.sheddable_retries.remove(&number);
            } else {
                queue.sheddable_retries.insert(number);
            }
        }
        let flow = queued.flow;
        self.flows
            .get_mut(flow)
            .set_exempt(exempt.then_some(number));
        self.refresh_shed_key(flow);
    }

    fn refresh_shed_key(&mut self, id: u32) {
        let flow = self.flows.get_mut(id);
        let shed_key = flow.compute_shed_key();
        if shed_key == flow.shed_key {
            return;
        }
        let shed_order = &mut self.queues.entry(flow.tier).or_default().shed_order;
        if let Some((count, newest)) = flow.shed_key {
            shed_order.remove(&(count, newest, id));
        }
        if let Some((count, newest)) = shed_key {
            shed_order.insert((count, newest, id));
        }
        flow.shed_key = shed_key;
    }
}

/// Returns the requests of these flows in the order of a round in which each
/// workspace has as many turns as its weight.
fn in_turn(ids: &[u32], flows: &Flows) -> impl Iterator<Item = u64> {
    let mut turns = Vec::new();
    for (position, id) in ids.iter().enumerate() {
        let flow = flows.get(*id);
        let weight = flow.workspace_weight;
        let requests = flow.service_order().enumerate();
        turns.extend(requests.map(|(turn, number)| (Tag(turn as f64 / weight), position, number)));
    }
    turns.sort_unstable();
    turns.into_iter().map(|(_, _, number)| number)
}
