//! Decides which entry does the work under a lease: the preferred one, or others if it does
//! not.

use crate::clock::Millis;
use crate::lease::{Term, Want};

/// Factor by which the poll interval and the wait grow with each entry that is preferred to
/// this one.
const BACKOFF: u64 = 4;
/// Rank from which on the poll interval no longer grows.
const MAX_BACKOFF_RANK: usize = 3;
/// Number of polls after which a holder that is not the preferred entry starts no more work and
/// releases the lease once nothing runs, so that the preferred entry can take its work back if
/// it has returned.
const TURN_POLLS: u64 = 10;

/// Decides when one entry should hold the lease for some work.
#[derive(Clone, Debug)]
pub struct Duty {
    poll: Millis,
    term: Term,
    rank: usize,
    /// Since when every poll has found work.
    work_since: Option<Millis>,
    /// Since when the lease has been held without being the preferred entry.
    turn_since: Option<Millis>,
}

impl Duty {
    /// Creates the duty of an entry; `poll` is the poll interval of the preferred entry.
    pub fn new(poll: Millis, term: Term) -> Self {
        Self {
            poll,
            term,
            rank: 0,
            work_since: None,
            turn_since: None,
        }
    }

    /// Sets the number of entries that are preferred to this one.
    pub fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Returns the time between two polls for work.
    pub fn poll_interval(&self) -> Millis {
        Millis(self.poll.0 * self.backoff())
    }

    fn backoff(&self) -> u64 {
        (0..self.rank.min(MAX_BACKOFF_RANK)).fold(1, |backoff, _| backoff * BACKOFF)
    }

    /// Records whether a poll found work.
    pub fn record_poll(&mut self, now: Millis, work: bool) {
        self.work_since = work.then_some(self.work_since.unwrap_or(now));
    }

    /// Returns what to do with the lease. `held` says whether it is held, and `running` whether
    /// any work is running under it.
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
            // The grace period starts over before the lease is taken again.
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

    /// Whether new work may be started while the lease is held.
    pub fn may_start(&self, now: Millis) -> bool {
        self.rank == 0 || !self.turn_is_over(now)
    }

    fn turn_is_over(&self, now: Millis) -> bool {
        let turn = Millis(self.poll.0 * TURN_POLLS);
        self.turn_since.is_some_and(|since| now - since >= turn)
    }

    /// How long work must have been pending before an entry that is not preferred takes the
    /// lease.
    fn grace_period(&self) -> Millis {
        self.poll_interval()
    }

    /// Interval at which the lease is read while another entry holds it.
    fn watch_interval(&self) -> Millis {
        Millis(self.term.duration().0 / BACKOFF * self.backoff())
    }
}

#[cfg(test)]
mod tests;
