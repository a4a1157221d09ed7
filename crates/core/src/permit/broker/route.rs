//! Chooses the pool and the home for a request.

use crate::name::Incarnation;
use crate::permit::NameHash;
use crate::permit::topology;

use super::{MAX_POOLS_TRIED, PendingRequest, STARTUP_WAIT, Step};

/// The destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The home of a pool.
    Home(NameHash, Incarnation),
    /// The local fallback of a pool, because no home of the target is reachable.
    Local(NameHash),
    /// None yet: the endpoints are not known.
    Wait,
    /// None: the request is refused.
    Refuse,
}

/// Chooses among the pools of the target that have not been tried.
pub fn choose(step: &Step, pending: &PendingRequest) -> Route {
    let topology = step.context.topology;
    let all = topology.pools_for_target(&pending.ask.target);
    if all.is_empty() && topology.is_empty() && step.context.now < pending.since + STARTUP_WAIT {
        return Route::Wait;
    }
    if pending.tried_pools.len() >= MAX_POOLS_TRIED {
        return Route::Refuse;
    }
    let pools = candidates(step, pending, all);
    let reachable = |id: &NameHash| {
        let home = topology.home(*id)?;
        (!step.transport.is_unresponsive(home)).then_some(Route::Home(*id, home))
    };
    if let Some(route) = pools.iter().find_map(reachable) {
        return route;
    }
    pools.first().map_or(Route::Refuse, |id| Route::Local(*id))
}

/// Returns the pools that have not been tried, the nearest first. Pools without
/// a usable endpoint are left out, unless there are no others: their home has
/// the most recent information.
fn candidates(step: &Step, pending: &PendingRequest, all: &[NameHash]) -> Vec<NameHash> {
    let context = &step.context;
    let usable = |id: &NameHash| {
        context
            .topology
            .usable_endpoints(*id, context.directory)
            .next()
            .is_some()
    };
    let untried = all
        .iter()
        .copied()
        .filter(|id| !pending.tried_pools.contains(id));
    let mut pools: Vec<NameHash> = untried.clone().filter(usable).collect();
    if pools.is_empty() && pending.tried_pools.is_empty() {
        pools = untried.collect();
    }
    pools.sort_by_cached_key(|id| context.topology.pool(*id).map(|info| distance(step, info)));
    pools
}

/// Returns the sort key for distance: pools in the own data centre first, then
/// by round-trip time to the home. A home without a measurement counts as near,
/// so that its round-trip time gets measured.
fn distance(step: &Step, info: &topology::PoolInfo) -> (bool, crate::clock::Millis, String) {
    let own = &step.context.members.own().data_centre;
    let home = info.home.map(|home| step.transport.round_trip(home));
    (
        info.pool.data_centre != *own,
        home.unwrap_or_default(),
        info.pool.data_centre.to_string(),
    )
}
