//! Claims a request before it may be sent to an endpoint.

use crate::clock::Millis;
use crate::name;
use crate::once::step::doubled;
use crate::once::{AbandonedRequests, Claim, Row, Step, Written};

/// The wait after a refused or failed call; it doubles with each further one.
const INITIAL_WAIT: Millis = Millis(10);
/// The longest wait: a caller waits for the claim.
const MAX_WAIT: Millis = Millis(250);

/// How a claim was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is written: this submission may be sent. The row has this version.
    Acquired(u64),
    /// The identity belongs to another submission: follow that one.
    Held(Claim),
    /// It is not known in time who holds the identity. This submission must
    /// never be sent, also if its claim turns out to have been written.
    Unresolved {
        /// Whether the claim may stand in the table, or yet come to.
        may_exist: bool,
    },
}

/// Claims one identity for one submission.
///
/// The licence to send is an acknowledged write, or a read that shows this very
/// submission's claim; nothing else is.
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
    /// Claims for a submission, which is settled by the deadline; by the sooner
    /// time if the table service did nothing until then but refuse.
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

    /// Takes in what became of the write.
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

    /// Takes in the row, none if there is none.
    ///
    /// `abandoned` name the submissions of this life that were given up unsent.
    pub fn on_read(
        &mut self,
        now: Millis,
        row: Option<Row>,
        abandoned: &AbandonedRequests,
    ) -> Step<ClaimOutcome> {
        let Some(Row { claim, version }) = row else {
            // After a conflict this can only be a stale read, or a row just deleted.
            let after = self.next_wait();
            return self.write(now, 0, after);
        };
        if claim.request == self.request {
            return Step::Done(ClaimOutcome::Acquired(version));
        }
        if abandoned.is_abandoned(claim.request) {
            // Writing over the row, rather than using it as it stands, shuts out a
            // delete of it that may still be on its way.
            let after = self.next_wait();
            return self.write(now, version, after);
        }
        Step::Done(ClaimOutcome::Held(claim))
    }

    /// Takes in that the row could not be read.
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
