//! The small share of a pool's service that each waiting class is owed,
//! whatever waits above it.

use std::collections::{BTreeMap, BTreeSet};

use crate::pool::tag::Tag;

/// What a waiting class is owed, and who of it is next.
#[derive(Debug, Default)]
struct Owed {
    /// Where on the scale of [`Shares::given`] the count of what it is owed starts.
    since: f64,
    /// Its flows by turn.
    turns: BTreeSet<(u64, u32)>,
    /// The request that is next.
    head: Option<u64>,
    /// Where on the scale its next request is due.
    due: Option<Tag>,
}

/// The shares of all classes with waiting requests.
#[derive(Debug)]
pub struct Shares {
    share: f64,
    total: f64,
    /// Tokens that each class would have got if it had always waited.
    given: f64,
    next_turn: u64,
    owed: BTreeMap<u32, Owed>,
    /// Where each class that went away in debt starts when it comes back.
    debts: BTreeMap<u32, f64>,
    due: BTreeSet<(Tag, u32)>,
}

impl Shares {
    /// Shares of this size each, and of this size together, 0 to 1.
    pub fn new(share: f64, total: f64) -> Self {
        Self {
            share,
            total,
            given: 0.0,
            next_turn: 0,
            owed: BTreeMap::new(),
            debts: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// A flow of the class got its first waiting request; returns its turn.
    pub fn join(&mut self, class: u32, flow: u32) -> u64 {
        let turn = self.next_turn;
        self.next_turn += 1;
        self.enter(class).turns.insert((turn, flow));
        turn
    }

    /// A flow of the class has no waiting request any more.
    pub fn leave(&mut self, class: u32, flow: u32, turn: u64) {
        if let Some(owed) = self.owed.get_mut(&class) {
            owed.turns.remove(&(turn, flow));
        }
        self.drop_empty(class);
    }

    /// A flow had its turn; returns the next one.
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

    /// The flow whose turn it is within the class.
    pub fn turn(&self, class: u32) -> Option<u32> {
        let (_, flow) = self.owed.get(&class)?.turns.first()?;
        Some(*flow)
    }

    /// The class's next request.
    pub fn head(&self, class: u32) -> Option<u64> {
        self.owed.get(&class)?.head
    }

    /// Sets the class's next request and what it is expected to cost.
    pub fn set_head(&mut self, class: u32, head: Option<u64>, cost: f64) {
        let Some(owed) = self.owed.get_mut(&class) else {
            return;
        };
        if let Some(due) = owed.due.take() {
            self.due.remove(&(due, class));
        }
        owed.head = head;
        if head.is_some() && self.share > 0.0 {
            let due = Tag(owed.since + cost);
            owed.due = Some(due);
            self.due.insert((due, class));
        }
    }

    /// The classes whose next request is due, the longest due first.
    pub fn due(&self) -> impl Iterator<Item = u32> {
        let given = Tag(self.given);
        let due = self.due.iter().take_while(move |(due, _)| *due <= given);
        due.map(|(_, class)| *class)
    }

    /// Classes with waiting requests.
    pub fn classes(&self) -> usize {
        self.owed.len()
    }

    /// Counts service given, or less if it was counted too high.
    pub fn give(&mut self, cost: f64) {
        let classes = self.owed.len().max(1) as f64;
        let rate = self.share.min(self.total / classes);
        self.given += rate * cost;
    }

    /// The class got service out of its share.
    pub fn settle(&mut self, class: u32, cost: f64) {
        if let Some(owed) = self.owed.get_mut(&class) {
            owed.since += cost;
        } else {
            *self.debts.entry(class).or_insert(self.given) += cost;
        }
    }

    /// The class got service by its tier's right: it is owed that much less,
    /// but never goes into debt by it.
    pub fn offset(&mut self, class: u32, cost: f64) {
        if let Some(owed) = self.owed.get_mut(&class)
            && owed.since < self.given
        {
            owed.since = (owed.since + cost).min(self.given);
        }
    }

    /// Forgets debts that the service given since has paid.
    pub fn forget_paid(&mut self) {
        let given = self.given;
        self.debts.retain(|_, debt| *debt > given);
    }

    /// Forgets the debt of a class.
    pub fn forget(&mut self, class: u32) {
        self.debts.remove(&class);
    }

    fn enter(&mut self, class: u32) -> &mut Owed {
        let given = self.given;
        let debt = self.debts.remove(&class).unwrap_or(given);
        self.owed.entry(class).or_insert_with(|| Owed {
            since: debt.max(given),
            ..Owed::default()
        })
    }

    fn drop_empty(&mut self, class: u32) {
        let Some(owed) = self.owed.get(&class) else {
            return;
        };
        if !owed.turns.is_empty() {
            return;
        }
        if let Some(due) = owed.due {
            self.due.remove(&(due, class));
        }
        if owed.since > self.given {
            self.debts.insert(class, owed.since);
        }
        self.owed.remove(&class);
    }
}
