//! Selection of the endpoint for a request.
//!
//! Each entry estimates the load of endpoints from its own requests in flight, the load that
//! other entries report, the load that endpoints report in their answers, and the prompt parts
//! that it expects in their caches. Times and costs are in milliseconds.

mod candidates;
mod choice;
mod current;
mod endpoint_report;
mod gossip;
mod holding;
mod load;
mod source;
mod subset;
mod token_timing;

pub use choice::Choice;
pub use endpoint_report::{MAX_NOTICES, Report, ReportNotice};
pub(super) use load::expected_shared;

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::RequestProfile;
use crate::relay::division::Demand;
use crate::relay::engine_speed::EngineSpeed;
use crate::relay::fading::DecayingAverage;
use crate::relay::health::HealthSignal;
use crate::relay::load_report::{self, PeerReports};
use endpoint_report::EndpointReports;
use holding::HoldingTime;
use load::Load;
use subset::ActiveSubset;

/// The assumed time for one request at a plain service until samples arrive, in ms.
const DEFAULT_SERVICE_TIME: f64 = 20.0;

/// A request that was sent, to be passed to [`LoadBalancer::end`] when it ends.
#[derive(Debug)]
pub struct Ticket {
    endpoint: name::Life,
    number: u64,
}

impl Ticket {
    /// The endpoint that it was sent to.
    pub fn endpoint(&self) -> &name::Life {
        &self.endpoint
    }
}

/// The known load of all endpoints, by which the best one for a request is selected.
#[derive(Debug)]
pub struct LoadBalancer {
    data_centre: name::DataCentre,
    /// By life: an endpoint that restarts under the same name starts without state.
    endpoints: HashMap<name::Life, Load>,
    /// The average time of a request to a plain service, in ms.
    service_time: HashMap<String, DecayingAverage>,
    demand_by_service: HashMap<String, Demand>,
    speeds: HashMap<String, EngineSpeed>,
    /// The engines of each service that are in use.
    subsets: HashMap<String, ActiveSubset>,
    peers: PeerReports,
    reports: EndpointReports,
    holding_times: HashMap<String, HoldingTime>,
    next_number: u64,
    /// The seed of the random samples of engines; each entry samples differently.
    seed: u64,
    draws: u64,
}

impl LoadBalancer {
    /// Creates a balancer without any samples, for an entry in this data centre.
    pub fn new(data_centre: name::DataCentre, seed: u64) -> Self {
        Self {
            data_centre,
            endpoints: HashMap::new(),
            service_time: HashMap::new(),
            demand_by_service: HashMap::new(),
            speeds: HashMap::new(),
            subsets: HashMap::new(),
            peers: PeerReports::default(),
            reports: EndpointReports::default(),
            holding_times: HashMap::new(),
            next_number: 0,
            seed,
            draws: 0,
        }
    }

    /// The estimated speed of a service's engines.
    fn speed(&self, service: &str) -> EngineSpeed {
        self.speeds.get(service).cloned().unwrap_or_default()
    }

    /// Whether an endpoint currently gets no requests.
    pub fn is_suspended(&self, endpoint: &name::Life) -> bool {
        let load = self.endpoints.get(endpoint);
        load.is_some_and(|load| load.health.is_suspended())
    }

    /// The suspended endpoints for which a connection attempt is due.
    pub fn due_for_reconnect(&self, now: Millis) -> Vec<name::Life> {
        let all = self.endpoints.iter();
        let due = all.filter(|(_, load)| load.health.is_reconnect_due(now));
        due.map(|(life, _)| life.clone()).collect()
    }

    /// The endpoints that have been silent for long enough to suspect that they are out of reach;
    /// each is named once a second.
    pub fn suspects(&mut self, now: Millis) -> Vec<name::Life> {
        let all = self.endpoints.iter_mut();
        let silent = all.filter_map(|(life, load)| load.suspect(now).then_some(life));
        silent.cloned().collect()
    }

    /// Makes the next connection attempts to all suspended endpoints due.
    pub fn end_backoffs(&mut self, now: Millis) {
        for load in self.endpoints.values_mut() {
            load.health.end_backoff(now);
        }
    }

    fn own_running(&self, endpoint: &name::Life) -> usize {
        self.endpoints.get(endpoint).map_or(0, Load::running)
    }

