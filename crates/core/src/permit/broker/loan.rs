//! Uses the slots that a home has lent, without requesting a permit for each
//! run.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name::Incarnation;
use crate::permit::NameHash;
use crate::permit::message::{self, Call, Grant, HeldPermit, Profile, Run, RunRecord, Usage};
use crate::permit::transport::{Receipt, Urgency};
use crate::pool;

use super::heartbeat::{MAX_SYNC_ITEMS, to_held_permit};
use super::{ActivePermit, Broker, Source, Step};

/// Interval at which the use of a loan is reported, which also renews it: twice
/// within its lifetime.
const REPORT_INTERVAL: Millis = Millis(500);
/// How long before its expiry a loan is no longer used, so that the report of
/// the remaining runs arrives in time.
const EXPIRY_MARGIN: Millis = Millis(100);
/// Maximum number of records in one report, so that it fits into one datagram.
const MAX_RECORDS: usize = 40;

/// Slots that may be used without requesting permits.
#[derive(Debug)]
pub struct Loan {
    home: Incarnation,
    number: u32,
    until: Millis,
    credits: BTreeMap<NameHash, Credit>,
    next_report: Millis,
    /// The message in which slots were last returned.
    last_return: u32,
    started: u32,
    profiles: Vec<Profile>,
    records: Vec<RunRecord>,
}

/// Lent slots at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Credit {
    total: u32,
    used: u32,
    /// The lowest number of free slots since the last report.
    idle: u32,
}

impl Credit {
    fn free(self) -> u32 {
        self.total.saturating_sub(self.used)
    }
}

impl Broker {
    /// Grants a request a slot of a loan. Returns false if no slot is available.
    pub(super) fn grant_from_loan(&mut self, step: &mut Step, ask: &Ask) -> bool {
        // The home must know every identity in use to detect duplicates.
        if ask.identity != 0 {
            return false;
        }
        let pools = step.context.topology.pools_for_target(&ask.target);
        let found = pools
            .iter()
            .find_map(|pool| Some((*pool, self.loans.get(pool)?.choose_endpoint(step, ask)?)));
        let Some((pool, endpoint)) = found else {
            return false;
        };
        if let Some(loan) = self.loans.get_mut(&pool) {
            loan.start_run(endpoint);
        }
        let number = self.next_permit_number();
        let grant = Grant {
            permit: number,
            endpoint,
            priority: pool::priority(ask.tier, false),
            contended: false,
        };
        self.hold(step, number, ask, pool, &grant, Source::Loan);
        true
    }

    /// Records the end of a run under a loan.
    pub(super) fn end_loan_run(&mut self, active: &ActivePermit, result: Run) {
        if let Some(loan) = self.loans.get_mut(&active.pool) {
            loan.end_run(active, result);
        }
    }

    /// Handles the statement of a loan by a home.
    pub fn loan(
        &mut self,
        step: &mut Step,
        from: Incarnation,
        receipt: Receipt,
        stated: &message::Loan,
    ) {
        let Some(sent) = receipt.acked_sent_at else {
            return;
        };
        if self.settled.get(&stated.pool) == Some(&(from, stated.loan)) {
            return;
        }
        let known = self.loans.get(&stated.pool);
        let same = known.is_some_and(|loan| loan.home == from && loan.number == stated.loan);
        if !same {
            self.settle_loan(step, stated.pool);
            let loan = Loan::new(from, stated.loan, step.context.now);
            self.loans.insert(stated.pool, loan);
        }
        if let Some(loan) = self.loans.get_mut(&stated.pool)
            && receipt.acked >= loan.last_return
        {
            loan.until = sent + stated.lifetime - EXPIRY_MARGIN;
            loan.set_slots(&stated.slots);
        }
    }

    /// Handles the recall of a loan by a home.
    pub fn recall(&mut self, step: &mut Step, from: Incarnation, pool: NameHash, number: u32) {
        let known = self.loans.get(&pool);
        if known.is_some_and(|loan| loan.home == from && loan.number == number) {
            self.settle_loan(step, pool);
            return;
        }
        // The final report was lost, or the loan never arrived.
        self.settled.insert(pool, (from, number));
        self.send_sync(step, from, Some(pool));
        send_usage(step, from, Usage::final_report(pool, number));
    }

    /// Reports the use of loans, and settles those that have expired or are
    /// unused.
    pub(super) fn tick_loans(&mut self, step: &mut Step) {
        let now = step.context.now;
        let pools: Vec<NameHash> = self.loans.keys().copied().collect();
        for pool in pools {
            let Some(loan) = self.loans.get_mut(&pool) else {
                continue;
            };
            let expired = now >= loan.until;
            let due = now >= loan.next_report;
            if expired || (due && loan.is_unused()) {
                self.settle_loan(step, pool);
            } else if due || loan.records.len() >= MAX_RECORDS {
                loan.report(step, pool);
            }
        }
    }

    /// Ends a loan and sends the final report. Its remaining runs continue as
    /// ordinary permits.
    fn settle_loan(&mut self, step: &mut Step, pool: NameHash) {
        let Some(loan) = self.loans.remove(&pool) else {
            return;
        };
        self.settled.insert(pool, (loan.home, loan.number));
        let runs = self.convert_runs(pool, loan.home);
        for held in runs.chunks(MAX_SYNC_ITEMS) {
            let usage = Usage {
                held: held.to_vec(),
                finished: false,
                ..Usage::final_report(pool, loan.number)
            };
            send_usage(step, loan.home, usage);
        }
        let usage = Usage {
            profiles: loan.profiles,
            records: loan.records,
            ..Usage::final_report(pool, loan.number)
        };
        send_usage(step, loan.home, usage);
    }

