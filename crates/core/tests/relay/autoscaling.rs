//! How many endpoints run, against a platform that starts, takes away and refuses them.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::DataCentre;
use woodgap_core::relay::autoscaling::{
    Autoscaler, EndpointCount, EndpointCounts, Observation, cheapest_allocation, guaranteed,
};
use woodgap_core::relay::plan::Scaling;

/// The time between two looks.
const LOOK: Millis = Millis(100);

fn scaling(price: Option<f64>) -> Scaling {
    let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
    Scaling {
        least: 1,
        most: 40,
        boot: Millis(4_000),
        reclaimable_price: price,
        prices: prices
            .map(|(at, price)| (DataCentre::from(at), price))
            .into(),
    }
}

/// Endpoints of one kind in one data centre.
#[derive(Clone, Debug, Default)]
struct Group {
    wanted: u32,
    /// When each began to start.
    running: Vec<Millis>,
}

/// The platform, as the users describe theirs.
struct Platform {
    scaling: Scaling,
    groups: BTreeMap<(DataCentre, bool), Group>,
    now: Millis,
    dry_until: Millis,
    /// Data centres where nothing may be sent.
    evacuated: Vec<DataCentre>,
    orders: Vec<Millis>,
    refused: usize,
    /// Endpoints times ms, at their price.
    paid: f64,
}

impl Platform {
    fn new(scaling: Scaling, on_demand: u32) -> Self {
        let group = Group {
            wanted: on_demand,
            running: (0..on_demand).map(|_| Millis::ZERO).collect(),
        };
        let places = scaling.prices.keys();
        let groups = places.map(|at| ((at.clone(), false), group.clone()));
        Self {
            groups: groups.collect(),
            scaling,
            // All that runs at first has started long ago.
            now: Millis(100_000),
            dry_until: Millis::ZERO,
            evacuated: Vec::new(),
            orders: Vec::new(),
            refused: 0,
            paid: 0.0,
        }
    }

    fn running(&self) -> EndpointCounts {
        let places = self.scaling.prices.keys();
        let up = |at: &DataCentre, is_reclaimable: bool| {
            let group = self.groups.get(&(at.clone(), is_reclaimable));
            let ready = |began: &&Millis| **began + self.scaling.boot <= self.now;
            let up = group.map_or(0, |group| group.running.iter().filter(ready).count());
            u32::try_from(up).unwrap()
        };
        let counts = places.map(|at| {
            let count = EndpointCount {
                on_demand: up(at, false),
                reclaimable: up(at, true),
            };
            (at.clone(), count)
        });
        counts.collect()
    }

    fn total(&self) -> u32 {
        self.running().values().map(|it| it.all()).sum()
    }

    /// All of a data centre's reclaimable endpoints are taken away, and there are none to be had
    /// for a while.
    fn reclaim(&mut self, at: &str, dry: Millis) {
        let group = self.groups.entry((DataCentre::from(at), true));
        group.or_default().running.clear();
        self.dry_until = self.now + dry;
    }

    /// One look of whoever sizes the service.
    fn look(&mut self, sizing: &mut Autoscaler, demand: f64) {
        let mut running = self.running();
        let mut scaling = self.scaling.clone();
        let mut idle = EndpointCounts::new();
        for at in &self.evacuated {
            scaling.prices.remove(at);
            idle.extend(running.remove_entry(at));
        }
        let sight = Observation {
            scaling: &scaling,
            running: &running,
            idle: &idle,
            demand,
            headroom: 1.3,
        };
        while let Some(wish) = sizing.next(&sight, self.now) {
            self.orders.push(self.now);
            if wish.is_reclaimable && self.now < self.dry_until {
                self.refused += 1;
                sizing.refused(&wish, self.now);
                continue;
            }
            let group = (wish.data_centre.clone(), wish.is_reclaimable);
            self.groups.entry(group).or_default().wanted = wish.count;
            sizing.accepted(&wish, self.now);
        }
        self.carry_out();
        self.now = self.now + LOOK;
    }

    fn carry_out(&mut self) {
        let now = self.now;
        let is_dry = now < self.dry_until;
        let part = self.scaling.reclaimable_price.unwrap_or(1.0);
        for ((at, is_reclaimable), group) in &mut self.groups {
            let wanted = usize::try_from(group.wanted).unwrap();
            group.running.truncate(wanted);
            let may_start = !(*is_reclaimable && is_dry);
            if may_start {
                group.running.resize(wanted, now);
            }
            let price = self.scaling.prices[at] * if *is_reclaimable { part } else { 1.0 };
            self.paid += price * group.running.len() as f64 * LOOK.0 as f64;
        }
    }

    fn run(&mut self, sizing: &mut Autoscaler, span: Millis, demand: f64) {
        let until = self.now + span;
        while self.now < until {
            self.look(sizing, demand);
        }
    }
}

