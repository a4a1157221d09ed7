//! Which endpoint a request is sent to.
//!
//! Each entry judges by what it has in flight itself, by the load that endpoints
//! report in their answers, and by the prompt parts that it believes them to
//! keep. An estimate is in milliseconds until the first byte of the answer.

use std::cmp::Reverse;
use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::health::{Health, Sign};
use crate::relay::plan::Engine;
use crate::relay::prefix::{self, Prefix};
use crate::relay::roster::Endpoint;
use crate::relay::work::{Part, Work};

/// Prompt tokens that an engine reads in a millisecond, before any was seen to.
const FIRST_RATE: f64 = 50.0;
/// The price of one running request to one more, in ms: each step of the engine
/// takes about a tenth of a millisecond longer, over some tens of steps.
const RUNNING_COST: f64 = 2.0;
/// What a millisecond of reading a prompt costs the requests that come after it
/// and the streams beside it, in ms.
const READING_COST: f64 = 3.0;
/// The price of an engine that is meant for the other sort of streams, in ms: so
/// much longer a request waits on its own side before it goes there.
const OTHER_SIDE_COST: f64 = 600.0;
/// How long an engine takes for a token of a stream, in ms, for estimates.
const TOKEN_TIME: f64 = 4.0;
/// A stream is steady if it runs for so many times as long as its prompt is read.
const STEADY_RATIO: f64 = 10.0;
/// The part of an engine's slots that steady streams are to fill before they get
/// one more engine.
const STEADY_FILL: f64 = 0.4;
/// How many engines' worth the demand for steady streams must fall below what it
/// has before it loses one.
const STEADY_SLACK: f64 = 0.3;
/// The span over which the demand for steady streams is averaged, in ms.
const DEMAND_SPAN: f64 = 3_000.0;
/// What an endpoint in another data centre costs, in ms: the round trip, and the
/// bytes that are paid for between data centres. Reading a shared prompt again
/// costs far more.
const FAR_COST: f64 = 5.0;
/// What a certain failure would cost, in ms: about the time that a caller waits
/// before it is too late for another try.
const FAILURE_COST: f64 = 2_000.0;
/// The part of a shared prompt that the entries' common choice for it is
/// believed to keep.
const EXPECTED_KEPT: f64 = 0.9;
/// After so long the share of another entry counts for nothing: it may be gone.
const SHARE_LIFE: Millis = Millis(1_500);
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
    pub work: Option<&'a Work>,
    /// The engines of the service; none for a plain service.
    pub engine: Option<Engine>,
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

/// What one entry has in flight at an endpoint, as it tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Which endpoint: [`Share::key`] of its name.
    pub endpoint: u32,
    /// Requests of the entry there.
    pub running: u32,
    /// Prompt tokens of them that are not read yet.
    pub unread: u32,
}

impl Share {
    /// The short form of an endpoint's name. Two endpoints share one with a
    /// probability of one in four thousand millions; their loads are then summed.
    pub fn key(endpoint: &str) -> u32 {
        let hash = text_hash(endpoint);
        // The lower half of an evenly mixed number.
        #[allow(clippy::cast_possible_truncation)]
        let key = hash as u32;
        key
    }
}

/// How many steady streams of one entry run at a service at once on average, as
/// it tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Steady {
    /// Which service: [`Share::key`] of its name.
    pub service: u32,
    /// How many.
    pub running: f32,
}

/// What an entry tells the others of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tidings {
    /// Its load by endpoint, the heaviest first.
    pub shares: Vec<Share>,
    /// Its steady streams by service.
    pub steady: Vec<Steady>,
}

/// The load of one other entry.
#[derive(Debug)]
struct Told {
    shares: HashMap<u32, Share>,
    steady: Vec<Steady>,
    at: Millis,
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
    loads: HashMap<name::Endpoint, Load>,
    service_time: HashMap<String, f64>,
    demand: HashMap<String, Demand>,
    told: HashMap<name::Entry, Told>,
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

/// What other entries have in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    running: f64,
    unread: f64,
}

