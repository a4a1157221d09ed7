//! The asking side: gets places for this entry's requests and gives them back.
//!
//! It repeats what is not answered, so that lost messages cost time only.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::action::{self, Action, Refusal};
use crate::control::event::{Ask, Done, Held};
use crate::name::{self, Incarnation};
use crate::permit::message::{Call, End, Grant, Profile, Run};
use crate::permit::post::{Receipt, Urgency};
use crate::permit::{Context, Id, Post};
use crate::pool::Limits;

mod fallback;
mod heartbeat;
mod loan;
mod movement;
mod route;
mod state;

use fallback::Fallback;
use loan::Loan;
use route::Route;
use state::{Holding, Place, Source, Unconfirmed, Wanted};

/// Numbers of one control branch are below this power of two, those of the next
/// one above it; the first ones are small, and so are the messages.
const GENERATION_BITS: u32 = 40;
/// The first wait before an ask is repeated: beyond the tick within which a
/// home answers.
const FIRST_RETRY: Millis = Millis(100);
/// The longest wait before an ask is repeated.
const LONGEST_RETRY: Millis = Millis(800);
/// How old the newest message that a home has seen may be when its grant is
/// used: less than it takes to hold an entry to be gone and free its places. An
/// entry that was frozen finds such grants when it wakes.
const FRESH: Millis = Millis(2_000);
/// How long the end of a run may wait for something to go with, while nobody
/// waits and half of the pool's slots are free.
const UNHURRIED: Millis = Millis(500);
/// Pools that are asked for one request, the nearest first.
const MOST_POOLS: usize = 3;
/// Wait before a request that could not be placed is placed again.
const PLACE_AGAIN: Millis = Millis(100);
/// Answers of entries that are not home, beyond which a pool counts as tried:
/// entries agree on their members long before.
const MOST_MISSES: u32 = 20;
/// How long a request waits for the first list of endpoints after a start.
const PATIENCE: Millis = Millis(2_000);

/// One step: what it can see, and where its results go.
pub struct Step<'a> {
    /// What it can see.
    pub context: Context<'a>,
    /// Messages to other entries.
    pub post: &'a mut Post,
    /// What the entry is to do.
    pub out: &'a mut Vec<Action>,
}

/// The asks and the permits of this entry's requests.
#[derive(Debug)]
pub struct Broker {
    /// The number of the next ask.
    next: u64,
    wanted: BTreeMap<u64, Wanted>,
    requests: BTreeMap<name::Request, u64>,
    held: BTreeMap<u64, Holding>,
    ends: BTreeMap<u64, Unconfirmed>,
    heartbeats: BTreeMap<Incarnation, Millis>,
    loans: BTreeMap<Id, Loan>,
    /// The last loan of each pool that was settled; it is not taken up again.
    settled: BTreeMap<Id, (Incarnation, u32)>,
    fallback: Fallback,
}

impl Broker {
    /// Nothing is asked for yet. The generation counts the restarts of the
    /// control branch, so that no number is drawn twice.
    pub fn new(limits: Limits, generation: u32) -> Self {
        Self {
            next: (u64::from(generation.saturating_sub(1)) << GENERATION_BITS) + 1,
            wanted: BTreeMap::new(),
            requests: BTreeMap::new(),
            held: BTreeMap::new(),
            ends: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            loans: BTreeMap::new(),
            settled: BTreeMap::new(),
            fallback: Fallback::new(limits),
        }
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.wanted.len()
    }

    /// Permits in use.
    pub fn holding(&self) -> usize {
        self.held.len()
    }

