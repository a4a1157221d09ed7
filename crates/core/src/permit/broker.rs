//! The requesting side of the protocol: acquires permits for this entry's
//! requests and releases them.
//!
//! Everything that is not answered is retransmitted, so a lost message only
//! costs time.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::action::{self, Action, Refusal};
use crate::control::event::{Ask, Done, Held};
use crate::name::{self, Incarnation};
use crate::permit::message::{Call, Grant, Profile, Release, Run};
use crate::permit::transport::{Receipt, Urgency};
use crate::permit::{Context, NameHash, Transport};
use crate::pool::Limits;

mod failover;
mod fallback;
mod heartbeat;
mod loan;
mod route;
mod state;

use fallback::Fallback;
use loan::Loan;
use route::Route;
use state::{ActivePermit, PendingRequest, Source, UnconfirmedRelease, WaitState};

/// Permit numbers of one generation lie below this power of two, those of the
/// next one above it. The first generation has small numbers, which keeps the
/// messages small.
const GENERATION_BITS: u32 = 40;
/// Initial delay before a permit request is retransmitted; longer than the tick
/// within which a home answers.
const INITIAL_RETRY_DELAY: Millis = Millis(100);
/// Maximum delay before a permit request is retransmitted.
const MAX_RETRY_DELAY: Millis = Millis(800);
/// Maximum age of the newest message from this entry that a home had received
/// when it sent a grant, for the grant to be used. It is below the time after
/// which an entry is declared gone and its slots are freed. An entry that
/// resumes after a freeze finds such outdated grants.
const MAX_GRANT_AGE: Millis = Millis(2_000);
/// How long the release of a permit may wait for another message to the same
/// home, if no request is waiting and half of the pool's slots are free.
const RELEASE_DELAY: Millis = Millis(500);
/// Maximum number of pools that are tried for one request, the nearest first.
const MAX_POOLS_TRIED: usize = 3;
/// Delay before placing a request again that could not be placed.
const PLACEMENT_RETRY_DELAY: Millis = Millis(100);
/// Number of replies from entries that are not the home after which a pool
/// counts as tried. Entries normally agree on the members long before that.
const MAX_REDIRECTS: u32 = 20;
/// How long a request waits for the first list of endpoints after a start.
const STARTUP_WAIT: Millis = Millis(2_000);

/// The inputs and outputs of one step of the protocol.
pub struct Step<'a> {
    /// The state that the step may read.
    pub context: Context<'a>,
    /// Messages to other entries.
    pub transport: &'a mut Transport,
    /// Actions for the entry to carry out.
    pub out: &'a mut Vec<Action>,
}

/// The permit requests and permits of this entry's requests.
#[derive(Debug)]
pub struct Broker {
    /// The number of the next permit request.
    next_permit: u64,
    pending: BTreeMap<u64, PendingRequest>,
    permit_by_request: BTreeMap<name::Request, u64>,
    active: BTreeMap<u64, ActivePermit>,
    unconfirmed_releases: BTreeMap<u64, UnconfirmedRelease>,
    digest_due: BTreeMap<Incarnation, Millis>,
    loans: BTreeMap<NameHash, Loan>,
    /// The last settled loan of each pool, which a late message must not reopen.
    settled: BTreeMap<NameHash, (Incarnation, u32)>,
    fallback: Fallback,
}

impl Broker {
    /// Creates a broker without requests. The generation counts the restarts of
    /// the control branch and ensures that no permit number is used twice.
    pub fn new(limits: Limits, generation: u32) -> Self {
        Self {
            next_permit: (u64::from(generation.saturating_sub(1)) << GENERATION_BITS) + 1,
            pending: BTreeMap::new(),
            permit_by_request: BTreeMap::new(),
            active: BTreeMap::new(),
            unconfirmed_releases: BTreeMap::new(),
            digest_due: BTreeMap::new(),
            loans: BTreeMap::new(),
            settled: BTreeMap::new(),
            fallback: Fallback::new(limits),
        }
    }

    /// Returns the number of requests that are waiting for a permit.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of permits in use.
    pub fn active_permits(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of this entry's permits at an endpoint.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        let id = NameHash::of_endpoint(endpoint);
        let here = self.active.values().filter(|active| active.endpoint == id);
        u32::try_from(here.count()).unwrap_or(u32::MAX)
    }

    /// Requests a permit for a local request, or takes a slot from a loan.
    pub fn acquire(&mut self, step: &mut Step, ask: Ask) {
        self.withdraw(step, ask.request);
        let pending = PendingRequest {
            ask,
            since: step.context.now,
            tried_pools: Vec::new(),
            shed: None,
            redirects: 0,
            wait: WaitState::Unplaced(step.context.now),
        };
        if !self.grant_from_loan(step, &pending.ask) {
            self.place(step, pending);
        }
    }

