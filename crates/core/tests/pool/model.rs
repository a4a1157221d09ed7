//! Reference model of a pool, compared with it after each step.

use std::collections::{BTreeMap, BTreeSet};

use woodgap_core::clock::Millis;
use woodgap_core::control::{Done, Outcome};
use woodgap_core::name::{Incarnation, Request};
use woodgap_core::pool::{ActiveRun, Decision, Limits, Pool};

use super::fixture::{self, ENDPOINTS, SLOTS};
use super::step::{HOLDERS, Step};

#[derive(Clone, Copy, Debug, PartialEq)]
struct Run {
    /// None for a loan.
    request: Option<u64>,
    holder: u64,
    endpoint: usize,
    /// Failed attempts before it; unknown for an adopted run.
    attempt: Option<usize>,
}

/// A pool and its expected state.
pub struct Model {
    pool: Pool,
    now: Millis,
    listed: u32,
    waiting: BTreeSet<u64>,
    running: BTreeMap<u64, Run>,
    attempts: BTreeMap<u64, usize>,
    issued: Vec<u64>,
    last_adopted_permit: u64,
    loan_ends: BTreeMap<u64, Millis>,
    ended: BTreeMap<u64, Millis>,
}

impl Model {
    /// Creates a pool with all endpoints and a short waiting list.
    pub fn new() -> Self {
        let limits = Limits {
            waiting_per_slot: 2,
            ..Limits::default()
        };
        let mut model = Self {
            pool: Pool::new(limits, 7),
            now: Millis(1_000),
            listed: 0,
            waiting: BTreeSet::new(),
            running: BTreeMap::new(),
            attempts: BTreeMap::new(),
            issued: Vec::new(),
            last_adopted_permit: 0,
            loan_ends: BTreeMap::new(),
            ended: BTreeMap::new(),
        };
        model.step(&Step::SetEndpoints((1 << ENDPOINTS) - 1));
        model
    }

    /// Applies a step and checks all invariants.
    pub fn step(&mut self, step: &Step) {
        let mut out = Vec::new();
        let asked = self.apply(step, &mut out);
        for decision in out {
            self.check_decision(&decision, asked);
        }
        for permit in &self.issued {
            if !self.running.contains_key(permit) {
                self.ended.entry(*permit).or_insert(self.now);
            }
        }
        self.check_stats();
    }

    /// Completes all runs until no request waits.
    pub fn drain(&mut self) {
        self.step(&Step::SetEndpoints((1 << ENDPOINTS) - 1));
        for _ in 0..400 {
            while !self.running.is_empty() {
                self.step(&Step::Done(0, Outcome::Complete));
                self.end_loans();
            }
            if self.waiting.is_empty() {
                return;
            }
            self.step(&Step::Tick(500));
        }
        panic!("still waiting: {:?}", self.waiting);
    }

    fn end_loans(&mut self) {
        while self.running.values().any(|run| run.request.is_none()) {
            self.step(&Step::ReturnLoan(0));
        }
    }

    fn apply(&mut self, step: &Step, out: &mut Vec<Decision>) -> Option<u64> {
        match *step {
            Step::Ask(number) => return Some(self.ask(number, out)),
            Step::Retry(number) => return self.retry(number, out),
            Step::Withdraw(number) => {
                self.waiting.remove(&number);
                self.running.retain(|_, run| run.request != Some(number));
                self.pool.withdraw(self.now, request(number), out);
            }
            Step::Done(n, outcome) => self.done(n, outcome, out),
            Step::DoneAgain(n) => {
                if let Some(permit) = nth(&self.issued, n)
                    && !self.running.contains_key(&permit)
                {
                    self.pool
                        .done(self.now, &done(0, permit, Outcome::Complete), out);
                }
            }
            Step::ForgetHolder(holder) => {
                self.waiting.retain(|number| holder_of(*number) != holder);
                self.running.retain(|_, run| run.holder != holder);
                self.pool.forget_holder(self.now, Incarnation(holder), out);
            }
            Step::Adopt(number, at) => self.adopt(number, at),
            Step::AdoptAgain(n) => self.adopt_again(n),
            Step::SetEndpoints(bits) => self.set_endpoints(bits, out),
            Step::Tick(ms) => {
                self.now = self.now + Millis(ms);
                self.expire();
                self.pool.tick(self.now, out);
            }
            Step::Lend(holder, want) => self.lend(holder, want),
            Step::ReturnLoan(n) => self.return_loan(n, out),
        }
        None
    }

