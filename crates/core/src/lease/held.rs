//! State of a lease that is held by this incarnation and has not expired.

use crate::clock::Millis;
use crate::lease::tenure::Finding;
use crate::lease::{
    Expired, Fence, Free, Lease, LeaseExpired, Renewal, Snapshot, Tenure, Term, Write, WriteOutcome,
};

/// The lease is held.
#[derive(Clone, Debug)]
pub struct Held {
    tenure: Tenure,
    until: Millis,
    renew_at: Millis,
}

/// Result of reading the rows of a lease that was owned.
#[derive(Clone, Debug)]
pub enum OwnedReadOutcome<S> {
    /// It is still owned.
    Owned(Lease<S>),
    /// It is no longer owned.
    Lost(Lease<Free>),
}

impl Held {
    pub(super) fn new(tenure: Tenure, sent: Millis, term: Term) -> Self {
        Self {
            tenure,
            until: sent + term.hold(),
            renew_at: sent + term.renew(),
        }
    }
}

impl Lease<Held> {
    /// Returns the fencing token if the lease has not expired. Call it before every action,
    /// with a clock reading taken after everything that precedes the action.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] once the lease has expired.
    pub fn check(&self, now: Millis) -> Result<Fence, LeaseExpired> {
        if now < self.state.until {
            Ok(self.state.tenure.fence)
        } else {
            Err(LeaseExpired)
        }
    }

    /// The fencing token of this lease.
    pub fn fence(&self) -> Fence {
        self.state.tenure.fence
    }

    /// When the lease expires.
    pub fn until(&self) -> Millis {
        self.state.until
    }

    /// When it should be renewed.
    pub fn renew_at(&self) -> Millis {
        self.state.renew_at
    }

    /// Whether the rows must be read before the next write.
    pub fn must_read(&self) -> bool {
        self.state.tenure.must_read
    }

    /// Records that a write with this fencing token was rejected: the rows must be read.
    #[must_use]
    pub fn suspect(mut self) -> Self {
        self.state.tenure.must_read = true;
        self
    }

    /// Creates a renewal that is sent at `now`.
    pub fn renewal(&self, now: Millis) -> Renewal {
        self.state.tenure.renewal(now, &self.own, self.term)
    }

    /// Processes the outcome of a renewal.
    #[must_use]
    pub fn on_renewal(mut self, renewal: &Renewal, answer: WriteOutcome) -> Self {
        if let Some(sent) = self.state.tenure.on_renewal(renewal, answer) {
            self.extend(sent);
        }
        self
    }

    /// Processes a read of the rows.
    pub fn on_read(mut self, seen: &Snapshot) -> OwnedReadOutcome<Held> {
        match self.state.tenure.on_read(&self.own, seen) {
            Finding::Lost => OwnedReadOutcome::Lost(self.with(Free::default())),
            Finding::Owned(sent) => {
                if let Some(sent) = sent {
                    self.extend(sent);
                }
                OwnedReadOutcome::Owned(self)
            }
        }
    }

    fn extend(&mut self, sent: Millis) {
        let later = Held::new(self.state.tenure.clone(), sent, self.term);
        self.state.until = self.state.until.max(later.until);
        self.state.renew_at = self.state.renew_at.max(later.renew_at);
    }

    /// Creates the write that releases the lease.
    pub fn release(&self) -> Write {
        self.state.tenure.release(self.term)
    }

    /// Converts the lease to the free state after a release, whether or not the write took
    /// effect.
    pub fn released(self) -> Lease<Free> {
        self.with(Free::default())
    }

    /// Returns the lease if it has not expired at `now`.
    ///
    /// # Errors
    ///
    /// The lease in its expired state otherwise.
    pub fn expire(self, now: Millis) -> Result<Self, Lease<Expired>> {
        if now < self.state.until {
            return Ok(self);
        }
        let tenure = self.state.tenure.clone();
        Err(self.with(Expired { tenure }))
    }
}
