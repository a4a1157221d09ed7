//! Thousands of engines, and entries that each see a small part of the demand.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::{DataCentre, Life};
use woodgap_core::relay::engine::LoadBalancer;
use woodgap_core::relay::roster::Endpoint;

use crate::engine::{caption, narration, profile};
use crate::roster::endpoint;

/// The size of the users' whole fleet, in five data centres.
const FLEET: usize = 9_713;

fn engines(count: usize) -> Vec<Endpoint> {
    let engine = |at: usize| Endpoint {
        data_centre: DataCentre::from(format!("dub-{}", at % 5)),
        ..endpoint(&format!("i-{at}"))
    };
    (0..count).map(engine).collect()
}

fn entry(at: usize) -> LoadBalancer {
    LoadBalancer::new(DataCentre::from(format!("dub-{}", at % 5)), at as u64)
}

/// The engines in use at an entry.
fn active_subset(balancer: &mut LoadBalancer, engines: &[Endpoint], now: u64) -> Vec<Life> {
    let work = caption(1, 2);
    let used = balancer.active_subset(engines.iter().collect(), &profile(&work), 1, Millis(now));
    used.into_iter().map(|it| it.life.clone()).collect()
}

fn add_demand(balancer: &mut LoadBalancer, engines: &[Endpoint], prompts: u64, now: u64) {
    for number in 0..prompts {
        let work = caption(number + 1_000, number + 100_000);
        let choice = balancer.choose(&[&engines[0]], &profile(&work), Millis(now));
        let ticket = balancer.begin(&choice.unwrap(), &profile(&work), Millis(now));
        balancer.end(&ticket, Millis(now));
    }
}

/// A few hundred requests of a hundred entries go to few engines in all data centres, and none
/// of these gets more requests than it has slots.
#[test]
fn entries_use_the_same_engines_without_coordination() {
    let engines = engines(FLEET);
    let mut chosen: BTreeMap<Life, usize> = BTreeMap::new();
    for at in 0..100 {
        let mut balancer = entry(at);
        for number in 0..3 {
            let own = (at * 3 + number) as u64 + 5_000;
            let work = if number == 0 {
                narration(own)
            } else {
                caption(own % 20, own)
            };
            let profile = profile(&work);
            let used = balancer.active_subset(engines.iter().collect(), &profile, 985, Millis(5));
            let choice = balancer.choose(&used, &profile, Millis(5)).unwrap();
            balancer.begin(&choice, &profile, Millis(5));
            *chosen.entry(choice.endpoint.life).or_default() += 1;
        }
    }
    assert!(chosen.len() <= 256, "{} engines", chosen.len());
    assert!(chosen.values().all(|count| *count <= 64), "{chosen:?}");
}

/// The engines in use at low demand stay in use at higher demand, and are spread over all data
/// centres.
#[test]
fn the_subset_grows_at_once() {
    let engines = engines(FLEET);
    let mut balancer = entry(0);
    let few: BTreeSet<_> = active_subset(&mut balancer, &engines, 0)
        .into_iter()
        .collect();
    add_demand(&mut balancer, &engines, 3_000, 10);
    let needed = balancer.engines_needed("engines", 1, Millis(10));
    let many: BTreeSet<_> = active_subset(&mut balancer, &engines, 10)
        .into_iter()
        .collect();
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

/// Bursts come in series: the subset shrinks only after a long time of low demand.
#[test]
fn the_subset_shrinks_slowly() {
    let engines = engines(FLEET);
    let mut balancer = entry(0);
    active_subset(&mut balancer, &engines, 0);
    add_demand(&mut balancer, &engines, 3_000, 10);
    let many = active_subset(&mut balancer, &engines, 10).len();
    assert!(many > 256);
    assert_eq!(active_subset(&mut balancer, &engines, 25_000).len(), many);
    let times = (1..=20).map(|step| 40_000 + step * 31_000);
    let counts: Vec<_> = times
        .map(|now| active_subset(&mut balancer, &engines, now).len())
        .collect();
    assert!(
        counts
            .iter()
            .zip(&counts[1..])
            .all(|(one, next)| next <= one && *next >= one / 2)
    );
    assert_eq!(counts.last(), Some(&256));
}

/// Engines of the subset that are gone are replaced by the next ones in order; the others
/// stay.
#[test]
fn lost_engines_are_replaced_by_the_next_ones() {
    let all = engines(FLEET);
    let mut balancer = entry(0);
    let before: BTreeSet<_> = active_subset(&mut balancer, &all, 0).into_iter().collect();
    let lost: BTreeSet<_> = before.iter().step_by(3).cloned().collect();
    let left: Vec<_> = all
        .into_iter()
        .filter(|it| !lost.contains(&it.life))
        .collect();
    let after: BTreeSet<_> = active_subset(&mut balancer, &left, 1).into_iter().collect();
    assert_eq!(after.len(), before.len());
    assert_eq!(before.difference(&after).count(), lost.len());
}

/// Small services and plain services use all their endpoints.
#[rstest]
#[case::small(256, true)]
#[case::plain(2_000, false)]
fn small_and_plain_services_use_all_endpoints(#[case] count: usize, #[case] has_engines: bool) {
    let engines = engines(count);
    let work = caption(1, 2);
    let mut profile = profile(&work);
    if !has_engines {
        (profile.work, profile.engine) = (None, None);
    }
    let used = entry(0).active_subset(engines.iter().collect(), &profile, 9, Millis(1));
    assert_eq!(used.len(), count);
}
