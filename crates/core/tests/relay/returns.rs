//! Planned retries of refused callers, replayed on a test clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::Entry;
use woodgap_core::relay::prefix::mix;
use woodgap_core::relay::scheduling::queue::{Decision, Queue};
use woodgap_core::relay::scheduling::returns::{Answer, Claim, Planner, Registry, Standing};
use woodgap_core::relay::warming::Ring;

use crate::queue::{RATE, applicant, arrivals, queue};

/// How long a caller waits.
const PATIENCE: u64 = 1_500;

/// When a caller retries, as a difference from the announced time in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    AsTold,
    /// Once early, then as told.
    Early(u64),
    Late(u64),
    /// Every 20 ms, whatever is announced.
    Ignoring,
}

#[derive(Debug)]
struct Caller {
    arrived: u64,
    manner: Manner,
    tries: u32,
    /// Whether its retry was promised, and when it is due.
    told: (bool, u64),
    /// Whether a promised retry came within what counts as the announced time.
    has_kept: bool,
    is_served: bool,
}

/// Three entries and their callers; the last entries may not answer claims.
struct Fleet {
    entries: Vec<(Queue, Planner, Registry)>,
    owners: usize,
    callers: Vec<Caller>,
    /// The callers that try at a time.
    tries: BinaryHeap<Reverse<(u64, usize)>>,
    random: ChaCha8Rng,
    claims: u64,
}

fn names(count: usize) -> Vec<Entry> {
    (0..count)
        .map(|it| Entry::from(format!("front-dub-{it}")))
        .collect()
}

fn ring(names: &[Entry], own: usize) -> Ring {
    Ring::new(&names[own], names.iter().filter(|it| **it != names[own]))
}

/// The entry that owns the promise of a caller.
fn owner(caller: usize) -> usize {
    let (names, key) = (names(3), mix(7, caller as u64));
    let owner = ring(&names, 0).owner(key).clone();
    names.iter().position(|it| *it == owner).unwrap()
}

fn claim(number: u64, key: u64, due: Millis, is_promised: bool) -> Claim {
    Claim {
        number,
        key,
        due,
        is_promised,
    }
}

impl Fleet {
    /// Serves callers that come at these times, every second one in this manner.
    fn serve(times: &[u64], manner: Manner, owners: usize, seed: u64) -> Self {
        let caller = |(number, at): (usize, &u64)| Caller {
            arrived: *at,
            manner: [Manner::AsTold, manner][number % 2],
            tries: 0,
            told: (false, 0),
            has_kept: false,
            is_served: false,
        };
        let entry = |_| (queue(), Planner::default(), Registry::default());
        let mut fleet = Self {
            entries: (0..3).map(entry).collect(),
            owners,
            callers: times.iter().enumerate().map(caller).collect(),
            tries: times
                .iter()
                .zip(0..)
                .map(|(at, it)| Reverse((*at, it)))
                .collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            claims: 0,
        };
        while fleet.step() {}
        fleet
    }

    fn step(&mut self) -> bool {
        let due = |it: &usize| self.entries[*it].0.next_deadline();
        let next = (0..3).filter_map(|it| Some((due(&it)?.0, it))).min();
        let first = self.tries.peek().map(|it| it.0.0);
        if let Some((now, entry)) = next.filter(|it| first.is_none_or(|first| it.0 <= first)) {
            let mut out = Vec::new();
            self.entries[entry].0.advance(Millis(now), &mut out);
            self.decide(entry, &out, now);
        } else if let Some(Reverse((now, number))) = self.tries.pop() {
            let entry = self.random.random_range(0..3);
            let caller = &mut self.callers[number];
            if !caller.is_served && now < caller.arrived + PATIENCE {
                caller.tries += 1;
                let (is_promised, due) = caller.told;
                caller.has_kept |= is_promised && now + 100 >= due && now <= due + 500;
                self.offer(entry, number, false, now);
            }
        } else {
            return false;
        }
        true
    }

    fn offer(&mut self, entry: usize, caller: usize, has_returned: bool, now: u64) {
        // Callers that behave alike are of one workspace.
        let is_told = self.callers[caller].manner == Manner::AsTold;
        let mut applicant = applicant(caller as u64, if is_told { "murphy" } else { "oneill" });
        applicant.has_returned = has_returned;
        let mut out = Vec::new();
        self.entries[entry]
            .0
            .offer(&applicant, 1.0, Millis(now), &mut out);
        self.decide(entry, &out, now);
    }

    fn decide(&mut self, entry: usize, out: &[Decision], now: u64) {
        for decision in out {
            match *decision {
                Decision::Admit(it) => self.callers[usize::try_from(it).unwrap()].is_served = true,
                Decision::Refuse(it, _) => self.refuse(entry, usize::try_from(it).unwrap(), now),
            }
        }
    }

