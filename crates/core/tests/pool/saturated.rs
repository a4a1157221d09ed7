//! A pool whose highest tier always has more waiting requests than there are
//! slots.

use std::collections::{BTreeSet, VecDeque};

use woodgap_core::clock::Millis;
use woodgap_core::control::{Done, Outcome};
use woodgap_core::name::Request;
use woodgap_core::pool::{Decision, Limits, Pool};
use woodgap_core::tier::Tier;

use super::fixture;

/// Number of waiting requests of the highest tier at any time.
const HIGHEST_TIER_WAITING: u64 = 20;

pub struct SaturatedPool {
    pool: Pool,
    now: Millis,
    /// Requests of lower tiers that have not been granted yet.
    pub waiting: BTreeSet<u64>,
    running: VecDeque<(Request, u64)>,
    last_number: u64,
    pub tokens: u64,
    pub lower_tier_tokens: u64,
}

impl SaturatedPool {
    /// Enqueues the requests of lower tiers among these.
    pub fn new(lower_tier: &BTreeSet<u64>) -> Self {
        let mut saturated = Self {
            pool: Pool::new(Limits::default(), 3),
            now: Millis(1_000),
            waiting: BTreeSet::new(),
            running: VecDeque::new(),
            last_number: 999,
            tokens: 0,
            lower_tier_tokens: 0,
        };
        let directory = fixture::directory();
        let endpoints: Vec<_> = directory.iter().collect();
        saturated
            .pool
            .set_endpoints(saturated.now, &endpoints, &mut Vec::new());
        for _ in 0..HIGHEST_TIER_WAITING {
            saturated.ask_highest_tier();
        }
        for number in lower_tier {
            if fixture::class(*number).0 != Tier::HIGHEST {
                saturated.waiting.insert(*number);
                saturated.ask(*number);
            }
        }
        saturated
    }

    /// Completes a run and adds another request of the highest tier.
    pub fn complete_one_run(&mut self, round: usize, tokens: u64) {
        self.now = self.now + Millis(20);
        let (request, permit) = self.running.pop_front().expect("an active run");
        self.tokens += tokens;
        if fixture::class(request.sequence).0 != Tier::HIGHEST {
            self.lower_tier_tokens += tokens;
        }
        let done = Done {
            request,
            permit,
            outcome: Outcome::Complete,
            tokens,
            first_token: Some(Millis(20)),
            elapsed: Millis(20 * tokens),
        };
        let mut out = Vec::new();
        self.pool.done(self.now, &done, &mut out);
        if round.is_multiple_of(50) {
            self.pool.tick(self.now, &mut out);
        }
        self.record_grants(out);
        self.ask_highest_tier();
    }

    fn ask_highest_tier(&mut self) {
        self.last_number += 3;
        self.ask(self.last_number);
    }

    fn ask(&mut self, number: u64) {
        let mut out = Vec::new();
        let waiter = fixture::waiter(self.now, number, 0, 0);
        self.pool.ask(self.now, waiter, &mut out);
        self.record_grants(out);
    }

    fn record_grants(&mut self, out: Vec<Decision>) {
        for decision in out {
            let Decision::Grant {
                request, permit, ..
            } = decision
            else {
                panic!("{decision:?}");
            };
            self.waiting.remove(&request.sequence);
            self.running.push_back((request, permit));
        }
    }
}
