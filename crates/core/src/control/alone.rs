//! The baseline policy: each entry for itself, first come first served, two
//! random choices by load report.

use std::collections::{BTreeMap, VecDeque};

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::action::{Action, Grant, Refusal};
use crate::control::directory::{Directory, Endpoint};
use crate::control::event::{Ask, Done, Held};
use crate::name;

/// Choices that are weighed for each request.
const CHOICES: usize = 2;
/// When a shed caller should come back.
const COME_BACK: Millis = Millis(1_000);
/// The priority that the baseline gives to every request.
const PRIORITY: u8 = 5;

/// One entry's waiting requests and what it has in flight.
#[derive(Debug)]
pub struct Alone {
    waiting: VecDeque<Ask>,
    running: BTreeMap<u64, (name::Request, name::Endpoint)>,
    in_flight: BTreeMap<name::Endpoint, u32>,
    next_permit: u64,
    waiting_per_slot: u32,
}

impl Alone {
    /// A policy that keeps at most this many requests waiting per endpoint slot.
    pub fn new(waiting_per_slot: u32) -> Self {
        Self {
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_permit: 1,
            waiting_per_slot,
        }
    }

    /// Takes a request in, or refuses it.
    pub fn ask(
        &mut self,
        directory: &Directory,
        random: &mut ChaCha8Rng,
        ask: Ask,
        out: &mut Vec<Action>,
    ) {
        let slots: u32 = directory
            .usable(&ask.target)
            .map(|endpoint| endpoint.slots)
            .sum();
        if slots == 0 {
            out.push(Action::Refuse(ask.request, Refusal::NoEndpoint));
            return;
        }
        let bound = (slots * self.waiting_per_slot) as usize;
        if self.waiting.len() >= bound {
            out.push(Action::Refuse(ask.request, Refusal::Overloaded(COME_BACK)));
            return;
        }
        self.waiting.push_back(ask);
        self.dispatch(directory, random, out);
    }

    /// Takes in the permits that are older than this policy.
    pub fn restore(&mut self, held: &[Held]) {
        for held in held {
            let run = (held.ask.request, held.endpoint.clone());
            if self.running.insert(held.permit, run).is_none() {
                *self.in_flight.entry(held.endpoint.clone()).or_default() += 1;
            }
            self.next_permit = self.next_permit.max(held.permit + 1);
        }
    }

    /// Forgets a waiting request, and takes back the permit that it may have
    /// been granted meanwhile.
    pub fn withdraw(&mut self, request: name::Request) {
        self.waiting.retain(|ask| ask.request != request);
        let granted = self.running.iter().find(|(_, run)| run.0 == request);
        if let Some(permit) = granted.map(|(permit, _)| *permit) {
            self.release(permit);
        }
    }

    /// Takes a permit back.
    pub fn done(&mut self, done: &Done) {
        self.release(done.permit);
    }

    fn release(&mut self, permit: u64) {
        let Some((_, endpoint)) = self.running.remove(&permit) else {
            return;
        };
        if let Some(count) = self.in_flight.get_mut(&endpoint) {
            *count = count.saturating_sub(1);
        }
    }

    /// What this entry has in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        self.in_flight.get(endpoint).copied().unwrap_or(0)
    }

    /// Sends what can be sent, in order of arrival for each target.
    pub fn dispatch(
        &mut self,
        directory: &Directory,
        random: &mut ChaCha8Rng,
        out: &mut Vec<Action>,
    ) {
        let mut kept = VecDeque::new();
        let mut blocked: Vec<name::Target> = Vec::new();
        while let Some(ask) = self.waiting.pop_front() {
            if blocked.contains(&ask.target) {
                kept.push_back(ask);
                continue;
            }
            match self.choose(directory, random, &ask) {
                Some(endpoint) => self.grant(&ask, endpoint, out),
                None if directory.usable(&ask.target).next().is_none() => {
                    out.push(Action::Refuse(ask.request, Refusal::NoEndpoint));
                }
                None => {
                    blocked.push(ask.target.clone());
                    kept.push_back(ask);
                }
            }
        }
        self.waiting = kept;
    }

    fn choose<'a>(
        &self,
        directory: &'a Directory,
        random: &mut ChaCha8Rng,
        ask: &Ask,
    ) -> Option<&'a Endpoint> {
        let usable: Vec<&Endpoint> = directory.usable(&ask.target).collect();
        let fresh: Vec<&Endpoint> = usable
            .iter()
            .copied()
            .filter(|endpoint| !ask.avoid.contains(&endpoint.name))
            .collect();
        // An endpoint that failed the request is still better than none.
        let candidates = if fresh.is_empty() { usable } else { fresh };
        candidates
            .choose_multiple(random, CHOICES)
            .copied()
            .filter(|endpoint| self.load(endpoint) < endpoint.slots)
            .min_by_key(|endpoint| self.load(endpoint))
    }

    fn load(&self, endpoint: &Endpoint) -> u32 {
        let reported = endpoint
            .load
            .as_ref()
            .map_or(0, |(_, load)| load.running + load.queued);
        reported.max(self.in_flight(&endpoint.name))
    }

    fn grant(&mut self, ask: &Ask, endpoint: &Endpoint, out: &mut Vec<Action>) {
        let permit = self.next_permit;
        self.next_permit += 1;
        self.running
            .insert(permit, (ask.request, endpoint.name.clone()));
        *self.in_flight.entry(endpoint.name.clone()).or_default() += 1;
        out.push(Action::Grant(Grant {
            request: ask.request,
            permit,
            endpoint: endpoint.name.clone(),
            address: endpoint.address,
            priority: PRIORITY,
            degraded: false,
        }));
    }
}
