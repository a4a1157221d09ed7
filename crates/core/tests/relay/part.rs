//! Thousands of engines before entries that each see little of what is asked.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::{DataCentre, Life};
use woodgap_core::relay::engine::Loads;
use woodgap_core::relay::roster::Endpoint;

use crate::engine::{ask, caption, narration};
use crate::roster::endpoint;

/// As many engines as the whole fleet of the users has, in five data centres.
const FLEET: usize = 9_713;

fn engines(count: usize) -> Vec<Endpoint> {
    let engine = |at: usize| Endpoint {
        data_centre: DataCentre::from(format!("dub-{}", at % 5)),
        ..endpoint(&format!("i-{at}"))
    };
    (0..count).map(engine).collect()
}

fn entry(at: usize) -> Loads {
    Loads::new(DataCentre::from(format!("dub-{}", at % 5)), at as u64)
}

/// The engines in use at an entry before the first of these engines, where it has been asked for
/// so many long prompts in the last moments.
fn in_use(loads: &mut Loads, engines: &[Endpoint], now: u64) -> Vec<Life> {
    let work = caption(1, 2);
    let used = loads.in_use(engines.iter().collect(), &ask(&work), 1, Millis(now));
    used.into_iter().map(|it| it.life.clone()).collect()
}

fn add_demand(loads: &mut Loads, engines: &[Endpoint], prompts: u64, now: u64) {
    for number in 0..prompts {
        let work = caption(number + 1_000, number + 100_000);
        let choice = loads.choose(&[&engines[0]], &ask(&work), Millis(now));
        let ticket = loads.begin(&choice.unwrap(), &ask(&work), Millis(now));
        loads.end(&ticket, Millis(now));
    }
}

/// A few hundred requests of a hundred entries meet at few engines, spread over all data
/// centres, none of which gets more than it has places for.
#[test]
fn entries_use_the_same_engines_without_asking() {
    let engines = engines(FLEET);
    let mut chosen: BTreeMap<Life, usize> = BTreeMap::new();
    for at in 0..100 {
        let mut loads = entry(at);
        for number in 0..3 {
            let own = (at * 3 + number) as u64 + 5_000;
            let work = if number == 0 {
                narration(own)
            } else {
                caption(own % 20, own)
            };
            let ask = ask(&work);
            let used = loads.in_use(engines.iter().collect(), &ask, 985, Millis(5));
            let choice = loads.choose(&used, &ask, Millis(5)).unwrap();
            loads.begin(&choice, &ask, Millis(5));
            *chosen.entry(choice.endpoint.life).or_default() += 1;
        }
    }
    assert!(chosen.len() <= 256, "{} engines", chosen.len());
    assert!(chosen.values().all(|count| *count <= 64), "{chosen:?}");
}

/// What is in use with less demand is in use with more, in every data centre.
#[test]
fn more_engines_are_used_at_once_when_more_are_needed() {
    let engines = engines(FLEET);
    let mut loads = entry(0);
    let few: BTreeSet<_> = in_use(&mut loads, &engines, 0).into_iter().collect();
    add_demand(&mut loads, &engines, 3_000, 10);
    let needed = loads.engines_needed("engines", 1, Millis(10));
    let many: BTreeSet<_> = in_use(&mut loads, &engines, 10).into_iter().collect();
    assert!(few.is_subset(&many));
    assert!(
        many.len() as f64 >= needed * 3.0,
        "{} of {needed}",
        many.len()
    );
    assert!(
        (many.len() as f64) < needed * 6.0 + 1.0,
        "{} of {needed}",
        many.len()
    );
    let place = |life: &Life| {
        let known = engines.iter().find(|it| it.life == *life);
        known.unwrap().data_centre.clone()
    };
    let places: BTreeSet<_> = few.iter().map(place).collect();
    assert_eq!(places.len(), 5);
}

/// Bursts come in series: fewer are used only after the demand was low for long.
#[test]
fn fewer_engines_are_used_slowly() {
    let engines = engines(FLEET);
    let mut loads = entry(0);
    in_use(&mut loads, &engines, 0);
    add_demand(&mut loads, &engines, 3_000, 10);
    let many = in_use(&mut loads, &engines, 10).len();
    assert!(many > 256);
    assert_eq!(in_use(&mut loads, &engines, 25_000).len(), many);
    let times = (1..=20).map(|step| 40_000 + step * 31_000);
    let counts: Vec<_> = times
        .map(|now| in_use(&mut loads, &engines, now).len())
        .collect();
    assert!(
        counts
            .iter()
            .zip(&counts[1..])
            .all(|(one, next)| next <= one && *next >= one / 2)
    );
    assert_eq!(counts.last(), Some(&256));
}

/// The engines in use that are gone are replaced by the next ones, and the others stay.
#[test]
fn lost_engines_are_replaced_by_the_next_ones() {
    let all = engines(FLEET);
    let mut loads = entry(0);
    let before: BTreeSet<_> = in_use(&mut loads, &all, 0).into_iter().collect();
    let lost: BTreeSet<_> = before.iter().step_by(3).cloned().collect();
    let left: Vec<_> = all
        .into_iter()
        .filter(|it| !lost.contains(&it.life))
        .collect();
    let after: BTreeSet<_> = in_use(&mut loads, &left, 1).into_iter().collect();
    assert_eq!(after.len(), before.len());
    assert_eq!(before.difference(&after).count(), lost.len());
}

/// Small services, and plain ones, use all that they have.
#[rstest]
#[case::small(256, true)]
#[case::plain(2_000, false)]
fn others_use_all_endpoints(#[case] count: usize, #[case] has_engines: bool) {
    let engines = engines(count);
    let work = caption(1, 2);
    let mut ask = ask(&work);
    if !has_engines {
        (ask.work, ask.engine) = (None, None);
    }
    let used = entry(0).in_use(engines.iter().collect(), &ask, 9, Millis(1));
    assert_eq!(used.len(), count);
}
