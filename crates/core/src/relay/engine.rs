//! Which endpoint a request is sent to.
//!
//! Each entry judges by what it has in flight itself, by what the others tell of
//! theirs, by the load that endpoints report in their answers, and by the prompt
//! parts that it believes them to keep. Times and costs are in milliseconds.

mod beat;
mod candidates;
mod load;
mod source;

pub use load::Report;

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay;
use crate::relay::division::{Demand, Division};
use crate::relay::fading::Fading;
use crate::relay::health::Sign;
use crate::relay::pace::Pace;
use crate::relay::plan::Engine;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::tidings::{self, Others, Share, Tidings, Work};
use load::{Estimate, Load, at_engine, kept};
use source::Source;

/// The price of making steady streams stall, in ms: above any wait.
const STALL_COST: f64 = 5_000.0;
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
/// What a millisecond costs for which a stream runs after its first event: it holds
/// a place and memory that others wait for, and is lost if the engine is.
const RUN_COST: f64 = 0.1;
/// The price of each millisecond for which an answer is overdue, in ms.
const OVERDUE_COST: f64 = 3.0;
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

/// A choice, with the figures that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Expected time until the first byte of the answer, in ms.
    pub wait: f64,
    /// The part of that which is known to be due to other requests, in ms.
    pub queue: f64,
    /// Requests of this entry that are there.
    pub own: usize,
    /// Requests of all entries that are there, as far as is known.
    pub running: f64,
    /// The time from the first event of its stream to the last, in ms.
    pub run: f64,
    /// What the choice costs in all, in ms: the wait, and what others suffer.
    pub cost: f64,
    /// Prompt tokens that are believed to be kept there, or to be taken from elsewhere.
    pub kept: u32,
    /// The engine that some of them are to be taken from.
    pub source: Option<Endpoint>,
    /// Prompt tokens that the engine will have to read then, this request's included.
    pub unread: f64,
}

impl Choice {
    /// Whether the answer is to be expected too late for a caller that waits so long.
    ///
    /// What was learnt of an endpoint counts only while a request of this entry is
    /// there to correct it; else it would be kept away from for ever.
    pub fn is_too_late(&self, left: Millis) -> bool {
        let left = left.0 as f64;
        self.queue > left || (self.own > 0 && self.wait > left)
    }
}

/// What a request would meet at an endpoint, and what that costs in all, in ms.
#[derive(Clone, Copy, Debug)]
struct Prospect {
    estimate: Estimate,
    cost: f64,
}

/// What is known of all endpoints' load.
#[derive(Debug)]
pub struct Loads {
    data_centre: name::DataCentre,
    endpoints: HashMap<name::Endpoint, Load>,
    /// The usual time of a plain service, in ms.
    service_time: HashMap<String, Fading>,
    demands: HashMap<String, Demand>,
    paces: HashMap<String, Pace>,
    others: Others,
    next: u64,
    /// Where the draws of engines begin: entries draw differently.
    seed: u64,
    drawn: u64,
}

impl Loads {
    /// Nothing is known yet, at an entry of this data centre.
    pub fn new(data_centre: name::DataCentre, seed: u64) -> Self {
        Self {
            data_centre,
            endpoints: HashMap::new(),
            service_time: HashMap::new(),
            demands: HashMap::new(),
            paces: HashMap::new(),
            others: Others::default(),
            next: 0,
            seed,
            drawn: 0,
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
        let pace = open.first().map(|it| self.pace(&it.service));
        let pace = pace.unwrap_or_default();
        let is_for_steady = division.is_for_steady(ask.work);
        let favourite = candidates::favourite(&division, is_for_steady, ask);
        let calm = self.calm_tokens(&open, &pace);
        let entries = self.others.count(now) + 1;
        let candidates = candidates::draw(&division, favourite, entries, self.next_draw());
        let choices = candidates.into_iter().map(|(engine, is_steady)| {
            let is_favourite = favourite == Some(&engine.name);
            let mut prospect = self.estimate(engine, ask, is_favourite, &pace, now);
            if is_steady != is_for_steady {
                prospect.cost += OTHER_SIDE_COST;
            }
            if is_steady && prospect.estimate.unread > calm {
                prospect.cost += STALL_COST;
            }
            (engine, prospect)
        });
        let best = choices.min_by(|(_, left), (_, right)| left.cost.total_cmp(&right.cost));
        let (endpoint, Prospect { estimate, cost }) = best?;
        let source = self.source(&open, favourite, ask);
        Some(Choice {
            endpoint: endpoint.clone(),
            wait: estimate.wait,
            queue: estimate.queue,
            own: self.running(&endpoint.name),
            running: estimate.running,
            run: estimate.run,
            cost,
            kept: estimate.kept,
            source: source
                .filter(|it| it.serves(endpoint, estimate.kept))
                .map(|it| it.engine.clone()),
            unread: estimate.unread,
        })
    }

    /// The engine that is believed to keep most of a prompt, if engines give kept parts
    /// to one another.
    fn source<'e>(
        &self,
        engines: &[&'e Endpoint],
        favourite: Option<&name::Endpoint>,
        ask: &Ask<'_>,
    ) -> Option<Source<'e>> {
        let work = ask.work?;
        ask.engine.filter(|engine| engine.moves_prompts)?;
        let sources = engines.iter().map(|engine| {
            let load = self.endpoints.get(&engine.name);
            let is_favourite = favourite == Some(&engine.name);
            let kept = kept(load, work, is_favourite);
            Source { engine, kept }
        });
        sources.max_by(|left, right| left.kept.total_cmp(&right.kept))
    }

