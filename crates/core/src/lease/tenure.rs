//! State shared by held and expired leases: which write is in force.

use crate::clock::Millis;
use crate::era;
use crate::lease::{Fence, Holder, Record, Snapshot, Term, Write, WriteOutcome};

/// A lease that this incarnation owns as far as it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    pub(super) fence: Fence,
    pub(super) version: u64,
    pub(super) take: u64,
    /// When the earliest renewal whose outcome is unknown was sent.
    pub(super) unresolved_since: Option<Millis>,
    /// Whether the rows must be read before the next write.
    pub(super) must_read: bool,
}

/// A renewal in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// When it was sent; the lease's time counts from here.
    pub sent: Millis,
    /// The write to perform.
    pub write: Write,
}

/// What a read of the rows shows about the lease.
pub(super) enum Finding {
    /// It is owned. Contains the send time of the renewal that is in force if the read
    /// confirmed one whose outcome was unknown.
    Owned(Option<Millis>),
    /// Another holder has it, or it was released.
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

    /// Processes the outcome of a renewal. Returns the time from which the lease counts if the
    /// renewal took effect.
    pub(super) fn on_renewal(&mut self, renewal: &Renewal, answer: WriteOutcome) -> Option<Millis> {
        match answer {
            WriteOutcome::Committed { version, .. } => {
                // Renewals with an unknown outcome required the same version, so none of them
                // took effect.
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

    /// Processes a read of the rows.
    pub(super) fn on_read(&mut self, own: &Holder, seen: &Snapshot) -> Finding {
        let version = seen.version();
        if version != 0 && version < self.version {
            // A stale read; a later one may show more.
            return Finding::Owned(None);
        }
        let own = seen.take_of(own).filter(|(take, _)| *take == self.take);
        let Some((_, fence)) = own else {
            return Finding::Lost;
        };
        self.must_read = false;
        if era::is_restored(self.version, version) {
            // The copy holds this take, but may lack the renewals since.
            self.fence = fence;
            self.version = version;
            self.unresolved_since = None;
            return Finding::Owned(None);
        }
        if version == self.version {
            // Writes with an unknown outcome have not taken effect, but still may.
            return Finding::Owned(None);
        }
        self.version = version;
        // The read can't tell which of several unresolved renewals took effect, so the
        // earliest send time is used: it expires first.
        Finding::Owned(self.unresolved_since.take())
    }
}
