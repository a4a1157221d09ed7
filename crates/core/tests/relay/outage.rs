//! A fleet whose platform is away for a while, in simulated time: how often it is asked,
//! and how old the entries' plans become.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty::{self, Duty, Knows, LOOK, Standing, Subject};
use woodgap_core::relay::fleet::{Fleet, Member};

/// The time between two rounds of messages.
const ROUND: Millis = Millis(300);
/// A step of the simulation; a message and a call take one each way.
const STEP: Millis = Millis(10);
/// How long an answer is waited for beyond the time for which it may be held.
const TIMEOUT: Millis = Millis(1_000);
/// The platform is away from here to there.
const AWAY: std::ops::Range<u64> = 4_000..12_000;
/// The end of the simulation.
const END: u64 = 16_000;
/// When nobody may serve requests with keys by an older plan, at the users' bounds.
const TRUST: Millis = Millis(3_500);

/// What a call meets while the platform is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Away {
    /// It is turned away at once.
    Busy,
    /// It is never answered.
    Silent,
}

/// A question or an answer of an entry.
struct Message {
    from: usize,
    to: usize,
    /// When the question was asked; none in a question.
    answers: Option<Millis>,
    /// How old the sender's plan is.
    age: Millis,
}

struct Call {
    is_by_lot: bool,
    ends: Millis,
    is_answered: bool,
}

struct Entry {
    fleet: Fleet,
    as_of: Millis,
    is_platform_lost: bool,
    acts_until: Millis,
    call: Option<Call>,
    resumes: Millis,
    failures: u32,
}

struct World {
    entries: Vec<Entry>,
    random: ChaCha8Rng,
    away: Away,
    /// Whether the platform turns an entry away while it is away.
    is_shut_out: fn(usize) -> bool,
    /// An entry that no other one hears while the platform is away.
    cut_off: Option<usize>,
    messages: BTreeMap<Millis, Vec<Message>>,
    calls: usize,
    calls_while_away: usize,
    /// The greatest age of any plan while the platform was away.
    oldest: Millis,
    /// When the last plan was confirmed that had been stale.
    all_fresh_at: Millis,
}

impl World {
    fn new(count: usize, away: Away, is_shut_out: fn(usize) -> bool, seed: u64) -> Self {
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
                acts_until: Millis::ZERO,
                call: None,
                resumes: Millis::ZERO,
                failures: 0,
            }
        };
        Self {
            entries: (0..count).map(entry).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            away,
            is_shut_out,
            cut_off: None,
            messages: BTreeMap::new(),
            calls: 0,
            calls_while_away: 0,
            oldest: Millis::ZERO,
            all_fresh_at: Millis::ZERO,
        }
    }

    fn play(&mut self) {
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
                if (now.0 + phase).is_multiple_of(LOOK.0) {
                    self.look(at, now);
                }
            }
            self.watch(now);
            now = now + STEP;
        }
    }

    fn watch(&mut self, now: Millis) {
        let ages = self.entries.iter().map(|entry| now - entry.as_of);
        let oldest = ages.max().unwrap_or_default();
        if AWAY.contains(&now.0) {
            self.oldest = self.oldest.max(oldest);
        }
        if duty::is_stale(oldest, self.entries[0].fleet.propagation_time()) {
            self.all_fresh_at = now + STEP;
        }
    }

    fn reaches(&self, at: usize, now: Millis) -> bool {
        !(AWAY.contains(&now.0) && (self.is_shut_out)(at))
    }

    fn look(&mut self, at: usize, now: Millis) {
        let lot = self.random.random();
        let entry = &mut self.entries[at];
        if entry.call.is_some() || entry.resumes > now {
            return;
        }
        let standing = Standing {
            rank: entry.fleet.rank(!entry.is_platform_lost, now),
            is_seed: false,
            is_first_start: false,
            is_acting: now < entry.acts_until,
            life: Millis(60_000),
            peers: entry.fleet.estimate_reachable(now),
            spread: entry.fleet.propagation_time(),
        };
        let knows = Knows::Since(now - entry.as_of);
        let Duty::Ask(held) = duty::duty(Subject::Plan, &standing, knows, lot) else {
            return;
        };
        self.calls += 1;
        self.calls_while_away += usize::from(AWAY.contains(&now.0));
        let back = now + held + STEP;
        let is_answered = self.reaches(at, now) && self.reaches(at, back);
        let ends = match self.away {
            _ if is_answered => back,
            Away::Busy => now + STEP,
            Away::Silent => now + held + TIMEOUT,
        };
        self.entries[at].call = Some(Call {
            is_by_lot: held == Millis::ZERO,
            ends,
            is_answered,
        });
    }

    fn end_call(&mut self, at: usize, now: Millis) {
        let lot = self.random.random();
        let entry = &mut self.entries[at];
        let Some(call) = entry.call.take_if(|call| call.ends <= now) else {
            return;
        };
        entry.is_platform_lost = !call.is_answered;
        if call.is_answered {
            entry.failures = 0;
            if call.is_by_lot {
                entry.acts_until = now + duty::term(entry.fleet.local_timeout());
            }
            self.confirm(at, now - STEP, now);
        } else {
            entry.failures += 1;
            entry.resumes = now + duty::pause(entry.failures, lot);
        }
    }

    fn confirm(&mut self, at: usize, as_of: Millis, now: Millis) {
        let entry = &mut self.entries[at];
        let spread = entry.fleet.propagation_time();
        let was_stale = duty::is_stale(now - entry.as_of, spread);
        entry.as_of = entry.as_of.max(as_of);
        if was_stale && !duty::is_stale(now - entry.as_of, spread) {
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
        let is_cut = self.cut_off == Some(from) || self.cut_off == Some(to);
        if is_cut && AWAY.contains(&now.0) {
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
            ..member(message.from)
        };
        let entry = &mut self.entries[message.to];
        entry.fleet.record_contact(sender, now);
        let own_age = now - entry.as_of;
        let spread = entry.fleet.propagation_time();
        if let Some(asked) = message.answers {
            self.confirm(message.to, asked - message.age, now);
            return;
        }
        // The answer's age counts from the moment of the question.
        self.send(message.to, message.from, Some(now - STEP), now);
        if duty::asks_back(own_age, message.age, spread) {
            self.send(message.to, message.from, None, now);
        }
    }
}