/// How long requests of the steady sort run, averaged over a while.
#[derive(Debug, Default)]
struct Demand {
    /// Running time that was asked for, in ms; it fades with age.
    asked: f64,
    at: Millis,
    /// The slots of one engine of the service.
    slots: Option<u32>,
    /// How many engines are for steady streams.
    engines: f64,
}

impl Demand {
    fn add(&mut self, time: f64, now: Millis) {
        self.asked = self.faded(now) + time;
        self.at = now;
    }

    fn faded(&self, now: Millis) -> f64 {
        let age = (now - self.at).0 as f64;
        self.asked * (-age / DEMAND_SPAN).exp()
    }

    /// How many of this entry's requests run at once on average.
    fn running(&self, now: Millis) -> f64 {
        self.faded(now) / DEMAND_SPAN
    }
}

/// The engines of a service in an order that all entries share, divided in two:
/// the first few for steady streams, the others for long prompts. A stream whose
/// events must come in quick succession suffers from each prompt that its engine
/// reads beside it.
#[derive(Debug)]
struct Division<'e> {
    engines: Vec<&'e Endpoint>,
    steady: usize,
}

impl<'e> Division<'e> {
    fn new(endpoints: &[&'e Endpoint], wanted: f64) -> Self {
        let mut engines = endpoints.to_vec();
        engines.sort_by_key(|it| (text_hash(it.name.as_str()), it.name.clone()));
        let most = engines.len() / 2;
        let wanted = wanted.clamp(0.0, most as f64);
        // Clamped to the number of engines.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let steady = wanted as usize;
        Self { engines, steady }
    }

    /// The engines for a request, and those for the other sort.
    fn sides(&self, ask: &Ask<'_>) -> (&[&'e Endpoint], &[&'e Endpoint]) {
        let (steady, others) = self.engines.split_at(self.steady);
        match ask.work {
            Some(work) if is_steady(work) && !steady.is_empty() => (steady, others),
            _ => (others, steady),
        }
    }
}

/// Whether a request's answer runs much longer than its prompt is read.
fn is_steady(work: &Work) -> bool {
    let reading = f64::from(work.prompt_tokens) / FIRST_RATE;
    running_time(work) >= STEADY_RATIO * reading
}

/// How long an answer runs, in ms.
fn running_time(work: &Work) -> f64 {
    f64::from(work.output()) * TOKEN_TIME
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
}

impl Loads {
    /// Nothing is known yet, at an entry of this data centre.
    pub fn new(data_centre: name::DataCentre) -> Self {
        Self {
            data_centre,
            loads: HashMap::new(),
            service_time: HashMap::new(),
            demand: HashMap::new(),
            told: HashMap::new(),
            next: 0,
        }
    }

