//! The load state of a life, with events of it and of the life before arriving in any order.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::engine::{Choice, LoadBalancer, Report, Ticket};
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::load_report::{EndpointLoad, life_key};
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{PLAIN, caption};
use crate::roster::{endpoint, started};
use crate::source::transferring;

/// The number of other entries that report their load.
const PEERS: usize = 2;
/// The number of events of a stream, enough to show the time per token, and the interval
/// between two.
const EVENTS: u64 = 20;
const EVENT_INTERVAL: u64 = 60;

/// The endpoint that an event is about.
#[derive(Clone, Copy, Debug)]
enum Target {
    Earlier,
    Later,
    /// Another endpoint of the service.
    Other,
}

/// An event that concerns an endpoint.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request is sent there, with a prompt of this subject.
    Send(u64),
    /// The answer to its oldest request begins.
    FirstByte,
    /// The stream of its oldest request delivers many events.
    StreamEvents,
    /// Its oldest request ends.
    End,
    /// It reports its load.
    Report(u32),
    /// A connection or an answer shows its health.
    Signal(HealthSignal),
    /// Another entry sends it a request, and reports its load.
    Gossip(usize),
    /// It no longer exists and is removed.
    Gone,
}

fn history() -> impl Strategy<Value = Vec<(Target, Event, u64)>> {
    let target = prop_oneof![
        Just(Target::Earlier),
        Just(Target::Later),
        Just(Target::Other)
    ];
    let signal = prop_oneof![
        Just(HealthSignal::Success),
        Just(HealthSignal::Failure),
        Just(HealthSignal::Lost)
    ];
    let event = prop_oneof![
        3 => (0_u64..3).prop_map(Event::Send),
        1 => Just(Event::FirstByte),
        1 => Just(Event::StreamEvents),
        1 => Just(Event::End),
        1 => (0_u32..200).prop_map(Event::Report),
        1 => signal.prop_map(Event::Signal),
        1 => (0..PEERS).prop_map(Event::Gossip),
        1 => Just(Event::Gone),
    ];
    proptest::collection::vec((target, event, 0_u64..400), 1..30)
}

/// An entry's estimates for the later life, and what it reports about that life to others.
#[derive(Debug, PartialEq)]
struct View {
    stream: Option<Choice>,
    plain: Option<Choice>,
    is_suspended: bool,
    shared: Option<EndpointLoad>,
}

/// An entry, the other entries, and the endpoints that they know.
struct Stage {
    balancer: LoadBalancer,
    peers: [LoadBalancer; PEERS],
    earlier: Endpoint,
    later: Endpoint,
    other: Endpoint,
    tickets: Vec<Ticket>,
    now: Millis,
}

impl Stage {
    fn new(earlier: &Endpoint, later: &Endpoint) -> Self {
        let balancer = |seed| LoadBalancer::new(name::DataCentre::from("dub-a"), seed);
        Self {
            balancer: balancer(1),
            peers: [balancer(2), balancer(3)],
            earlier: earlier.clone(),
            later: later.clone(),
            other: endpoint("e1"),
            tickets: Vec::new(),
            now: Millis(1_000),
        }
    }

    fn endpoint(&self, target: Target) -> Endpoint {
        match target {
            Target::Earlier => self.earlier.clone(),
            Target::Later => self.later.clone(),
            Target::Other => self.other.clone(),
        }
    }

