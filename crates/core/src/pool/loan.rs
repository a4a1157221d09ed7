//! Places lent in bulk while nobody waits for them, so that most requests need
//! no message to their pool's home.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name;
use crate::pool::place::{Place, Use};
use crate::pool::{Decision, Loan, Pool};

/// How long after its end a loan is taken back: what still runs under it is
/// reported by then.
const GRACE: Millis = Millis(500);

impl Pool {
    /// Lends up to this many places, only while nobody waits and half of the
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

    /// Lets a loan run longer, only while places could be lent. False: the
    /// loan ends as it stands, or has ended.
    pub fn extend_loan(&mut self, _now: Millis, permit: u64, until: Millis) -> bool {
        let place = self.places.get(permit);
        let listed = place.is_some_and(|place| self.endpoints.get(place.endpoint).listed);
        listed && !self.contended() && self.places.extend(permit, until)
    }

    /// Takes a lent place back before its time. Idempotent. What still runs
    /// under it must have been reported by [`Self::adopt`] before.
    pub fn return_loan(&mut self, now: Millis, permit: u64, out: &mut Vec<Decision>) {
        let place = self.places.get(permit);
        if place.is_some_and(|place| matches!(place.used, Use::Lent(_))) {
            self.end_place(now, permit, None);
        }
        self.settle(now, out);
    }

    /// Lent places by holder, for recalling them when the pool is contended.
    pub fn loans(&self) -> BTreeMap<name::Incarnation, Vec<u64>> {
        let mut loans: BTreeMap<name::Incarnation, Vec<u64>> = BTreeMap::new();
        for (permit, place) in self.places.iter() {
            if matches!(place.used, Use::Lent(_)) {
                loans.entry(place.holder).or_default().push(permit);
            }
        }
        loans
    }

    /// Takes back the loans that are over. Their permits are not remembered as
    /// ended: a run that is reported late may still be taken over.
    pub(super) fn expire_loans(&mut self, now: Millis) {
        while let Some(permit) = self.places.expired(now - GRACE) {
            let Some(place) = self.places.remove(permit) else {
                return;
            };
            self.endpoints
                .change(now, place.endpoint, |endpoint| endpoint.give(now));
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
        let mut open = self.endpoints.least_loaded();
        let endpoint = open.find(|id| !self.endpoints.get(*id).is_slow())?;
        drop(open);
        let permit = self.places.draw();
        let place = Place {
            holder,
            endpoint,
            since: now,
            used: Use::Lent(until),
        };
        self.places.insert(permit, place);
        self.endpoints
            .change(now, endpoint, |endpoint| endpoint.take(now));
        Some((permit, endpoint))
    }
}
