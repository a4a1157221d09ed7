//! The waiting list: who waits, in which order they are served and shed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::clock::Millis;
use crate::name;
use crate::pool::class::Classes;
use crate::pool::decision::Waiter;
use crate::pool::flow::{Flow, Flows};
use crate::pool::line::Line;
use crate::pool::reserve::LANES;
use crate::pool::share::Shares;
use crate::tier::Tier;

/// How long an idle flow that is ahead of its share is remembered.
const REMEMBERED: Millis = Millis::from_secs(60);

/// A waiting request.
#[derive(Debug)]
pub struct Entry {
    /// The request and who holds it.
    pub waiter: Waiter,
    /// Its class's number.
    pub class: u32,
    /// Its flow's number.
    pub flow: u32,
    /// Since when it waits.
    pub since: Millis,
}

impl Entry {
    /// Whether an endpoint has failed it before.
    pub fn is_retry(&self) -> bool {
        !self.waiter.ask.avoid.is_empty()
    }
}

/// One tier's waiting requests.
#[derive(Debug, Default)]
struct Queue {
    line: Line,
    /// Flows by how many of their fresh requests may be shed, and the newest.
    lengths: BTreeSet<(usize, u64, u32)>,
    /// Retries that may be shed, by arrival.
    sheddable_retries: BTreeSet<u64>,
    count: u32,
}

impl Queue {
    fn may_shed(&self) -> bool {
        !self.lengths.is_empty() || !self.sheddable_retries.is_empty()
    }
}

/// The waiting list of a pool.
#[derive(Debug)]
pub struct Waiting {
    next: u64,
    entries: BTreeMap<u64, Entry>,
    by_request: HashMap<name::Request, u64>,
    flows: Flows,
    flow_ids: HashMap<name::Workspace, Vec<(u32, u32)>>,
    queues: BTreeMap<Tier, Queue>,
    shares: Shares,
}

impl Waiting {
    /// An empty list that owes classes these shares.
    pub fn new(shares: Shares) -> Self {
        Self {
            next: 0,
            entries: BTreeMap::new(),
            by_request: HashMap::new(),
            flows: Flows::default(),
            flow_ids: HashMap::new(),
            queues: BTreeMap::new(),
            shares,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many of them count against the bound: all but each class's next one.
    pub fn bounded(&self) -> usize {
        self.entries.len() - self.shares.classes()
    }

    /// How many wait in each tier that has any, highest first.
    pub fn tiers(&self) -> impl Iterator<Item = (Tier, u32)> {
        let queues = self.queues.iter().filter(|(_, queue)| queue.count > 0);
        queues.map(|(tier, queue)| (*tier, queue.count))
    }

    /// Whether the request waits.
    pub fn contains(&self, request: name::Request) -> bool {
        self.by_request.contains_key(&request)
    }

    /// The waiting request of this number.
    pub fn get(&self, number: u64) -> &Entry {
        &self.entries[&number]
    }

    /// The number of the flow of this class and workspace, given on first sight.
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
        let flow = self.flow(now, classes, class, &waiter.ask.workspace);
        let number = self.next;
        self.next += 1;
        let entry = Entry {
            waiter,
            class,
            flow,
            since: now,
        };
        self.join(&entry, number);
        self.by_request.insert(entry.waiter.ask.request, number);
        self.entries.insert(number, entry);
        self.renew(now, classes, class, flow);
    }

    /// Takes a request out by name.
    pub fn remove_request(
        &mut self,
        now: Millis,
        classes: &Classes,
        request: name::Request,
    ) -> Option<Entry> {
        let number = *self.by_request.get(&request)?;
        self.remove(now, classes, number)
    }

    /// Takes a request out by number.
    pub fn remove(&mut self, now: Millis, classes: &Classes, number: u64) -> Option<Entry> {
        let entry = self.entries.remove(&number)?;
        self.by_request.remove(&entry.waiter.ask.request);
        self.leave(&entry, number);
        self.renew(now, classes, entry.class, entry.flow);
        Some(entry)
    }

    /// The numbers of the requests that an entry's life holds.
    pub fn held_by(&self, holder: name::Incarnation) -> Vec<u64> {
        let held = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.waiter.holder == holder);
        held.map(|(number, _)| *number).collect()
    }

    /// The numbers of all waiting requests, by arrival.
    pub fn numbers(&self) -> Vec<u64> {
        self.entries.keys().copied().collect()
    }

    /// The next request of each class whose share is due, the longest due first.
    pub fn due(&self) -> impl Iterator<Item = u64> {
        let due = self.shares.due();
        due.filter_map(|class| self.shares.head(class))
    }

    /// The requests that a tier serves next among the lanes that may be: the
    /// first ones of the first flows, `count` of each at most.
    pub fn next(
        &mut self,
        now: Millis,
        classes: &Classes,
        tier: Tier,
        allowed: [bool; LANES],
        count: usize,
    ) -> Vec<u64> {
        let Some(queue) = self.queues.get_mut(&tier) else {
            return Vec::new();
        };
        let line = &mut queue.line;
        let flows = line.next(now, allowed, count, &mut self.flows, classes);
        let order = |id: u32| self.flows.get(id).order().take(count);
        flows.into_iter().flat_map(order).collect()
    }

    /// The request that has to make room: of the lowest tier, of the flow with
    /// most requests waiting, one that can't meet its target, or the newest.
    pub fn victim(&mut self, now: Millis, classes: &Classes) -> Option<u64> {
        let queue = self.queues.values().rev().find(|queue| queue.may_shed())?;
        let Some((_, _, flow)) = queue.lengths.last() else {
            return queue.sheddable_retries.last().copied();
        };
        let flow = self.flows.get_mut(*flow);
        let need = classes.get(flow.class).need();
        flow.victim(now + need)
    }

