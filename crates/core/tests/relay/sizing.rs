//! The autoscaler against a simulated platform that starts, reclaims and refuses endpoints.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::DataCentre;
use woodgap_core::relay::plan::Scaling;
use woodgap_core::relay::sizing::{
    Autoscaler, EndpointCount, EndpointCounts, Observation, cheapest_allocation, guaranteed,
};

/// The time between two steps of the simulation.
const STEP: Millis = Millis(100);

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
    ordered: u32,
    /// When each endpoint started booting.
    running: Vec<Millis>,
}

/// A simulated platform.
struct Platform {
    scaling: Scaling,
    groups: BTreeMap<(DataCentre, bool), Group>,
    now: Millis,
    unavailable_until: Millis,
    /// Evacuated data centres.
    evacuated: Vec<DataCentre>,
    orders: Vec<Millis>,
    refused: usize,
    /// The total cost: endpoints times ms times price.
    cost: f64,
}

impl Platform {
    fn new(scaling: Scaling, on_demand: u32) -> Self {
        let group = Group {
            ordered: on_demand,
            running: (0..on_demand).map(|_| Millis::ZERO).collect(),
        };
        let data_centres = scaling.prices.keys();
        let groups = data_centres.map(|at| ((at.clone(), false), group.clone()));
        Self {
            groups: groups.collect(),
            scaling,
            // The initial endpoints have long been ready.
            now: Millis(100_000),
            unavailable_until: Millis::ZERO,
            evacuated: Vec::new(),
            orders: Vec::new(),
            refused: 0,
            cost: 0.0,
        }
    }

    fn running(&self) -> EndpointCounts {
        let data_centres = self.scaling.prices.keys();
        let ready_count = |at: &DataCentre, is_reclaimable: bool| {
            let group = self.groups.get(&(at.clone(), is_reclaimable));
            let ready = |started: &&Millis| **started + self.scaling.boot <= self.now;
            let ready_count = group.map_or(0, |group| group.running.iter().filter(ready).count());
            u32::try_from(ready_count).unwrap()
        };
        let counts = data_centres.map(|at| {
            let count = EndpointCount {
                on_demand: ready_count(at, false),
                reclaimable: ready_count(at, true),
            };
            (at.clone(), count)
        });
        counts.collect()
    }

    /// The endpoints ordered in a data centre, of both kinds together.
    fn ordered(&self, at: &DataCentre) -> u32 {
        let groups = [true, false].map(|it| self.groups.get(&(at.clone(), it)));
        groups.into_iter().flatten().map(|it| it.ordered).sum()
    }

    fn total(&self) -> u32 {
        self.running().values().map(|it| it.total()).sum()
    }

    /// Reclaims all reclaimable endpoints of a data centre and cancels their order; the platform
    /// refuses new ones anywhere for a while.
    fn reclaim(&mut self, at: &str, outage: Millis) {
        let group = self.groups.entry((DataCentre::from(at), true));
        *group.or_default() = Group::default();
        self.unavailable_until = self.now + outage;
    }

    /// Runs the autoscaler once and places its orders.
    fn step(&mut self, autoscaler: &mut Autoscaler, demand: f64) {
        let mut running = self.running();
        let mut scaling = self.scaling.clone();
        let mut idle = EndpointCounts::new();
        for at in &self.evacuated {
            scaling.prices.remove(at);
            idle.extend(running.remove_entry(at));
        }
        let observation = Observation {
            scaling: &scaling,
            running: &running,
            idle: &idle,
            demand,
            headroom: 1.3,
        };
        while let Some(request) = autoscaler.next(&observation, self.now) {
            self.orders.push(self.now);
            if request.is_reclaimable && self.now < self.unavailable_until {
                self.refused += 1;
                autoscaler.refused(&request, self.now);
                continue;
            }
            let group = (request.data_centre.clone(), request.is_reclaimable);
            self.groups.entry(group).or_default().ordered = request.count;
            let ordered = self.ordered(&request.data_centre);
            assert!(ordered <= self.scaling.most, "{ordered} with {request:?}");
            autoscaler.accepted(&request, self.now);
        }
        self.apply_orders();
        self.now = self.now + STEP;
    }

