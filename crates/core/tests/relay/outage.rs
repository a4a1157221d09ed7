//! Simulates a fleet during a platform outage: how often the platform is polled, and how old the
//! entries' plans become.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty::{
    self, CHECK_INTERVAL, Confirmation, EntryStatus, PollDecision, Subject,
};
use woodgap_core::relay::fleet::{Fleet, Member};

/// The time between two gossip rounds.
const ROUND: Millis = Millis(300);
/// A step of the simulation, and the one-way latency of messages and calls.
const STEP: Millis = Millis(10);
/// The timeout of a call, in addition to the time for which the platform may hold it.
const TIMEOUT: Millis = Millis(1_000);
/// When the platform is unavailable, in ms.
const OUTAGE: std::ops::Range<u64> = 4_000..12_000;
/// The end of the simulation.
const END: u64 = 16_000;
/// The age from which a plan no longer authorises requests with keys, at the users' limits.
const MAX_PLAN_AGE: Millis = Millis(3_500);

/// How calls fail during the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The platform rejects the call at once.
    Rejected,
    /// The platform never responds.
    Timeout,
}

/// A gossip query or an answer.
struct Message {
    from: usize,
    to: usize,
    /// In an answer, when the query was sent.
    answers: Option<Millis>,
    /// The age of the sender's plan.
    age: Millis,
}

struct Call {
    is_drawn: bool,
    ends_at: Millis,
    is_answered: bool,
}

struct Entry {
    fleet: Fleet,
    as_of: Millis,
    is_platform_lost: bool,
    substitute_until: Millis,
    call: Option<Call>,
    retry_at: Millis,
    failures: u32,
}

struct Simulation {
    entries: Vec<Entry>,
    random: ChaCha8Rng,
    failure: Failure,
    /// Whether an entry is affected by the outage.
    is_affected: fn(usize) -> bool,
    /// An entry that is cut off from all others during the outage.
    isolated: Option<usize>,
    messages: BTreeMap<Millis, Vec<Message>>,
    calls: usize,
    calls_in_outage: usize,
    /// The maximum age of any plan during the outage.
    max_age: Millis,
    /// When the last stale plan was confirmed.
    all_confirmed_at: Millis,
}

impl Simulation {
    fn new(count: usize, failure: Failure, is_affected: fn(usize) -> bool, seed: u64) -> Self {
        let members: Vec<_> = (0..count).map(member).collect();
        let entry = |at: usize| {
            let mut fleet = Fleet::new(
                members[at].name.clone(),
                members[at].data_centre.clone(),
                ROUND,
            );
            for other in &members {
                fleet.record_contact(other.clone(), Millis::ZERO);
            }
            Entry {
                fleet,
                as_of: Millis::ZERO,
                is_platform_lost: false,
                substitute_until: Millis::ZERO,
                call: None,
                retry_at: Millis::ZERO,
                failures: 0,
            }
        };
        Self {
            entries: (0..count).map(entry).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            failure,
            is_affected,
            isolated: None,
            messages: BTreeMap::new(),
            calls: 0,
            calls_in_outage: 0,
            max_age: Millis::ZERO,
            all_confirmed_at: Millis::ZERO,
        }
    }

    fn run(&mut self) {
        let mut now = Millis::ZERO;
        while now.0 < END {
            for message in self.messages.remove(&now).unwrap_or_default() {
                self.receive(&message, now);
            }
            for at in 0..self.entries.len() {
                let phase = at as u64 * STEP.0;
                if (now.0 + phase).is_multiple_of(ROUND.0) {
                    self.round(at, now);
                }
                self.end_call(at, now);
                if (now.0 + phase).is_multiple_of(CHECK_INTERVAL.0) {
                    self.poll(at, now);
                }
            }
            self.observe(now);
            now = now + STEP;
        }
    }

    fn observe(&mut self, now: Millis) {
        let ages = self.entries.iter().map(|entry| now - entry.as_of);
        let max_age = ages.max().unwrap_or_default();
        if OUTAGE.contains(&now.0) {
            self.max_age = self.max_age.max(max_age);
        }
        if duty::is_stale(max_age, self.entries[0].fleet.propagation_time()) {
            self.all_confirmed_at = now + STEP;
        }
    }

    fn reaches(&self, at: usize, now: Millis) -> bool {
        !(OUTAGE.contains(&now.0) && (self.is_affected)(at))
    }

    fn poll(&mut self, at: usize, now: Millis) {
        let draw = self.random.random();
        let entry = &mut self.entries[at];
        if entry.call.is_some() || entry.retry_at > now {
            return;
        }
        let status = EntryStatus {
            rank: entry.fleet.rank(!entry.is_platform_lost, now),
            is_seed: false,
            is_first_start: false,
            is_substitute: now < entry.substitute_until,
            uptime: Millis(60_000),
            peers: entry.fleet.estimate_reachable(now),
            propagation_delay: entry.fleet.propagation_time(),
        };
        let confirmation = Confirmation::Age(now - entry.as_of);
        let PollDecision::Poll(wait) = duty::decide(Subject::Plan, &status, confirmation, draw)
        else {
            return;
        };
        self.calls += 1;
        self.calls_in_outage += usize::from(OUTAGE.contains(&now.0));
        let responds_at = now + wait + STEP;
        let is_answered = self.reaches(at, now) && self.reaches(at, responds_at);
        let ends_at = match self.failure {
            _ if is_answered => responds_at,
            Failure::Rejected => now + STEP,
            Failure::Timeout => now + wait + TIMEOUT,
        };
        self.entries[at].call = Some(Call {
            is_drawn: wait == Millis::ZERO,
            ends_at,
            is_answered,
        });
    }

