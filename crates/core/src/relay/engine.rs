//! Which endpoint a request is sent to.
//!
//! Each entry judges by what it has in flight itself, by what the others tell of
//! theirs, by the load that endpoints report in their answers, and by the prompt
//! parts that it believes them to keep. Times and costs are in milliseconds.

mod beat;
mod candidates;
mod choice;
mod load;
mod part;
mod source;
mod telling;

pub use choice::Choice;
pub use load::Report;

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::Ask;
use crate::relay::division::Demand;
use crate::relay::fading::Fading;
use crate::relay::health::Sign;
use crate::relay::load_report::PeerReports;
use crate::relay::pace::Pace;
use load::Load;
use part::Part;

/// The time for one request at a plain service, before any was seen, in ms.
const FIRST_SERVICE_TIME: f64 = 20.0;

/// A request that was sent; given back at its end.
#[derive(Debug)]
pub struct Ticket {
    endpoint: name::Life,
    number: u64,
}

impl Ticket {
    /// Where it was sent.
    pub fn endpoint(&self) -> &name::Life {
        &self.endpoint
    }
}

/// What is known of all endpoints' load.
#[derive(Debug)]
pub struct Loads {
    data_centre: name::DataCentre,
    /// By life: one that starts again under its name begins with nothing.
    endpoints: HashMap<name::Life, Load>,
    /// The usual time of a plain service, in ms.
    service_time: HashMap<String, Fading>,
    demands: HashMap<String, Demand>,
    paces: HashMap<String, Pace>,
    /// How many engines of each service are in use.
    parts: HashMap<String, Part>,
    others: PeerReports,
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
            parts: HashMap::new(),
            others: PeerReports::default(),
            next: 0,
            seed,
            drawn: 0,
        }
    }

    /// What is known of the speed of a service's engines.
    fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).cloned().unwrap_or_default()
    }

    /// Whether requests are kept away from an endpoint.
    pub fn suspended(&self, endpoint: &name::Life) -> bool {
        let load = self.endpoints.get(endpoint);
        load.is_some_and(|load| load.health.suspended())
    }

    /// The suspended endpoints that it is time to connect to.
    pub fn due(&self, now: Millis) -> Vec<name::Life> {
        let all = self.endpoints.iter();
        let due = all.filter(|(_, load)| load.health.due(now));
        due.map(|(life, _)| life.clone()).collect()
    }

    fn own(&self, endpoint: &name::Life) -> usize {
        self.endpoints.get(endpoint).map_or(0, Load::running)
    }

    /// Notes that a request goes to the chosen endpoint.
    pub fn begin(&mut self, choice: &Choice, ask: &Ask<'_>, now: Millis) -> Ticket {
        self.next += 1;
        let endpoint = &choice.endpoint;
        let memory = ask.engine.map_or(0, |engine| engine.memory_tokens);
        let load = self.endpoints.entry(endpoint.life.clone());
        let load = load.or_insert_with(|| Load::new(&endpoint.service, memory));
        load.begin(self.next, choice, ask, now);
        self.demand(choice, ask, now);
        Ticket {
            endpoint: endpoint.life.clone(),
            number: self.next,
        }
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
        let Some(window) = load.beat.pause(pause, now) else {
            return;
        };
        let token_time = load.beat.judge(window, tokens, now);
        let pace = self.paces.entry(load.service.clone()).or_default();
        let others = self.others.load_at(&ticket.endpoint, pace.read_rate(), now);
        pace.token(load.running() as f64 + others.running, token_time);
    }

    /// Notes how a stream of a service ended: whether it was late, or turned away since
    /// it would have been.
    pub fn ended(&mut self, service: &str, is_steady: bool, is_late: bool, now: Millis) {
        if let Some(demand) = self.demands.get_mut(service) {
            demand.ended(is_steady, is_late, now);
        }
    }

    /// How many engines the requests of so many entries to a service need at ease. Those that
    /// were not heard lately are taken to have as much as the others.
    pub fn engines_needed(&self, service: &str, entries: usize, now: Millis) -> f64 {
        let own = self.demands.get(service);
        let own = own.map(|demand| demand.needed(now)).unwrap_or_default();
        let others = self.others.required_rate(service, now);
        let tokens = own.steady + own.prefill + others.steady + others.prefill;
        let heard = self.others.count(now) + 1;
        let part = heard as f64 / entries.max(heard) as f64;
        tokens / part / self.pace(service).read_rate()
    }

    /// Takes the load that an endpoint reported.
    pub fn report(&mut self, endpoint: &name::Life, report: Report, now: Millis) {
        if let Some(load) = self.endpoints.get_mut(endpoint) {
            load.report(report, now);
        }
    }

    /// Takes in what a connection or an answer tells of an endpoint.
    pub fn note(&mut self, endpoint: &name::Life, sign: Sign, now: Millis) {
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
    pub fn forget(&mut self, endpoints: &[name::Life]) {
        for endpoint in endpoints {
            self.endpoints.remove(endpoint);
        }
    }
}
