//! State machine that claims a request before it may be sent to an endpoint.

use crate::clock::Millis;
use crate::name;
use crate::once::step::doubled;
use crate::once::{AbandonedRequests, Claim, Row, Step, Written};

/// Delay after a refused or failed call; it doubles with each further one.
const INITIAL_WAIT: Millis = Millis(10);
/// Upper bound of the delay: a caller is waiting for the claim.
const MAX_WAIT: Millis = Millis(250);

/// Result of an attempt to claim an identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is written, and this submission may be sent. Contains the row's version.
    Acquired(u64),
    /// Another submission holds the identity: follow that one.
    Held(Claim),
    /// The holder could not be determined in time. This submission must never be sent, even if
    /// its claim turns out to have been written.
    Unresolved {
        /// Whether this submission's claim may exist in the table, now or later.
        may_exist: bool,
    },
}

/// Claims one identity for one submission.
///
/// A submission may be sent only after an acknowledged write, or after a read that shows this
/// submission's own claim.
#[derive(Clone, Debug)]
pub struct Claiming {
    request: name::Request,
    refused_deadline: Millis,
    deadline: Millis,
    wait: Millis,
    over: u64,
    may_exist: bool,
    answered: bool,
}

impl Claiming {
    /// Starts a claim that ends by `deadline`, or by the earlier `refused_deadline` if every
    /// call until then was refused by the table service.
    pub fn new(
        request: name::Request,
        refused_deadline: Millis,
        deadline: Millis,
    ) -> (Self, Step<ClaimOutcome>) {
        let claiming = Self {
            request,
            refused_deadline,
            deadline,
            wait: INITIAL_WAIT,
            over: 0,
            may_exist: false,
            answered: false,
        };
        let first = Step::Write {
            over: 0,
            after: Millis::ZERO,
        };
        (claiming, first)
    }

    /// Processes the outcome of the write.
    pub fn on_write(&mut self, now: Millis, written: Written) -> Step<ClaimOutcome> {
        match written {
            Written::Committed(version) => Step::Done(ClaimOutcome::Acquired(version)),
            Written::Conflict => {
                self.answered = true;
                self.read(now, Millis::ZERO)
            }
            Written::Unknown => {
                self.may_exist = true;
                self.read(now, Millis::ZERO)
            }
            Written::Unavailable => {
                let after = self.next_wait();
                self.write(now, self.over, after)
            }
        }
    }

    /// Processes a read of the row; `None` if there is no row.
    ///
    /// `abandoned` contains the submissions of this incarnation that were abandoned unsent.
    pub fn on_read(
        &mut self,
        now: Millis,
        row: Option<Row>,
        abandoned: &AbandonedRequests,
    ) -> Step<ClaimOutcome> {
        let Some(Row { claim, version }) = row else {
            // After a conflict, this is either a stale read or a row that was just deleted.
            let after = self.next_wait();
            return self.write(now, 0, after);
        };
        if claim.request == self.request {
            return Step::Done(ClaimOutcome::Acquired(version));
        }
        if abandoned.is_abandoned(claim.request) {
            // Overwriting the row, instead of adopting it, makes a delete of it that is still
            // in flight fail.
            let after = self.next_wait();
            return self.write(now, version, after);
        }
        Step::Done(ClaimOutcome::Held(claim))
    }

    /// Records that the row could not be read.
    pub fn on_read_error(&mut self, now: Millis) -> Step<ClaimOutcome> {
        let after = self.next_wait();
        self.read(now, after)
    }

    fn write(&mut self, now: Millis, over: u64, after: Millis) -> Step<ClaimOutcome> {
        self.over = over;
        self.unless_expired(now, Step::Write { over, after })
    }

    fn read(&self, now: Millis, after: Millis) -> Step<ClaimOutcome> {
        self.unless_expired(now, Step::Read { after })
    }

    fn unless_expired(&self, now: Millis, step: Step<ClaimOutcome>) -> Step<ClaimOutcome> {
        let deadline = if self.may_exist || self.answered {
            self.deadline
        } else {
            self.refused_deadline
        };
        if now < deadline {
            return step;
        }
        Step::Done(ClaimOutcome::Unresolved {
            may_exist: self.may_exist,
        })
    }

    fn next_wait(&mut self) -> Millis {
        let wait = self.wait;
        self.wait = doubled(wait, MAX_WAIT);
        wait
    }
}

#[cfg(test)]
mod tests;
