//! A lease whose time is over, but which nobody is known to have taken.

use crate::clock::Millis;
use crate::lease::tenure::Finding;
use crate::lease::{
    Fence, Free, Held, Lease, OwnedReadOutcome, Renewal, Snapshot, Tenure, Write, WriteOutcome,
};

/// Ours once; nothing may be done under it.
///
/// A renewal requires the record's version, so that it takes effect only if
/// nobody held the lease in between: the fence is the same then.
#[derive(Clone, Debug)]
pub struct Expired {
    pub(super) tenure: Tenure,
}

/// What became of the renewal of an expired lease.
#[derive(Clone, Debug)]
pub enum RenewalOutcome {
    /// It is ours again.
    Held(Lease<Held>),
    /// It is still over.
    Expired(Lease<Expired>),
}

impl Lease<Expired> {
    /// The number under which it was held.
    pub fn fence(&self) -> Fence {
        self.state.tenure.fence
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

    /// Takes in what became of a renewal, answered now.
    pub fn on_renewal(
        mut self,
        now: Millis,
        renewal: &Renewal,
        answer: WriteOutcome,
    ) -> RenewalOutcome {
        match self.state.tenure.on_renewal(renewal, answer) {
            Some(sent) => self.revived(now, sent),
            None => RenewalOutcome::Expired(self),
        }
    }

    /// Takes in a read. Also one that shows a renewal in force leaves the lease
    /// over: the next renewal brings it back.
    pub fn on_read(mut self, seen: &Snapshot) -> OwnedReadOutcome<Expired> {
        // Its time is over: nothing is lost by watching rows that were put back like another's.
        if seen.version() < self.state.tenure.version {
            return OwnedReadOutcome::Lost(self.with(Free::default()));
        }
        match self.state.tenure.on_read(&self.own, seen) {
            Finding::Lost => OwnedReadOutcome::Lost(self.with(Free::default())),
            Finding::Owned(_) => OwnedReadOutcome::Owned(self),
        }
    }

    fn revived(self, now: Millis, sent: Millis) -> RenewalOutcome {
        let held = Held::new(self.state.tenure.clone(), sent, self.term);
        match self.with(held).expire(now) {
            Ok(held) => RenewalOutcome::Held(held),
            Err(expired) => RenewalOutcome::Expired(expired),
        }
    }

    /// The write that gives the lease back, so that others need not wait.
    pub fn release(&self) -> Write {
        self.state.tenure.release(self.term)
    }

    /// The lease was given back, as far as is known.
    pub fn released(self) -> Lease<Free> {
        self.with(Free::default())
    }
}