    fn apply_orders(&mut self) {
        let now = self.now;
        let is_unavailable = now < self.unavailable_until;
        let price_ratio = self.scaling.reclaimable_price.unwrap_or(1.0);
        for ((at, is_reclaimable), group) in &mut self.groups {
            let ordered = usize::try_from(group.ordered).unwrap();
            group.running.truncate(ordered);
            let may_start = !(*is_reclaimable && is_unavailable);
            if may_start {
                group.running.resize(ordered, now);
            }
            let price = self.scaling.prices[at] * if *is_reclaimable { price_ratio } else { 1.0 };
            self.cost += price * group.running.len() as f64 * STEP.0 as f64;
        }
    }

    fn run(&mut self, autoscaler: &mut Autoscaler, span: Millis, demand: f64) {
        let until = self.now + span;
        while self.now < until {
            self.step(autoscaler, demand);
        }
    }
}

/// The lowest number of ready endpoints over a span.
fn lowest(platform: &mut Platform, autoscaler: &mut Autoscaler, span: Millis, demand: f64) -> u32 {
    let until = platform.now + span;
    let mut lowest = u32::MAX;
    while platform.now < until {
        platform.step(autoscaler, demand);
        lowest = lowest.min(platform.total());
    }
    lowest
}

/// The initial capacity stays available while cheaper endpoints replace it.
#[test]
fn cheaper_endpoints_replace_the_initial_ones() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    let lowest = lowest(&mut platform, &mut autoscaler, Millis(20_000), 10.0);
    assert!(lowest >= 60, "only {lowest} were ready");
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

/// The worst known platform failure: all reclaimable endpoints of a data centre are reclaimed, and
/// new ones are unavailable for 11 s.
#[rstest]
#[case::cheap_reclaimable_endpoints(Some(0.15))]
#[case::expensive_reclaimable_endpoints(Some(0.9))]
fn guaranteed_capacity_survives_a_reclaim(#[case] price: Option<f64>) {
    let mut platform = Platform::new(scaling(price), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(25_000), 40.0);
    let before = guaranteed(&platform.running());
    platform.reclaim("a", Millis(11_000));
    let lowest = lowest(&mut platform, &mut autoscaler, Millis(11_000), 40.0);
    assert!(lowest >= before.min(60), "{lowest} of {before}");
    let refused = platform.refused;
    assert!(refused <= 12, "{refused} refused orders");
    platform.run(&mut autoscaler, Millis(10_000), 40.0);
    assert!(
        guaranteed(&platform.running()) >= 52,
        "{:?}",
        platform.running()
    );
}

/// Two data centres lose their reclaimable endpoints in turn, so that the demand is no longer
/// covered: on-demand endpoints replace them, and leave once reclaimable ones are available again.
#[test]
fn on_demand_endpoints_replace_unavailable_ones() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(25_000), 50.0);
    platform.reclaim("a", Millis(11_000));
    platform.run(&mut autoscaler, Millis(2_000), 50.0);
    platform.reclaim("c", Millis(11_000));
    platform.run(&mut autoscaler, Millis(10_500), 50.0);
    let total = platform.total();
    assert!(total >= 50, "only {total} run");
    platform.run(&mut autoscaler, Millis(25_000), 50.0);
    let running = platform.running();
    assert!(running.values().all(|it| it.on_demand == 0), "{running:?}");
}