    fn apply(&mut self, target: Target, event: Event) {
        let endpoint = self.endpoint(target);
        let life = &endpoint.life;
        match event {
            Event::Send(subject) => {
                let ticket = send(&mut self.balancer, &endpoint, subject, self.now);
                self.tickets.extend(ticket);
            }
            Event::FirstByte => {
                if let Some(ticket) = self.tickets.iter().find(|it| it.endpoint() == life) {
                    self.balancer.record_first_byte(ticket, false, self.now);
                }
            }
            Event::StreamEvents => {
                if let Some(ticket) = self.tickets.iter().find(|it| it.endpoint() == life) {
                    self.now = events(&mut self.balancer, ticket, self.now);
                }
            }
            Event::End => {
                let oldest = self.tickets.iter().position(|it| it.endpoint() == life);
                if let Some(ticket) = oldest.map(|at| self.tickets.remove(at)) {
                    self.balancer.end(&ticket, self.now);
                }
            }
            Event::Report(running) => {
                let report = Report {
                    running,
                    waiting: running / 2,
                    slots: 64,
                    slowdown_percent: None,
                };
                self.balancer.record_report(life, report, self.now);
            }
            Event::Signal(signal) => self.balancer.record_signal(life, signal, self.now),
            Event::Gossip(peer) => self.gossip(peer, &endpoint),
            Event::Gone => self.balancer.remove(std::slice::from_ref(life)),
        }
    }

    /// Another entry sends a request there, receives events of it, and reports its load.
    fn gossip(&mut self, peer: usize, endpoint: &Endpoint) {
        let balancer = &mut self.peers[peer];
        if let Some(ticket) = send(balancer, endpoint, 9, self.now) {
            self.now = events(balancer, &ticket, self.now);
        }
        let gossip = balancer.gossip(48, self.now);
        let entry = name::Entry::from(format!("peer-{peer}"));
        self.balancer.apply_gossip(&entry, &gossip, self.now);
    }

    /// The estimates for a request now.
    fn view(&mut self) -> View {
        let work = caption(0, 1_000);
        let open = [&self.later, &self.other];
        let stream = self.balancer.choose(&open, &transferring(&work), self.now);
        let plain = self.balancer.choose(&[&self.later], &PLAIN, self.now);
        let gossip = self.balancer.gossip(48, self.now);
        let key = life_key(&self.later.life);
        View {
            stream,
            plain,
            is_suspended: self.balancer.is_suspended(&self.later.life),
            shared: gossip.endpoints.into_iter().find(|it| it.endpoint == key),
        }
    }

    /// Applies the events, and returns the view after each of them.
    fn replay(mut self, history: &[(Target, Event, u64)]) -> Vec<View> {
        let views = history.iter().map(|(target, event, delay)| {
            self.apply(*target, *event);
            self.now = self.now + Millis(*delay);
            self.view()
        });
        views.collect()
    }
}

/// Sends a request with a prompt of this subject, unless the endpoint is suspended.
fn send(
    balancer: &mut LoadBalancer,
    endpoint: &Endpoint,
    subject: u64,
    now: Millis,
) -> Option<Ticket> {
    let work = caption(subject, 1);
    let ask = transferring(&work);
    let choice = balancer.choose(&[endpoint], &ask, now)?;
    Some(balancer.begin(&choice, &ask, now))
}

/// Records stream events for a while; returns the time after the last one.
fn events(balancer: &mut LoadBalancer, ticket: &Ticket, now: Millis) -> Millis {
    let at = |event| now + Millis(event * EVENT_INTERVAL);
    for event in 0..EVENTS {
        balancer.record_event(ticket, 1, at(event));
    }
    at(EVENTS)
}

fn two_lives() -> impl Strategy<Value = (Endpoint, Endpoint)> {
    prop_oneof![
        Just((started("e0", 100), started("e0", 200))),
        // Only 10 ms apart.
        Just((started("e0", 100), started("e0", 110))),
        // Earlier versions do not report a start time.
        Just((endpoint("e0"), started("e0", 200))),
        Just((started("e0", 200), endpoint("e0"))),
    ]
}

proptest! {
    /// Events of an earlier life affect the later one no more than events of an unrelated
    /// endpoint. This covers prompt parts, load, speed, failures and running requests, from
    /// this entry and from gossip, in any order.
    #[test]
    fn events_of_an_earlier_life_never_affect_the_later_one(
        (earlier, later) in two_lives(),
        history in history(),
    ) {
        let mut unrelated = earlier.clone();
        unrelated.life.id = name::Endpoint::from("e-unrelated");
        let met = Stage::new(&earlier, &later).replay(&history);
        let expected = Stage::new(&unrelated, &later).replay(&history);
        prop_assert_eq!(met, expected);
    }
}