    fn end_call(&mut self, at: usize, now: Millis) {
        let draw = self.random.random();
        let entry = &mut self.entries[at];
        let Some(call) = entry.call.take_if(|call| call.ends_at <= now) else {
            return;
        };
        entry.is_platform_lost = !call.is_answered;
        if call.is_answered {
            entry.failures = 0;
            if call.is_drawn {
                entry.substitute_until = now + duty::substitute_term(entry.fleet.local_timeout());
            }
            self.confirm(at, now - STEP, now);
        } else {
            entry.failures += 1;
            entry.retry_at = now + duty::backoff(entry.failures, draw);
        }
    }

    fn confirm(&mut self, at: usize, as_of: Millis, now: Millis) {
        let entry = &mut self.entries[at];
        let propagation_delay = entry.fleet.propagation_time();
        let was_stale = duty::is_stale(now - entry.as_of, propagation_delay);
        entry.as_of = entry.as_of.max(as_of);
        if was_stale && !duty::is_stale(now - entry.as_of, propagation_delay) {
            self.round(at, now);
        }
    }

    fn round(&mut self, at: usize, now: Millis) {
        for address in self.entries[at].fleet.gossip_targets(now) {
            let to = usize::from(address.port());
            self.send(at, to, None, now);
        }
    }

    fn send(&mut self, from: usize, to: usize, answers: Option<Millis>, now: Millis) {
        let is_isolated = self.isolated == Some(from) || self.isolated == Some(to);
        if is_isolated && OUTAGE.contains(&now.0) {
            return;
        }
        let message = Message {
            from,
            to,
            answers,
            age: now - self.entries[from].as_of,
        };
        let due = now + STEP;
        self.messages.entry(due).or_default().push(message);
    }

    fn receive(&mut self, message: &Message, now: Millis) {
        let sender = Member {
            reaches_platform: !self.entries[message.from].is_platform_lost,
            reaches_endpoints: true,
            ..member(message.from)
        };
        let entry = &mut self.entries[message.to];
        entry.fleet.record_contact(sender, now);
        let own_age = now - entry.as_of;
        let propagation_delay = entry.fleet.propagation_time();
        if let Some(queried_at) = message.answers {
            self.confirm(message.to, queried_at - message.age, now);
            return;
        }
        // The age in an answer is relative to the time of the query.
        self.send(message.to, message.from, Some(now - STEP), now);
        if duty::should_query_back(own_age, message.age, propagation_delay) {
            self.send(message.to, message.from, None, now);
        }
    }
}

/// The entry with this number, which is also the port of its address, in one of five data centres.
pub fn member(at: usize) -> Member {
    let port = u16::try_from(at).expect("a small fleet");
    Member {
        name: name::Entry::from(format!("entry-{at:03}")),
        incarnation: name::Incarnation(1),
        peer: ([10, 0, 0, 1], port).into(),
        front: ([10, 0, 0, 1], 80).into(),
        data_centre: name::DataCentre::from(format!("dub-{}", at % 5)),
        stopping: false,
        ready: true,
        reaches_platform: true,
        reaches_endpoints: true,
    }
}

/// During an outage of eight seconds the number of calls does not grow with the fleet, and all
/// plans are confirmed soon after it.
#[rstest]
// With six entries, each may be waiting for a response that never comes, and then back off.
#[case::few(6, Millis(2_000))]
#[case::tens(80, Millis(400))]
#[case::hundreds(295, Millis(400))]
fn few_entries_poll_during_an_outage(
    #[case] entries: usize,
    #[case] limit: Millis,
    #[values(Failure::Rejected, Failure::Timeout)] failure: Failure,
) {
    let mut simulation = Simulation::new(entries, failure, |_| true, 1);
    simulation.run();
    let confirmed = simulation.all_confirmed_at - Millis(OUTAGE.end);
    println!(
        "calls: {}, of these in the outage: {}, all confirmed after {confirmed}",
        simulation.calls, simulation.calls_in_outage
    );
    assert!(
        simulation.calls_in_outage <= 120,
        "{}",
        simulation.calls_in_outage
    );
    assert!(confirmed <= limit, "{confirmed}");
}

/// Entries affected by the outage, including the pollers, learn from the others before their plan
/// is too old to authorise requests with keys.
#[rstest]
#[case::every_third(|at| at % 3 == 0)]
#[case::the_first_sixty(|at| at < 60)]
#[case::nine_of_ten(|at| at % 10 != 9)]
fn affected_entries_learn_from_others(
    #[case] is_affected: fn(usize) -> bool,
    #[values(6, 295)] entries: usize,
    #[values(Failure::Rejected, Failure::Timeout)] failure: Failure,
) {
    let mut simulation = Simulation::new(entries, failure, is_affected, 1);
    simulation.run();
    println!(
        "calls: {}, of these in the outage: {}, oldest plan: {}",
        simulation.calls, simulation.calls_in_outage, simulation.max_age
    );
    let all_are_affected = (0..entries).all(is_affected);
    assert!(
        all_are_affected || simulation.max_age < MAX_PLAN_AGE,
        "{}",
        simulation.max_age
    );
    assert!(
        simulation.calls_in_outage <= 150,
        "{}",
        simulation.calls_in_outage
    );
}

/// An entry that is cut off from all others polls without a random draw.
#[test]
fn an_isolated_entry_polls() {
    let mut simulation = Simulation::new(295, Failure::Rejected, |_| false, 1);
    simulation.isolated = Some(200);
    simulation.run();
    assert!(simulation.max_age < MAX_PLAN_AGE, "{}", simulation.max_age);
}