    /// Restores the permits that were granted before the control branch started.
    pub fn restore(&mut self, step: &mut Step, held: Vec<Held>) {
        for held in held {
            let Some(endpoint) = step.context.directory.get(&held.endpoint) else {
                continue;
            };
            let pool = name::Pool {
                target: held.ask.target.clone(),
                data_centre: endpoint.data_centre.clone(),
            };
            let active = ActivePermit {
                request: held.ask.request,
                pool: NameHash::of_pool(&pool),
                endpoint: NameHash::of_endpoint(&held.endpoint),
                profile: profile(&held.ask),
                identity: held.ask.identity,
                contended: false,
                source: Source::Unknown,
            };
            self.permit_by_request.insert(held.ask.request, held.permit);
            self.active.insert(held.permit, active);
        }
        self.topology_changed(step);
    }

    /// Withdraws a local request, along with any permit that it was granted in
    /// the meantime.
    pub fn withdraw(&mut self, step: &mut Step, request: name::Request) {
        let Some(number) = self.permit_by_request.remove(&request) else {
            return;
        };
        if let Some(pending) = self.pending.remove(&number) {
            self.leave(step, number, pending.wait);
        }
        self.release(step, number, Run::UNUSED);
    }

    /// Releases the permit of a request that has ended.
    pub fn done(&mut self, step: &mut Step, done: &Done) {
        let result = Run {
            outcome: done.outcome,
            tokens: done.tokens,
            first_token: done.first_token,
            elapsed: done.elapsed,
        };
        self.release(step, done.permit, result);
    }

    /// Returns a permit to the home, loan or local pool that counts it.
    fn release(&mut self, step: &mut Step, number: u64, result: Run) {
        let Some(active) = self.active.remove(&number) else {
            return;
        };
        if self.permit_by_request.get(&active.request) == Some(&number) {
            self.permit_by_request.remove(&active.request);
        }
        match active.source {
            Source::Unknown => {}
            Source::Home(home) => {
                let urgent = active.contended || self.has_pending(active.pool);
                let urgency = if urgent {
                    Urgency::Now
                } else {
                    Urgency::By(step.context.now + RELEASE_DELAY)
                };
                self.send_release(step, home, number, result, urgency);
            }
            Source::Loan => self.end_loan_run(&active, result),
            Source::Local(permit) => {
                let decisions = self.fallback.done(step, active.pool, permit, result);
                self.apply_fallback_decisions(step, active.pool, decisions);
            }
        }
    }

    /// Handles a grant from a home.
    pub fn grant(&mut self, step: &mut Step, from: Incarnation, receipt: Receipt, grant: &Grant) {
        let number = grant.permit;
        let Some(pool) = self.pending_pool(number, from) else {
            if !self.active.contains_key(&number) {
                // The request was withdrawn, or was answered by another home.
                self.send_release(step, from, number, Run::UNUSED, Urgency::Now);
            }
            return;
        };
        let Some(pending) = self.take_pending(number) else {
            return;
        };
        if !receipt.acked_within(step.context.now, MAX_GRANT_AGE)
            || address(step, grant.endpoint).is_none()
        {
            self.send_release(step, from, number, Run::UNUSED, Urgency::Now);
            self.keep_unplaced(step, pending);
            return;
        }
        self.hold(step, number, &pending.ask, pool, grant, Source::Home(from));
    }

    /// Records a permit and hands it to its request.
    fn hold(
        &mut self,
        step: &mut Step,
        number: u64,
        ask: &Ask,
        pool: NameHash,
        grant: &Grant,
        source: Source,
    ) {
        let Some((endpoint, address)) = address(step, grant.endpoint) else {
            return;
        };
        let active = ActivePermit {
            request: ask.request,
            pool,
            endpoint: grant.endpoint,
            profile: profile(ask),
            identity: ask.identity,
            contended: grant.contended,
            source,
        };
        self.permit_by_request.insert(ask.request, number);
        self.active.insert(number, active);
        step.out.push(Action::Grant(action::Grant {
            request: ask.request,
            permit: number,
            endpoint,
            address,
            priority: grant.priority,
            degraded: matches!(source, Source::Local(_)),
        }));
    }

    /// Handles the confirmation that a home has queued a request.
    pub fn queued(&mut self, from: Incarnation, number: u64) {
        if self.pending_pool(number, from).is_some()
            && let Some(PendingRequest {
                wait: WaitState::AtHome { queued, .. },
                ..
            }) = self.pending.get_mut(&number)
        {
            *queued = true;
        }
    }

    /// Handles a rejection by one pool by trying the next one.
    pub fn rejected(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        number: u64,
        shed: Option<Millis>,
    ) {
        let Some(pool) = self.pending_pool(number, from) else {
            return;
        };
        let Some(mut pending) = self.take_pending(number) else {
            return;
        };
        pending.tried_pools.push(pool);
        pending.shed = pending.shed.max(shed);
        self.place(step, pending);
    }

