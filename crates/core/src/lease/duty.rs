//! Which entry cares for some work: the one preferred for it, and others if it does not.

use crate::clock::Millis;
use crate::lease::{Term, Want};

/// How much rarer an entry looks, and how much longer it waits, with each entry
/// that is preferred to it.
const BACKOFF: u64 = 4;
/// The rank from which on entries no longer look more rarely.
const MAX_BACKOFF_RANK: usize = 3;
/// A holder that is not the preferred one steps back after this many looks:
/// should the preferred one be back, the work is its own again.
const TURN_POLLS: u64 = 10;

/// One entry's part in work that is done under a lease.
#[derive(Clone, Debug)]
pub struct Duty {
    poll: Millis,
    term: Term,
    rank: usize,
    /// Since when there has been work at every look.
    work_since: Option<Millis>,
    /// Since when the lease has been held out of turn.
    turn_since: Option<Millis>,
}

impl Duty {
    /// The part of an entry that looks this often where it is preferred.
    pub fn new(poll: Millis, term: Term) -> Self {
        Self {
            poll,
            term,
            rank: 0,
            work_since: None,
            turn_since: None,
        }
    }

    /// How many entries are preferred to this one now.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The time between two looks for work.
    pub fn poll_interval(&self) -> Millis {
        Millis(self.poll.0 * self.backoff())
    }

    fn backoff(&self) -> u64 {
        (0..self.rank.min(MAX_BACKOFF_RANK)).fold(1, |backoff, _| backoff * BACKOFF)
    }

    /// There was work, or not, at a look.
    pub fn record_poll(&mut self, now: Millis, work: bool) {
        self.work_since = work.then_some(self.work_since.unwrap_or(now));
    }

    /// What is wanted of the lease. `held` says whether it is held, and `running`
    /// whether something runs under it.
    pub fn want(&mut self, now: Millis, held: bool, running: bool) -> Want {
        let wanted = Want::Hold {
            poll_interval: self.watch_interval(),
        };
        if self.rank == 0 {
            self.turn_since = None;
            let needed = running || self.work_since.is_some();
            return if needed { wanted } else { Want::Idle };
        }
        if held {
            self.turn_since.get_or_insert(now);
            if running || !self.turn_is_over(now) {
                return wanted;
            }
            // Its wait for the next turn begins anew.
            self.turn_since = None;
            self.work_since = None;
            return Want::Release;
        }
        self.turn_since = None;
        let overdue = self
            .work_since
            .is_some_and(|since| now - since >= self.grace_period());
        if running || overdue {
            wanted
        } else {
            Want::Idle
        }
    }

    /// Whether something new may be started, if the lease is held.
    pub fn may_start(&self, now: Millis) -> bool {
        self.rank == 0 || !self.turn_is_over(now)
    }

    fn turn_is_over(&self, now: Millis) -> bool {
        let turn = Millis(self.poll.0 * TURN_POLLS);
        self.turn_since.is_some_and(|since| now - since >= turn)
    }

    /// How long there must have been work before an entry takes it out of turn.
    fn grace_period(&self) -> Millis {
        self.poll_interval()
    }

    /// How often the lease is read while another holds it.
    fn watch_interval(&self) -> Millis {
        Millis(self.term.duration().0 / BACKOFF * self.backoff())
    }
}

#[cfg(test)]
mod tests;
