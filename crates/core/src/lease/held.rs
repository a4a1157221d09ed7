//! A lease that is ours, and whose time is not over.

use crate::clock::Millis;
use crate::lease::tenure::Finding;
use crate::lease::{
    Expired, Fence, Free, Lease, LeaseExpired, Renewal, Snapshot, Tenure, Term, Write, WriteOutcome,
};

/// Ours.
#[derive(Clone, Debug)]
pub struct Held {
    tenure: Tenure,
    until: Millis,
    renew_at: Millis,
}

/// What a read made of a lease that was ours.
#[derive(Clone, Debug)]
pub enum OwnedReadOutcome<S> {
    /// It still is.
    Owned(Lease<S>),
    /// It is not.
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
    /// Whether the lease may be acted under now. Asked before every action, by
    /// a clock that was read after everything that went before.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] once its time is over.
    pub fn check(&self, now: Millis) -> Result<Fence, LeaseExpired> {
        if now < self.state.until {
            Ok(self.state.tenure.fence)
        } else {
            Err(LeaseExpired)
        }
    }

    /// The number under which to act.
    pub fn fence(&self) -> Fence {
        self.state.tenure.fence
    }

    /// When its time is over.
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

    /// A write under the fence was refused: the rows must be read.
    #[must_use]
    pub fn suspect(mut self) -> Self {
        self.state.tenure.must_read = true;
        self
    }

    /// A renewal that is sent now.
    pub fn renewal(&self, now: Millis) -> Renewal {
        self.state.tenure.renewal(now, &self.own, self.term)
    }

    /// Takes in what became of a renewal.
    #[must_use]
    pub fn on_renewal(mut self, renewal: &Renewal, answer: WriteOutcome) -> Self {
        if let Some(sent) = self.state.tenure.on_renewal(renewal, answer) {
            self.extend(sent);
        }
        self
    }

    /// Takes in a read.
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

    /// The write that gives the lease back.
    pub fn release(&self) -> Write {
        self.state.tenure.release(self.term)
    }

    /// The lease was given back, as far as is known.
    pub fn released(self) -> Lease<Free> {
        self.with(Free::default())
    }

    /// The lease as it is now.
    ///
    /// # Errors
    ///
    /// The expired lease, once its time is over.
    pub fn expire(self, now: Millis) -> Result<Self, Lease<Expired>> {
        if now < self.state.until {
            return Ok(self);
        }
        let tenure = self.state.tenure.clone();
        Err(self.with(Expired { tenure }))
    }
}
