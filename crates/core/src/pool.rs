//! The home side of one pool: who waits, who is granted next and where, who is shed.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::directory;
use crate::control::event::Done;
use crate::name;
use crate::tier::Tier;

pub mod choice;
pub mod class;
pub mod decision;
mod dispatch;
pub mod endpoint;
pub mod estimate;
pub mod flow;
pub mod limits;
pub mod line;
mod loan;
pub mod place;
pub mod reserve;
mod run;
pub mod share;
pub mod speed;
pub mod stats;
pub mod tag;
mod upkeep;
pub mod waiting;

pub use decision::{ActiveRun, Decision, Loan, Waiter};
pub use limits::Limits;
pub use stats::Stats;

use choice::Endpoints;
use class::Classes;
use place::{Places, Use};
use reserve::{Rate, Reserve};
use share::Shares;
use speed::Usual;
use waiting::Waiting;

/// The priority inside an engine of what runs out of its class's share: behind
/// every tier, so that it preempts nothing. It is not starved, for a pool sends
/// an endpoint no more than it has proved to run at once: see
/// [`endpoint::Endpoint::limit`].
pub const MINIMUM_SHARE_PRIORITY: u8 = Tier::LOWEST.number() + 1;

/// The priority inside an engine, 0 first.
///
/// ```
/// use woodgap_core::pool::priority;
/// use woodgap_core::tier::Tier;
///
/// assert_eq!(priority(Tier::HIGHEST, false), 1);
/// assert_eq!(priority(Tier::HIGHEST, true), 8);
/// ```
pub fn priority(tier: Tier, shared: bool) -> u8 {
    if shared {
        MINIMUM_SHARE_PRIORITY
    } else {
        tier.number()
    }
}

/// One pool: its waiting list and its endpoints' slots.
///
/// All of it is soft state. A new home starts with an empty pool and is told
/// by [`Self::adopt`] what runs, and by [`Self::ask`] who waits.
///
/// Messages may be lost, repeated and reordered. An ask that is repeated after
/// its run ended is taken for a new one, so a holder has to give back a permit
/// that it has no use for by [`Self::done`], as cancelled.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::pool::{Limits, Pool};
///
/// let mut pool = Pool::new(Limits::default(), 42);
/// let mut out = Vec::new();
/// pool.tick(Millis(50), &mut out);
/// assert!(out.is_empty());
/// assert_eq!(pool.stats().slots, 0);
/// ```
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    classes: Classes,
    waiting: Waiting,
    endpoints: Endpoints,
    places: Places,
    usual: Usual,
    reserve: Reserve,
    grants: Rate,
    /// Slots when there last were any.
    known_slots: Option<u32>,
    /// Since when there has been no endpoint.
    empty_since: Option<Millis>,
    next_upkeep: Millis,
}

impl Pool {
    /// A pool that knows no endpoints yet. The seed must differ between pools,
    /// entries and lives of one entry: permits are drawn from it.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            classes: Classes::default(),
            waiting: Waiting::new(Shares::new(limits.share, limits.share_total)),
            endpoints: Endpoints::new(limits.affinity, seed),
            places: Places::new(seed),
            usual: Usual::default(),
            reserve: Reserve::default(),
            grants: Rate::default(),
            known_slots: None,
            empty_since: None,
            next_upkeep: Millis::ZERO,
            limits,
        }
    }

    /// Takes in the endpoints that may get new work, with their load reports,
    /// in place of those known before. Runs at the others go on.
    pub fn set_endpoints(
        &mut self,
        now: Millis,
        endpoints: &[&directory::Endpoint],
        out: &mut Vec<Decision>,
    ) {
        self.endpoints.list(now, endpoints);
        if self.endpoints.slots() > 0 {
            self.known_slots = Some(self.endpoints.slots());
        }
        self.settle(now, out);
    }

    /// Takes a request in. Idempotent: one that waits keeps its place, and one
    /// that was granted gets its grant again, unless the list of endpoints to
    /// avoid has grown since: then its last run is over.
    pub fn ask(&mut self, now: Millis, waiter: Waiter, out: &mut Vec<Decision>) {
        let request = waiter.ask.request;
        while let Some(permit) = self.places.by_request(request) {
            if let Some(grant) = self.repeat_grant(permit, &waiter) {
                out.push(grant);
                return;
            }
            self.end_place(now, permit, None);
        }
        if !self.waiting.contains(request) {
            self.enter(now, waiter);
        }
        self.settle(now, out);
    }

    /// The request no longer waits, nor holds a place. Idempotent.
    pub fn withdraw(&mut self, now: Millis, request: name::Request, out: &mut Vec<Decision>) {
        self.leave(now, request);
        while let Some(permit) = self.places.by_request(request) {
            self.end_place(now, permit, None);
        }
        self.settle(now, out);
    }

    /// Takes a permit back. Idempotent: unknown permits are ignored. The end
    /// of a run under a loan leaves the place lent; see [`Self::record_loan_run`].
    pub fn done(&mut self, now: Millis, done: &Done, out: &mut Vec<Decision>) {
        let place = self.places.get(done.permit);
        if place.is_some_and(|place| matches!(place.used, Use::Lent(_))) {
            return;
        }
        self.end_place(now, done.permit, Some(done));
        self.settle(now, out);
    }

    /// An entry's life ended: its waiting requests go, and its places are free again.
    pub fn forget_holder(
        &mut self,
        now: Millis,
        holder: name::Incarnation,
        out: &mut Vec<Decision>,
    ) {
        for number in self.waiting.held_by(holder) {
            self.leave_number(now, number);
        }
        for permit in self.permits(holder) {
            self.end_place(now, permit, None);
        }
        self.settle(now, out);
    }

    /// Time has passed: loans end, rests end, estimates are renewed. To be
    /// called every 50 ms or so.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.expire_loans(now);
        if now >= self.next_upkeep {
            self.next_upkeep = now + upkeep::PERIOD;
            self.keep_up(now);
        }
        self.settle(now, out);
    }

    /// The permits that an entry's life holds, loans included, by number.
    pub fn permits(&self, holder: name::Incarnation) -> Vec<u64> {
        let held = self
            .places
            .iter()
            .filter(|(_, place)| place.holder == holder);
        held.map(|(permit, _)| permit).collect()
    }

    /// Whether somebody waits or few slots are free: nothing is lent then.
    pub fn contended(&self) -> bool {
        !self.waiting.is_empty() || self.endpoints.room() * 2 < self.endpoints.slots()
    }

    /// Whether somebody waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The pool's figures.
    pub fn stats(&self) -> Stats {
        let in_use = self.endpoints.in_use();
        Stats {
            waiting: self.waiting.tiers().collect(),
            in_flight: in_use
                .map(|endpoint| (endpoint.name.clone(), endpoint.used))
                .collect::<BTreeMap<_, _>>(),
            lent: u32::try_from(self.places.lent()).unwrap_or(u32::MAX),
            slots: self.endpoints.slots(),
            free: self.endpoints.room(),
        }
    }
}
