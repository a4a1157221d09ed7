//! The current load and capacity of the endpoints of scheduled services.

use crate::clock::Millis;
use crate::name;
use crate::relay::engine::load::{Estimate, Load};
use crate::relay::engine::{LoadBalancer, holding};
use crate::relay::load_report;
use crate::relay::roster::Endpoint;
use crate::relay::scheduling;

impl LoadBalancer {
    /// The capacity of these endpoints in units of an endpoint that works at its usual speed: the
    /// sum of 1 / their current slowdown.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::engine::{LoadBalancer, ReportNotice};
    /// use woodgap_core::relay::load_report::{LoadReport, life_key};
    /// use woodgap_core::relay::roster::Endpoint;
    ///
    /// let endpoint = |name: &str| Endpoint {
    ///     life: name::Life::from(name::Endpoint::from(name)),
    ///     service: "ocr".to_owned(),
    ///     address: ([10, 0, 0, 1], 80).into(),
    ///     data_centre: name::DataCentre::from("dub-a"),
    ///     slots: 8,
    ///     leaving: false,
    ///     reclaimable: false,
    ///     cold_for: Millis::ZERO,
    ///     version: String::new(),
    /// };
    /// let (slow, usual) = (endpoint("e1"), endpoint("e2"));
    /// let mut balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    /// balancer.set_scheduled("ocr", true);
    /// let report = ReportNotice {
    ///     endpoint: life_key(&slow.life),
    ///     in_flight: 5,
    ///     slowdown_percent: 250,
    ///     age_ms: 0,
    /// };
    /// let report = LoadReport { reports: vec![report], ..LoadReport::default() };
    /// let now = Millis(5_000);
    /// balancer.apply_gossip(&name::Entry::from("r2"), &report, now);
    /// assert_eq!(balancer.capacity(&[&slow, &usual], now), 1.4);
    /// assert_eq!(balancer.in_flight(&[&slow, &usual], now), 5.0);
    /// assert_eq!(balancer.capacity(&[&slow, &usual], Millis(6_000)), 2.0);
    /// ```
    pub fn capacity(&self, endpoints: &[&Endpoint], now: Millis) -> f64 {
        let each = endpoints.iter();
        each.map(|it| 1.0 / self.slowdown(&it.life, now)).sum()
    }

    /// What the other entries report of a scheduled service.
    pub fn peer_scheduling(
        &self,
        service: &str,
        now: Millis,
    ) -> impl Iterator<Item = &scheduling::Report> {
        self.peers.scheduling(service, now)
    }

    /// Prompt tokens that one of a service's engines prefills per ms.
    pub fn prefill_rate(&self, service: &str) -> f64 {
        self.speed(service).prefill_rate()
    }