/// Endpoints fill two data centres to their limits when these lose all of them: on-demand endpoints
/// must not wait for the room of reclaimable ones that cannot be had.
#[test]
fn on_demand_endpoints_take_the_room_of_unavailable_ones() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(25_000), 10.0);
    platform.run(&mut autoscaler, Millis(10_000), 120.0);
    let running = platform.running();
    assert!(
        running.values().all(|it| it.reclaimable == 40),
        "{running:?}"
    );
    platform.reclaim("a", Millis(9_000));
    platform.reclaim("c", Millis(9_000));
    // The boot time and the time until the first order.
    platform.run(&mut autoscaler, Millis(5_000), 120.0);
    let lowest = lowest(&mut platform, &mut autoscaler, Millis(15_000), 120.0);
    assert!(lowest >= 80, "only {lowest} run");
    platform.run(&mut autoscaler, Millis(60_000), 10.0);
    let running = platform.running();
    assert!(running.values().all(|it| it.on_demand == 0), "{running:?}");
}

/// While the remaining endpoints can do all of the work, a full data centre waits for reclaimable
/// ones: on-demand ones in their room cost several times as much and are kept for long.
#[test]
fn a_small_loss_is_not_replaced_by_on_demand_endpoints() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(25_000), 10.0);
    platform.run(&mut autoscaler, Millis(10_000), 120.0);
    platform.reclaim("a", Millis(9_000));
    platform.run(&mut autoscaler, Millis(9_000), 120.0);
    let running = platform.running();
    assert!(running.values().all(|it| it.on_demand == 0), "{running:?}");
}

/// When the demand triples, the reserve and new endpoints cover it within the boot time.
#[test]
fn a_burst_is_served_by_reserve_and_new_endpoints() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(25_000), 30.0);
    platform.run(&mut autoscaler, Millis(6_000), 90.0);
    assert!(platform.total() >= 117, "only {} run", platform.total());
}

/// When the demand falls to a tenth, the number of endpoints follows in a few steps.
#[test]
fn scales_down_after_the_demand_falls() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(30_000), 60.0);
    let orders = platform.orders.len();
    platform.run(&mut autoscaler, Millis(60_000), 6.0);
    let total = platform.total();
    assert!(total <= 18, "{total} run");
    let placed = platform.orders.len() - orders;
    // Three for each kind in each data centre.
    assert!(placed <= 18, "{placed} orders in a minute");
}

/// Demand that fluctuates by a quarter causes few orders.
#[test]
fn fluctuating_demand_causes_few_orders() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(60_000), 40.0);
    let before = platform.orders.len();
    for second in 0..120_u32 {
        let demand = 40.0 + 10.0 * f64::from(second).sin();
        platform.run(&mut autoscaler, Millis(1_000), demand);
    }
    let placed = platform.orders.len() - before;
    assert!(placed <= 18, "{placed} orders in two minutes");
}

