//! State machine that closes a claim: deletes it unsent, or records how its request ended.

use crate::clock::Millis;
use crate::name;
use crate::once::step::doubled;
use crate::once::{Row, Step, Written};

/// Delay after a refused or failed call; it doubles with each further one.
const INITIAL_WAIT: Millis = Millis(50);
/// Upper bound of the delay: no caller is waiting for the result.
const MAX_WAIT: Millis = Millis(5_000);

/// Changes the row of the incarnation's own claim and retries for as long as the table service
/// is unavailable.
///
/// Each write requires the version that was read, so a late or repeated write never affects a
/// newer row.
#[derive(Clone, Debug)]
pub struct Closing {
    request: name::Request,
    wait: Millis,
    over: u64,
}

impl Closing {
    /// Starts closing a submission's claim. `version` is that of its row, if known.
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

    /// Processes the outcome of the write.
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

    /// Processes a read of the row; `None` if there is no row.
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
            // Already closed, deleted, or never written.
            _ => Step::Done(()),
        }
    }

    /// Records that the row could not be read.
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