    fn ask(&mut self, number: u64, out: &mut Vec<Decision>) -> u64 {
        let attempts = self.attempts.get(&number).copied().unwrap_or(0);
        let is_over = |run: &Run| run.attempt.is_some_and(|before| before < attempts);
        self.running
            .retain(|_, run| run.request != Some(number) || !is_over(run));
        if !self.runs(number) {
            self.waiting.insert(number);
        }
        let waiter = fixture::waiter(self.now, number, holder_of(number), attempts);
        self.pool.ask(self.now, waiter, out);
        number
    }

    fn retry(&mut self, number: u64, out: &mut Vec<Decision>) -> Option<u64> {
        let is_adopted = |permit: &u64| !self.issued.contains(permit);
        let mut permits = self.running.iter();
        if permits.any(|(permit, run)| run.request == Some(number) && is_adopted(permit)) {
            // The number of an adopted run's failed attempts is unknown, so it must
            // end first.
            return None;
        }
        if self.runs(number) {
            *self.attempts.entry(number).or_default() += 1;
            self.running.retain(|_, run| run.request != Some(number));
        }
        Some(self.ask(number, out))
    }

    fn done(&mut self, n: usize, outcome: Outcome, out: &mut Vec<Decision>) {
        let runs = self.running.iter().filter_map(|(permit, run)| {
            let request = run.request?;
            Some((*permit, request))
        });
        let runs: Vec<_> = runs.collect();
        let Some((permit, number)) = nth(&runs, n) else {
            return;
        };
        self.running.remove(&permit);
        if outcome == Outcome::Failed {
            *self.attempts.entry(number).or_default() += 1;
        }
        self.pool
            .done(self.now, &done(number, permit, outcome), out);
    }

    fn adopt(&mut self, number: u64, at: usize) {
        // Permits of an earlier home differ from all of this one's.
        self.last_adopted_permit += 1;
        let permit = self.last_adopted_permit;
        self.waiting.remove(&number);
        let run = Run {
            request: Some(number),
            holder: holder_of(number),
            endpoint: at,
            attempt: None,
        };
        self.running.insert(permit, run);
        self.pool.adopt(self.now, held(number, permit, at));
    }

    fn adopt_again(&mut self, n: usize) {
        let Some(permit) = nth(&self.issued, n) else {
            return;
        };
        // The adoption of loans has a test of its own in `pool_cases`. Permits that
        // ended long ago are forgotten.
        let long_ago = |at: &Millis| self.now - *at >= Millis::from_secs(30);
        if self.loan_ends.contains_key(&permit) || self.ended.get(&permit).is_some_and(long_ago) {
            return;
        }
        let run = self.running.get(&permit);
        let number = run.and_then(|run| run.request).unwrap_or(0);
        let at = run.map_or(0, |run| run.endpoint);
        self.pool.adopt(self.now, held(number, permit, at));
    }

    fn set_endpoints(&mut self, bits: u32, out: &mut Vec<Decision>) {
        self.listed = bits;
        let directory = fixture::directory();
        let usable = directory
            .iter()
            .filter(|known| bits & (1 << index(&known.name)) != 0);
        let usable: Vec<_> = usable.collect();
        self.pool.set_endpoints(self.now, &usable, out);
    }

    fn lend(&mut self, holder: u64, want: u32) {
        let loan_ends = self.now + Millis(2_000);
        let waits = !self.waiting.is_empty();
        let loans = self
            .pool
            .lend(self.now, Incarnation(holder), want, loan_ends);
        assert!(loans.is_empty() || !waits, "lent while requests wait");
        for loan in loans {
            for permit in loan.permits {
                let endpoint = index(&loan.endpoint);
                self.occupy(
                    permit,
                    Run {
                        request: None,
                        holder,
                        endpoint,
                        attempt: None,
                    },
                );
                self.loan_ends.insert(permit, loan_ends);
            }
        }
    }

    fn return_loan(&mut self, n: usize, out: &mut Vec<Decision>) {
        let loans = self.running.iter().filter(|(_, run)| run.request.is_none());
        let loans: Vec<u64> = loans.map(|(permit, _)| *permit).collect();
        if let Some(permit) = nth(&loans, n) {
            self.running.remove(&permit);
            self.pool.return_loan(self.now, permit, out);
        }
    }

