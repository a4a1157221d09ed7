//! The cheapest allocation that guarantees a capacity.

use crate::relay::plan::Scaling;
use crate::relay::sizing::{EndpointCount, EndpointCounts, by_price, guaranteed};

/// The cheapest endpoints of which `needed` remain when any one data centre loses all of its
/// reclaimable ones, or as many as the limits allow.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::sizing::{cheapest_allocation, guaranteed};
/// use woodgap_core::relay::plan::Scaling;
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
/// // At nearly equal prices, on-demand endpoints guarantee the same capacity for less.
/// scaling.reclaimable_price = Some(0.9);
/// let on_demand = cheapest_allocation(60, &scaling);
/// assert_eq!(guaranteed(&on_demand), 60);
/// assert!(on_demand.values().map(|it| it.on_demand).sum::<u32>() > 50);
/// ```
pub fn cheapest_allocation(needed: u32, scaling: &Scaling) -> EndpointCounts {
    let max = max_guaranteed(scaling);
    let needed = needed.min(max);
    let candidates = (0..=needed).filter_map(|on_demand| candidate(needed, on_demand, scaling));
    let price = |candidate: &EndpointCounts| total_price(candidate, scaling);
    let best = candidates.min_by(|one, other| price(one).total_cmp(&price(other)));
    best.unwrap_or_default()
}

/// The highest capacity that can be guaranteed. Where there are reclaimable endpoints it is reached
/// with these alone, so one of several data centres counts as spare.
pub(super) fn max_guaranteed(scaling: &Scaling) -> u32 {
    let data_centres = u32::try_from(scaling.prices.len()).unwrap_or(u32::MAX);
    let reserved = u32::from(scaling.reclaimable_price.is_some() && data_centres > 1);
    scaling.most.saturating_mul(data_centres - reserved)
}

/// An allocation with the given number of on-demand endpoints and the fewest reclaimable ones that
/// guarantee the rest.
fn candidate(needed: u32, on_demand: u32, scaling: &Scaling) -> Option<EndpointCounts> {
    let mut counts: EndpointCounts = scaling
        .prices
        .keys()
        .map(|at| (at.clone(), EndpointCount::default()))
        .collect();
    add_on_demand(on_demand, &mut counts, scaling);
    // The same cap in every data centre, since any of them may be the one that loses its
    // reclaimable endpoints.
    let caps: Vec<u32> = (0..=scaling.most).collect();
    let is_sufficient =
        |cap: &u32| guaranteed(&with_reclaimable_cap(&counts, *cap, scaling)) >= needed;
    let cap = caps.partition_point(|cap| !is_sufficient(cap));
    let cap = caps.get(cap)?;
    Some(with_minimum(
        with_reclaimable_cap(&counts, *cap, scaling),
        scaling,
    ))
}

/// Adds on-demand endpoints to the cheapest data centres that have room.
pub(super) fn add_on_demand(mut missing: u32, counts: &mut EndpointCounts, scaling: &Scaling) {
    for at in by_price(scaling) {
        let count = counts.entry(at.clone()).or_default();
        let added = missing.min(scaling.most.saturating_sub(count.total()));
        count.on_demand += added;
        missing -= added;
    }
}

fn with_reclaimable_cap(counts: &EndpointCounts, cap: u32, scaling: &Scaling) -> EndpointCounts {
    let capped = counts.iter().map(|(at, count)| {
        let reclaimable = reclaimable_room(*count, scaling).min(cap);
        let count = EndpointCount {
            reclaimable,
            ..*count
        };
        (at.clone(), count)
    });
    capped.collect()
}

/// How many reclaimable endpoints the limit allows in addition to the on-demand ones.
fn reclaimable_room(count: EndpointCount, scaling: &Scaling) -> u32 {
    if scaling.reclaimable_price.is_none() {
        return 0;
    }
    scaling.most.saturating_sub(count.on_demand)
}

/// Raises each data centre to the configured minimum.
fn with_minimum(mut counts: EndpointCounts, scaling: &Scaling) -> EndpointCounts {
    for count in counts.values_mut() {
        let missing = scaling.least.saturating_sub(count.total());
        let reclaimable =
            missing.min(reclaimable_room(*count, scaling).saturating_sub(count.reclaimable));
        count.reclaimable += reclaimable;
        count.on_demand += missing - reclaimable;
    }
    counts
}

fn total_price(counts: &EndpointCounts, scaling: &Scaling) -> f64 {
    let price_ratio = scaling.reclaimable_price.unwrap_or(1.0);
    let prices = counts.iter().map(|(at, count)| {
        let price = scaling.prices.get(at).copied().unwrap_or(1.0);
        price * (f64::from(count.on_demand) + price_ratio * f64::from(count.reclaimable))
    });
    prices.sum()
}