    fn refuse(&mut self, entry: usize, number: usize, now: u64) {
        let sample = self.random.random();
        let remaining = Millis(self.callers[number].arrived + PATIENCE) - Millis(now);
        let planned = self.entries[entry]
            .1
            .plan(1.0, remaining, RATE, sample, Millis(now));
        self.claims += 1;
        let key = mix(7, number as u64);
        let claim = claim(self.claims, key, planned.after, planned.is_promised);
        let owner = owner(number);
        let standing = if owner < self.owners {
            self.entries[owner].2.claim(&claim, Millis(now)).standing
        } else {
            Standing::New
        };
        if standing != Standing::New {
            self.entries[entry].1.cancel(&planned);
        }
        match standing {
            Standing::New => self.tell(number, planned.is_promised, now + planned.after.0, now),
            Standing::Early(left) => self.tell(number, true, now + left.0, now),
            Standing::Repeated => self.tell(number, false, now + planned.after.0, now),
            Standing::AsTold => self.offer(entry, number, true, now),
        }
    }

    fn tell(&mut self, number: usize, is_promised: bool, due: u64, now: u64) {
        let caller = &mut self.callers[number];
        let retry = match (caller.manner, caller.tries) {
            (Manner::Ignoring, _) => now + 20,
            (Manner::Early(by), 1) => due.saturating_sub(by).max(now + 1),
            (Manner::AsTold, 1) | (Manner::Early(_), 2) => due,
            (Manner::Late(by), 1) => due + by,
            _ => return,
        };
        caller.told = (is_promised, due);
        self.tries.push(Reverse((retry, number)));
    }

    /// The served part of the callers for which `filter` holds, and their number.
    fn served(&self, filter: impl Fn(usize, &Caller) -> bool) -> (f64, usize) {
        let callers = self.callers.iter().enumerate();
        let callers: Vec<_> = callers.filter(|(number, it)| filter(*number, it)).collect();
        let served = callers.iter().filter(|(_, it)| it.is_served).count();
        (served as f64 / callers.len().max(1) as f64, callers.len())
    }
}

/// Callers who come when they are told and are refused again, also beside others who don't, at 1.6
/// times the rate; and promises that are lost with the owner of others.
#[rstest]
#[case::all_as_told(Manner::AsTold, 3)]
#[case::early(Manner::Early(200), 3)]
#[case::a_little_late(Manner::Late(300), 3)]
#[case::too_late(Manner::Late(700), 3)]
#[case::ignoring(Manner::Ignoring, 3)]
#[case::owner_gone(Manner::AsTold, 2)]
fn promised_retries_are_served(
    #[case] manner: Manner,
    #[case] owners: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let times = arrivals(1.6 * 3.0 * RATE, 60, seed);
    let fleet = Fleet::serve(&times, manner, owners, seed);
    let is_told = |it: &Caller| it.manner == Manner::AsTold;
    let kept = fleet.served(|number, it| is_told(it) && it.has_kept && owner(number) < owners);
    let others_kept = fleet.served(|_, it| !is_told(it) && it.has_kept);
    let lost = fleet.served(|number, it| it.has_kept && owner(number) >= owners);
    let unpromised = fleet.served(|_, it| is_told(it) && it.tries > 1 && !it.has_kept);
    let (told, others) = (
        fleet.served(|_, it| is_told(it)),
        fleet.served(|_, it| !is_told(it)),
    );
    println!(
        "{manner:?} of {owners} owners, seed {seed}: promised {kept:.3?}, of others \
         {others_kept:.3?}, of lost owners {lost:.3?}, unpromised {unpromised:.3?}, as told \
         {told:.3?}, others {others:.3?}, claims {}",
        fleet.claims
    );
    assert!(kept.1 > 300 && kept.0 >= 0.75, "{kept:?}");
    if matches!(manner, Manner::Early(_) | Manner::Late(300)) {
        assert!(
            others_kept.1 > 300 && others_kept.0 >= 0.75,
            "{others_kept:?}"
        );
    }
}

/// Callers who are refused together and then come together again.
#[rstest]
fn a_burst_returns_spread(#[values(1, 2, 3)] seed: u64) {
    let fleet = Fleet::serve(&[1_000; 300], Manner::AsTold, 3, seed);
    let (kept, count) = fleet.served(|_, it| it.has_kept);
    println!(
        "seed {seed}: promised {kept:.3} of {count}, all {:.3?}",
        fleet.served(|_, _| true)
    );
    assert!(count > 5 && kept >= 0.75, "{kept} of {count}");
}