    fn next_draw(&mut self) -> u64 {
        self.drawn += 1;
        prefix::mix(self.seed, self.drawn)
    }

    /// How many unread tokens an engine may have before its steady streams stall.
    fn calm_tokens(&self, endpoints: &[&Endpoint], pace: &Pace) -> f64 {
        let first = endpoints.first();
        let demand = first.and_then(|it| self.demands.get(&it.service));
        demand.map_or(f64::INFINITY, |demand| demand.calm_tokens(pace))
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

    /// What is known of the speed of a service's engines.
    fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).cloned().unwrap_or_default()
    }

    /// Whether requests are kept away from an endpoint.
    pub fn suspended(&self, endpoint: &str) -> bool {
        let load = self.endpoints.get(endpoint);
        load.is_some_and(|load| load.health.suspended())
    }

    /// The suspended endpoints that it is time to connect to.
    pub fn due(&self, now: Millis) -> Vec<name::Endpoint> {
        let all = self.endpoints.iter();
        let due = all.filter(|(_, load)| load.health.due(now));
        due.map(|(name, _)| name.clone()).collect()
    }

    fn running(&self, endpoint: &name::Endpoint) -> usize {
        self.endpoints.get(endpoint).map_or(0, Load::running)
    }

    fn estimate(
        &self,
        endpoint: &Endpoint,
        ask: &Ask<'_>,
        is_favourite: bool,
        pace: &Pace,
        now: Millis,
    ) -> Prospect {
        let load = self.endpoints.get(&endpoint.name);
        let estimate = match (ask.work, ask.engine) {
            (Some(work), Some(engine)) => {
                let others = self.others.at(&endpoint.name, pace.read_rate(), now);
                let token_time = pace.token_time(0.0);
                let token_time =
                    load.map_or(token_time, |load| load.beat.token_time(token_time, now));
                let mut estimate = at_engine(load, others, work, engine, is_favourite, pace);
                estimate.run = f64::from(work.output()) * token_time;
                estimate.disturbance += RUN_COST * estimate.run;
                estimate
            }
            _ => self.at_service(load, endpoint, now),
        };
        let slowness = load.map_or(1.0, |load| load.slowness(now));
        let failing = load.map_or(0.0, |load| load.health.failing());
        let overdue = load.map_or(0.0, |load| load.overdue(now));
        let is_far = endpoint.data_centre != self.data_centre;
        let far = if is_far { FAR_COST } else { 0.0 };
        let wait = estimate.wait * slowness;
        let trouble = failing * FAILURE_COST + overdue * OVERDUE_COST;
        Prospect {
            estimate: Estimate { wait, ..estimate },
            cost: wait + estimate.disturbance + far + trouble,
        }
    }

    /// What a request would meet at an endpoint of a plain service.
    fn at_service(&self, load: Option<&Load>, endpoint: &Endpoint, now: Millis) -> Estimate {
        let time = self.service_time.get(&endpoint.service);
        let time = time.map_or(FIRST_SERVICE_TIME, |time| time.now(now));
        let own = load.map_or(0.0, |load| load.running() as f64);
        let others = load.map_or(0.0, |load| load.reported_others(now));
        let slots = f64::from(endpoint.slots.max(1));
        let waiting = (own + others) / slots;
        Estimate {
            wait: time * (1.0 + waiting),
            queue: FIRST_SERVICE_TIME * waiting,
            disturbance: 0.0,
            kept: 0,
            unread: 0.0,
            run: 0.0,
            running: own + others,
        }
    }

    /// Notes that a request goes to the chosen endpoint.
    pub fn begin(&mut self, choice: &Choice, ask: &Ask<'_>, now: Millis) -> Ticket {
        self.next += 1;
        let endpoint = &choice.endpoint;
        let memory = ask.engine.map_or(0, |engine| engine.memory_tokens);
        let load = self.endpoints.entry(endpoint.name.clone());
        let load = load.or_insert_with(|| Load::new(&endpoint.service, memory));
        load.begin(self.next, choice, ask, now);
        self.demand(choice, ask, now);
        Ticket {
            endpoint: endpoint.name.clone(),
            number: self.next,
        }
    }

    /// Notes that a request is turned away for which this was the best choice: it counts
    /// for the division of the engines as if it had been sent. Else the side that turns
    /// requests away would seem to need less, and lose engines to the other.
    pub fn turn_away(&mut self, choice: &Choice, ask: &Ask<'_>, now: Millis) {
        self.demand(choice, ask, now);
    }

    fn demand(&mut self, choice: &Choice, ask: &Ask<'_>, now: Millis) {
        let Some(work) = ask.work else {
            return;
        };
        let service = &choice.endpoint.service;
        self.paces.entry(service.clone()).or_default();
        let unread = work.prompt_tokens.saturating_sub(choice.kept);
        let demand = self.demands.entry(service.clone()).or_default();
        demand.add(ask, unread, now);
    }

    /// Notes the first byte of an answer.
    pub fn answered(&mut self, ticket: &Ticket, is_plain: bool, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let pace = self.paces.entry(load.service.clone()).or_default();
        let took = load.answered(ticket.number, pace, now);
        if let Some(took) = took.filter(|_| is_plain) {
            let time = self.service_time.entry(load.service.clone());
            let time = time.or_insert(Fading::new(FIRST_SERVICE_TIME));
            time.learn(took, now);
        }
    }

    /// Notes an event of a stream that holds so many tokens.
    pub fn event(&mut self, ticket: &Ticket, tokens: u32, now: Millis) {
        let Some(load) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        let Some(pause) = load.event(ticket.number, now) else {
            return;
        };
        let pace = self.paces.entry(load.service.clone()).or_default();
        let others = self.others.at(&ticket.endpoint, pace.read_rate(), now);
        let running = load.running() as f64 + others.running;
        load.beat.pause(pause, tokens, running, pace, now);
    }

    /// Notes how a stream of a service ended: whether it was late, or turned away since
    /// it would have been.
    pub fn ended(&mut self, service: &str, is_steady: bool, is_late: bool, now: Millis) {
        if let Some(demand) = self.demands.get_mut(service) {
            demand.ended(is_steady, is_late, now);
        }
    }

    /// Takes the load that an endpoint reported.
    pub fn report(&mut self, endpoint: &name::Endpoint, report: Report, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            load.report(report, now);
        }
    }

    /// This entry's load, for the others; of at most so many endpoints.
    pub fn tidings(&self, most: usize, now: Millis) -> Tidings {
        let all = self.endpoints.iter();
        let busy = all.filter(|(_, load)| load.running() > 0);
        let shares = busy.map(|(name, load)| Share {
            endpoint: tidings::key(name.as_str()),
            running: u32::try_from(load.running()).unwrap_or(u32::MAX),
            unread: load.unread(),
            held: load.held(),
            token_time: load.beat.seen(now).map_or(0, |it| whole(it * 10.0)),
        });
        let mut shares: Vec<_> = shares.collect();
        shares.sort_unstable_by_key(|share| Reverse((share.unread, share.running)));
        shares.truncate(most);
        let works = self.demands.iter().map(|(service, demand)| Work {
            service: tidings::key(service),
            needed: demand.needed(now),
            pace: self.pace(service).tell(),
        });
        Tidings {
            shares,
            works: works.collect(),
        }
    }

    /// Takes what another entry tells of its load.
    pub fn tell(&mut self, entry: &name::Entry, tidings: &Tidings, now: Millis) {
        self.others.tell(entry, tidings, now);
        for (service, pace) in &mut self.paces {
            let key = tidings::key(service);
            let mut works = tidings.works.iter();
            if let Some(work) = works.find(|work| work.service == key) {
                pace.told(&work.pace);
            }
        }
        let shares = tidings.shares.iter();
        let shares: HashMap<_, _> = shares.map(|it| (it.endpoint, it)).collect();
        for (name, load) in &mut self.endpoints {
            let share = shares.get(&tidings::key(name.as_str()));
            if let Some(share) = share.filter(|share| share.token_time > 0) {
                load.beat.told(f64::from(share.token_time) / 10.0, now);
            }
        }
    }

    /// Takes in what a connection or an answer tells of an endpoint.
    pub fn note(&mut self, endpoint: &name::Endpoint, sign: Sign, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            load.note(sign, now);
        }
    }

    /// Takes the request off the endpoint's load.
    pub fn end(&mut self, ticket: &Ticket, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(&ticket.endpoint) {
            load.end(ticket.number, now);
        }
    }

    /// Forgets endpoints that are gone.
    pub fn forget(&mut self, endpoints: &[name::Endpoint]) {
        for endpoint in endpoints {
            self.endpoints.remove(endpoint);
        }
    }
}

/// A span in whole ms.
fn whole(span: f64) -> u16 {
    // Clamped to what fits.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = span.round().clamp(0.0, f64::from(u16::MAX)) as u16;
    whole
}