/// An entry by its number, which is the port of its address too; in five data centres.
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
    }
}

/// The calls of a fleet whose platform is away for eight seconds do not grow with it, and
/// once it is back, all plans are confirmed at once.
#[rstest]
// Of six, each may be waiting for an answer that does not come, and pause after that.
#[case::few(6, Millis(2_000))]
#[case::tens(80, Millis(400))]
#[case::hundreds(295, Millis(400))]
fn a_platform_that_is_away_is_asked_by_few(
    #[case] entries: usize,
    #[case] soon: Millis,
    #[values(Away::Busy, Away::Silent)] away: Away,
) {
    let mut world = World::new(entries, away, |_| true, 1);
    world.play();
    let confirmed = world.all_fresh_at - Millis(AWAY.end);
    println!(
        "calls: {}, of these while away: {}, all confirmed after {confirmed}",
        world.calls, world.calls_while_away
    );
    assert!(world.calls_while_away <= 120, "{}", world.calls_while_away);
    assert!(confirmed <= soon, "{confirmed}");
}

/// Entries that the platform turns away, the readers among them, learn from the others in
/// time for requests with keys.
#[rstest]
#[case::a_third(|at| at % 3 == 0)]
#[case::the_first_of_all(|at| at < 60)]
#[case::nine_of_ten(|at| at % 10 != 9)]
fn entries_that_are_turned_away_learn_from_others(
    #[case] is_shut_out: fn(usize) -> bool,
    #[values(6, 295)] entries: usize,
    #[values(Away::Busy, Away::Silent)] away: Away,
) {
    let mut world = World::new(entries, away, is_shut_out, 1);
    world.play();
    println!(
        "calls: {}, of these while away: {}, oldest plan: {}",
        world.calls, world.calls_while_away, world.oldest
    );
    let nobody_is_served = (0..entries).all(is_shut_out);
    assert!(nobody_is_served || world.oldest < TRUST, "{}", world.oldest);
    assert!(world.calls_while_away <= 150, "{}", world.calls_while_away);
}

/// An entry that hears no other one does not wait for its lot.
#[test]
fn an_entry_that_is_cut_off_from_the_others_asks_for_itself() {
    let mut world = World::new(295, Away::Busy, |_| false, 1);
    world.cut_off = Some(200);
    world.play();
    assert!(world.oldest < TRUST, "{}", world.oldest);
}
