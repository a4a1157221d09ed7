//! The cheapest endpoints that assure a number of them.

use crate::relay::autoscaling::{EndpointCount, EndpointCounts, by_price, guaranteed};
use crate::relay::plan::Scaling;

/// The cheapest endpoints of which so many are left when any one data centre loses all of its
/// reclaimable ones; as many as there can be, where there can't be so many.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::plan::Scaling;
/// use woodgap_core::relay::autoscaling::{guaranteed, cheapest_allocation};
///
/// let mut scaling = Scaling {
///     least: 1,
///     most: 40,
///     boot: Millis(4_000),
///     reclaimable_price: Some(0.15),
///     prices: [("a".into(), 0.9), ("b".into(), 1.2), ("c".into(), 1.0)].into(),
/// };
/// let cheap = cheapest_allocation(60, &scaling);
/// assert!(cheap.values().all(|it| it.on_demand == 0 && it.reclaimable == 30));
/// // Where they cost nearly the same, those that stay are the cheaper ones.
/// scaling.reclaimable_price = Some(0.9);
/// let on_demand = cheapest_allocation(60, &scaling);
/// assert_eq!(guaranteed(&on_demand), 60);
/// assert!(on_demand.values().map(|it| it.on_demand).sum::<u32>() > 50);
/// ```
pub fn cheapest_allocation(needed: u32, scaling: &Scaling) -> EndpointCounts {
    let most = attainable(scaling);
    let needed = needed.min(most);
    let offers = (0..=needed).filter_map(|on_demand| offer(needed, on_demand, scaling));
    let price = |offer: &EndpointCounts| price(offer, scaling);
    let best = offers.min_by(|one, other| price(one).total_cmp(&price(other)));
    best.unwrap_or_default()
}

/// How many can be assured at all: by reclaimable endpoints alone, where there are any.
pub(super) fn attainable(scaling: &Scaling) -> u32 {
    let places = u32::try_from(scaling.prices.len()).unwrap_or(u32::MAX);
    let lost = u32::from(scaling.reclaimable_price.is_some() && places > 1);
    scaling.most.saturating_mul(places - lost)
}

/// So many kept endpoints, and the fewest reclaimable ones that assure the rest.
fn offer(needed: u32, on_demand: u32, scaling: &Scaling) -> Option<EndpointCounts> {
    let mut counts: EndpointCounts = scaling
        .prices
        .keys()
        .map(|at| (at.clone(), EndpointCount::default()))
        .collect();
    add_on_demand(on_demand, &mut counts, scaling);
    // Not more in any data centre than one that is lost may have.
    let levels: Vec<u32> = (0..=scaling.most).collect();
    let assures = |level: &u32| guaranteed(&leveled(&counts, *level, scaling)) >= needed;
    let level = levels.partition_point(|level| !assures(level));
    let level = levels.get(level)?;
    Some(filled(leveled(&counts, *level, scaling), scaling))
}

/// Adds kept endpoints where they are cheapest, as far as there is room.
pub(super) fn add_on_demand(mut missing: u32, counts: &mut EndpointCounts, scaling: &Scaling) {
    for at in by_price(scaling) {
        let count = counts.entry(at.clone()).or_default();
        let here = missing.min(scaling.most.saturating_sub(count.all()));
        count.on_demand += here;
        missing -= here;
    }
}

fn leveled(counts: &EndpointCounts, level: u32, scaling: &Scaling) -> EndpointCounts {
    let leveled = counts.iter().map(|(at, count)| {
        let reclaimable = room(*count, scaling).min(level);
        let count = EndpointCount {
            reclaimable,
            ..*count
        };
        (at.clone(), count)
    });
    leveled.collect()
}

/// How many reclaimable endpoints there can be beside kept ones.
fn room(count: EndpointCount, scaling: &Scaling) -> u32 {
    if scaling.reclaimable_price.is_none() {
        return 0;
    }
    scaling.most.saturating_sub(count.on_demand)
}

/// At least as many everywhere as operators ask for.
fn filled(mut counts: EndpointCounts, scaling: &Scaling) -> EndpointCounts {
    for count in counts.values_mut() {
        let missing = scaling.least.saturating_sub(count.all());
        let reclaimable = missing.min(room(*count, scaling).saturating_sub(count.reclaimable));
        count.reclaimable += reclaimable;
        count.on_demand += missing - reclaimable;
    }
    counts
}

fn price(counts: &EndpointCounts, scaling: &Scaling) -> f64 {
    let part = scaling.reclaimable_price.unwrap_or(1.0);
    let prices = counts.iter().map(|(at, count)| {
        let price = scaling.prices.get(at).copied().unwrap_or(1.0);
        price * (f64::from(count.on_demand) + part * f64::from(count.reclaimable))
    });
    prices.sum()
}