    /// The requests of this entry at these endpoints.
    pub fn own_in_flight(&self, endpoints: &[&Endpoint]) -> u32 {
        let own = endpoints.iter().map(|it| self.own_running(&it.life));
        u32::try_from(own.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// The requests in flight at these endpoints: at each the larger of the number known from
    /// entries and the number that the endpoint reported. See [`LoadBalancer::capacity`].
    pub fn in_flight(&self, endpoints: &[&Endpoint], now: Millis) -> f64 {
        let in_flight = |endpoint: &&Endpoint| {
            let key = load_report::life_key(&endpoint.life);
            let own = self.own_running(&endpoint.life) as f64;
            let known = own + f64::from(self.peers.running_at(key, now));
            let reported = self.reports.get(key, now);
            reported.map_or(known, |report| known.max(report.in_flight()))
        };
        endpoints.iter().map(in_flight).sum()
    }

    /// The requests that are still in flight at one endpoint. What was counted long ago says
    /// nothing about one endpoint: all entries would keep away from those that were busy then, and
    /// meet at the others.
    pub(super) fn remaining_at(
        &self,
        endpoint: &name::Life,
        occupancy: Occupancy,
        now: Millis,
    ) -> f64 {
        let key = load_report::life_key(endpoint);
        let load = self.endpoints.get(endpoint);
        let own = load.map_or(0, Load::running) as f64;
        let others = f64::from(self.peers.running_at(key, now));
        let span = occupancy.turnover(own + others);
        let known = own + self.peers.remaining_at(key, span, now);
        let Some(report) = self.reports.get(key, now) else {
            return known;
        };
        let counted = report.in_flight();
        let (others, own) = if let Some(then) = report.own {
            // The request whose answer carried the report is among the own ones.
            (counted - then as f64, own)
        } else {
            let since = load.map_or(0, |load| load.begun_since(report.made_at));
            (counted - occupancy.answered, since as f64)
        };
        let age = (now - report.made_at).0 as f64;
        let remaining = load_report::remaining_part(age, occupancy.turnover(counted));
        known.max(others.max(0.0) * remaining + own)
    }

    /// The mean time for which a request of a scheduled service holds a slot, in ms; `default`
    /// until one has ended.
    pub(super) fn holding_time(&self, service: &str, default: f64) -> f64 {
        let measured = self.holding_times.get(service);
        let measured = measured.and_then(|it| it.mean());
        measured.unwrap_or(default).max(1.0)
    }

    /// The estimate for a request at an endpoint of a scheduled plain service, without the wait
    /// for a slot. Requests that have a slot do not delay others, but the endpoint with the most
    /// free slots has to be preferred, as other entries send requests there too.
    pub(super) fn estimate_scheduled_service(&self, endpoint: &Endpoint, now: Millis) -> Estimate {
        let time = self.service_time(&endpoint.service, now);
        let holding = self.holding_time(&endpoint.service, time);
        let occupancy = Occupancy {
            holding,
            slots: endpoint.slots,
            answered: 1.0,
        };
        let running = self.remaining_at(&endpoint.life, occupancy, now);
        Estimate {
            expected_wait: time,
            queue: 0.0,
            slot_wait: 0.0,
            disturbance: time * running / f64::from(endpoint.slots.max(1)),
            cached_tokens: 0,
            prefill_tokens: 0.0,
            stream_time: 0.0,
            running,
        }
    }

    /// Adds the wait for a slot to an estimate for a scheduled service.
    pub(super) fn with_slot_wait(&self, estimate: Estimate, service: &str, slots: u32) -> Estimate {
        let default = estimate.expected_wait + estimate.stream_time;
        let holding = self.holding_time(service, default);
        let slot_wait = holding::slot_wait(estimate.running, slots, holding);
        Estimate {
            expected_wait: estimate.expected_wait + slot_wait,
            queue: estimate.queue + slot_wait,
            slot_wait,
            ..estimate
        }
    }
}

/// How requests of a service occupy an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Occupancy {
    /// The time for which one holds a slot, in ms.
    holding: f64,
    slots: u32,
    /// The requests in a report that end with the answer that carries it.
    answered: f64,
}

impl Occupancy {
    /// Streams of engines mostly last longer than a report is used; counts of them do not decay.
    pub(super) fn of_engine(slots: u32) -> Self {
        Self {
            holding: f64::INFINITY,
            slots,
            answered: 0.0,
        }
    }

    /// The time, in ms, in which an endpoint processes so many requests.
    fn turnover(self, requests: f64) -> f64 {
        self.holding * (requests / f64::from(self.slots.max(1))).max(1.0)
    }
}

impl Estimate {
    /// The estimate for an endpoint at which work takes this many times as long as usual. The
    /// delay of other requests is not scaled: streams outlast a slow phase. Late part at uneven
    /// engines (`placement`, 1.8 times the usual rate, three seeds): 0.27 scaled, 0.25 not.
    pub(super) fn slowed(self, slowdown: f64) -> Self {
        Self {
            expected_wait: self.expected_wait * slowdown,
            queue: self.queue * slowdown,
            slot_wait: self.slot_wait * slowdown,
            ..self
        }
    }
}
