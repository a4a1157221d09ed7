//! Which pool a request is asked for, and at which home.

use crate::name::Incarnation;
use crate::permit::Id;
use crate::permit::topology;

use super::{MOST_POOLS, PATIENCE, Step, Wanted};

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a pool's home.
    Home(Id, Incarnation),
    /// To the own fraction of a pool: no home of the target is reachable.
    Alone(Id),
    /// Nowhere yet: the endpoints are not known.
    Wait,
    /// To its caller.
    Refuse,
}

/// Chooses among the pools of the target that were not tried.
pub fn choose(step: &Step, wanted: &Wanted) -> Route {
    let topology = step.context.topology;
    let all = topology.of_target(&wanted.ask.target);
    if all.is_empty() && topology.is_empty() && step.context.now < wanted.since + PATIENCE {
        return Route::Wait;
    }
    if wanted.tried.len() >= MOST_POOLS {
        return Route::Refuse;
    }
    let pools = candidates(step, wanted, all);
    let reachable = |id: &Id| {
        let home = topology.home(*id)?;
        (!step.post.silent(home)).then_some(Route::Home(*id, home))
    };
    if let Some(route) = pools.iter().find_map(reachable) {
        return route;
    }
    pools.first().map_or(Route::Refuse, |id| Route::Alone(*id))
}

/// The pools that were not tried, the nearest first. Those without a usable
/// endpoint are left out, unless there are no others: their home knows best.
fn candidates(step: &Step, wanted: &Wanted, all: &[Id]) -> Vec<Id> {
    let context = &step.context;
    let usable = |id: &Id| {
        context
            .topology
            .usable(*id, context.directory)
            .next()
            .is_some()
    };
    let fresh = all.iter().copied().filter(|id| !wanted.tried.contains(id));
    let mut pools: Vec<Id> = fresh.clone().filter(usable).collect();
    if pools.is_empty() && wanted.tried.is_empty() {
        pools = fresh.collect();
    }
    pools.sort_by_cached_key(|id| {
        context
            .topology
            .pool(*id)
            .map(|place| distance(step, place))
    });
    pools
}

/// Sorts by distance: the own data centre, then by the time messages take to
/// the home. NB: a home that was never spoken to counts as near, so that its
/// distance gets measured.
fn distance(step: &Step, place: &topology::Place) -> (bool, crate::clock::Millis, String) {
    let own = &step.context.members.own().data_centre;
    let home = place.home.map(|home| step.post.round_trip(home));
    (
        place.pool.data_centre != *own,
        home.unwrap_or_default(),
        place.pool.data_centre.to_string(),
    )
}
