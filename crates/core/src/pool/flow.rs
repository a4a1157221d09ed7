//! The waiting requests of one class of one workspace.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::name;
use crate::pool::fair_queue::Spot;
use crate::pool::tag::Tag;
use crate::tier::Tier;

/// A flow: the unit between which a tier's service is shared.
#[derive(Debug)]
pub struct Flow {
    /// The tier.
    pub tier: Tier,
    /// The class's id.
    pub class: u32,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The class's weight within the workspace.
    pub weight: f64,
    /// The workspace's weight relative to the others of the tier.
    pub workspace_weight: f64,
    /// Start tag of its next service, in its tier's virtual time.
    pub virtual_start: f64,
    /// Number of active runs.
    pub running: u32,
    /// Since when nothing has been waiting or running.
    pub idle_since: Millis,
    /// Position in the round-robin order of its class's minimum share.
    pub turn: u64,
    /// Position in its tier's fair queue.
    pub spot: Option<Spot>,
    /// Key in its tier's shed order.
    pub shed_key: Option<(Tag, u64)>,
    /// Requests that can still meet their target, by deadline.
    on_time: BTreeSet<DeadlineKey>,
    /// Requests that can't meet their target, by deadline.
    late: BTreeSet<DeadlineKey>,
    /// Requests that have not run yet.
    first_attempts: BTreeSet<u64>,
    exempt: Option<u64>,
}

/// Orders the requests of a flow by deadline. A retry arrived before the first
/// attempts of its class, so its deadline puts it first.
type DeadlineKey = (Millis, u64);

/// State of the request that a flow serves first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// It can still meet this deadline.
    OnTime(Millis),
    /// It can't meet its deadline.
    Late,
}

impl Flow {
    /// Creates a flow without requests.
    pub fn new(tier: Tier, class: u32, workspace: name::Workspace, now: Millis) -> Self {
        Self {
            tier,
            class,
            workspace,
            weight: 1.0,
            workspace_weight: 1.0,
            virtual_start: 0.0,
            running: 0,
            idle_since: now,
            turn: 0,
            spot: None,
            shed_key: None,
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
            first_attempts: BTreeSet::new(),
            exempt: None,
        }
    }

    /// Adds a request; `first_attempt` is false for a retry.
    pub fn insert(&mut self, number: u64, deadline: Millis, first_attempt: bool) {
        self.on_time.insert((deadline, number));
        if first_attempt {
            self.first_attempts.insert(number);
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64, deadline: Millis) {
        self.on_time.remove(&(deadline, number));
        self.late.remove(&(deadline, number));
        self.first_attempts.remove(&number);
        if self.exempt == Some(number) {
            self.exempt = None;
        }
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.is_empty() && self.running == 0
    }

    /// Returns the request with the earliest deadline, which is also the one
    /// that arrived first.
    pub fn oldest(&self) -> Option<u64> {
        let oldest = self.late.first().or_else(|| self.on_time.first());
        oldest.map(|(_, number)| *number)
    }

    /// Returns the state of the first request if it finishes at
    /// `earliest_finish`.
    pub fn head(&mut self, earliest_finish: Millis) -> Option<Head> {
        self.move_late(earliest_finish);
        if let Some((deadline, _)) = self.on_time.first() {
            return Some(Head::OnTime(*deadline));
        }
        (!self.late.is_empty()).then_some(Head::Late)
    }

    /// Returns the requests in service order: those that can meet their target
    /// by deadline, then the others by deadline.
    pub fn service_order(&self) -> impl Iterator<Item = u64> {
        let order = self.on_time.iter().chain(&self.late);
        order.map(|(_, number)| *number)
    }

    /// Returns the request to shed first: the newest of those that can't meet
    /// their target, else the newest of all. Retries and the exempt request are
    /// never chosen.
    pub fn shed_candidate(&mut self, earliest_finish: Millis) -> Option<u64> {
        self.move_late(earliest_finish);
        let may_shed =
            |number: &u64| Some(*number) != self.exempt && self.first_attempts.contains(number);
        let mut late = self.late.iter().rev().map(|(_, number)| *number);
        let mut first_attempts = self.first_attempts.iter().rev().copied();
        late.find(may_shed)
            .or_else(|| first_attempts.find(may_shed))
    }

    /// Sets the request that is exempt from the bound of the waiting list, if
    /// any.
    pub fn set_exempt(&mut self, exempt: Option<u64>) {
        self.exempt = exempt;
    }

    /// Returns how many requests wait, relative to the workspace's weight.
    pub fn weighted_len(&self) -> Tag {
        Tag((self.on_time.len() + self.late.len()) as f64 / self.workspace_weight)
    }

    /// Returns how many first attempts may be shed, relative to the
    /// workspace's weight, and the newest first attempt.
    pub fn compute_shed_key(&self) -> Option<(Tag, u64)> {
        let exempt = self
            .exempt
            .is_some_and(|number| self.first_attempts.contains(&number));
        let count = self.first_attempts.len() - usize::from(exempt);
        let newest = self.first_attempts.last()?;
        let weighted = Tag(count as f64 / self.workspace_weight);
        (count > 0).then_some((weighted, *newest))
    }

    /// Moves requests whose deadline passes before `earliest_finish` to the
    /// late ones.
    fn move_late(&mut self, earliest_finish: Millis) {
        while let Some(key) = self.on_time.first().copied() {
            if key.0 >= earliest_finish {
                return;
            }
            self.on_time.pop_first();
            self.late.insert(key);
        }
    }
}

/// All flows of a pool, by id.
#[derive(Debug, Default)]
pub struct Flows {
    list: Vec<Option<Flow>>,
    free: Vec<u32>,
}

impl Flows {
    /// Stores a flow and returns its id.
    ///
    /// # Panics
    ///
    /// Above 2^32 flows.
    pub fn add(&mut self, flow: Flow) -> u32 {
        if let Some(id) = self.free.pop() {
            self.list[id as usize] = Some(flow);
            return id;
        }
        self.list.push(Some(flow));
        u32::try_from(self.list.len() - 1).expect("fewer than 2^32 flows")
    }

    /// Returns the flow with this id.
    ///
    /// # Panics
    ///
    /// If there is none. Ids stay valid while anything refers to them.
    pub fn get(&self, id: u32) -> &Flow {
        self.list[id as usize].as_ref().expect("flow in use")
    }

    /// Returns the flow with this id.
    ///
    /// # Panics
    ///
    /// As [`Self::get`].
    pub fn get_mut(&mut self, id: u32) -> &mut Flow {
        self.list[id as usize].as_mut().expect("flow in use")
    }

    /// Removes the flows for which `remove` returns true.
    pub fn remove_if(&mut self, mut remove: impl FnMut(u32, &Flow) -> bool) {
        for (id, slot) in (0..).zip(&mut self.list) {
            if slot.as_ref().is_some_and(|flow| remove(id, flow)) {
                *slot = None;
                self.free.push(id);
            }
        }
    }
}