    /// Charges a flow and its class for a run's cost, or for the difference to
    /// what they were charged before. `shared`: the run came out of its class's share.
    pub fn charge(
        &mut self,
        now: Millis,
        classes: &Classes,
        class: u32,
        flow: u32,
        cost: f64,
        shared: bool,
    ) {
        self.shares.give(cost);
        if shared {
            self.shares.settle(class, cost);
        } else {
            self.shares.offset(class, cost);
        }
        let tier = classes.get(class).tier;
        let line = &mut self.queues.entry(tier).or_default().line;
        line.charge(self.flows.get_mut(flow), cost);
        self.renew(now, classes, class, flow);
    }

    /// The class has had its turn: within it, another flow is next.
    pub fn rotate(&mut self, now: Millis, classes: &Classes, class: u32, flow: u32) {
        let turn = self.flows.get(flow).turn;
        self.flows.get_mut(flow).turn = self.shares.rotate(class, flow, turn);
        self.renew(now, classes, class, flow);
    }

    /// A run of the flow started.
    pub fn start(&mut self, flow: u32) {
        self.flows.get_mut(flow).running += 1;
    }

    /// A run of the flow ended.
    pub fn end(&mut self, now: Millis, flow: u32) {
        let flow = self.flows.get_mut(flow);
        flow.running = flow.running.saturating_sub(1);
        flow.idle_since = now;
    }

    /// Forgets what a class owes.
    pub fn forget_class(&mut self, class: u32) {
        self.shares.forget(class);
    }

    /// Forgets flows that have been idle.
    pub fn forget_idle(&mut self, now: Millis) {
        self.shares.forget_paid();
        let queues = &self.queues;
        let flow_ids = &mut self.flow_ids;
        self.flows.remove_if(|id, flow| {
            let line = queues.get(&flow.tier).map(|queue| &queue.line);
            let settled = line.is_none_or(|line| line.is_settled(flow));
            let old = flow.is_idle() && (settled || now - flow.idle_since > REMEMBERED);
            if old && let Some(ids) = flow_ids.get_mut(&flow.workspace) {
                ids.retain(|(_, known)| *known != id);
                if ids.is_empty() {
                    flow_ids.remove(&flow.workspace);
                }
            }
            old
        });
    }

    fn join(&mut self, entry: &Entry, number: u64) {
        let ask = &entry.waiter.ask;
        let flow = self.flows.get_mut(entry.flow);
        let queue = self.queues.entry(ask.tier).or_default();
        queue.count += 1;
        if flow.is_empty() {
            flow.weight = ask.weight.max(1) as f64;
            queue.line.join(flow);
            flow.turn = self.shares.join(entry.class, entry.flow);
        }
        flow.insert(number, ask.deadline, !entry.is_retry());
        if entry.is_retry() {
            queue.sheddable_retries.insert(number);
        }
    }

    fn leave(&mut self, entry: &Entry, number: u64) {
        let ask = &entry.waiter.ask;
        let flow = self.flows.get_mut(entry.flow);
        let queue = self.queues.entry(ask.tier).or_default();
        queue.count -= 1;
        queue.sheddable_retries.remove(&number);
        flow.remove(number, ask.deadline);
        if flow.is_empty() {
            queue.line.leave(flow);
            self.shares.leave(entry.class, entry.flow, flow.turn);
        }
    }

    /// Brings the orders up to date after a change of a class and one of its flows.
    fn renew(&mut self, now: Millis, classes: &Classes, class: u32, flow: u32) {
        self.renew_head(classes, class);
        self.renew_length(flow);
        let flow_ref = self.flows.get_mut(flow);
        let queue = self.queues.entry(flow_ref.tier).or_default();
        queue.line.place(now, flow, flow_ref, classes);
    }

    /// Finds the class's next request, which stands outside the bound.
    fn renew_head(&mut self, classes: &Classes, class: u32) {
        let old = self.shares.head(class);
        let flow = self.shares.turn(class);
        let new = flow.and_then(|flow| self.flows.get(flow).oldest());
        if old != new {
            old.inspect(|number| self.set_exempt(*number, false));
            new.inspect(|number| self.set_exempt(*number, true));
        }
        let cost = classes.get(class).history.cost();
        self.shares.set_head(class, new, cost);
    }

    fn set_exempt(&mut self, number: u64, exempt: bool) {
        let Some(entry) = self.entries.get(&number) else {
            return;
        };
        if entry.is_retry() {
            let queue = self.queues.entry(entry.waiter.ask.tier).or_default();
            if exempt {
                queue.sheddable_retries.remove(&number);
            } else {
                queue.sheddable_retries.insert(number);
            }
        }
        let flow = entry.flow;
        self.flows
            .get_mut(flow)
            .set_exempt(exempt.then_some(number));
        self.renew_length(flow);
    }

    fn renew_length(&mut self, id: u32) {
        let flow = self.flows.get_mut(id);
        let length = flow.sheddable();
        if length == flow.length {
            return;
        }
        let lengths = &mut self.queues.entry(flow.tier).or_default().lengths;
        if let Some((count, newest)) = flow.length {
            lengths.remove(&(count, newest, id));
        }
        if let Some((count, newest)) = length {
            lengths.insert((count, newest, id));
        }
        flow.length = length;
    }
}