/// The lowest number of endpoints over a span.
fn lowest(platform: &mut Platform, sizing: &mut Autoscaler, span: Millis, demand: f64) -> u32 {
    let until = platform.now + span;
    let mut lowest = u32::MAX;
    while platform.now < until {
        platform.look(sizing, demand);
        lowest = lowest.min(platform.total());
    }
    lowest
}

/// What operators began with goes on to be there while cheaper ones take its place.
#[test]
fn cheaper_endpoints_take_the_place_of_those_found() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut sizing = Autoscaler::default();
    let lowest = lowest(&mut platform, &mut sizing, Millis(20_000), 10.0);
    assert!(lowest >= 60, "only {lowest} were there");
    let running = platform.running();
    assert!(running.values().all(|it| it.on_demand == 0), "{running:?}");
    assert!(guaranteed(&running) >= 60, "{running:?}");
    // Three stages at three data centres, two kinds.
    assert!(
        platform.orders.len() <= 18,
        "{} orders",
        platform.orders.len()
    );
}

/// The worst that the platform is known to do: a data centre's reclaimable endpoints all go, and
/// there are none to be had for 11 s.
#[rstest]
#[case::reclaimable_ones_cost_little(Some(0.15))]
#[case::reclaimable_ones_cost_nearly_the_same(Some(0.9))]
fn a_reclaim_leaves_what_was_assured(#[case] price: Option<f64>) {
    let mut platform = Platform::new(scaling(price), 20);
    let mut sizing = Autoscaler::default();
    platform.run(&mut sizing, Millis(25_000), 40.0);
    let before = guaranteed(&platform.running());
    platform.reclaim("a", Millis(11_000));
    let lowest = lowest(&mut platform, &mut sizing, Millis(11_000), 40.0);
    assert!(lowest >= before.min(60), "{lowest} of {before}");
    let refused = platform.refused;
    assert!(refused <= 12, "{refused} orders in vain");
    platform.run(&mut sizing, Millis(10_000), 40.0);
    assert!(
        guaranteed(&platform.running()) >= 52,
        "{:?}",
        platform.running()
    );
}

/// Two data centres lose theirs one after the other, so that the demand is no longer covered:
/// endpoints that stay are ordered in their place, and leave when the cheap ones are back.
#[test]
fn what_stays_takes_the_place_of_what_cannot_be_had() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut sizing = Autoscaler::default();
    platform.run(&mut sizing, Millis(25_000), 50.0);
    platform.reclaim("a", Millis(11_000));
    platform.run(&mut sizing, Millis(2_000), 50.0);
    platform.reclaim("c", Millis(11_000));
    platform.run(&mut sizing, Millis(10_500), 50.0);
    let total = platform.total();
    assert!(total >= 50, "only {total} run");
    platform.run(&mut sizing, Millis(25_000), 50.0);
    let running = platform.running();
    assert!(running.values().all(|it| it.on_demand == 0), "{running:?}");
}

/// A burst of three times the demand is met by the reserve, or by what starts within the time
/// that an endpoint takes.
#[test]
fn a_burst_brings_as_many_as_there_can_be() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut sizing = Autoscaler::default();
    platform.run(&mut sizing, Millis(25_000), 30.0);
    platform.run(&mut sizing, Millis(6_000), 90.0);
    assert!(platform.total() >= 117, "only {} run", platform.total());
}

/// When the demand falls to a tenth, so do the endpoints, by steps.
#[test]
fn few_are_kept_for_little_demand() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut sizing = Autoscaler::default();
    platform.run(&mut sizing, Millis(30_000), 60.0);
    let orders = platform.orders.len();
    platform.run(&mut sizing, Millis(60_000), 6.0);
    let total = platform.total();
    assert!(total <= 18, "{total} run");
    let made = platform.orders.len() - orders;
    // Three for each kind in each data centre.
    assert!(made <= 18, "{made} orders in a minute");
}

/// Demand that sways by a quarter brings few orders.
#[test]
fn numbers_do_not_flap() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut sizing = Autoscaler::default();
    platform.run(&mut sizing, Millis(60_000), 40.0);
    let before = platform.orders.len();
    for second in 0..120_u32 {
        let demand = 40.0 + 10.0 * f64::from(second).sin();
        platform.run(&mut sizing, Millis(1_000), demand);
    }
    let made = platform.orders.len() - before;
    assert!(made <= 18, "{made} orders in two minutes");
}

/// An entry that takes the duties over goes on with what was assured.
#[test]
fn the_next_holder_goes_on() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut first = Autoscaler::default();
    platform.run(&mut first, Millis(30_000), 60.0);
    let before = platform.running();
    let mut next = Autoscaler::resume(first.needed());
    let orders = platform.orders.len();
    platform.run(&mut next, Millis(10_000), 60.0);
    assert_eq!(platform.running(), before);
    assert_eq!(platform.orders.len(), orders);
}

