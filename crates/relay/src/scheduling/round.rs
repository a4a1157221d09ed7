//! The regular renewal of the scheduler's view of each service.

use woodgap_core::clock::Millis;
use woodgap_core::relay::engine::LoadBalancer;
use woodgap_core::relay::plan::{Route, Service};
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::scheduling::Report;
use woodgap_core::relay::scheduling::queue::Decision;
use woodgap_core::relay::scheduling::room::{Snapshot, Surroundings};

use crate::scheduling::is_scheduled;
use crate::state::State;

/// The most services that one message reports on.
pub const MAX_REPORTS: usize = 2;
/// The number of endpoint loads that take as much space as one such report.
pub const LOADS_PER_REPORT: usize = 10;
const MS_PER_SECOND: f64 = 1_000.0;
/// The shortest time between two lines of the log on the level of one service.
const LOG_INTERVAL: Millis = Millis(1_000);

/// What was last logged of the level of a service.
#[derive(Clone, Copy, Debug)]
pub struct LoggedLevel {
    at: Millis,
    is_limited: bool,
}

/// Renews the level and the shares of all scheduled services, by what other entries have reported.
pub fn update(state: &State) {
    if state.settings.scheduling.is_none() {
        return;
    }
    let has_services = state
        .scheduling
        .scheduler
        .borrow()
        .snapshots()
        .next()
        .is_some();
    if !has_services {
        return;
    }
    let now = state.now();
    let mut decisions = Vec::new();
    for service in services(state) {
        update_service(state, &service, now, &mut decisions);
    }
    let mut scheduler = state.scheduling.scheduler.borrow_mut();
    scheduler.retain(|name| is_scheduled(state, name), now, &mut decisions);
    drop(scheduler);
    state.scheduling.deliver(&decisions);
    state.scheduling.deadline_changed.notify_one();
    record_levels(state, now);
}

/// The scheduled services of the plan that have had requests.
fn services(state: &State) -> Vec<Service> {
    let force = state.force.borrow();
    let Some(table) = force.table() else {
        return Vec::new();
    };
    let scheduler = state.scheduling.scheduler.borrow();
    let names = scheduler.snapshots().map(|(name, ..)| name);
    let services = names.filter_map(|name| table.service(name));
    services.map(|it| Service::clone(it)).collect()
}

fn update_service(state: &State, service: &Service, now: Millis, out: &mut Vec<Decision>) {
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let usable = roster.usable(&service.name, &evacuation, now);
    let loads = state.loads.borrow();
    let surroundings = Surroundings {
        entries: state.fleet.borrow().estimate_reachable(now) + 1,
        endpoint_capacity: loads.capacity(&usable, now),
        slots: slots(service, &usable),
        nominal: nominal_rate(service, &usable, &loads, now),
        target: shortest_target(state, &service.name),
    };
    let in_flight = loads.own_in_flight(&usable);
    let peers = loads.peer_scheduling(&service.name, now);
    let mut scheduler = state.scheduling.scheduler.borrow_mut();
    scheduler.update(&service.name, peers, in_flight, &surroundings, now, out);
}

/// The cost per second that the endpoints can serve: prompt tokens at engines, the time of slots at
/// plain endpoints.
fn nominal_rate(service: &Service, usable: &[&Endpoint], loads: &LoadBalancer, now: Millis) -> f64 {
    let capacity = loads.capacity(usable, now);
    if service.engine.is_some() {
        return capacity * loads.prefill_rate(&service.name) * MS_PER_SECOND;
    }
    let slots = slots(service, usable) / usable.len().max(1) as f64;
    capacity * slots * MS_PER_SECOND
}

fn shortest_target(state: &State, service: &str) -> Millis {
    let force = state.force.borrow();
    let routes = force.table().into_iter().flat_map(|it| &it.plan().routes);
    let sends_to = |route: &&Route| route.shares.iter().any(|it| it.service == service);
    let targets = routes.filter(sends_to).map(|it| it.target);
    targets.min().unwrap_or_default()
}

fn slots(service: &Service, endpoints: &[&Endpoint]) -> f64 {
    let slots = |endpoint: &&Endpoint| service.engine.map_or(endpoint.slots, |it| it.slots);
    endpoints.iter().map(|it| f64::from(slots(it))).sum()
}

/// What this entry reports to others of its scheduled services: those with the largest demand.
pub fn reports(state: &State, now: Millis) -> Vec<Report> {
    if state.settings.scheduling.is_none() {
        return Vec::new();
    }
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let loads = state.loads.borrow();
    let scheduler = state.scheduling.scheduler.borrow();
    let mut services: Vec<_> = scheduler.snapshots().collect();
    services.sort_by(|(_, left, _), (_, right, _)| right.offered.total_cmp(&left.offered));
    let report = |(name, ..): (&str, &Snapshot, f64)| {
        let usable = roster.usable(name, &evacuation, now);
        scheduler.report(name, loads.own_in_flight(&usable), now)
    };
    services
        .into_iter()
        .take(MAX_REPORTS)
        .filter_map(report)
        .collect()
}

/// Sets the metrics of each service, and logs its level while there is one.
fn record_levels(state: &State, now: Millis) {
    let scheduler = state.scheduling.scheduler.borrow();
    let mut logged = state.scheduling.logged.borrow_mut();
    for (name, snapshot, backlog) in scheduler.snapshots() {
        state.metrics.set_scheduling(name, snapshot, backlog);
        let is_limited = snapshot.level.is_some();
        let last = logged.get(name).copied();
        let has_changed = last.is_some_and(|it| it.is_limited) != is_limited;
        let is_due = is_limited && last.is_none_or(|it| now - it.at >= LOG_INTERVAL);
        if has_changed || is_due {
            logged.insert(
                name.to_owned(),
                LoggedLevel {
                    at: now,
                    is_limited,
                },
            );
            log_level(name, snapshot, backlog);
        }
    }
}

fn log_level(service: &str, snapshot: &Snapshot, backlog: f64) {
    let fractions = snapshot.fractions.iter();
    let fractions = fractions.map(|(priority, fraction)| format!("{priority}: {fraction:.2}"));
    let fractions: Vec<_> = fractions.collect();
    log::info!(
        service = service, is_limited = snapshot.level.is_some(),
        level = snapshot.level.unwrap_or_default().round(), offered = snapshot.offered.round(),
        served = snapshot.served.round(), late = snapshot.late.round(),
        admitted_by_priority = fractions.join(", "), workspaces_over_share = snapshot.over_share,
        waiting = backlog.round();
        "admission level of a service"
    );
}