    /// Drops the loans of pools whose home has changed. The new homes are sent
    /// the remaining runs.
    pub(super) fn drop_moved_loans(&mut self, step: &Step) {
        let moved = self.loans.iter().filter(|(pool, loan)| {
            let home = step.context.topology.home(**pool);
            home.is_some_and(|home| home != loan.home)
        });
        let moved: Vec<(NameHash, Incarnation)> =
            moved.map(|(pool, loan)| (*pool, loan.home)).collect();
        for (pool, home) in moved {
            self.drop_loan(pool, home);
        }
    }

    /// Drops a loan that its home no longer knows. The remaining runs become
    /// permits of the given home.
    pub(super) fn drop_loan(&mut self, pool: NameHash, home: Incarnation) {
        if let Some(loan) = self.loans.remove(&pool) {
            self.settled.insert(pool, (loan.home, loan.number));
            self.convert_runs(pool, home);
        }
    }

    /// Turns the runs under a loan into permits of a home.
    fn convert_runs(&mut self, pool: NameHash, home: Incarnation) -> Vec<HeldPermit> {
        let mut runs = Vec::new();
        for (number, active) in &mut self.active {
            if active.pool == pool && active.source == Source::Loan {
                active.source = Source::Home(home);
                runs.push(to_held_permit(*number, active));
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
            next_report: now + REPORT_INTERVAL,
            last_return: 0,
            started: 0,
            profiles: Vec::new(),
            records: Vec::new(),
        }
    }

    fn set_slots(&mut self, slots: &[(NameHash, u32)]) {
        for credit in self.credits.values_mut() {
            credit.total = 0;
        }
        for (endpoint, total) in slots {
            self.credits.entry(*endpoint).or_default().total = *total;
        }
        for credit in self.credits.values_mut() {
            credit.idle = credit.idle.min(credit.free());
        }
    }

    /// Chooses an endpoint with a free slot: the same one for equal prompts, to
    /// hit a warm cache; without a prompt, the one with the most free slots.
    fn choose_endpoint(&self, step: &Step, ask: &Ask) -> Option<NameHash> {
        if step.context.now >= self.until {
            return None;
        }
        let free = self
            .credits
            .iter()
            .filter(|(endpoint, credit)| credit.free() > 0 && is_usable(step, **endpoint, ask));
        let best = free.max_by_key(|(endpoint, credit)| match ask.prefix {
            0 => u64::from(credit.free()),
            prefix => endpoint.affinity(prefix),
        });
        best.map(|(endpoint, _)| *endpoint)
    }

    fn start_run(&mut self, endpoint: NameHash) {
        self.started += 1;
        if let Some(credit) = self.credits.get_mut(&endpoint) {
            credit.used += 1;
            credit.idle = credit.idle.min(credit.free());
        }
    }

    fn end_run(&mut self, active: &ActivePermit, result: Run) {
        if let Some(credit) = self.credits.get_mut(&active.endpoint) {
            credit.used = credit.used.saturating_sub(1);
        }
        let known = self
            .profiles
            .iter()
            .position(|known| *known == active.profile);
        let profile = known.unwrap_or_else(|| {
            self.profiles.push(active.profile.clone());
            self.profiles.len() - 1
        });
        self.records.push(RunRecord {
            profile: u32::try_from(profile).unwrap_or(u32::MAX),
            endpoint: active.endpoint,
            result,
        });
    }

    fn is_unused(&self) -> bool {
        self.started == 0 && self.credits.values().all(|credit| credit.used == 0)
    }

    /// Sends a report and returns half of the slots that stayed idle.
    fn report(&mut self, step: &mut Step, pool: NameHash) {
        let mut returned_any = false;
        for credit in self.credits.values_mut() {
            let returned = credit.idle / 2;
            credit.total -= returned.min(credit.total);
            credit.idle = credit.free();
            returned_any |= returned > 0;
        }
        let usage = Usage {
            pool,
            loan: self.number,
            kept_slots: self
                .credits
                .iter()
                .map(|(endpoint, credit)| (*endpoint, credit.total))
                .collect(),
            profiles: std::mem::take(&mut self.profiles),
            records: std::mem::take(&mut self.records),
            held: Vec::new(),
            finished: false,
        };
        self.started = 0;
        self.next_report = step.context.now + REPORT_INTERVAL;
        let call = Call::Usage(usage);
        let sent = step
            .transport
            .send_call(step.context.now, self.home, Urgency::Tick, call);
        if returned_any {
            self.last_return = sent;
        }
    }
}

/// Whether an endpoint may be used for a request.
fn is_usable(step: &Step, endpoint: NameHash, ask: &Ask) -> bool {
    let name = step.context.topology.endpoint(endpoint);
    let known = name.and_then(|name| step.context.directory.get(name));
    known.is_some_and(|endpoint| endpoint.usable() && !ask.avoid.contains(&endpoint.name))
}

fn send_usage(step: &mut Step, home: Incarnation, usage: Usage) {
    step.transport
        .send_call(step.context.now, home, Urgency::Now, Call::Usage(usage));
}

impl Usage {
    /// Creates the final report of a loan, without records or remaining runs.
    fn final_report(pool: NameHash, loan: u32) -> Self {
        Self {
            pool,
            loan,
            kept_slots: Vec::new(),
            profiles: Vec::new(),
            records: Vec::new(),
            held: Vec::new(),
            finished: true,
        }
    }
}