    /// Handles the reply that another request with the same identity is waiting
    /// or running at another entry.
    pub fn identity_in_use(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        number: u64,
        at: Incarnation,
    ) {
        if self.pending_pool(number, from).is_none() {
            return;
        }
        if let Some(pending) = self.take_pending(number) {
            step.out.push(Action::Elsewhere(pending.ask.request, at));
        }
    }

    /// Chooses where a request waits for a permit, or refuses it.
    fn place(&mut self, step: &mut Step, mut pending: PendingRequest) {
        match route::choose(step, &pending) {
            Route::Home(pool, home) => self.acquire_at(step, pending, pool, home),
            Route::Local(pool) => {
                pending.wait = WaitState::Local(pool);
                let ask = pending.ask.clone();
                let number = self.insert_pending(pending);
                self.acquire_locally(step, pool, number, ask);
            }
            Route::Wait => self.keep_unplaced(step, pending),
            Route::Refuse => {
                let refusal = pending
                    .shed
                    .map_or(Refusal::NoEndpoint, Refusal::Overloaded);
                step.out.push(Action::Refuse(pending.ask.request, refusal));
            }
        }
    }

    fn acquire_at(
        &mut self,
        step: &mut Step,
        mut pending: PendingRequest,
        pool: NameHash,
        home: Incarnation,
    ) {
        pending.wait = WaitState::AtHome {
            home,
            pool,
            queued: false,
            retry_at: step.context.now + INITIAL_RETRY_DELAY,
            backoff: INITIAL_RETRY_DELAY,
        };
        let number = self.insert_pending(pending);
        self.send_acquire(step, number);
    }

    fn keep_unplaced(&mut self, step: &Step, mut pending: PendingRequest) {
        pending.wait = WaitState::Unplaced(step.context.now + PLACEMENT_RETRY_DELAY);
        self.insert_pending(pending);
    }

    /// Stores a request under a new permit number.
    fn insert_pending(&mut self, pending: PendingRequest) -> u64 {
        let number = self.next_permit_number();
        self.permit_by_request.insert(pending.ask.request, number);
        self.pending.insert(number, pending);
        number
    }

    fn next_permit_number(&mut self) -> u64 {
        let number = self.next_permit;
        self.next_permit += 1;
        number
    }

    fn take_pending(&mut self, number: u64) -> Option<PendingRequest> {
        let pending = self.pending.remove(&number)?;
        self.permit_by_request.remove(&pending.ask.request);
        Some(pending)
    }

    /// Returns the pool for which a request waits, if it waits at this home.
    fn pending_pool(&self, number: u64, from: Incarnation) -> Option<NameHash> {
        match self.pending.get(&number)?.wait {
            WaitState::AtHome { home, pool, .. } if home == from => Some(pool),
            _ => None,
        }
    }

    fn has_pending(&self, id: NameHash) -> bool {
        let at = |pending: &PendingRequest| matches!(pending.wait, WaitState::AtHome { pool, .. } if pool == id);
        self.pending.values().any(at)
    }

    /// Reports to a home that a request or a permit has ended.
    fn send_release(
        &mut self,
        step: &mut Step,
        home: Incarnation,
        permit: u64,
        result: Run,
        urgency: Urgency,
    ) {
        if !step.context.is_alive(home) {
            return;
        }
        let release = Call::Release(Release { permit, result });
        let sent = step
            .transport
            .send_call(step.context.now, home, urgency, release);
        if home != step.transport.own() {
            let unconfirmed = UnconfirmedRelease { home, result, sent };
            self.unconfirmed_releases.insert(permit, unconfirmed);
        }
    }

    /// Withdraws a request from where it is waiting.
    fn leave(&mut self, step: &mut Step, number: u64, wait: WaitState) {
        match wait {
            WaitState::Unplaced(_) => {}
            WaitState::AtHome { home, .. } => {
                self.send_release(step, home, number, Run::UNUSED, Urgency::Now);
            }
            WaitState::Local(pool) => {
                let decisions = self.fallback.withdraw(step, pool, number);
                self.apply_fallback_decisions(step, pool, decisions);
            }
        }
    }
}

/// Returns the name and address of an endpoint, if it is in the directory.
fn address(step: &Step, id: NameHash) -> Option<(name::Endpoint, std::net::SocketAddr)> {
    let name = step.context.topology.endpoint(id)?;
    let endpoint = step.context.directory.get(name)?;
    Some((endpoint.name.clone(), endpoint.address))
}

fn profile(ask: &Ask) -> Profile {
    Profile {
        workspace: ask.workspace.clone(),
        tier: ask.tier,
        class: ask.class.clone(),
    }
}