    /// Permits of this entry at an endpoint.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        let id = Id::of_endpoint(endpoint);
        let here = self.held.values().filter(|holding| holding.endpoint == id);
        u32::try_from(here.count()).unwrap_or(u32::MAX)
    }

    /// A local request asks for a place.
    pub fn ask(&mut self, step: &mut Step, ask: Ask) {
        self.withdraw(step, ask.request);
        let wanted = Wanted {
            ask,
            since: step.context.now,
            tried: Vec::new(),
            shed: None,
            misses: 0,
            place: Place::Unplaced(step.context.now),
        };
        if !self.grant_from_loan(step, &wanted.ask) {
            self.place(step, wanted);
        }
    }

    /// Takes in the permits that are older than the control branch.
    pub fn restore(&mut self, step: &mut Step, held: Vec<Held>) {
        for held in held {
            let Some(endpoint) = step.context.directory.get(&held.endpoint) else {
                continue;
            };
            let pool = name::Pool {
                target: held.ask.target.clone(),
                data_centre: endpoint.data_centre.clone(),
            };
            let holding = Holding {
                request: held.ask.request,
                pool: Id::of_pool(&pool),
                endpoint: Id::of_endpoint(&held.endpoint),
                profile: profile(&held.ask),
                identity: held.ask.identity,
                contended: false,
                source: Source::Unknown,
            };
            self.requests.insert(held.ask.request, held.permit);
            self.held.insert(held.permit, holding);
        }
        self.update(step);
    }

    /// A local request no longer wants a place, nor the one that it may have
    /// been granted meanwhile.
    pub fn withdraw(&mut self, step: &mut Step, request: name::Request) {
        let Some(number) = self.requests.remove(&request) else {
            return;
        };
        if let Some(wanted) = self.wanted.remove(&number) {
            self.leave(step, number, wanted.place);
        }
        self.release(step, number, Run::NONE);
    }

    /// A granted request ended.
    pub fn done(&mut self, step: &mut Step, done: &Done) {
        let result = Run {
            outcome: done.outcome,
            tokens: done.tokens,
            first_token: done.first_token,
            elapsed: done.elapsed,
        };
        self.release(step, done.permit, result);
    }

    /// Gives a permit back to whoever counts it.
    fn release(&mut self, step: &mut Step, number: u64, result: Run) {
        let Some(holding) = self.held.remove(&number) else {
            return;
        };
        if self.requests.get(&holding.request) == Some(&number) {
            self.requests.remove(&holding.request);
        }
        match holding.source {
            Source::Unknown => {}
            Source::Home(home) => {
                let urgent = holding.contended || self.waits_for(holding.pool);
                let urgency = if urgent {
                    Urgency::Now
                } else {
                    Urgency::By(step.context.now + UNHURRIED)
                };
                self.give_back(step, home, number, result, urgency);
            }
            Source::Loan => self.end_loan_run(&holding, result),
            Source::Alone(permit) => {
                let decisions = self.fallback.done(step, holding.pool, permit, result);
                self.carry_out_alone(step, holding.pool, decisions);
            }
        }
    }

    /// A home granted a place.
    pub fn grant(&mut self, step: &mut Step, from: Incarnation, receipt: Receipt, grant: &Grant) {
        let number = grant.permit;
        let Some(pool) = self.asked(number, from) else {
            if !self.held.contains_key(&number) {
                // Not waited for any more, or by another home's answer.
                self.give_back(step, from, number, Run::NONE, Urgency::Now);
            }
            return;
        };
        let Some(wanted) = self.take(number) else {
            return;
        };
        if !receipt.fresh(step.context.now, FRESH) || address(step, grant.endpoint).is_none() {
            self.give_back(step, from, number, Run::NONE, Urgency::Now);
            self.keep_unplaced(step, wanted);
            return;
        }
        self.hold(step, number, &wanted.ask, pool, grant, Source::Home(from));
    }

    /// Keeps a permit and hands it to its request.
    fn hold(
        &mut self,
        step: &mut Step,
        number: u64,
        ask: &Ask,
        pool: Id,
        grant: &Grant,
        source: Source,
    ) {
        let Some((endpoint, address)) = address(step, grant.endpoint) else {
            return;
        };
        let holding = Holding {
            request: ask.request,
            pool,
            endpoint: grant.endpoint,
            profile: profile(ask),
            identity: ask.identity,
            contended: grant.contended,
            source,
        };
        self.requests.insert(ask.request, number);
        self.held.insert(number, holding);
        step.out.push(Action::Grant(action::Grant {
            request: ask.request,
            permit: number,
            endpoint,
            address,
            priority: grant.priority,
            degraded: matches!(source, Source::Alone(_)),
        }));
    }

    /// A home keeps an ask.
    pub fn queued(&mut self, from: Incarnation, number: u64) {
        if self.asked(number, from).is_some()
            && let Some(Wanted {
                place: Place::Asked { queued, .. },
                ..
            }) = self.wanted.get_mut(&number)
        {
            *queued = true;
        }
    }

    /// A pool has no place for an ask: the next one is tried.
    pub fn turned_down(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        number: u64,
        shed: Option<Millis>,
    ) {
        let Some(pool) = self.asked(number, from) else {
            return;
        };
        let Some(mut wanted) = self.take(number) else {
            return;
        };
        wanted.tried.push(pool);
        wanted.shed = wanted.shed.max(shed);
        self.place(step, wanted);
    }

    /// Another request of the same identity waits or runs elsewhere.
    pub fn elsewhere(&mut self, step: &mut Step, from: Incarnation, number: u64, at: Incarnation) {
        if self.asked(number, from).is_none() {
            return;
        }
        if let Some(wanted) = self.take(number) {
            step.out.push(Action::Elsewhere(wanted.ask.request, at));
        }
    }

    /// Finds a place to wait for a request, or refuses it.
    fn place(&mut self, step: &mut Step, mut wanted: Wanted) {
        match route::choose(step, &wanted) {
            Route::Home(pool, home) => self.ask_home(step, wanted, pool, home),
            Route::Alone(pool) => {
                wanted.place = Place::Alone(pool);
                let ask = wanted.ask.clone();
                let number = self.keep(wanted);
                self.ask_alone(step, pool, number, ask);
            }
            Route::Wait => self.keep_unplaced(step, wanted),
            Route::Refuse => {
                let refusal = wanted.shed.map_or(Refusal::NoEndpoint, Refusal::Overloaded);
                step.out.push(Action::Refuse(wanted.ask.request, refusal));
            }
        }
    }

    fn ask_home(&mut self, step: &mut Step, mut wanted: Wanted, pool: Id, home: Incarnation) {
        wanted.place = Place::Asked {
            home,
            pool,
            queued: false,
            again: step.context.now + FIRST_RETRY,
            backoff: FIRST_RETRY,
        };
        let number = self.keep(wanted);
        self.send_ask(step, number);
    }

    fn keep_unplaced(&mut self, step: &Step, mut wanted: Wanted) {
        wanted.place = Place::Unplaced(step.context.now + PLACE_AGAIN);
        self.keep(wanted);
    }

    /// Keeps a request under a new number.
    fn keep(&mut self, wanted: Wanted) -> u64 {
        let number = self.draw();
        self.requests.insert(wanted.ask.request, number);
        self.wanted.insert(number, wanted);
        number
    }

    fn draw(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }

    fn take(&mut self, number: u64) -> Option<Wanted> {
        let wanted = self.wanted.remove(&number)?;
        self.requests.remove(&wanted.ask.request);
        Some(wanted)
    }

    /// The pool at whose home an ask waits, if it is that home.
    fn asked(&self, number: u64, from: Incarnation) -> Option<Id> {
        match self.wanted.get(&number)?.place {
            Place::Asked { home, pool, .. } if home == from => Some(pool),
            _ => None,
        }
    }

    fn waits_for(&self, id: Id) -> bool {
        let at = |wanted: &Wanted| matches!(wanted.place, Place::Asked { pool, .. } if pool == id);
        self.wanted.values().any(at)
    }

    /// Tells a home of the end of an ask or a permit.
    fn give_back(
        &mut self,
        step: &mut Step,
        home: Incarnation,
        permit: u64,
        result: Run,
        urgency: Urgency,
    ) {
        if !step.context.alive(home) {
            return;
        }
        let end = Call::End(End { permit, result });
        let sent = step.post.call(step.context.now, home, urgency, end);
        if home != step.post.own() {
            let unconfirmed = Unconfirmed { home, result, sent };
            self.ends.insert(permit, unconfirmed);
        }
    }

    /// Takes an ask back from where it waits.
    fn leave(&mut self, step: &mut Step, number: u64, place: Place) {
        match place {
            Place::Unplaced(_) => {}
            Place::Asked { home, .. } => {
                self.give_back(step, home, number, Run::NONE, Urgency::Now);
            }
            Place::Alone(pool) => {
                let decisions = self.fallback.withdraw(step, pool, number);
                self.carry_out_alone(step, pool, decisions);
            }
        }
    }
}

/// Name and address of an endpoint, if the directory has it.
fn address(step: &Step, id: Id) -> Option<(name::Endpoint, std::net::SocketAddr)> {
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
