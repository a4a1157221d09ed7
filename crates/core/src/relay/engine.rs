//! Which endpoint a request is sent to.
//!
//! Each entry judges by what it has in flight itself, by the load that endpoints
//! report in their answers, and by the prompt parts that it believes them to
//! keep. An estimate is in milliseconds until the first byte of the answer.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay;
use crate::relay::division::{Demand, Division, READ_RATE};
use crate::relay::health::{Health, Sign};
use crate::relay::plan::Engine;
use crate::relay::prefix::{self, Prefix};
use crate::relay::roster::Endpoint;
use crate::relay::tidings::{self, Elsewhere, Others, Share, Tidings, Work};
use crate::relay::work::Part;

/// The price of one running request to one more, in ms: each step of the engine
/// takes about a tenth of a millisecond longer, over some tens of steps.
const RUNNING_COST: f64 = 2.0;
/// What a millisecond of reading a prompt costs the requests that come after it
/// and the streams beside it, in ms.
const READING_COST: f64 = 3.0;
/// The price of making steady streams stall, in ms: above any wait.
const STALL_COST: f64 = 5_000.0;
/// The part of an engine's slots up to which one more request is no danger to
/// those that run: above it, a burst that the entries see late may overfill the
/// engine, and it would put requests back that had begun.
const EASE: f64 = 0.6;
/// The price of each request above that, in ms: at a fifth of the slots more it
/// exceeds the price of an engine of the other side.
const CROWDING_COST: f64 = 50.0;
/// The price of an engine that is meant for the other sort of streams, in ms: so
/// much longer a request waits on its own side before it goes there.
const OTHER_SIDE_COST: f64 = 600.0;
/// What an endpoint in another data centre costs, in ms: the round trip, and the
/// bytes that are paid for between data centres. Reading a shared prompt again
/// costs far more.
const FAR_COST: f64 = 5.0;
/// What a certain failure would cost, in ms: about the time that a caller waits
/// before it is too late for another try.
const FAILURE_COST: f64 = 2_000.0;
/// An answer is overdue after so many times its expected wait, and a span in ms
/// that an endpoint may be busy with something else.
const OVERDUE_FACTOR: f64 = 2.0;
const OVERDUE_SLACK: f64 = 200.0;
/// The price of each millisecond for which an answer is overdue, in ms.
const OVERDUE_COST: f64 = 3.0;
/// The part of a shared prompt that the entries' common choice for it is
/// believed to keep.
const EXPECTED_KEPT: f64 = 0.9;
/// After so long a report of load counts for nothing.
const REPORT_LIFE: Millis = Millis(1_000);
/// The weight of one observation in the running averages.
const WEIGHT: f64 = 0.1;
/// Bounds of the factor by which an endpoint is slower than expected.
const SLOWNESS: (f64, f64) = (0.5, 20.0);
/// The time for one request at a plain service, before any was seen, in ms.
const FIRST_SERVICE_TIME: f64 = 20.0;

/// What is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// What it asks of a model engine; none for a plain service.
    pub work: Option<&'a relay::Work>,
    /// The engines of the service; none for a plain service.
    pub engine: Option<Engine>,
    /// The longest pause between two events of its stream that is on time.
    pub gap: Option<Millis>,
}

/// The load that an endpoint reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// A request that was sent; given back at its end.
#[derive(Debug)]
pub struct Ticket {
    endpoint: name::Endpoint,
    number: u64,
}

impl Ticket {
    /// Where it was sent.
    pub fn endpoint(&self) -> &name::Endpoint {
        &self.endpoint
    }
}

/// What is known of all endpoints' load.
#[derive(Debug)]
pub struct Loads {
    data_centre: name::DataCentre,
    endpoints: HashMap<name::Endpoint, Load>,
    service_time: HashMap<String, f64>,
    demands: HashMap<String, Demand>,
    others: Others,
    next: u64,
}

#[derive(Debug)]
struct Load {
    service: String,
    flights: HashMap<u64, Flight>,
    prefix: Prefix,
    report: Option<(Report, u32, Millis)>,
    slowness: f64,
    health: Health,
}

#[derive(Debug)]
struct Flight {
    began: Millis,
    expected: f64,
    unread: u32,
    held: u32,
    answered: bool,
}

