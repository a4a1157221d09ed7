//! Loans: slots lent in bulk while no request waits, so that most requests need
//! no message to the pool's home.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name;
use crate::pool::allocation::{Allocation, Use};
use crate::pool::{Decision, Loan, Pool};

/// How long after its end a loan is taken back. Runs that are still active have
/// been reported by then.
const GRACE: Millis = Millis(500);

impl Pool {
    /// Lends up to `want` slots, only while no request waits and half of the
    /// slots stay free.
    pub fn lend(
        &mut self,
        now: Millis,
        holder: name::Incarnation,
        want: u32,
        until: Millis,
    ) -> Vec<Loan> {
        let mut lent: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        for _ in 0..want {
            let Some((permit, endpoint)) = self.lend_one(now, holder, until) else {
                break;
            };
            lent.entry(endpoint).or_default().push(permit);
        }
        let loans = lent.into_iter().filter_map(|(id, permits)| {
            let endpoint = self.endpoints.get(id);
            Some(Loan {
                permits,
                endpoint: endpoint.name.clone(),
                address: endpoint.address?,
                until,
            })
        });
        loans.collect()
    }

    /// Extends a loan, only while the pool could lend. Returns false if the
    /// loan keeps its end or has ended already.
    pub fn extend_loan(&mut self, _now: Millis, permit: u64, until: Millis) -> bool {
        let allocation = self.allocations.get(permit);
        let listed =
            allocation.is_some_and(|allocation| self.endpoints.get(allocation.endpoint).listed);
        listed && !self.contended() && self.allocations.extend_loan(permit, until)
    }

    /// Takes a loan back before its end. Idempotent. A run that is still active
    /// under it must have been reported by [`Self::adopt`] before.
    pub fn return_loan(&mut self, now: Millis, permit: u64, out: &mut Vec<Decision>) {
        let allocation = self.allocations.get(permit);
        if allocation.is_some_and(|allocation| matches!(allocation.purpose, Use::Lent(_))) {
            self.release_allocation(now, permit, None);
        }
        self.schedule(now, out);
    }

    /// Returns the permits on loan by holder, for recalling them when the pool
    /// is contended.
    pub fn loans(&self) -> BTreeMap<name::Incarnation, Vec<u64>> {
        let mut loans: BTreeMap<name::Incarnation, Vec<u64>> = BTreeMap::new();
        for (permit, allocation) in self.allocations.iter() {
            if matches!(allocation.purpose, Use::Lent(_)) {
                loans.entry(allocation.holder).or_default().push(permit);
            }
        }
        loans
    }

    /// Takes expired loans back. Their permits are not recorded as ended, so
    /// that a run that is reported late can still be adopted.
    pub(super) fn expire_loans(&mut self, now: Millis) {
        while let Some(permit) = self.allocations.expired(now - GRACE) {
            let Some(allocation) = self.allocations.remove(permit) else {
                return;
            };
            self.endpoints
                .update(now, allocation.endpoint, |endpoint| endpoint.release(now));
        }
    }

    fn lend_one(
        &mut self,
        now: Millis,
        holder: name::Incarnation,
        until: Millis,
    ) -> Option<(u64, u32)> {
        if self.contended() {
            return None;
        }
        let mut candidates = self.endpoints.least_loaded();
        let endpoint = candidates.find(|id| !self.endpoints.get(*id).is_slow())?;
        drop(candidates);
        let permit = self.allocations.next_permit();
        let allocation = Allocation {
            holder,
            endpoint,
            since: now,
            purpose: Use::Lent(until),
        };
        self.allocations.insert(permit, allocation);
        self.endpoints
            .update(now, endpoint, |endpoint| endpoint.acquire(now));
        Some((permit, endpoint))
    }
}
