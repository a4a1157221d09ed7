//! The scheduler of one entry: the rooms, waiting lists and planned retries of its services.

use std::collections::{BTreeMap, HashMap};

use crate::clock::Millis;
use crate::relay::load_report;
use crate::relay::scheduling::cost::ServiceTime;
use crate::relay::scheduling::queue::{Applicant, Decision, Queue};
use crate::relay::scheduling::report::Report;
use crate::relay::scheduling::returns::{Answer, Claim, Planner, Registry, Return};
use crate::relay::scheduling::room::{RequestInfo, Room, Snapshot, Surroundings};

/// The admitted fraction that counts as the whole, for the rounding of sums.
const WHOLE_FRACTION: f64 = 0.999;

/// A request to a scheduled service.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its workspace; empty on a public route.
    pub workspace: &'a str,
    /// The weight of the workspace.
    pub weight: f64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its route.
    pub route: &'a str,
    /// Its cost, see [`cost`](crate::relay::scheduling::cost).
    pub cost: f64,
    /// The memory that it takes while it waits.
    pub bytes: usize,
    /// The part of the latency target that is left.
    pub target: Millis,
    /// Whether it was promised capacity and has come in time.
    pub has_returned: bool,
}

/// A request without a decision yet.
#[derive(Debug)]
struct Undecided {
    service: String,
    workspace: String,
    weight: f64,
    priority: u8,
    cost: f64,
}

/// One service.
#[derive(Debug)]
struct Service {
    room: Room,
    queue: Queue,
    planner: Planner,
    times_by_route: HashMap<String, ServiceTime>,
    snapshot: Snapshot,
}

/// The scheduler.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::scheduling::queue::Decision;
/// use woodgap_core::relay::scheduling::scheduler::{Request, Scheduler};
///
/// let request = Request {
///     service: "captions",
///     workspace: "murphy",
///     weight: 1.0,
///     priority: 0,
///     route: "album",
///     cost: 20.0,
///     bytes: 900,
///     target: Millis(400),
///     has_returned: false,
/// };
/// let mut scheduler = Scheduler::new(1_048_576);
/// let mut out = Vec::new();
/// let number = scheduler.arrive(&request, Millis(1_000), &mut out);
/// assert_eq!(out, [Decision::Admit(number)]);
/// ```
#[derive(Debug)]
pub struct Scheduler {
    max_waiting_bytes: usize,
    services: BTreeMap<String, Service>,
    undecided: HashMap<u64, Undecided>,
    registry: Registry,
    last_number: u64,
}

impl Scheduler {
    /// A scheduler without services; the requests that wait for one service may take
    /// `max_waiting_bytes` of memory.
    pub fn new(max_waiting_bytes: usize) -> Self {
        Self {
            max_waiting_bytes,
            services: BTreeMap::new(),
            undecided: HashMap::new(),
            registry: Registry::default(),
            last_number: 0,
        }
    }

    /// Adds a request that has just arrived and returns its number. The decision about it comes
    /// now or later; others may follow from it.
    pub fn arrive(&mut self, request: &Request<'_>, now: Millis, out: &mut Vec<Decision>) -> u64 {
        let service = self.service_mut(request.service);
        service.room.record_arrival(&request.info(), now);
        self.offer(request, now, out)
    }