impl Flight {
    fn overdue(&self, now: Millis) -> f64 {
        let due = self.expected * OVERDUE_FACTOR + OVERDUE_SLACK;
        ((now - self.began).0 as f64 - due).max(0.0)
    }
}

/// A choice, with the figures that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the first byte of the answer, in ms.
    pub wait: f64,
    /// What the choice costs in all, in ms: the wait, and what others suffer.
    pub cost: f64,
    /// Prompt tokens that are believed to be kept there.
    pub kept: u32,
    /// Prompt tokens that the engine will have to read then, this request's included.
    pub unread: f64,
}

impl Loads {
    /// Nothing is known yet, at an entry of this data centre.
    pub fn new(data_centre: name::DataCentre) -> Self {
        Self {
            data_centre,
            endpoints: HashMap::new(),
            service_time: HashMap::new(),
            demands: HashMap::new(),
            others: Others::default(),
            next: 0,
        }
    }

    /// The best of the endpoints; none where all are suspended or there is none.
    pub fn choose(
        &mut self,
        endpoints: &[&Endpoint],
        ask: &Ask<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let open = endpoints
            .iter()
            .filter(|it| !self.suspended(it.name.as_str()));
        let open: Vec<&Endpoint> = open.copied().collect();
        let division = self.divide(&open, now);
        let own = division.own_side(ask.work);
        let favourite = favourite(own, ask);
        let calm = self.calm_tokens(&open);
        let choices = division.engines().iter().map(|it| {
            let mut choice = self.estimate(it, ask, favourite == Some(&it.name), now);
            if !own.iter().any(|own| own.name == it.name) {
                choice.cost += OTHER_SIDE_COST;
            }
            if division.is_steady(it) && choice.unread > calm {
                choice.cost += STALL_COST;
            }
            choice
        });
        choices.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// How many unread tokens an engine may have before its steady streams stall.
    fn calm_tokens(&self, endpoints: &[&Endpoint]) -> f64 {
        let first = endpoints.first();
        let demand = first.and_then(|it| self.demands.get(&it.service));
        demand.map_or(f64::INFINITY, Demand::calm_tokens)
    }

    /// Divides the engines of a service between the two sorts of streams.
    fn divide<'e>(&mut self, endpoints: &[&'e Endpoint], now: Millis) -> Division<'e> {
        let Some(first) = endpoints.first() else {
            return Division::new(endpoints, 0);
        };
        let others = self.others.needed(&first.service, now);
        let demand = self.demands.get_mut(&first.service);
        let steady = demand.map_or(0, |demand| demand.settle(endpoints.len(), others, now));
        Division::new(endpoints, steady)
    }

    /// Whether requests are kept away from an endpoint.
    pub fn suspended(&self, endpoint: &str) -> bool {
        let load = self.endpoints.get(endpoint);
        load.is_some_and(|load| load.health.suspended())
    }

    /// The suspended endpoints that it is time to connect to.
    pub fn due(&self, now: Millis) -> Vec<name::Endpoint> {
        let due = self
            .endpoints
            .iter()
            .filter(|(_, load)| load.health.due(now));
        due.map(|(name, _)| name.clone()).collect()
    }

    fn estimate(
        &self,
        endpoint: &Endpoint,
        ask: &Ask<'_>,
        is_favourite: bool,
        now: Millis,
    ) -> Choice {
        let load = self.endpoints.get(&endpoint.name);
        let (wait, disturbance, kept, unread) = match (ask.work, ask.engine) {
            (Some(work), Some(engine)) => {
                let others = self.others.at(&endpoint.name, now);
                engine_wait(load, others, work, engine, is_favourite)
            }
            _ => (self.service_wait(load, endpoint, now), 0.0, 0, 0.0),
        };
        let slowness = load.map_or(1.0, |load| load.slowness);
        let failing = load.map_or(0.0, |load| load.health.failing());
        let overdue = load.map_or(0.0, |load| load.overdue(now));
        let is_far = endpoint.data_centre != self.data_centre;
        let far = if is_far { FAR_COST } else { 0.0 };
        let wait = wait * slowness;
        Choice {
            endpoint: endpoint.clone(),
            wait,
            cost: wait + disturbance + far + failing * FAILURE_COST + overdue * OVERDUE_COST,
            kept,
            unread,
        }
    }

    fn service_wait(&self, load: Option<&Load>, endpoint: &Endpoint, now: Millis) -> f64 {
        let time = self.service_time.get(&endpoint.service);
        let time = time.copied().unwrap_or(FIRST_SERVICE_TIME);
        let own = load.map_or(0.0, |load| load.flights.len() as f64);
        let others = load.map_or(0.0, |load| load.others(now));
        time * (1.0 + (own + others) / f64::from(endpoint.slots.max(1)))
    }

    /// Notes that a request goes to the chosen endpoint.
    pub fn begin(&mut self, choice: &Choice, ask: &Ask<'_>, now: Millis) -> Ticket {
        self.next += 1;
        let number = self.next;
        let name = choice.endpoint.name.clone();
        let memory = ask.engine.map_or(0, |engine| engine.memory_tokens);
        let load = self.endpoints.entry(name.clone()).or_insert_with(|| Load {
            service: choice.endpoint.service.clone(),
            flights: HashMap::new(),
            prefix: Prefix::new(memory),
            report: None,
            slowness: 1.0,
            health: Health::default(),
        });
        let parts: &[Part] = ask.work.map_or(&[], |work| &work.parts);
        load.prefix.touch(parts, now);
        if let (Some(work), Some(engine)) = (ask.work, ask.engine) {
            let unread = work.prompt_tokens.saturating_sub(choice.kept);
            let demand = self.demands.entry(choice.endpoint.service.clone());
            demand
                .or_default()
                .add(work, unread, engine.slots, ask.gap, now);
        }
        let prompt = ask.work.map_or(0, |work| work.prompt_tokens);
        let output = ask.work.map_or(0, relay::Work::output);
        let flight = Flight {
            began: now,
            expected: choice.wait,
            unread: prompt.saturating_sub(choice.kept),
            held: prompt + output,
            answered: false,
        };
        load.flights.insert(number, flight);
        Ticket {
            endpoint: name,
            number,
        }
    }

    /// Notes the first byte of an answer: the prompt is read.
    pub fn answered(&mut self, ticket: &Ticket, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let Some(flight) = load.flights.get_mut(&ticket.number) else {
            return;
        };
        flight.answered = true;
        flight.unread = 0;
        let took = (now - flight.began).0 as f64;
        let ratio = took / flight.expected.max(1.0);
        let slowness = load.slowness + WEIGHT * (ratio * load.slowness - load.slowness);
        load.slowness = slowness.clamp(SLOWNESS.0, SLOWNESS.1);
        let is_plain = flight.held == 0;
        if is_plain {
            let time = self.service_time.entry(load.service.clone());
            let time = time.or_insert(FIRST_SERVICE_TIME);
            *time += WEIGHT * (took - *time);
        }
    }

    /// Takes the load that an endpoint reported.
    pub fn report(&mut self, endpoint: &name::Endpoint, report: Report, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            let own = u32::try_from(load.flights.len()).unwrap_or(u32::MAX);
            load.report = Some((report, own, now));
        }
    }

    /// This entry's load, for the others; of at most so many endpoints.
    pub fn tidings(&self, most: usize, now: Millis) -> Tidings {
        let busy = self
            .endpoints
            .iter()
            .filter(|(_, load)| !load.flights.is_empty());
        let shares = busy.map(|(name, load)| Share {
            endpoint: tidings::key(name.as_str()),
            running: u32::try_from(load.flights.len()).unwrap_or(u32::MAX),
            unread: load.unread(),
            held: load.held(),
        });
        let mut shares: Vec<_> = shares.collect();
        shares.sort_unstable_by_key(|share| Reverse((share.unread, share.running)));
        shares.truncate(most);
        let works = self.demands.iter().map(|(service, demand)| Work {
            service: tidings::key(service),
            needed: demand.needed(now),
        });
        Tidings {
            shares,
            works: works.collect(),
        }
    }

    /// Takes what another entry tells of its load.
    pub fn tell(&mut self, entry: &name::Entry, tidings: &Tidings, now: Millis) {
        self.others.tell(entry, tidings, now);
    }

    /// Takes in what a connection or an answer tells of an endpoint.
    pub fn note(&mut self, endpoint: &name::Endpoint, sign: Sign, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            load.health.note(sign, now);
            if sign == Sign::Lost {
                load.prefix.clear();
            }
        }
    }

    /// Takes the request off the endpoint's load. One that ends while its answer
    /// is overdue tells against the endpoint, whoever ended it.
    pub fn end(&mut self, ticket: &Ticket, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let flight = load.flights.remove(&ticket.number);
        let is_overdue = |flight: Flight| !flight.answered && flight.overdue(now) > 0.0;
        if flight.is_some_and(is_overdue) {
            load.health.note(Sign::Bad, now);
        }
    }

    /// Forgets endpoints that are gone.
    pub fn forget(&mut self, endpoints: &[name::Endpoint]) {
        for endpoint in endpoints {
            self.endpoints.remove(endpoint);
        }
    }
}