/// A first holder was gone before it had written down what is assured: the next one goes on with
/// what it finds, whatever kind it is of.
#[test]
fn a_holder_that_knows_nothing_keeps_what_runs() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut first = Autoscaler::default();
    platform.run(&mut first, Millis(20_000), 30.0);
    let before = platform.running();
    let mut next = Autoscaler::default();
    let lowest = lowest(&mut platform, &mut next, Millis(10_000), 0.0);
    assert_eq!(platform.running(), before);
    assert!(lowest >= 60, "only {lowest} were there");
}

proptest! {
    /// Whatever operators allow and ask for prices, what is bought assures what is needed, within
    /// the limits, as far as there can be so many.
    #[test]
    fn purchases_assure(
        needed in 0..200_u32,
        least in 0..4_u32,
        most in 4..60_u32,
        price in prop::option::of(0.05..1.0_f64),
        prices in prop::collection::vec(0.5..2.0_f64, 1..6),
    ) {
        let places = prices.iter().enumerate();
        let scaling = Scaling {
            least,
            most,
            boot: Millis(4_000),
            reclaimable_price: price,
            prices: places.map(|(at, price)| (DataCentre::from(format!("dc-{at}")), *price)).collect(),
        };
        let bought = cheapest_allocation(needed, &scaling);
        for count in bought.values() {
            prop_assert!((least..=most).contains(&count.all()), "{:?}", bought);
            prop_assert!(price.is_some() || count.reclaimable == 0);
        }
        let places = u32::try_from(prices.len()).unwrap();
        let possible = if price.is_some() && places > 1 { places - 1 } else { places } * most;
        prop_assert!(guaranteed(&bought) >= needed.min(possible), "{:?}", bought);
    }

    /// While endpoints of one kind take the place of others, two thirds of what was needed for as
    /// long as endpoints take to start are there at any time.
    #[test]
    fn nothing_leaves_too_early(
        demands in prop::collection::vec(1.0..70.0_f64, 1..12),
        boot in 500..9_000_u64,
    ) {
        two_thirds_are_there(&demands, Millis(boot))?;
    }
}

/// Plays demands of five seconds each.
fn two_thirds_are_there(demands: &[f64], boot: Millis) -> Result<(), TestCaseError> {
    let mut scaling = scaling(Some(0.15));
    scaling.boot = boot;
    let mut platform = Platform::new(scaling, 20);
    let mut sizing = Autoscaler::default();
    // The time that an endpoint takes to start, and some looks.
    let start = usize::try_from((boot + Millis(2_000)).0 / LOOK.0).unwrap();
    // What was found.
    let mut needed = vec![60; start];
    for demand in demands {
        for _ in 0..50 {
            platform.look(&mut sizing, *demand);
            needed.push(sizing.needed());
            let of_late = &needed[needed.len() - start..];
            let least = of_late.iter().min().unwrap() * 2 / 3;
            let running = platform.total();
            prop_assert!(running >= least, "{running} of {least}");
        }
    }
    Ok(())
}

/// The demand rises anew after so long a pause that nothing is kept for it any more.
#[rstest]
#[case::to_a_half(30.0)]
#[case::above_what_was_found(70.0)]
fn a_rise_after_a_pause(#[case] risen: f64) {
    let mut demands = vec![1.0; 9];
    demands.extend([risen; 4]);
    two_thirds_are_there(&demands, Millis(500)).unwrap();
}

/// What runs where nothing may be sent is replaced elsewhere first, then given up, and ordered
/// again once that is over.
#[rstest]
#[case::reclaimable_ones_cost_little(Some(0.15))]
#[case::only_kept_ones(None)]
fn an_evacuated_data_centre_is_replaced_and_then_given_up(#[case] price: Option<f64>) {
    let mut platform = Platform::new(scaling(price), 20);
    let mut sizing = Autoscaler::default();
    platform.run(&mut sizing, Millis(40_000), 40.0);
    let place = DataCentre::from("a");
    let here = |platform: &Platform| platform.running()[&place].all();
    let elsewhere = |platform: &Platform| platform.total() - here(platform);
    assert!(here(&platform) > 0);
    platform.evacuated.push(place.clone());
    // The time that an endpoint takes to start, and some looks.
    platform.run(&mut sizing, Millis(6_000), 40.0);
    assert!(elsewhere(&platform) >= 40, "{:?}", platform.running());
    let until = platform.now + Millis(20_000);
    while platform.now < until {
        platform.look(&mut sizing, 40.0);
        let running = platform.running();
        assert!(elsewhere(&platform) >= 40, "{running:?}");
    }
    assert_eq!(here(&platform), 0);
    platform.evacuated.clear();
    platform.run(&mut sizing, Millis(30_000), 40.0);
    assert!(here(&platform) > 0, "it is the cheapest");
    assert!(guaranteed(&platform.running()) >= 40);
}
