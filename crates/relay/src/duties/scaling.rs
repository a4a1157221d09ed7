//! Orders of how many endpoints run.

use std::collections::BTreeMap;

use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::Scaling as Limits;
use woodgap_core::relay::sizing::{Autoscaler, EndpointCount, EndpointCounts, Observation};
use woodgap_platform::Error;

use crate::duties::outlet::{Order, Ordered};
use crate::state::State;

/// The time between two lines of the log on a service's demand.
const SUMMARY: Millis = Millis(1_000);
/// The pause after an order that failed.
const RETRY: Millis = Millis(500);

/// The sizing of all services, for as long as this entry has the duties.
#[derive(Debug, Default)]
pub struct Scaling {
    services: BTreeMap<String, Autoscaler>,
    retry_at: Millis,
    summarised: Millis,
}

impl Scaling {
    /// Goes on where an entry left off that had so many endpoints of each service assured.
    pub fn from(needed: &BTreeMap<String, u32>) -> Self {
        let services = needed.iter();
        let services = services.map(|(name, needed)| (name.clone(), Autoscaler::resume(*needed)));
        Self {
            services: services.collect(),
            ..Self::default()
        }
    }

    /// How many endpoints of each service are assured.
    pub fn needed(&self) -> BTreeMap<String, u32> {
        let services = self.services.iter();
        services
            .map(|(name, sizing)| (name.clone(), sizing.needed()))
            .collect()
    }

    /// The next order to make, if there is one; see [`Observation::headroom`].
    pub fn next(&mut self, state: &State, headroom: f64) -> Option<Order> {
        let now = state.now();
        if now < self.retry_at {
            return None;
        }
        let services = scaled(state);
        let is_summary_due = now - self.summarised >= SUMMARY;
        if is_summary_due {
            self.summarised = now;
        }
        for (service, limits) in services {
            let (running, idle) = running(state, &service, &limits);
            let entries = state.fleet.borrow().size();
            let demand = state.loads.borrow().engines_needed(&service, entries, now);
            let sight = Observation {
                scaling: &limits,
                running: &running,
                idle: &idle,
                demand,
                headroom,
            };
            let sizing = self.services.entry(service.clone()).or_default();
            let order = sizing.next(&sight, now);
            if is_summary_due {
                let all =
                    running
                        .values()
                        .fold(EndpointCount::default(), |sum, it| EndpointCount {
                            on_demand: sum.on_demand + it.on_demand,
                            reclaimable: sum.reclaimable + it.reclaimable,
                        });
                log::info!(
                    service = service.as_str(), demand = (demand * 10.0).round() / 10.0,
                    assured = sizing.needed(), kept = all.on_demand, reclaimable = all.reclaimable;
                    "endpoints of a service"
                );
            }
            if let Some(wish) = order {
                return Some(Order { service, wish });
            }
        }
        None
    }

    /// Takes in what became of an order; gives back whether the next one may follow at once.
    pub fn ordered(
        &mut self,
        state: &State,
        order: &Order,
        ordered: Result<Ordered, Error>,
    ) -> bool {
        let now = state.now();
        let Order { service, wish } = order;
        let sizing = self.services.entry(service.clone()).or_default();
        let (label, outcome) = match ordered {
            Ok(Ordered::Taken) => {
                sizing.accepted(wish, now);
                ("taken", "taken".to_owned())
            }
            Ok(Ordered::NoneToBeHad) => {
                sizing.refused(wish, now);
                ("refused", "none to be had".to_owned())
            }
            // It would be refused again: what others need does not wait for it.
            Err(Error::Rejected(reason)) => {
                sizing.accepted(wish, now);
                ("refused", reason)
            }
            Err(error) => {
                self.retry_at = now + RETRY;
                ("failed", error.to_string())
            }
        };
        state.metrics.orders.with_label_values(&[label]).inc();
        log::info!(
            service = service.as_str(), data_centre = wish.data_centre.as_str(),
            is_reclaimable = wish.is_reclaimable, count = wish.count, outcome = outcome;
            "endpoints are ordered"
        );
        now >= self.retry_at
    }
}

/// The services whose endpoints can be ordered: of plain ones it is not known what they need.
fn scaled(state: &State) -> Vec<(String, Limits)> {
    let force = state.force.borrow();
    let Some(table) = force.table() else {
        return Vec::new();
    };
    let services = table.plan().services.iter();
    let engines = services.filter(|it| it.engine.is_some());
    let scaled = engines.filter_map(|it| Some((it.name.clone(), it.scaling.clone()?)));
    // Nothing is ordered where nothing may be sent to.
    let evacuation = state.evacuation.borrow();
    let outside = |(name, mut limits): (String, Limits)| {
        limits.prices.retain(|at, _| !evacuation.covers(at));
        (name, limits)
    };
    let scaled = scaled.map(outside);
    scaled
        .filter(|(_, limits)| !limits.prices.is_empty())
        .collect()
}

/// The endpoints of a service that are ready, also none, by data centre: those that may be sent
/// to, and those in data centres that are evacuated.
fn running(state: &State, service: &str, limits: &Limits) -> (EndpointCounts, EndpointCounts) {
    let places = limits.prices.keys();
    let mut counts: EndpointCounts = places
        .map(|at| (at.clone(), EndpointCount::default()))
        .collect();
    let roster = state.roster.borrow();
    let ready = roster
        .listed()
        .filter(|it| it.service == service && !it.leaving && !roster.is_leaving(&it.life));
    let evacuation = state.evacuation.borrow();
    let mut idle = EndpointCounts::new();
    for endpoint in ready {
        let is_idle = evacuation.covers(&endpoint.data_centre);
        let counts = if is_idle { &mut idle } else { &mut counts };
        let count = counts.entry(endpoint.data_centre.clone()).or_default();
        if endpoint.reclaimable {
            count.reclaimable += 1;
        } else {
            count.on_demand += 1;
        }
    }
    (counts, idle)
}