    /// Offers a request once more that was refused, and is known to have come back as told.
    pub fn offer(&mut self, request: &Request<'_>, now: Millis, out: &mut Vec<Decision>) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        let undecided = Undecided {
            service: request.service.to_owned(),
            workspace: request.workspace.to_owned(),
            weight: request.weight,
            priority: request.priority,
            cost: request.cost,
        };
        self.undecided.insert(number, undecided);
        let service = self.service_mut(request.service);
        let applicant = Applicant {
            number,
            workspace: request.workspace,
            weight: whole_weight(request.weight),
            priority: request.priority,
            class: request.route,
            cost: request.cost,
            bytes: request.bytes,
            target: request.target,
            has_returned: request.has_returned,
            is_within_share: service.is_within_share(request),
        };
        let fraction = service.relative_fraction(request.priority, request.workspace);
        let first = out.len();
        service.queue.offer(&applicant, fraction, now, out);
        self.record_decisions(&out[first..], now);
        number
    }

    /// Removes a waiting request whose caller has gone.
    pub fn withdraw(&mut self, number: u64, now: Millis) {
        let Some(undecided) = self.undecided.remove(&number) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&undecided.service) {
            service.queue.withdraw(number, now);
        }
    }

    /// Decides about the requests for which the time has come.
    pub fn advance(&mut self, now: Millis, out: &mut Vec<Decision>) {
        let first = out.len();
        for service in self.services.values_mut() {
            service.queue.advance(now, out);
        }
        self.record_decisions(&out[first..], now);
    }

    /// When [`Self::advance`] must be called at the latest; `None` while no request waits.
    pub fn next_deadline(&self) -> Option<Millis> {
        let queues = self.services.values();
        queues.filter_map(|it| it.queue.next_deadline()).min()
    }

    /// The cost of a request to a plain service, by the answers on its route.
    pub fn service_cost(&self, service: &str, route: &str, now: Millis) -> f64 {
        let times = self.services.get(service).map(|it| &it.times_by_route);
        let time = times.and_then(|times| times.get(route));
        time.copied().unwrap_or_default().cost(now)
    }

    /// Records the first byte of an answer, or the end of a request that an endpoint has worked on
    /// without answering.
    pub fn record_outcome(&mut self, service: &str, cost: f64, is_late: bool, now: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.room.record_outcome(cost, is_late, now);
        }
    }

    /// Records an admitted request that no endpoint has worked on.
    pub fn record_loss(&mut self, service: &str, cost: f64, now: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.room.record_loss(cost, now);
        }
    }

    /// Records how long an endpoint took for a request of a route.
    pub fn record_run(&mut self, run: &Run<'_>, now: Millis) {
        let Some(service) = self.services.get_mut(run.service) else {
            return;
        };
        if run.is_plain {
            let times = &mut service.times_by_route;
            let time = times.entry(run.route.to_owned()).or_default();
            time.record(run.first_byte, now);
        }
        service
            .queue
            .record_run(run.route, run.priority, run.cost, run.first_byte, now);
    }

    /// Plans when the caller of a refused request is to retry; `remaining` is how long it still
    /// waits, and `sample` a uniform random number from 0 to 1.
    pub fn plan(
        &mut self,
        request: &Request<'_>,
        remaining: Millis,
        sample: f64,
        now: Millis,
    ) -> Return {
        let service = self.service_mut(request.service);
        let rate = service.room.rate().unwrap_or(0.0);
        service
            .planner
            .plan(request.cost, remaining, rate, sample, now)
    }

    /// Gives back a planned retry that is not announced.
    pub fn cancel(&mut self, service: &str, planned: &Return) {
        if let Some(service) = self.services.get_mut(service) {
            service.planner.cancel(planned);
        }
    }

    /// Answers a claim of any entry to a promise that this one owns.
    pub fn claim(&mut self, claim: &Claim, now: Millis) -> Answer {
        self.registry.claim(claim, now)
    }

    /// Renews the level and the shares of a service, and with them its rate.
    pub fn update<'r>(
        &mut self,
        name: &str,
        peers: impl Iterator<Item = &'r Report>,
        in_flight: u32,
        surroundings: &Surroundings,
        now: Millis,
        out: &mut Vec<Decision>,
    ) {
        let first = out.len();
        let service = self.service_mut(name);
        service.room.update(peers, in_flight, surroundings, now);
        let rate = service.room.rate();
        service.queue.set_rate(rate, now, out);
        service.snapshot = service.room.snapshot();
        self.record_decisions(&out[first..], now);
    }

    /// What this entry reports of a service to the others; `None` if it is not scheduled.
    pub fn report(&self, name: &str, in_flight: u32, now: Millis) -> Option<Report> {
        let service = self.services.get(name)?;
        let key = load_report::name_key(name);
        Some(service.room.report(key, in_flight, now))
    }

    /// Removes the services that are not scheduled any more; what waits for them is admitted.
    pub fn retain(
        &mut self,
        is_scheduled: impl Fn(&str) -> bool,
        now: Millis,
        out: &mut Vec<Decision>,
    ) {
        let first = out.len();
        self.services.retain(|name, service| {
            let is_scheduled = is_scheduled(name);
            if !is_scheduled {
                service.queue.set_rate(None, now, out);
            }
            is_scheduled
        });
        self.record_decisions(&out[first..], now);
    }

    /// The scheduled services, each with its state after the last update and the cost that waits.
    pub fn snapshots(&self) -> impl Iterator<Item = (&str, &Snapshot, f64)> {
        let services = self.services.iter();
        services.map(|(name, it)| (name.as_str(), &it.snapshot, it.queue.backlog()))
    }

    fn service_mut(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            let service = Service::new(self.max_waiting_bytes);
            self.services.insert(name.to_owned(), service);
        }
        self.services.get_mut(name).expect("was just inserted")
    }

    fn record_decisions(&mut self, decisions: &[Decision], now: Millis) {
        for decision in decisions {
            let (Decision::Admit(number) | Decision::Refuse(number, _)) = decision;
            let Some(undecided) = self.undecided.remove(number) else {
                continue;
            };
            let service = self.services.get_mut(&undecided.service);
            if let (Decision::Admit(_), Some(service)) = (decision, service) {
                service.room.record_admission(&undecided.info(), now);
            }
        }
    }
}

/// A request that an endpoint has answered.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its route.
    pub route: &'a str,
    /// Its priority.
    pub priority: u8,
    /// Its cost.
    pub cost: f64,
    /// The time from when it was sent to the first byte of its answer.
    pub first_byte: Millis,
    /// Whether its service is a plain one.
    pub is_plain: bool,
}

impl Service {
    fn new(max_waiting_bytes: usize) -> Self {
        Self {
            room: Room::default(),
            queue: Queue::new(max_waiting_bytes),
            planner: Planner::default(),
            times_by_route: HashMap::new(),
            snapshot: Snapshot::default(),
        }
    }

    /// Whether the workspace of a request asks for no more than its share.
    fn is_within_share(&self, request: &Request<'_>) -> bool {
        let fraction = self.room.fraction(request.priority, request.workspace);
        fraction >= WHOLE_FRACTION
    }

    /// The admitted fraction of a workspace relative to that of the priority.
    fn relative_fraction(&self, priority: u8, workspace: &str) -> f64 {
        let own = self.room.fraction(priority, workspace);
        let all = self.room.priority_fraction(priority);
        if all > 0.0 { (own / all).min(1.0) } else { 1.0 }
    }
}

impl Request<'_> {
    fn info(&self) -> RequestInfo<'_> {
        RequestInfo {
            workspace: self.workspace,
            weight: self.weight,
            priority: self.priority,
            cost: self.cost,
        }
    }
}

impl Undecided {
    fn info(&self) -> RequestInfo<'_> {
        RequestInfo {
            workspace: &self.workspace,
            weight: self.weight,
            priority: self.priority,
            cost: self.cost,
        }
    }
}

/// Hundredths, as the waiting list takes whole weights.
fn whole_weight(weight: f64) -> u64 {
    // Between 0.01 and 100 in valid plans.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let hundredths = (weight * 100.0).round() as u64;
    hundredths.max(1)
}
