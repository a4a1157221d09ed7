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
    /// Its waiting retries, which stand outside the flow's own order.
    pub retries: u32,
    /// Since when it has had nothing waiting and nothing running.
    pub idle_since: Millis,
    /// Its turn for the class's share.
    pub turn: u64,
    /// Where it stands in its tier's line.
    pub spot: Option<Spot>,
    /// Where it stands in the order of shedding.
    pub length: Option<(usize, u64)>,
    all: BTreeSet<u64>,
    live: BTreeSet<(Millis, u64)>,
    late: BTreeSet<u64>,
    exempt: Option<u64>,
}

/// The request of a flow that is to be served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// It can still meet its target, which passes at this time.
    Live(Millis, u64),
    /// It can't.
    Late(u64),
}

impl Head {
    /// The request's number.
    pub fn number(self) -> u64 {
        match self {
            Self::Live(_, number) | Self::Late(number) => number,
        }
    }
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
            retries: 0,
            idle_since: now,
            turn: 0,
            spot: None,
            length: None,
            all: BTreeSet::new(),
            live: BTreeSet::new(),
            late: BTreeSet::new(),
            exempt: None,
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, number: u64, deadline: Millis) {
        self.all.insert(number);
        self.live.insert((deadline, number));
    }

    /// Takes a request out.
    pub fn remove(&mut self, number: u64, deadline: Millis) {
        self.all.remove(&number);
        self.live.remove(&(deadline, number));
        self.late.remove(&number);
        if self.exempt == Some(number) {
            self.exempt = None;
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.all.is_empty() && self.retries == 0 && self.running == 0
    }

    /// The one that has waited longest.
    pub fn oldest(&self) -> Option<u64> {
        self.all.first().copied()
    }

    /// The one to be served first: the most urgent of those that can meet
    /// their target if served by `earliest`, else the one that waited longest.
    pub fn head(&mut self, earliest: Millis) -> Option<Head> {
        self.age(earliest);
        if let Some((deadline, number)) = self.live.first() {
            return Some(Head::Live(*deadline, *number));
        }
        self.late.first().copied().map(Head::Late)
    }

    /// The one to be shed first: the newest of those that can't meet their
    /// target any more, else the newest.
    pub fn victim(&mut self, earliest: Millis) -> Option<u64> {
        self.age(earliest);
        let exempt = self.exempt;
        let sheddable = |number: &&u64| Some(**number) != exempt;
        let late = self.late.iter().rev().find(sheddable);
        late.or_else(|| self.all.iter().rev().find(sheddable))
            .copied()
    }

    /// Says which request stands outside the bound, if any.
    pub fn set_exempt(&mut self, exempt: Option<u64>) {
        self.exempt = exempt;
    }

    /// How many may be shed, and the newest request.
    pub fn sheddable(&self) -> Option<(usize, u64)> {
        let count = self.all.len() - usize::from(self.exempt.is_some());
        let newest = self.all.last()?;
        (count > 0).then_some((count, *newest))
    }

    /// Sets aside those whose target passes before `earliest`.
    fn age(&mut self, earliest: Millis) {
        while let Some((deadline, number)) = self.live.first().copied() {
            if deadline >= earliest {
                return;
            }
            self.live.pop_first();
            self.late.insert(number);
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
