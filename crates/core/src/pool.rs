//! Scheduler of one pool, run by the entry that is the pool's home: the waiting
//! list, grants, loans and load shedding.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::directory;
use crate::control::event::Done;
use crate::name;
use crate::tier::Tier;

pub mod allocation;
pub mod choice;
pub mod class;
pub mod decision;
mod dispatch;
pub mod endpoint;
pub mod estimate;
pub mod fair_queue;
pub mod flow;
mod lifecycle;
pub mod limits;
mod loan;
mod maintenance;
pub mod reserve;
pub mod share;
pub mod speed;
pub mod stats;
pub mod tag;
pub mod waiting;

pub use decision::{ActiveRun, Decision, Loan, Waiter};
pub use limits::Limits;
pub use stats::Stats;

use allocation::{Allocations, Use};
use choice::Endpoints;
use class::Classes;
use reserve::{DecayingRate, Reserve};
use share::Shares;
use speed::BaselineSpeed;
use waiting::Waiting;

/// Engine priority of runs granted from a class's minimum share. It is below
/// every tier, so these runs preempt nothing. They don't starve, because a pool
/// never sends an endpoint more runs than it has been observed to run at once;
/// see [`endpoint::Endpoint::limit`].
pub const MINIMUM_SHARE_PRIORITY: u8 = Tier::LOWEST.number() + 1;

/// Returns the priority inside the engine; 0 is the highest. `from_class_share`
/// marks a run granted from its class's minimum share.
///
/// ```
/// use woodgap_core::pool::priority;
/// use woodgap_core::tier::Tier;
///
/// assert_eq!(priority(Tier::HIGHEST, false), 1);
/// assert_eq!(priority(Tier::HIGHEST, true), 8);
/// ```
pub fn priority(tier: Tier, from_class_share: bool) -> u8 {
    if from_class_share {
        MINIMUM_SHARE_PRIORITY
    } else {
        tier.number()
    }
}

/// Waiting list and endpoint slots of one pool.
///
/// The state is not persisted. A new home starts with an empty pool;
/// [`Self::adopt`] restores the active runs and [`Self::ask`] the waiting
/// requests.
///
/// Messages may be lost, repeated and reordered. An ask that is repeated after
/// its run ended counts as a new one, so a holder must return a permit that it
/// does not need by calling [`Self::done`] with a cancelled outcome.
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
    allocations: Allocations,
    baseline: BaselineSpeed,
    reserve: Reserve,
    grant_rate: DecayingRate,
    /// Number of slots when there last were any.
    last_known_slots: Option<u32>,
    /// When the pool lost its last endpoint.
    without_endpoints_since: Option<Millis>,
    next_maintenance: Millis,
}

impl Pool {
    /// Creates a pool without endpoints. Permits are derived from the seed, so
    /// it must differ between pools, entries and incarnations of one entry.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            classes: Classes::default(),
            waiting: Waiting::new(Shares::new(limits.share, limits.share_total)),
            endpoints: Endpoints::new(limits.affinity, seed),
            allocations: Allocations::new(seed),
            baseline: BaselineSpeed::default(),
            reserve: Reserve::default(),
            grant_rate: DecayingRate::default(),
            last_known_slots: None,
            without_endpoints_since: None,
            next_maintenance: Millis::ZERO,
            limits,
        }
    }

    /// Replaces the endpoints that may get new work and their load reports.
    /// Runs at removed endpoints continue.
    pub fn set_endpoints(
        &mut self,
        now: Millis,
        endpoints: &[&directory::Endpoint],
        out: &mut Vec<Decision>,
    ) {
        self.endpoints.set_listed(now, endpoints);
        if self.endpoints.slots() > 0 {
            self.last_known_slots = Some(self.endpoints.slots());
        }
        self.schedule(now, out);
    }

    /// Adds a request to the waiting list. Idempotent: a waiting request keeps
    /// its position, and the grant of a granted request is repeated. If its
    /// list of endpoints to avoid has grown, the previous run has ended and the
    /// request waits again.
    pub fn ask(&mut self, now: Millis, waiter: Waiter, out: &mut Vec<Decision>) {
        let request = waiter.ask.request;
        while let Some(permit) = self.allocations.by_request(request) {
            if let Some(grant) = self.repeat_grant(permit, &waiter) {
                out.push(grant);
                return;
            }
            self.release_allocation(now, permit, None);
        }
        if !self.waiting.contains(request) {
            self.enqueue(now, waiter);
        }
        self.schedule(now, out);
    }

    /// Removes the request from the waiting list and releases its allocations.
    /// Idempotent.
    pub fn withdraw(&mut self, now: Millis, request: name::Request, out: &mut Vec<Decision>) {
        self.remove_waiting(now, request);
        while let Some(permit) = self.allocations.by_request(request) {
            self.release_allocation(now, permit, None);
        }
        self.schedule(now, out);
    }

    /// Releases a permit. Idempotent: unknown permits are ignored. The end of a
    /// run under a loan does not return the loan; see
    /// [`Self::record_loan_run`].
    pub fn done(&mut self, now: Millis, done: &Done, out: &mut Vec<Decision>) {
        let allocation = self.allocations.get(done.permit);
        if allocation.is_some_and(|allocation| matches!(allocation.purpose, Use::Lent(_))) {
            return;
        }
        self.release_allocation(now, done.permit, Some(done));
        self.schedule(now, out);
    }

    /// Removes the waiting requests and releases the allocations of an entry's
    /// incarnation that has ended.
    pub fn forget_holder(
        &mut self,
        now: Millis,
        holder: name::Incarnation,
        out: &mut Vec<Decision>,
    ) {
        for number in self.waiting.held_by(holder) {
            self.remove_waiting_by_number(now, number);
        }
        for permit in self.permits(holder) {
            self.release_allocation(now, permit, None);
        }
        self.schedule(now, out);
    }

    /// Expires loans and backoffs and runs periodic maintenance. Must be called
    /// about every 50 ms.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.expire_loans(now);
        if now >= self.next_maintenance {
            self.next_maintenance = now + maintenance::INTERVAL;
            self.run_maintenance(now);
        }
        self.schedule(now, out);
    }

    /// Returns the permits held by an entry's incarnation, loans included, in
    /// ascending order.
    pub fn permits(&self, holder: name::Incarnation) -> Vec<u64> {
        let held = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.holder == holder);
        held.map(|(permit, _)| permit).collect()
    }

    /// Returns whether requests wait or less than half of the slots are free. A
    /// contended pool lends nothing.
    pub fn contended(&self) -> bool {
        !self.waiting.is_empty() || self.endpoints.available() * 2 < self.endpoints.slots()
    }

    /// Returns whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the pool's statistics.
    pub fn stats(&self) -> Stats {
        let in_use = self.endpoints.in_use();
        Stats {
            waiting: self.waiting.tiers().collect(),
            in_flight: in_use
                .map(|endpoint| (endpoint.name.clone(), endpoint.used))
                .collect::<BTreeMap<_, _>>(),
            lent: u32::try_from(self.allocations.lent()).unwrap_or(u32::MAX),
            slots: self.endpoints.slots(),
            free: self.endpoints.available(),
        }
    }
}