    /// Records that a request is sent to the selected endpoint.
    pub fn begin(&mut self, choice: &Choice, profile: &RequestProfile<'_>, now: Millis) -> Ticket {
        self.next_number += 1;
        let endpoint = &choice.endpoint;
        let memory = profile.engine.map_or(0, |engine| engine.memory_tokens);
        let load = self.endpoints.entry(endpoint.life.clone());
        let load = load.or_insert_with(|| Load::new(&endpoint.service, memory));
        load.begin(self.next_number, choice, profile, now);
        self.record_demand(choice, profile, now);
        Ticket {
            endpoint: endpoint.life.clone(),
            number: self.next_number,
        }
    }

    fn record_demand(&mut self, choice: &Choice, profile: &RequestProfile<'_>, now: Millis) {
        let Some(work) = profile.work else {
            return;
        };
        let service = &choice.endpoint.service;
        self.speeds.entry(service.clone()).or_default();
        let prefill_tokens = work.prompt_tokens.saturating_sub(choice.cached_tokens);
        let demand = self.demand_by_service.entry(service.clone()).or_default();
        demand.record_request(profile, prefill_tokens, now);
    }

    /// Records the first byte of an answer that is no refusal.
    pub fn record_first_byte(&mut self, ticket: &Ticket, is_plain: bool, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let speed = self.speeds.entry(load.service.clone()).or_default();
        let took = load.record_first_byte(ticket.number, speed, now);
        if let Some(took) = took.filter(|_| is_plain) {
            let time = self.service_time.entry(load.service.clone());
            let time = time.or_insert(DecayingAverage::new(DEFAULT_SERVICE_TIME));
            time.record(took, now);
        }
    }

    /// Records that the endpoint answered by refusing the request, which is no sample of its speed.
    pub fn record_refusal(&mut self, ticket: &Ticket) {
        if let Some(load) = self.endpoints.get_mut(&ticket.endpoint) {
            load.record_refusal(ticket.number);
        }
    }

    /// Records an event of a stream that contains this many tokens.
    pub fn record_event(&mut self, ticket: &Ticket, tokens: u32, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let Some(gap) = load.record_event(ticket.number, now) else {
            return;
        };
        let Some(window) = load.token_timing.record_gap(gap, now) else {
            return;
        };
        let token_time = load.token_timing.evaluate(window, tokens, now);
        let speed = self.speeds.entry(load.service.clone()).or_default();
        let others = self
            .peers
            .load_at(&ticket.endpoint, speed.prefill_rate(), now);
        speed.record_token(load.running() as f64 + others.running, token_time);
    }

    /// Records the end of a stream of a service: whether it was late, or was refused because
    /// it would have been late.
    pub fn record_stream_end(
        &mut self,
        service: &str,
        is_decode_heavy: bool,
        is_late: bool,
        now: Millis,
    ) {
        if let Some(demand) = self.demand_by_service.get_mut(service) {
            demand.record_stream_end(is_decode_heavy, is_late, now);
        }
    }

    /// The number of engines that the requests of all `entries` to a service need at the
    /// target load. Entries without recent gossip are assumed to have as much demand as the
    /// others.
    pub fn engines_needed(&self, service: &str, entries: usize, now: Millis) -> f64 {
        let own = self.demand_by_service.get(service);
        let own = own.map(|demand| demand.needed(now)).unwrap_or_default();
        let others = self.peers.required_rate(service, now);
        let tokens = own.steady + own.prefill + others.steady + others.prefill;
        let known_entries = self.peers.count(now) + 1;
        let share = known_entries as f64 / entries.max(known_entries) as f64;
        tokens / share / self.speed(service).prefill_rate()
    }

    /// Records the load that an endpoint reported.
    pub fn record_report(&mut self, endpoint: &name::Life, report: Report, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            load.record_report(report, now);
            let key = load_report::life_key(endpoint);
            self.reports.record(key, load, report, now);
        }
    }

    /// Records what a connection or an answer shows about an endpoint.
    pub fn record_signal(&mut self, endpoint: &name::Life, signal: HealthSignal, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            load.record_signal(signal, now);
        }
    }

    /// Removes the request from the load of its endpoint.
    pub fn end(&mut self, ticket: &Ticket, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let held = load.end(ticket.number, now);
        if let Some(held) = held.filter(|_| self.reports.is_scheduled(&load.service)) {
            let time = self.holding_times.entry(load.service.clone());
            time.or_default().record(held);
        }
    }

    /// Removes endpoints that no longer exist.
    pub fn remove(&mut self, endpoints: &[name::Life]) {
        for endpoint in endpoints {
            self.endpoints.remove(endpoint);
            self.reports.forget(load_report::life_key(endpoint));
        }
    }
}