/// What a claim for the same request is worth, by the time at which it comes.
#[rstest]
#[case::too_early(true, 299, Standing::Early(Millis(101)))]
#[case::early_enough(true, 300, Standing::AsTold)]
#[case::late_enough(true, 900, Standing::AsTold)]
#[case::too_late(true, 901, Standing::Repeated)]
#[case::without_promise(false, 400, Standing::Repeated)]
#[case::forgotten(true, 5_000, Standing::New)]
fn a_retry_has_the_standing_of_its_time(
    #[case] is_promised: bool,
    #[case] now: u64,
    #[case] standing: Standing,
) {
    let mut registry = Registry::default();
    let mut ask = |number, now| {
        let claim = claim(number, 7, Millis(400), is_promised);
        registry.claim(&claim, Millis(now))
    };
    assert_eq!(ask(1, 0).standing, Standing::New);
    // Duplicates, also delayed ones, get the same answer and change nothing.
    assert_eq!(
        ask(2, now),
        Answer {
            number: 2,
            standing
        }
    );
    if standing == Standing::AsTold {
        assert_eq!(ask(1, now).standing, Standing::New);
        assert_eq!(ask(2, now).standing, standing);
        assert_eq!(ask(3, now).standing, Standing::Repeated);
    }
}

/// A registry that grows without bound, or that evicts the newest promises.
#[test]
fn the_oldest_promises_are_evicted_first() {
    let mut registry = Registry::default();
    let mut ask = |number, key, now| {
        let answer = registry.claim(&claim(number, key, Millis(400), true), Millis(now));
        (answer.standing, registry.len())
    };
    for key in 0..20_001 {
        ask(key, key, key / 100);
    }
    assert_eq!(ask(90_000, 1, 420), (Standing::AsTold, 20_000));
    assert_eq!(ask(90_001, 0, 420), (Standing::New, 20_000));
}

/// Entries that ask different owners, and an owner that is asked far more than others.
#[test]
fn all_entries_name_the_same_owner() {
    let names = names(400);
    let (first, other) = (ring(&names, 0), ring(&names, 217));
    let partial = ring(&[&names[..9], &names[10..]].concat(), 0);
    let mut counts = BTreeMap::new();
    for key in (0..40_000).map(|it| mix(3, it)) {
        let owner = first.owner(key);
        assert_eq!(owner, other.owner(key));
        // An entry that does not know another disagrees about the keys of that entry only.
        assert!(partial.owner(key) == owner || *owner == names[9]);
        *counts.entry(owner).or_insert(0) += 1;
    }
    let largest = *counts.values().max().unwrap();
    println!("largest part {largest} of a mean of 100");
    assert!(largest <= 200, "{largest}");
}

/// Messages that outgrow their part of an entry's traffic.
#[test]
fn claims_and_answers_are_small() {
    let standing = Standing::Early(Millis(5_000));
    let claim = postcard::to_stdvec(&claim(u64::MAX, u64::MAX, Millis(5_000), true)).unwrap();
    let answer = Answer {
        number: u64::MAX,
        standing,
    };
    let answer = postcard::to_stdvec(&answer).unwrap();
    println!("{} and {} bytes", claim.len(), answer.len());
    assert!(claim.len() <= 24 && answer.len() <= 16);
}

proptest! {
    /// More is promised than a quarter of the rate, beyond one request, within any span of time,
    /// or a caller is told to come when it has gone.
    #[test]
    fn promises_stay_within_a_quarter_of_the_rate(
        steps in prop::collection::vec((0.0..5.0, 0..9_000_u64, 0..90_u64, 0..4_u8), 1..200),
    ) {
        let (mut planner, mut now, mut kept) = (Planner::default(), 0, Vec::new());
        for (cost, remaining, span, cancel) in steps {
            now += span;
            let planned = planner.plan(cost, Millis(remaining), RATE, 0.5, Millis(now));
            // A caller without a promise is told about when it gives up.
            let latest = if planned.is_promised { remaining / 3 } else { remaining };
            prop_assert!(planned.after.0 <= latest);
            prop_assert!(planned.is_promised || planned.after.0 * 5 >= remaining * 4);
            prop_assert!(!planned.is_promised || planned.after.0 >= 50);
            if planned.is_promised && cancel == 0 {
                planner.cancel(&planned);
            } else if planned.is_promised {
                kept.push((now + planned.after.0, cost));
            }
        }
        kept.sort_by(|one, two| one.partial_cmp(two).unwrap());
        for (first, (from, _)) in kept.iter().enumerate() {
            let mut cost = 0.0;
            for (to, next) in &kept[first..] {
                // Announced times are rounded up to whole ms.
                let quarter = RATE / 4.0 * (to - from + 1) as f64 / 1_000.0;
                prop_assert!(cost <= quarter + 1e-6, "{cost} within {} ms", to - from);
                cost += next;
            }
        }
    }
}
