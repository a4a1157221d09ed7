//! What the states of a lease that is ours have in common: which write is in force.

use crate::clock::Millis;
use crate::lease::{Fence, Holder, Record, Snapshot, Term, Write, WriteOutcome};

/// A lease that is ours as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    pub(super) fence: Fence,
    pub(super) version: u64,
    pub(super) take: u64,
    /// When the earliest renewal was sent of which nobody knows what became.
    pub(super) unresolved_since: Option<Millis>,
    /// Whether the rows must be read before the next write.
    pub(super) must_read: bool,
}

/// A renewal that is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// When it was sent; its time counts from here.
    pub sent: Millis,
    /// What to write.
    pub write: Write,
}

/// What the rows say about a tenure.
pub(super) enum Finding {
    /// It is ours; the renewal sent at this time is in force, if that is news.
    Owned(Option<Millis>),
    /// Somebody else has it, or it was given back.
    Lost,
}

impl Tenure {
    pub(super) fn renewal(&self, now: Millis, own: &Holder, term: Term) -> Renewal {
        Renewal {
            sent: now,
            write: self.write(Some(own.clone()), term),
        }
    }

    pub(super) fn release(&self, term: Term) -> Write {
        self.write(None, term)
    }

    fn write(&self, holder: Option<Holder>, term: Term) -> Write {
        Write {
            over: self.version,
            record: Record {
                holder,
                take: self.take,
                duration: term.duration(),
            },
            mark: None,
        }
    }

    /// Takes in what became of a renewal; says from when its time counts, if it
    /// is in force.
    pub(super) fn on_renewal(&mut self, renewal: &Renewal, answer: WriteOutcome) -> Option<Millis> {
        match answer {
            WriteOutcome::Committed { version, .. } => {
                // Renewals in doubt required the same version: none took effect.
                self.version = version;
                self.unresolved_since = None;
                self.must_read = false;
                Some(renewal.sent)
            }
            WriteOutcome::Conflict => {
                self.must_read = true;
                None
            }
            WriteOutcome::Unavailable => None,
            WriteOutcome::Unknown => {
                self.unresolved_since.get_or_insert(renewal.sent);
                self.must_read = true;
                None
            }
        }
    }

    /// Takes in a read of the rows.
    pub(super) fn on_read(&mut self, own: &Holder, seen: &Snapshot) -> Finding {
        let version = seen.version();
        if version != 0 && version < self.version {
            // An older state; the next read may show more.
            return Finding::Owned(None);
        }
        let ours = seen.take_of(own).is_some_and(|(take, _)| take == self.take);
        if !ours {
            return Finding::Lost;
        }
        self.must_read = false;
        if version == self.version {
            // What is in doubt has not taken effect, but still may.
            return Finding::Owned(None);
        }
        self.version = version;
        // Which of several renewals in doubt this is can't be told: the earliest
        // ends first.
        Finding::Owned(self.unresolved_since.take())
    }
}
