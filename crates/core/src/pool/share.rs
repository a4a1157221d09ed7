//! Minimum shares: a small part of a pool's service guaranteed to each waiting
//! class, whatever waits in higher tiers.

use std::collections::{BTreeMap, BTreeSet};

use crate::pool::tag::Tag;

/// How many requests' worth of its share a class keeps from before, if its
/// requests were refused. With one, it loses what it is owed while it waits for
/// the next request.
const MAX_CREDIT: f64 = 2.0;

/// Account and round-robin order of a waiting class.
#[derive(Debug, Default)]
struct ClassShare {
    /// Start tag of its next service, on the scale of [`Shares::virtual_time`].
    virtual_start: f64,
    /// Its flows in round-robin order.
    turns: BTreeSet<(u64, u32)>,
    /// The request to serve next.
    head: Option<u64>,
    /// Finish tag of that request: it is due when virtual time reaches this.
    due: Option<Tag>,
}

/// Minimum shares of all classes with waiting requests.
#[derive(Debug)]
pub struct Shares {
    share: f64,
    total: f64,
    /// How many requests' worth of service in tier order count towards the
    /// share that follows.
    max_advance: f64,
    /// Tokens guaranteed so far to a class that has been waiting all the time.
    virtual_time: f64,
    next_turn: u64,
    owed: BTreeMap<u32, ClassShare>,
    /// Start tags of classes that stopped waiting after receiving more than
    /// their share.
    debts: BTreeMap<u32, f64>,
    /// Start tags of classes whose last waiting request left without service
    /// before its class got its share.
    credits: BTreeMap<u32, f64>,
    due: BTreeSet<(Tag, u32)>,
}

impl Shares {
    /// Creates shares of this size for each class and of this total, 0 to 1.
    pub fn new(share: f64, total: f64) -> Self {
        Self {
            share,
            total,
            max_advance: 0.0,
            virtual_time: 0.0,
            next_turn: 0,
            owed: BTreeMap::new(),
            debts: BTreeMap::new(),
            credits: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Counts service that a class got by its tier's order also towards its
    /// later share, up to this number of requests, so that a class that got
    /// more than its share a moment ago does not overtake higher tiers.
    #[must_use]
    pub fn with_advance(self, max_advance: f64) -> Self {
        Self {
            max_advance,
            ..self
        }
    }

    /// Adds a flow that got its first waiting request; returns its turn. A
    /// class is credited at most [`MAX_CREDIT`] times the `cost` of this request
    /// from before.
    pub fn join(&mut self, class: u32, flow: u32, cost: f64) -> u64 {
        let turn = self.next_turn;
        self.next_turn += 1;
        self.class_mut(class, cost).turns.insert((turn, flow));
        turn
    }

    /// Removes a flow that has no waiting request left.
    pub fn leave(&mut self, class: u32, flow: u32, turn: u64) {
        if let Some(owed) = self.owed.get_mut(&class) {
            owed.turns.remove(&(turn, flow));
        }
        self.remove_if_empty(class);
    }

    /// Removes a flow whose last waiting request is refused. The class keeps
    /// the share that it has not received, for its next request.
    pub fn leave_unserved(&mut self, class: u32, flow: u32, turn: u64) {
        let start = self.owed.get(&class).map(|owed| owed.virtual_start);
        self.leave(class, flow, turn);
        if !self.owed.contains_key(&class)
            && let Some(start) = start.filter(|start| *start <= self.virtual_time)
        {
            self.credits.insert(class, start);
        }
    }

    /// Moves a flow that was served to the end of the round; returns its new
    /// turn.
    pub fn rotate(&mut self, class: u32, flow: u32, turn: u64) -> u64 {
        let next = self.next_turn;
        self.next_turn += 1;
        if let Some(owed) = self.owed.get_mut(&class)
            && owed.turns.remove(&(turn, flow))
        {
            owed.turns.insert((next, flow));
        }
        next
    }

    /// Returns the flow whose turn it is within the class.
    pub fn next_flow(&self, class: u32) -> Option<u32> {
        let (_, flow) = self.owed.get(&class)?.turns.first()?;
        Some(*flow)
    }

    /// Returns the class's next request.
    pub fn head(&self, class: u32) -> Option<u64> {
        self.owed.get(&class)?.head
    }

    /// Sets the class's next request and its expected cost.
    pub fn set_head(&mut self, class: u32, head: Option<u64>, cost: f64) {
        let Some(owed) = self.owed.get_mut(&class) else {
            return;
        };
        if let Some(due) = owed.due.take() {
            self.due.remove(&(due, class));
        }
        owed.head = head;
        if head.is_some() && self.share > 0.0 {
            let due = Tag(owed.virtual_start + cost);
            owed.due = Some(due);
            self.due.insert((due, class));
        }
    }

    /// Returns the classes whose next request is due, the longest due first.
    pub fn due(&self) -> impl Iterator<Item = u32> {
        let virtual_time = Tag(self.virtual_time);
        let due = self
            .due
            .iter()
            .take_while(move |(due, _)| *due <= virtual_time);
        due.map(|(_, class)| *class)
    }

    /// Returns the number of classes with waiting requests.
    pub fn classes(&self) -> usize {
        self.owed.len()
    }

    /// Advances virtual time for service given. A negative cost corrects an
    /// excessive charge.
    pub fn record_service(&mut self, cost: f64) {
        let classes = self.owed.len().max(1) as f64;
        let rate = self.share.min(self.total / classes);
        self.virtual_time += rate * cost;
    }

    /// Charges the class for service from its minimum share.
    pub fn charge(&mut self, class: u32, cost: f64) {
        if let Some(owed) = self.owed.get_mut(&class) {
            owed.virtual_start += cost;
        } else {
            *self.debts.entry(class).or_insert(self.virtual_time) += cost;
        }
    }

    /// Credits service that the class got by its tier's order against its
    /// minimum share, without putting it into debt beyond the advance.
    pub fn credit_tier_service(&mut self, class: u32, cost: f64) {
        let limit = self.virtual_time + self.max_advance * cost;
        if let Some(owed) = self.owed.get_mut(&class)
            && owed.virtual_start < limit
        {
            owed.virtual_start = (owed.virtual_start + cost).min(limit);
        }
    }

    /// Forgets debts that have been paid by the service given since.
    pub fn forget_paid_debts(&mut self) {
        let virtual_time = self.virtual_time;
        self.debts.retain(|_, debt| *debt > virtual_time);
    }

    /// Forgets the debt and the credit of a class.
    pub fn forget_debt(&mut self, class: u32) {
        self.debts.remove(&class);
        self.credits.remove(&class);
    }

    fn class_mut(&mut self, class: u32, cost: f64) -> &mut ClassShare {
        let virtual_time = self.virtual_time;
        let debt = self.debts.remove(&class).unwrap_or(virtual_time);
        let credit = self.credits.remove(&class);
        let start = credit.map_or(debt.max(virtual_time), |it| {
            it.max(virtual_time - MAX_CREDIT * cost)
        });
        self.owed.entry(class).or_insert_with(|| ClassShare {
            virtual_start: start,
            ..ClassShare::default()
        })
    }

    fn remove_if_empty(&mut self, class: u32) {
        let Some(owed) = self.owed.get(&class) else {
            return;
        };
        if !owed.turns.is_empty() {
            return;
        }
        if let Some(due) = owed.due {
            self.due.remove(&(due, class));
        }
        if owed.virtual_start > self.virtual_time {
            self.debts.insert(class, owed.virtual_start);
        }
        self.owed.remove(&class);
    }
}
