//! State of a lease that has expired, but that no other holder is known to have taken.

use crate::clock::Millis;
use crate::era;
use crate::lease::tenure::Finding;
use crate::lease::{
    Fence, Free, Held, Lease, OwnedReadOutcome, Renewal, Snapshot, Tenure, Write, WriteOutcome,
};

/// The lease has expired; nothing may be done under it.
///
/// A renewal requires the record's version, so it takes effect only if nobody held the lease in
/// between. The fencing token is then unchanged.
#[derive(Clone, Debug)]
pub struct Expired {
    pub(super) tenure: Tenure,
}

/// Outcome of renewing an expired lease.
#[derive(Clone, Debug)]
pub enum RenewalOutcome {
    /// It is held again.
    Held(Lease<Held>),
    /// It is still expired.
    Expired(Lease<Expired>),
}

impl Lease<Expired> {
    /// The fencing token that it was held with.
    pub fn fence(&self) -> Fence {
        self.state.tenure.fence
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

    /// Processes the outcome of a renewal, answered at `now`.
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

    /// Processes a read of the rows. The lease stays expired even if the read shows a renewal
    /// in force; the next renewal makes it usable again.
    pub fn on_read(mut self, seen: &Snapshot) -> OwnedReadOutcome<Expired> {
        // The lease has expired, so nothing is lost by observing rows that were restored from
        // an older copy as another holder's.
        let known = self.state.tenure.version;
        if seen.version() < known || era::is_restored(known, seen.version()) {
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

    /// Creates the write that releases the lease, so that others need not wait.
    pub fn release(&self) -> Write {
        self.state.tenure.release(self.term)
    }

    /// Converts the lease to the free state after a release, whether or not the write took
    /// effect.
    pub fn released(self) -> Lease<Free> {
        self.with(Free::default())
    }
}
