//! The waiting requests of one class of one workspace.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::name;
use crate::pool::line::Spot;
use crate::tier::Tier;

/// A flow: what shares its tier's service with the other flows.
#[derive(Debug)]
pub struct Flow {
    /// The tier.
    pub tier: Tier,
    /// The class's number.
    pub class: u32,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The class's weight within the workspace.
    pub weight: f64,
    /// Where its next service starts, on its tier's virtual time.
    pub start: f64,
    /// Its runs.
    pub running: u32,
    /// Since when it has had nothing waiting and nothing running.
    pub idle_since: Millis,
    /// Its turn for the class's share.
    pub turn: u64,
    /// Where it stands in its tier's line.
    pub spot: Option<Spot>,
    /// Where it stands in the order of shedding.
    pub length: Option<(usize, u64)>,
    /// Those that can still meet their target, by deadline.
    live: BTreeSet<Place>,
    /// Those that can't, by deadline.
    late: BTreeSet<Place>,
    /// Those that have not run yet.
    fresh: BTreeSet<u64>,
    exempt: Option<u64>,
}

/// A request's place within its flow. A retry came before the fresh ones of
/// its class, so that its deadline puts it first.
type Place = (Millis, u64);

/// The request of a flow that is to be served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// It can still meet its target, which passes at this time.
    Live(Millis),
    /// It can't.
    Late,
}

impl Flow {
    /// A flow without requests.
    pub fn new(tier: Tier, class: u32, workspace: name::Workspace, now: Millis) -> Self {
        Self {
            tier,
            class,
            workspace,
            weight: 1.0,
            start: 0.0,
            running: 0,
            idle_since: now,
            turn: 0,
            spot: None,
            length: None,
            live: BTreeSet::new(),
            late: BTreeSet::new(),
            fresh: BTreeSet::new(),
            exempt: None,
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, number: u64, deadline: Millis, fresh: bool) {
        self.live.insert((deadline, number));
        if fresh {
            self.fresh.insert(number);
        }
    }

    /// Takes a request out.
    pub fn remove(&mut self, number: u64, deadline: Millis) {
        self.live.remove(&(deadline, number));
        self.late.remove(&(deadline, number));
        self.fresh.remove(&number);
        if self.exempt == Some(number) {
            self.exempt = None;
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.late.is_empty()
    }

    /// Whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.is_empty() && self.running == 0
    }

    /// The one whose deadline is first, which is the one that came first.
    pub fn oldest(&self) -> Option<u64> {
        let oldest = self.late.first().or_else(|| self.live.first());
        oldest.map(|(_, number)| *number)
    }

    /// What its first request is like if it is served by `earliest`.
    pub fn head(&mut self, earliest: Millis) -> Option<Head> {
        self.age(earliest);
        if let Some((deadline, _)) = self.live.first() {
            return Some(Head::Live(*deadline));
        }
        (!self.late.is_empty()).then_some(Head::Late)
    }

    /// Its requests in the order in which they are served: the most urgent of
    /// those that can meet their target, then the others as they came.
    pub fn order(&self) -> impl Iterator<Item = u64> {
        let order = self.live.iter().chain(&self.late);
        order.map(|(_, number)| *number)
    }

    /// The one to be shed first: the newest of those that can't meet their
    /// target any more, else the newest. None that has run before.
    pub fn victim(&mut self, earliest: Millis) -> Option<u64> {
        self.age(earliest);
        let sheddable = |number: &u64| Some(*number) != self.exempt && self.fresh.contains(number);
        let mut late = self.late.iter().rev().map(|(_, number)| *number);
        let mut fresh = self.fresh.iter().rev().copied();
        late.find(sheddable).or_else(|| fresh.find(sheddable))
    }

    /// Says which request stands outside the bound, if any.
    pub fn set_exempt(&mut self, exempt: Option<u64>) {
        self.exempt = exempt;
    }

    /// How many fresh ones may be shed, and the newest of them.
    pub fn sheddable(&self) -> Option<(usize, u64)> {
        let exempt = self
            .exempt
            .is_some_and(|number| self.fresh.contains(&number));
        let count = self.fresh.len() - usize::from(exempt);
        let newest = self.fresh.last()?;
        (count > 0).then_some((count, *newest))
    }

    /// Sets aside those whose target passes before `earliest`.
    fn age(&mut self, earliest: Millis) {
        while let Some(place) = self.live.first().copied() {
            if place.0 >= earliest {
                return;
            }
            self.live.pop_first();
            self.late.insert(place);
        }
    }
}

/// All flows of a pool by number.
#[derive(Debug, Default)]
pub struct Flows {
    list: Vec<Option<Flow>>,
    free: Vec<u32>,
}

impl Flows {
    /// Stores a flow and gives it a number.
    ///
    /// # Panics
    ///
    /// Never in practice: above 2^32 flows.
    pub fn add(&mut self, flow: Flow) -> u32 {
        if let Some(id) = self.free.pop() {
            self.list[id as usize] = Some(flow);
            return id;
        }
        self.list.push(Some(flow));
        u32::try_from(self.list.len() - 1).expect("fewer than 2^32 flows")
    }

    /// The flow of this number.
    ///
    /// # Panics
    ///
    /// If there is none: numbers are kept while anything refers to them.
    pub fn get(&self, id: u32) -> &Flow {
        self.list[id as usize].as_ref().expect("flow in use")
    }

    /// The flow of this number.
    ///
    /// # Panics
    ///
    /// As [`Self::get`].
    pub fn get_mut(&mut self, id: u32) -> &mut Flow {
        self.list[id as usize].as_mut().expect("flow in use")
    }

    /// Drops the flows of which this holds.
    pub fn remove_if(&mut self, mut old: impl FnMut(u32, &Flow) -> bool) {
        for (id, slot) in (0..).zip(&mut self.list) {
            if slot.as_ref().is_some_and(|flow| old(id, flow)) {
                *slot = None;
                self.free.push(id);
            }
        }
    }
}