    /// The best of the endpoints; none where all are suspended or there is none.
    pub fn choose(&self, endpoints: &[&Endpoint], ask: &Ask<'_>, now: Millis) -> Option<Choice> {
        let open = endpoints
            .iter()
            .filter(|it| !self.suspended(it.name.as_str()));
        let open: Vec<&Endpoint> = open.copied().collect();
        let division = self.divide(&open);
        let (own, _) = division.sides(ask);
        let favourite = favourite(own, ask);
        let choices = division.engines.iter().map(|it| {
            let mut choice = self.estimate(it, ask, favourite == Some(&it.name), now);
            if !own.iter().any(|own| own.name == it.name) {
                choice.cost += OTHER_SIDE_COST;
            }
            choice
        });
        choices.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Divides the engines between the two sorts of streams, by how much there is
    /// of the steady sort.
    fn divide<'e>(&self, endpoints: &[&'e Endpoint]) -> Division<'e> {
        let service = endpoints.first().map(|it| it.service.as_str());
        let demand = service.and_then(|service| self.demand.get(service));
        Division::new(endpoints, demand.map_or(0.0, |demand| demand.engines))
    }

    /// Whether requests are kept away from an endpoint.
    pub fn suspended(&self, endpoint: &str) -> bool {
        let load = self.loads.get(endpoint);
        load.is_some_and(|load| load.health.suspended())
    }

    /// The suspended endpoints that it is time to connect to.
    pub fn due(&self, now: Millis) -> Vec<name::Endpoint> {
        let due = self.loads.iter().filter(|(_, load)| load.health.due(now));
        due.map(|(name, _)| name.clone()).collect()
    }


    fn estimate(
        &self,
        endpoint: &Endpoint,
        ask: &Ask<'_>,
        is_favourite: bool,
        now: Millis,
    ) -> Choice {
        let load = self.loads.get(&endpoint.name);
        let (wait, disturbance, kept) = match (ask.work, ask.engine) {
            (Some(work), Some(engine)) => {
                let others = self.others(&endpoint.name, now);
                engine_wait(load, others, work, engine, is_favourite)
            }
            _ => (self.service_wait(load, endpoint, now), 0.0, 0),
        };
        let slowness = load.map_or(1.0, |load| load.slowness);
        let failing = load.map_or(0.0, |load| load.health.failing());
        let is_far = endpoint.data_centre != self.data_centre;
        let far = if is_far { FAR_COST } else { 0.0 };
        let wait = wait * slowness;
        Choice {
            endpoint: endpoint.clone(),
            wait,
            cost: wait + disturbance + far + failing * FAILURE_COST,
            kept,
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
        let load = self.loads.entry(name.clone()).or_insert_with(|| Load {
            service: choice.endpoint.service.clone(),
            flights: HashMap::new(),
            prefix: Prefix::new(memory),
            report: None,
            slowness: 1.0,
            health: Health::default(),
        });
        let parts: &[Part] = ask.work.map_or(&[], |work| &work.parts);
        load.prefix.touch(parts, now);
        if let Some(work) = ask.work.filter(|work| is_steady(work)) {
            let demand = self.demand.entry(choice.endpoint.service.clone());
            let demand = demand.or_default();
            demand.slots = ask.engine.map(|engine| engine.slots);
            demand.add(running_time(work), now);
        }
        let prompt = ask.work.map_or(0, |work| work.prompt_tokens);
        let output = ask.work.map_or(0, Work::output);
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
        let Some(load) = self.loads.get_mut(&ticket.endpoint) else {
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
        if let Some(load) = self.loads.get_mut(endpoint) {
            let own = u32::try_from(load.flights.len()).unwrap_or(u32::MAX);
            load.report = Some((report, own, now));
        }
    }

    /// This entry's load, for the others; of at most so many endpoints.
    pub fn tidings(&self, most: usize, now: Millis) -> Tidings {
        let busy = self
            .loads
            .iter()
            .filter(|(_, load)| !load.flights.is_empty());
        let shares = busy.map(|(name, load)| Share {
            endpoint: Share::key(name.as_str()),
            running: u32::try_from(load.flights.len()).unwrap_or(u32::MAX),
            unread: load.unread(),
        });
        let mut shares: Vec<_> = shares.collect();
        shares.sort_unstable_by_key(|share| Reverse((share.unread, share.running)));
        shares.truncate(most);
        let steady = self.demand.iter().map(|(service, demand)| Steady {
            service: Share::key(service),
            // An average that is used for estimates only.
            #[allow(clippy::cast_possible_truncation)]
            running: demand.running(now) as f32,
        });
        Tidings {
            shares,
            steady: steady.collect(),
        }
    }

    /// Takes what another entry tells of its load.
    pub fn tell(&mut self, entry: &name::Entry, tidings: &Tidings, now: Millis) {
        let shares = tidings.shares.iter().map(|share| (share.endpoint, *share));
        let told = Told {
            shares: shares.collect(),
            steady: tidings.steady.clone(),
            at: now,
        };
        self.told.insert(entry.clone(), told);
        self.told.retain(|_, told| now - told.at < SHARE_LIFE);
        self.settle(now);
    }

    /// Adjusts how many engines steady streams get: one more as soon as they need
    /// it, one less only once they clearly do not, so that the sides stay.
    fn settle(&mut self, now: Millis) {
        let own: Vec<_> = self.demand.keys().cloned().collect();
        for service in own {
            let running = self.steady_running(&service, now);
            let Some(demand) = self.demand.get_mut(&service) else {
                continue;
            };
            let Some(slots) = demand.slots else { continue };
            let full = STEADY_FILL * f64::from(slots);
            let wanted = running / full;
            if wanted > demand.engines {
                demand.engines = wanted.ceil();
            } else if wanted < demand.engines - 1.0 - STEADY_SLACK {
                demand.engines -= 1.0;
            }
        }
    }

    /// The steady streams of all entries at a service.
    fn steady_running(&self, service: &str, now: Millis) -> f64 {
        let key = Share::key(service);
        let own = self.demand.get(service);
        let own = own.map_or(0.0, |demand| demand.running(now));
        let others = self.told.values().flat_map(|told| &told.steady);
        let others = others.filter(|steady| steady.service == key);
        own + others.map(|steady| f64::from(steady.running)).sum::<f64>()
    }

    /// What other entries have at an endpoint: requests, and prompt tokens that
    /// are not read yet, less what the endpoint has read since.
    fn others(&self, endpoint: &name::Endpoint, now: Millis) -> Others {
        let key = Share::key(endpoint.as_str());
        let mut others = Others::default();
        for told in self.told.values() {
            let age = (now - told.at).0 as f64;
            let Some(share) = told.shares.get(&key) else {
                continue;
            };
            if age > SHARE_LIFE.0 as f64 {
                continue;
            }
            others.running += f64::from(share.running);
            others.unread += (f64::from(share.unread) - age * FIRST_RATE).max(0.0);
        }
        others
    }

    /// Takes in what a connection or an answer tells of an endpoint.
    pub fn note(&mut self, endpoint: &name::Endpoint, sign: Sign, now: Millis) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.health.note(sign, now);
            if sign == Sign::Lost {
                load.prefix.clear();
            }
        }
    }

    /// Takes the request off the endpoint's load.
    pub fn end(&mut self, ticket: &Ticket) {
        if let Some(load) = self.loads.get_mut(&ticket.endpoint) {
            load.flights.remove(&ticket.number);
        }
    }

    /// Forgets endpoints that are gone.
    pub fn forget(&mut self, endpoints: &[name::Endpoint]) {
        for endpoint in endpoints {
            self.loads.remove(endpoint);
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

    fn unread(&self) -> u32 {
        self.flights.values().map(|flight| flight.unread).sum()
    }

    fn held(&self) -> f64 {
        let held = self.flights.values().map(|flight| flight.held);
        f64::from(held.sum::<u32>())
    }
}

/// The wait, what running streams suffer, and the tokens kept, at an engine.
fn engine_wait(
    load: Option<&Load>,
    others: Others,
    work: &Work,
    engine: Engine,
    is_favourite: bool,
) -> (f64, f64, u32) {
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
    let held = load.map_or(0.0, Load::held);
    let needed = held + f64::from(work.prompt_tokens + work.output());
    let lacking = (needed - f64::from(engine.memory_tokens)).max(0.0);
    let over_slots = (running + 1.0 - f64::from(engine.slots)).max(0.0);
    let wait = (ahead + unread + lacking) / FIRST_RATE
        + running * RUNNING_COST
        + over_slots * FIRST_SERVICE_TIME;
    let disturbance = READING_COST * unread / FIRST_RATE;
    // A sum of tokens that came from whole numbers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let kept = kept as u32;
    (wait, disturbance, kept)
}

/// The endpoint that all entries choose first for a shared prompt of which they
/// know nothing else: rendezvous hashing.
fn favourite<'e>(endpoints: &[&'e Endpoint], ask: &Ask<'_>) -> Option<&'e name::Endpoint> {
    let shared = shared_parts(ask.work?);
    let chain = prefix::chains(shared).last()?;
    let score = |it: &&&Endpoint| prefix::mix(chain, text_hash(it.name.as_str()));
    endpoints.iter().max_by_key(score).map(|it| &it.name)
}

/// The parts that other prompts may share: all but the request's own last one.
fn shared_parts(work: &Work) -> &[Part] {
    work.parts.split_last().map_or(&[], |(_, shared)| shared)
}

fn text_hash(text: &str) -> u64 {
    let bytes = text.bytes();
    bytes.fold(0, |hash, byte| prefix::mix(hash, u64::from(byte)))
}
