//! Which entry cares for some work: the one preferred for it, and others if it does not.

use crate::clock::Millis;
use crate::lease::{Term, Want};

/// How much rarer an entry looks, and how much longer it waits, with each entry
/// that is preferred to it.
const RARER: u64 = 4;
/// The rank from which on entries no longer look more rarely.
const LAST_RANK: usize = 3;
/// A holder that is not the preferred one steps back after this many looks:
/// should the preferred one be back, the work is its own again.
const TURN: u64 = 10;

/// One entry's part in work that is done under a lease.
#[derive(Clone, Debug)]
pub struct Duty {
    poll: Millis,
    term: Term,
    rank: usize,
    /// Since when there has been work at every look.
    work: Option<Millis>,
    /// Since when the lease has been held out of turn.
    turn: Option<Millis>,
}

impl Duty {
    /// The part of an entry that looks this often where it is preferred.
    pub fn new(poll: Millis, term: Term) -> Self {
        Self {
            poll,
            term,
            rank: 0,
            work: None,
            turn: None,
        }
    }

    /// How many entries are preferred to this one now.
    pub fn rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The time between two looks for work.
    pub fn look_every(&self) -> Millis {
        Millis(self.poll.0 * self.rarer())
    }

    fn rarer(&self) -> u64 {
        (0..self.rank.min(LAST_RANK)).fold(1, |rarer, _| rarer * RARER)
    }

    /// There was work, or not, at a look.
    pub fn looked(&mut self, now: Millis, work: bool) {
        self.work = work.then_some(self.work.unwrap_or(now));
    }

    /// What is wanted of the lease. `held` says whether it is held, and `running`
    /// whether something runs under it.
    pub fn want(&mut self, now: Millis, held: bool, running: bool) -> Want {
        let wanted = Want::Hold { look: self.watch() };
        if self.rank == 0 {
            self.turn = None;
            let needed = running || self.work.is_some();
            return if needed { wanted } else { Want::Idle };
        }
        if held {
            self.turn.get_or_insert(now);
            if running || !self.turn_is_over(now) {
                return wanted;
            }
            // Its wait for the next turn begins anew.
            self.turn = None;
            self.work = None;
            return Want::Release;
        }
        self.turn = None;
        let overdue = self.work.is_some_and(|since| now - since >= self.grace());
        if running || overdue {
            wanted
        } else {
            Want::Idle
        }
    }

    /// Whether something new may be started, if the lease is held.
    pub fn starts(&self, now: Millis) -> bool {
        self.rank == 0 || !self.turn_is_over(now)
    }

    fn turn_is_over(&self, now: Millis) -> bool {
        let turn = Millis(self.poll.0 * TURN);
        self.turn.is_some_and(|since| now - since >= turn)
    }

    /// How long there must have been work before an entry takes it out of turn.
    fn grace(&self) -> Millis {
        self.look_every()
    }

    /// How often the lease is read while another holds it.
    fn watch(&self) -> Millis {
        Millis(self.term.duration().0 / RARER * self.rarer())
    }
}

#[cfg(test)]
mod tests;