/// An entry that takes over the autoscaling resumes with the required capacity of the last one.
#[test]
fn a_new_holder_resumes() {
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

/// If the first holder failed before it stored the required capacity, the next one keeps the
/// running endpoints of both kinds.
#[test]
fn a_new_holder_without_state_keeps_running_endpoints() {
    let mut platform = Platform::new(scaling(Some(0.15)), 20);
    let mut first = Autoscaler::default();
    platform.run(&mut first, Millis(20_000), 30.0);
    let before = platform.running();
    let mut next = Autoscaler::default();
    let lowest = lowest(&mut platform, &mut next, Millis(10_000), 0.0);
    assert_eq!(platform.running(), before);
    assert!(lowest >= 60, "only {lowest} were ready");
}

proptest! {
    /// For any limits and prices, an allocation stays within the limits and guarantees the required
    /// capacity as far as they allow.
    #[test]
    fn allocations_guarantee_the_required_capacity(
        needed in 0..200_u32,
        least in 0..4_u32,
        most in 4..60_u32,
        price in prop::option::of(0.05..1.0_f64),
        prices in prop::collection::vec(0.5..2.0_f64, 1..6),
    ) {
        let data_centres = prices.iter().enumerate();
        let scaling = Scaling {
            least,
            most,
            boot: Millis(4_000),
            reclaimable_price: price,
            prices: data_centres.map(|(at, price)| (DataCentre::from(format!("dc-{at}")), *price)).collect(),
        };
        let allocation = cheapest_allocation(needed, &scaling);
        for count in allocation.values() {
            prop_assert!((least..=most).contains(&count.total()), "{:?}", allocation);
            prop_assert!(price.is_some() || count.reclaimable == 0);
        }
        let data_centres = u32::try_from(prices.len()).unwrap();
        let attainable = if price.is_some() && data_centres > 1 { data_centres - 1 } else { data_centres } * most;
        prop_assert!(guaranteed(&allocation) >= needed.min(attainable), "{:?}", allocation);
    }

    /// While endpoints of one kind replace those of the other, two thirds of the capacity required
    /// throughout the last boot time are ready at any time.
    #[test]
    fn two_thirds_stay_available_during_replacement(
        demands in prop::collection::vec(1.0..70.0_f64, 1..12),
        boot in 500..9_000_u64,
    ) {
        keeps_two_thirds(&demands, Millis(boot))?;
    }
}

/// Runs the simulation with each demand for five seconds.
fn keeps_two_thirds(demands: &[f64], boot: Millis) -> Result<(), TestCaseError> {
    let mut scaling = scaling(Some(0.15));
    scaling.boot = boot;
    let mut platform = Platform::new(scaling, 20);
    let mut autoscaler = Autoscaler::default();
    // The boot time and some steps.
    let start = usize::try_from((boot + Millis(2_000)).0 / STEP.0).unwrap();
    // The initial capacity.
    let mut needed = vec![60; start];
    for demand in demands {
        for _ in 0..50 {
            platform.step(&mut autoscaler, *demand);
            needed.push(autoscaler.needed());
            let recent = &needed[needed.len() - start..];
            let least = recent.iter().min().unwrap() * 2 / 3;
            let running = platform.total();
            prop_assert!(running >= least, "{running} of {least}");
        }
    }
    Ok(())
}

/// The demand rises again after a pause so long that no capacity is kept for it.
#[rstest]
#[case::to_half(30.0)]
#[case::above_the_initial_capacity(70.0)]
fn demand_rises_after_a_long_pause(#[case] risen: f64) {
    let mut demands = vec![1.0; 9];
    demands.extend([risen; 4]);
    keeps_two_thirds(&demands, Millis(500)).unwrap();
}

/// Endpoints of an evacuated data centre are first replaced elsewhere, then released, and ordered
/// again after the evacuation.
#[rstest]
#[case::cheap_reclaimable_endpoints(Some(0.15))]
#[case::on_demand_only(None)]
fn an_evacuated_data_centre_is_replaced_then_released(#[case] price: Option<f64>) {
    let mut platform = Platform::new(scaling(price), 20);
    let mut autoscaler = Autoscaler::default();
    platform.run(&mut autoscaler, Millis(40_000), 40.0);
    let data_centre = DataCentre::from("a");
    let here = |platform: &Platform| platform.running()[&data_centre].total();
    let elsewhere = |platform: &Platform| platform.total() - here(platform);
    assert!(here(&platform) > 0);
    platform.evacuated.push(data_centre.clone());
    // The boot time and some steps.
    platform.run(&mut autoscaler, Millis(6_000), 40.0);
    assert!(elsewhere(&platform) >= 40, "{:?}", platform.running());
    let until = platform.now + Millis(20_000);
    while platform.now < until {
        platform.step(&mut autoscaler, 40.0);
        let running = platform.running();
        assert!(elsewhere(&platform) >= 40, "{running:?}");
    }
    assert_eq!(here(&platform), 0);
    platform.evacuated.clear();
    platform.run(&mut autoscaler, Millis(30_000), 40.0);
    assert!(
        here(&platform) > 0,
        "the cheapest data centre is used again"
    );
    assert!(guaranteed(&platform.running()) >= 40);
}
