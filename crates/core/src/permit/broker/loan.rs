//! Using places that a home lent, without asking for each.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name::Incarnation;
use crate::permit::Id;
use crate::permit::message::{self, Call, Grant, Held, Profile, Record, Run, Usage};
use crate::permit::post::{Receipt, Urgency};
use crate::pool;

use super::heartbeat::{CHUNK, pack_held};
use super::{Broker, Holding, Source, Step};

/// How often the use of a loan is reported, which renews it: twice in its life.
const REPORT: Millis = Millis(500);
/// A borrower stops using a loan so long before its end, so that the report of
/// what still runs arrives in time.
const MARGIN: Millis = Millis(100);
/// Records in one report, so that it fits in one datagram.
const MOST_RECORDS: usize = 40;

/// Places that may be used without asking.
#[derive(Debug)]
pub struct Loan {
    home: Incarnation,
    number: u32,
    until: Millis,
    credits: BTreeMap<Id, Credit>,
    next_report: Millis,
    /// The message in which places were last given back.
    given_back: u32,
    started: u32,
    profiles: Vec<Profile>,
    records: Vec<Record>,
}

/// Places at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Credit {
    total: u32,
    used: u32,
    /// The fewest that were free since the last report.
    idle: u32,
}

impl Credit {
    fn free(self) -> u32 {
        self.total.saturating_sub(self.used)
    }
}

impl Broker {
    /// Grants a place of a loan, if there is one. False: there is none.
    pub(super) fn grant_from_loan(&mut self, step: &mut Step, ask: &Ask) -> bool {
        // The home must see every identity.
        if ask.identity != 0 {
            return false;
        }
        let pools = step.context.topology.of_target(&ask.target);
        let found = pools
            .iter()
            .find_map(|pool| Some((*pool, self.loans.get(pool)?.choose(step, ask)?)));
        let Some((pool, endpoint)) = found else {
            return false;
        };
        if let Some(loan) = self.loans.get_mut(&pool) {
            loan.start(endpoint);
        }
        let number = self.draw();
        let grant = Grant {
            permit: number,
            endpoint,
            priority: pool::priority(ask.tier, false),
            contended: false,
        };
        self.hold(step, number, ask, pool, &grant, Source::Loan);
        true
    }

    /// A run under a loan ended.
    pub(super) fn end_loan_run(&mut self, holding: &Holding, result: Run) {
        if let Some(loan) = self.loans.get_mut(&holding.pool) {
            loan.end(holding, result);
        }
    }

    /// A home states a loan.
    pub fn loan(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        receipt: Receipt,
        stated: &message::Loan,
    ) {
        let Some(sent) = receipt.seen_sent else {
            return;
        };
        if self.settled.get(&stated.pool) == Some(&(from, stated.loan)) {
            return;
        }
        let known = self.loans.get(&stated.pool);
        let same = known.is_some_and(|loan| loan.home == from && loan.number == stated.loan);
        if !same {
            self.settle(step, stated.pool);
            let loan = Loan::new(from, stated.loan, step.context.now);
            self.loans.insert(stated.pool, loan);
        }
        if let Some(loan) = self.loans.get_mut(&stated.pool)
            && receipt.seen >= loan.given_back
        {
            loan.until = sent + stated.life - MARGIN;
            loan.set(&stated.places);
        }
    }

    /// A home wants its places back.
    pub fn recall(&mut self, step: &mut Step, from: Incarnation, pool: Id, number: u32) {
        let known = self.loans.get(&pool);
        if known.is_some_and(|loan| loan.home == from && loan.number == number) {
            self.settle(step, pool);
            return;
        }
        // The report was lost, or the loan never arrived.
        self.settled.insert(pool, (from, number));
        self.sync(step, from, Some(pool));
        send_usage(step, from, Usage::over(pool, number));
    }

    /// Reports the use of loans, and ends those whose time is over.
    pub(super) fn tick_loans(&mut self, step: &mut Step) {
        let now = step.context.now;
        let pools: Vec<Id> = self.loans.keys().copied().collect();
        for pool in pools {
            let Some(loan) = self.loans.get_mut(&pool) else {
                continue;
            };
            let over = now >= loan.until;
            let due = now >= loan.next_report;
            if over || (due && loan.unused()) {
                self.settle(step, pool);
            } else if due || loan.records.len() >= MOST_RECORDS {
                loan.report(step, pool);
            }
        }
    }

    /// Ends a loan: what still runs of it goes on as permits.
    fn settle(&mut self, step: &mut Step, pool: Id) {
        let Some(loan) = self.loans.remove(&pool) else {
            return;
        };
        self.settled.insert(pool, (loan.home, loan.number));
        let runs = self.keep_runs(pool, loan.home);
        for held in runs.chunks(CHUNK) {
            let usage = Usage {
                held: held.to_vec(),
                over: false,
                ..Usage::over(pool, loan.number)
            };
            send_usage(step, loan.home, usage);
        }
        let usage = Usage {
            profiles: loan.profiles,
            records: loan.records,
            ..Usage::over(pool, loan.number)
        };
        send_usage(step, loan.home, usage);
    }