/// A report of the later life counts although its counters restarted and are smaller, whether
/// the last report of the earlier life arrives before or after it.
#[rstest]
#[case::in_order([Target::Earlier, Target::Later])]
#[case::late([Target::Later, Target::Earlier])]
fn a_report_of_a_new_life_replaces_that_of_the_earlier_one(#[case] order: [Target; 2]) {
    let (earlier, later) = (started("e0", 100), started("e0", 200));
    let mut stage = Stage::new(&earlier, &later);
    for target in [Target::Earlier, Target::Later] {
        stage.apply(target, Event::Send(0));
    }
    for target in order {
        let running = if matches!(target, Target::Earlier) {
            120
        } else {
            1
        };
        stage.apply(target, Event::Report(running));
    }
    let plain = stage.view().plain.expect("it is open");
    assert!((plain.running - 1.0).abs() < 0.01, "{plain:?}");
}

/// One entry reports its requests at the later life, and then another one, which still knows
/// the earlier life, reports many requests there. Only the first report counts for the later
/// life.
#[test]
fn gossip_about_an_earlier_life_does_not_count() {
    let (earlier, later) = (started("e0", 100), started("e0", 200));
    let mut stage = Stage::new(&earlier, &later);
    stage.apply(Target::Later, Event::Gossip(0));
    let now = stage.now;
    for _ in 0..5 {
        stage.now = now;
        stage.apply(Target::Earlier, Event::Gossip(1));
    }
    let work = caption(0, 1_000);
    let mut running = |endpoint| {
        let choice = stage
            .balancer
            .choose(&[endpoint], &transferring(&work), now);
        choice.map(|it| it.running)
    };
    assert_eq!(running(&later), Some(1.0));
    assert_eq!(running(&earlier), Some(5.0));
}

/// A prompt that shares nothing with others: only an engine that it was sent to has it cached.
fn unshared_prompt(id: u64) -> Work {
    Work {
        parts: vec![Part { id, tokens: 9_000 }],
        ..caption(0, 0)
    }
}

/// Sends a prompt to an engine, where it keeps running.
fn send_and_hold(balancer: &mut LoadBalancer, engine: &Endpoint, id: u64) {
    let work = unshared_prompt(id);
    let choice = balancer.choose(&[engine], &transferring(&work), Millis(0));
    balancer.begin(
        &choice.expect("it is open"),
        &transferring(&work),
        Millis(0),
    );
}

/// A prompt is fetched from the engine that has it cached until that engine restarts, which
/// empties its cache. An engine that has restarted itself fetches the prompt from another one.
#[test]
fn cached_parts_are_not_fetched_from_a_restarted_engine() {
    let mut balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    let (holder, free) = (started("e0", 100), started("e1", 100));
    let again = started("e0", 200);
    send_and_hold(&mut balancer, &holder, 7);
    // Makes both lives equally busy, so that their load cannot be the reason for the result.
    for engine in [&holder, &again] {
        for other in 10..30 {
            send_and_hold(&mut balancer, engine, other);
        }
    }
    let mut choose = |engines: [&Endpoint; 2]| {
        let work = unshared_prompt(7);
        let choice = balancer.choose(&engines, &transferring(&work), Millis(0));
        let choice = choice.expect("an engine is open");
        (choice.endpoint, choice.prompt_source)
    };
    let free_again = started("e1", 200);
    assert_eq!(
        choose([&holder, &free]),
        (free.clone(), Some(holder.clone()))
    );
    assert_eq!(choose([&again, &free]), (free.clone(), None));
    assert_eq!(
        choose([&holder, &free_again]),
        (free_again.clone(), Some(holder))
    );
}
