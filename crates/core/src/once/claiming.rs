//! Claims a request before it may be sent to an endpoint.

use crate::clock::Millis;
use crate::name;
use crate::once::step::longer;
use crate::once::{Claim, Notes, Row, Step, Written};

/// The wait after a refused or failed call; it doubles with each further one.
const FIRST_WAIT: Millis = Millis(10);
/// The longest wait: a caller waits for the claim.
const LONGEST_WAIT: Millis = Millis(250);

/// How a claim was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The claim is written: this submission may be sent. The row has this version.
    Mine(u64),
    /// The identity belongs to another submission: follow that one.
    Held(Claim),
    /// It is not known in time who holds the identity. This submission must
    /// never be sent, also if its claim turns out to have been written.
    Unsettled {
        /// Whether the claim may stand in the table, or yet come to.
        may_stand: bool,
    },
}

/// Claims one identity for one submission.
///
/// The licence to send is an acknowledged write, or a read that shows this very
/// submission's claim; nothing else is.
#[derive(Clone, Debug)]
pub struct Claiming {
    request: name::Request,
    soon: Millis,
    deadline: Millis,
    wait: Millis,
    over: u64,
    may_stand: bool,
    answered: bool,
}

impl Claiming {
    /// Claims for a submission, which is settled by the deadline; by the sooner
    /// time if the table service did nothing until then but refuse.
    pub fn new(request: name::Request, soon: Millis, deadline: Millis) -> (Self, Step<Settled>) {
        let claiming = Self {
            request,
            soon,
            deadline,
            wait: FIRST_WAIT,
            over: 0,
            may_stand: false,
            answered: false,
        };
        let first = Step::Write {
            over: 0,
            after: Millis::ZERO,
        };
        (claiming, first)
    }

    /// Takes in what became of the write.
    pub fn written(&mut self, now: Millis, written: Written) -> Step<Settled> {
        match written {
            Written::Committed(version) => Step::Done(Settled::Mine(version)),
            Written::Conflict => {
                self.answered = true;
                self.read(now, Millis::ZERO)
            }
            Written::Unknown => {
                self.may_stand = true;
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
    /// `notes` name the submissions of this life that were given up unsent.
    pub fn seen(&mut self, now: Millis, row: Option<Row>, notes: &Notes) -> Step<Settled> {
        let Some(Row { claim, version }) = row else {
            // After a conflict this can only be a stale read, or a row just deleted.
            let after = self.next_wait();
            return self.write(now, 0, after);
        };
        if claim.request == self.request {
            return Step::Done(Settled::Mine(version));
        }
        if notes.gave_up(claim.request) {
            // Writing over the row, rather than using it as it stands, shuts out a
            // delete of it that may still be on its way.
            let after = self.next_wait();
            return self.write(now, version, after);
        }
        Step::Done(Settled::Held(claim))
    }

    /// Takes in that the row could not be read.
    pub fn unseen(&mut self, now: Millis) -> Step<Settled> {
        let after = self.next_wait();
        self.read(now, after)
    }

    fn write(&mut self, now: Millis, over: u64, after: Millis) -> Step<Settled> {
        self.over = over;
        self.unless_late(now, Step::Write { over, after })
    }

    fn read(&self, now: Millis, after: Millis) -> Step<Settled> {
        self.unless_late(now, Step::Read { after })
    }

    fn unless_late(&self, now: Millis, step: Step<Settled>) -> Step<Settled> {
        let deadline = if self.may_stand || self.answered {
            self.deadline
        } else {
            self.soon
        };
        if now < deadline {
            return step;
        }
        Step::Done(Settled::Unsettled {
            may_stand: self.may_stand,
        })
    }

    fn next_wait(&mut self) -> Millis {
        let wait = self.wait;
        self.wait = longer(wait, LONGEST_WAIT);
        wait
    }
}

#[cfg(test)]
mod tests;