    /// Ends loans of homes that have moved; their runs are told to the new homes.
    pub(super) fn drop_moved_loans(&mut self, step: &Step) {
        let moved = self.loans.iter().filter(|(pool, loan)| {
            let home = step.context.topology.home(**pool);
            home.is_some_and(|home| home != loan.home)
        });
        let moved: Vec<(Id, Incarnation)> = moved.map(|(pool, loan)| (*pool, loan.home)).collect();
        for (pool, home) in moved {
            self.drop_loan(pool, home);
        }
    }

    /// Ends a loan of which the home knows nothing any more; its runs are to
    /// count as permits of a home.
    pub(super) fn drop_loan(&mut self, pool: Id, home: Incarnation) {
        if let Some(loan) = self.loans.remove(&pool) {
            self.settled.insert(pool, (loan.home, loan.number));
            self.keep_runs(pool, home);
        }
    }

    /// Makes the runs under a loan permits of its home.
    fn keep_runs(&mut self, pool: Id, home: Incarnation) -> Vec<Held> {
        let mut runs = Vec::new();
        for (number, holding) in &mut self.held {
            if holding.pool == pool && holding.source == Source::Loan {
                holding.source = Source::Home(home);
                runs.push(pack_held(*number, holding));
            }
        }
        runs
    }
}

impl Loan {
    fn new(home: Incarnation, number: u32, now: Millis) -> Self {
        Self {
            home,
            number,
            until: Millis::ZERO,
            credits: BTreeMap::new(),
            next_report: now + REPORT,
            given_back: 0,
            started: 0,
            profiles: Vec::new(),
            records: Vec::new(),
        }
    }

    fn set(&mut self, places: &[(Id, u32)]) {
        for credit in self.credits.values_mut() {
            credit.total = 0;
        }
        for (endpoint, total) in places {
            self.credits.entry(*endpoint).or_default().total = *total;
        }
        for credit in self.credits.values_mut() {
            credit.idle = credit.idle.min(credit.free());
        }
    }

    /// An endpoint with a free place: for equal prompts the same one, so that
    /// they meet a warm cache, else the one with the most room.
    fn choose(&self, step: &Step, ask: &Ask) -> Option<Id> {
        if step.context.now >= self.until {
            return None;
        }
        let free = self
            .credits
            .iter()
            .filter(|(endpoint, credit)| credit.free() > 0 && usable(step, **endpoint, ask));
        let best = free.max_by_key(|(endpoint, credit)| match ask.prefix {
            0 => u64::from(credit.free()),
            prefix => endpoint.affinity(prefix),
        });
        best.map(|(endpoint, _)| *endpoint)
    }

    fn start(&mut self, endpoint: Id) {
        self.started += 1;
        if let Some(credit) = self.credits.get_mut(&endpoint) {
            credit.used += 1;
            credit.idle = credit.idle.min(credit.free());
        }
    }

    fn end(&mut self, holding: &Holding, result: Run) {
        if let Some(credit) = self.credits.get_mut(&holding.endpoint) {
            credit.used = credit.used.saturating_sub(1);
        }
        let known = self
            .profiles
            .iter()
            .position(|known| *known == holding.profile);
        let profile = known.unwrap_or_else(|| {
            self.profiles.push(holding.profile.clone());
            self.profiles.len() - 1
        });
        self.records.push(Record {
            profile: u32::try_from(profile).unwrap_or(u32::MAX),
            endpoint: holding.endpoint,
            result,
        });
    }

    fn unused(&self) -> bool {
        self.started == 0 && self.credits.values().all(|credit| credit.used == 0)
    }

    /// Reports what was used, and gives back half of what lay idle.
    fn report(&mut self, step: &mut Step, pool: Id) {
        let mut gave_back = false;
        for credit in self.credits.values_mut() {
            let back = credit.idle / 2;
            credit.total -= back.min(credit.total);
            credit.idle = credit.free();
            gave_back |= back > 0;
        }
        let usage = Usage {
            pool,
            loan: self.number,
            keep: self
                .credits
                .iter()
                .map(|(endpoint, credit)| (*endpoint, credit.total))
                .collect(),
            profiles: std::mem::take(&mut self.profiles),
            records: std::mem::take(&mut self.records),
            held: Vec::new(),
            over: false,
        };
        self.started = 0;
        self.next_report = step.context.now + REPORT;
        let call = Call::Usage(usage);
        let sent = step
            .post
            .call(step.context.now, self.home, Urgency::Tick, call);
        if gave_back {
            self.given_back = sent;
        }
    }
}

/// Whether an endpoint may get a request.
fn usable(step: &Step, endpoint: Id, ask: &Ask) -> bool {
    let name = step.context.topology.endpoint(endpoint);
    let known = name.and_then(|name| step.context.directory.get(name));
    known.is_some_and(|endpoint| endpoint.usable() && !ask.avoid.contains(&endpoint.name))
}

fn send_usage(step: &mut Step, home: Incarnation, usage: Usage) {
    step.post
        .call(step.context.now, home, Urgency::Now, Call::Usage(usage));
}

impl Usage {
    /// The end of a loan of which nothing else is to be said.
    fn over(pool: Id, loan: u32) -> Self {
        Self {
            pool,
            loan,
            keep: Vec::new(),
            profiles: Vec::new(),
            records: Vec::new(),
            held: Vec::new(),
            over: true,
        }
    }
}
