//! A pool whose highest tier always has more waiting than there are slots.

use std::collections::{BTreeSet, VecDeque};

use woodgap_core::clock::Millis;
use woodgap_core::control::{Done, Outcome};
use woodgap_core::name::Request;
use woodgap_core::pool::{Decision, Limits, Pool};
use woodgap_core::tier::Tier;

use super::fixture;

/// Requests of the highest tier that wait at any time.
const ABOVE: u64 = 20;

pub struct Endless {
    pool: Pool,
    now: Millis,
    /// Lower tiers' requests that were never granted.
    pub waiting: BTreeSet<u64>,
    running: VecDeque<(Request, u64)>,
    next: u64,
    pub tokens: u64,
    pub low_tokens: u64,
}

impl Endless {
    /// All these wait from the start, but for those of the highest tier.
    pub fn new(low: &BTreeSet<u64>) -> Self {
        let mut endless = Self {
            pool: Pool::new(Limits::default(), 3),
            now: Millis(1_000),
            waiting: BTreeSet::new(),
            running: VecDeque::new(),
            next: 999,
            tokens: 0,
            low_tokens: 0,
        };
        let directory = fixture::directory();
        let endpoints: Vec<_> = directory.iter().collect();
        endless
            .pool
            .set_endpoints(endless.now, &endpoints, &mut Vec::new());
        for _ in 0..ABOVE {
            endless.ask_above();
        }
        for number in low {
            if fixture::class(*number).0 != Tier::HIGHEST {
                endless.waiting.insert(*number);
                endless.ask(*number);
            }
        }
        endless
    }

    /// One run ends, and another request of the highest tier comes.
    pub fn turn(&mut self, round: usize, tokens: u64) {
        self.now = self.now + Millis(20);
        let (request, permit) = self.running.pop_front().expect("a run");
        self.tokens += tokens;
        if fixture::class(request.sequence).0 != Tier::HIGHEST {
            self.low_tokens += tokens;
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
        self.note(out);
        self.ask_above();
    }

    fn ask_above(&mut self) {
        self.next += 3;
        self.ask(self.next);
    }

    fn ask(&mut self, number: u64) {
        let mut out = Vec::new();
        let waiter = fixture::waiter(self.now, number, 0, 0);
        self.pool.ask(self.now, waiter, &mut out);
        self.note(out);
    }

    fn note(&mut self, out: Vec<Decision>) {
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