impl Load {
    /// Requests of other entries there, by the last report; it fades with age.
    fn others(&self, now: Millis) -> f64 {
        let Some((report, own, at)) = self.report else {
            return 0.0;
        };
        let age = (now - at).0 as f64 / REPORT_LIFE.0 as f64;
        let others = (report.running + report.waiting).saturating_sub(own);
        f64::from(others) * (1.0 - age).max(0.0)
    }

    /// For how long, in ms, the oldest request without an answer is overdue: the
    /// first sign of an endpoint that accepts requests and does nothing.
    fn overdue(&self, now: Millis) -> f64 {
        let waiting = self.flights.values().filter(|flight| !flight.answered);
        let overdue = waiting.map(|flight| flight.overdue(now));
        overdue.fold(0.0, f64::max)
    }

    fn unread(&self) -> u32 {
        self.flights.values().map(|flight| flight.unread).sum()
    }

    fn held(&self) -> u32 {
        self.flights.values().map(|flight| flight.held).sum()
    }
}

/// The wait, what others suffer, the tokens kept, and those unread, at an engine.
fn engine_wait(
    load: Option<&Load>,
    others: Elsewhere,
    work: &relay::Work,
    engine: Engine,
    is_favourite: bool,
) -> (f64, f64, u32, f64) {
    let known = load.map_or(0, |load| load.prefix.kept(&work.parts));
    let shared: u32 = shared_parts(work).iter().map(|part| part.tokens).sum();
    let expected = if is_favourite {
        EXPECTED_KEPT * f64::from(shared)
    } else {
        0.0
    };
    let kept = f64::from(known).max(expected);
    let unread = (f64::from(work.prompt_tokens) - kept).max(0.0);
    let ahead = load.map_or(0.0, |load| f64::from(load.unread())) + others.unread;
    let running = load.map_or(0.0, |load| load.flights.len() as f64) + others.running;
    let held = load.map_or(0.0, |load| f64::from(load.held())) + others.held;
    let needed = held + f64::from(work.prompt_tokens + work.output());
    let lacking = (needed - f64::from(engine.memory_tokens)).max(0.0);
    let eased = EASE * f64::from(engine.slots);
    let crowding = (running + 1.0 - eased).max(0.0);
    let wait = (ahead + unread + lacking) / READ_RATE + running * RUNNING_COST;
    let disturbance = READING_COST * unread / READ_RATE + crowding * CROWDING_COST;
    // A sum of tokens that came from whole numbers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let kept = kept as u32;
    (wait, disturbance, kept, ahead + unread)
}

/// The endpoint that all entries choose first for a shared prompt of which they
/// know nothing else: rendezvous hashing.
fn favourite<'e>(endpoints: &[&'e Endpoint], ask: &Ask<'_>) -> Option<&'e name::Endpoint> {
    let shared = shared_parts(ask.work?);
    let chain = prefix::chains(shared).last()?;
    let score = |it: &&&Endpoint| prefix::mix(chain, tidings::hash(it.name.as_str()));
    endpoints.iter().max_by_key(score).map(|it| &it.name)
}

/// The parts that other prompts may share: all but the request's own last one.
fn shared_parts(work: &relay::Work) -> &[Part] {
    work.parts.split_last().map_or(&[], |(_, shared)| shared)
}
