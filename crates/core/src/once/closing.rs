//! Closes a claim: takes it back unsent, or records how its request ended.

use crate::clock::Millis;
use crate::name;
use crate::once::step::doubled;
use crate::once::{Row, Step, Written};

/// The wait after a refused or failed call; it doubles with each further one.
const INITIAL_WAIT: Millis = Millis(50);
/// The longest wait: nobody waits for the end of it.
const MAX_WAIT: Millis = Millis(5_000);

/// Changes the row of one's own claim, however long the table service is out.
///
/// Each write requires the version that was read, so a late or repeated one
/// never touches what came after.
#[derive(Clone, Debug)]
pub struct Closing {
    request: name::Request,
    wait: Millis,
    over: u64,
}

impl Closing {
    /// Closes a submission's claim. `version` is that of its row, where known.
    pub fn new(request: name::Request, version: Option<u64>) -> (Self, Step<()>) {
        let closing = Self {
            request,
            wait: INITIAL_WAIT,
            over: version.unwrap_or(0),
        };
        let after = Millis::ZERO;
        let first = match version {
            Some(over) => Step::Write { over, after },
            None => Step::Read { after },
        };
        (closing, first)
    }

    /// Takes in what became of the write.
    pub fn on_write(&mut self, written: Written) -> Step<()> {
        match written {
            Written::Committed(_) => Step::Done(()),
            Written::Conflict | Written::Unknown => Step::Read {
                after: self.next_wait(),
            },
            Written::Unavailable => Step::Write {
                over: self.over,
                after: self.next_wait(),
            },
        }
    }

    /// Takes in the row, none if there is none.
    pub fn on_read(&mut self, row: Option<&Row>) -> Step<()> {
        let own = row.filter(|row| row.claim.request == self.request);
        match own {
            Some(row) if row.claim.end.is_none() => {
                self.over = row.version;
                Step::Write {
                    over: row.version,
                    after: Millis::ZERO,
                }
            }
            // Closed already, deleted, or never written.
            _ => Step::Done(()),
        }
    }

    /// Takes in that the row could not be read.
    pub fn on_read_error(&mut self) -> Step<()> {
        Step::Read {
            after: self.next_wait(),
        }
    }

    fn next_wait(&mut self) -> Millis {
        let wait = self.wait;
        self.wait = doubled(wait, MAX_WAIT);
        wait
    }
}

#[cfg(test)]
mod tests;
