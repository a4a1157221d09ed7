//! What is known of a life's load, in whatever order news of it and of the one before come.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::engine::{Choice, LoadBalancer, Report, Ticket};
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::tidings::{Share, life_key};
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{PLAIN, caption};
use crate::roster::{endpoint, started};
use crate::source::transferring;

/// How many other entries tell of their load.
const PEERS: usize = 2;
/// How many events of a stream show how long a token takes, and the time between two.
const EVENTS: u64 = 20;
const EVENT_INTERVAL: u64 = 60;

/// Of which endpoint news are.
#[derive(Clone, Copy, Debug)]
enum Target {
    Earlier,
    Later,
    /// Another endpoint of the service.
    Other,
}

/// What is heard of an endpoint.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request is sent there.
    Send(u64),
    /// The answer to its oldest request begins.
    FirstByte,
    /// Its oldest request brings many events.
    StreamEvents,
    /// Its oldest request ends.
    End,
    /// It reports its load.
    Report(u32),
    /// A connection or an answer tells of it.
    Signal(HealthSignal),
    /// Another entry sends it a request, and tells of its load.
    Gossip(usize),
    /// It is gone, and forgotten.
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

/// What an entry expects of the later life, and what it tells of it.
#[derive(Debug, PartialEq)]
struct View {
    stream: Option<Choice>,
    plain: Option<Choice>,
    is_suspended: bool,
    shared: Option<Share>,
}

/// An entry, the other entries, and the endpoints that they hear of.
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
                };
                self.balancer.record_report(life, report, self.now);
            }
            Event::Signal(signal) => self.balancer.record_signal(life, signal, self.now),
            Event::Gossip(peer) => self.gossip(peer, &endpoint),
            Event::Gone => self.balancer.remove(std::slice::from_ref(life)),
        }
    }

    /// Another entry sends a request there, sees events of it, and tells of its load.
    fn gossip(&mut self, peer: usize, endpoint: &Endpoint) {
        let balancer = &mut self.peers[peer];
        if let Some(ticket) = send(balancer, endpoint, 9, self.now) {
            self.now = events(balancer, &ticket, self.now);
        }
        let gossip = balancer.gossip(48, self.now);
        let entry = name::Entry::from(format!("peer-{peer}"));
        self.balancer.apply_gossip(&entry, &gossip, self.now);
    }

    /// What a request would meet now.
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
            shared: gossip.shares.into_iter().find(|it| it.endpoint == key),
        }
    }

    /// What requests meet after each of the news.
    fn replay(mut self, history: &[(Target, Event, u64)]) -> Vec<View> {
        let views = history.iter().map(|(target, event, delay)| {
            self.apply(*target, *event);
            self.now = self.now + Millis(*delay);
            self.view()
        });
        views.collect()
    }
}

/// Sends a request with a prompt of this subject, if the endpoint is open.
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

/// A stream brings events for a while; gives back its end.
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
        // Tens of ms apart.
        Just((started("e0", 100), started("e0", 110))),
        // An earlier writer tells no start.
        Just((endpoint("e0"), started("e0", 200))),
        Just((started("e0", 200), endpoint("e0"))),
    ]
}

proptest! {
    /// News of an earlier life count for the later one no more than news of an endpoint
    /// that is none of its lives: prompt parts, load, speed, failures and running work,
    /// of this entry and told by others, in any order.
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

/// A report of the later life stands, though its counts begin anew and are smaller, and
/// whether the last report of the earlier one is heard before or after it.
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

/// Another entry that still knows the earlier life tells of much work there, after a third
/// one has told of its work at the later life: that alone counts.
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

/// A prompt that shares nothing with others: only an engine that it was sent to keeps it.
fn unshared_prompt(id: u64) -> Work {
    Work {
        parts: vec![Part { id, tokens: 9_000 }],
        ..caption(0, 0)
    }
}

/// Sends a prompt to an engine, where it stays.
fn send_and_hold(balancer: &mut LoadBalancer, engine: &Endpoint, id: u64) {
    let work = unshared_prompt(id);
    let choice = balancer.choose(&[engine], &transferring(&work), Millis(0));
    balancer.begin(
        &choice.expect("it is open"),
        &transferring(&work),
        Millis(0),
    );
}

/// A prompt is taken from the engine that keeps it, until that starts again: it has nothing
/// to give then. One that has itself started again takes the prompt from another.
#[test]
fn cached_parts_are_not_fetched_from_a_restarted_engine() {
    let mut balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    let (holder, free) = (started("e0", 100), started("e1", 100));
    let again = started("e0", 200);
    send_and_hold(&mut balancer, &holder, 7);
    // What it does now must not be the reason why it gives nothing.
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