    fn expire(&mut self) {
        let cutoff = self.now - Millis(500);
        let loan_ends = &self.loan_ends;
        self.running
            .retain(|permit, run| run.request.is_some() || loan_ends[permit] >= cutoff);
    }

    fn check_decision(&mut self, decision: &Decision, asked: Option<u64>) {
        match decision {
            Decision::Grant {
                request,
                permit,
                endpoint,
                ..
            } => {
                self.check_grant(request.sequence, *permit, index(endpoint), asked);
            }
            Decision::Shed { request, .. } => {
                let number = request.sequence;
                assert!(self.waiting.remove(&number), "shed {number} does not wait");
                self.check_shed_order(number);
            }
            Decision::NoEndpoint { request, .. } => {
                assert_eq!(self.listed, 0, "rejected although endpoints are listed");
                assert!(self.waiting.remove(&request.sequence));
            }
        }
    }

    fn check_grant(&mut self, number: u64, permit: u64, endpoint: usize, asked: Option<u64>) {
        if let Some(run) = self.running.get(&permit) {
            let known = (run.request, run.endpoint);
            assert_eq!(known, (Some(number), endpoint), "repeated grant differs");
            assert_eq!(asked, Some(number), "grant repeated without an ask");
            return;
        }
        assert!(
            self.waiting.remove(&number),
            "granted {number} does not wait"
        );
        assert!(!self.runs(number), "a second live grant for {number}");
        assert!(
            self.listed & (1 << endpoint) != 0,
            "granted at an unlisted endpoint"
        );
        let run = Run {
            request: Some(number),
            holder: holder_of(number),
            endpoint,
            attempt: Some(self.attempts.get(&number).copied().unwrap_or(0)),
        };
        self.occupy(permit, run);
    }

    /// Records a slot that the pool allocated.
    fn occupy(&mut self, permit: u64, run: Run) {
        assert!(!self.issued.contains(&permit), "permit issued twice");
        self.issued.push(permit);
        self.running.insert(permit, run);
        let used = self
            .running
            .values()
            .filter(|other| other.endpoint == run.endpoint);
        assert!(used.count() <= SLOTS as usize, "more in flight than slots");
    }

    /// Checks that no lower tier waits, except for the next request of each
    /// class.
    fn check_shed_order(&self, number: u64) {
        let (tier, _) = fixture::class(number);
        let mut below: BTreeMap<_, u32> = BTreeMap::new();
        for other in &self.waiting {
            let class = fixture::class(*other);
            if tier.outranks(class.0) {
                *below.entry(class).or_default() += 1;
            }
        }
        assert!(
            below.values().all(|count| *count == 1),
            "shed tier {tier} before {below:?}"
        );
    }

    fn check_stats(&self) {
        let stats = self.pool.stats();
        let mut waiting = BTreeMap::new();
        for number in &self.waiting {
            *waiting.entry(fixture::class(*number).0).or_default() += 1;
        }
        assert_eq!(stats.waiting, waiting, "waiting");
        let mut in_flight = BTreeMap::new();
        for run in self.running.values() {
            *in_flight
                .entry(fixture::endpoint(run.endpoint))
                .or_default() += 1;
        }
        assert_eq!(stats.in_flight, in_flight, "in flight");
    }

    fn runs(&self, number: u64) -> bool {
        self.running.values().any(|run| run.request == Some(number))
    }
}

fn nth<T: Copy>(list: &[T], n: usize) -> Option<T> {
    let index = n.checked_rem(list.len())?;
    list.get(index).copied()
}

fn holder_of(number: u64) -> u64 {
    number % HOLDERS
}

fn index(endpoint: &woodgap_core::name::Endpoint) -> usize {
    endpoint.as_str()[1..].parse().expect("endpoint")
}

fn request(number: u64) -> Request {
    fixture::request(number, holder_of(number))
}

fn done(number: u64, permit: u64, outcome: Outcome) -> Done {
    Done {
        request: request(number),
        permit,
        outcome,
        tokens: 1 + number,
        first_token: Some(Millis(20)),
        elapsed: Millis(20 * (1 + number)),
    }
}

fn held(number: u64, permit: u64, at: usize) -> ActiveRun {
    let (tier, class) = fixture::class(number);
    ActiveRun {
        request: request(number),
        holder: Incarnation(holder_of(number)),
        permit,
        endpoint: fixture::endpoint(at),
        tier,
        class,
        workspace: fixture::workspace(number),
    }
}
