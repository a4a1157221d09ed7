//! What is known of a life's load, in whatever order news of it and of the one before come.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::engine::{Choice, Loads, Report, Ticket};
use woodgap_core::relay::health::Sign;
use woodgap_core::relay::load_report::{EndpointLoad, life_key};
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::work::{Part, Work};

use crate::engine::{PLAIN, caption};
use crate::roster::{endpoint, started};
use crate::source::moving;

/// How many other entries tell of their load.
const PEERS: usize = 2;
/// How many events of a stream show how long a token takes, and the time between two.
const EVENTS: u64 = 20;
const PAUSE: u64 = 60;

/// Of which endpoint news are.
#[derive(Clone, Copy, Debug)]
enum Of {
    Earlier,
    Later,
    /// Another endpoint of the service.
    Other,
}

/// What is heard of an endpoint.
#[derive(Clone, Copy, Debug)]
enum News {
    /// A request is sent there.
    Send(u64),
    /// The answer to its oldest request begins.
    Answer,
    /// Its oldest request brings many events.
    Events,
    /// Its oldest request ends.
    End,
    /// It reports its load.
    Report(u32),
    /// A connection or an answer tells of it.
    Sign(Sign),
    /// Another entry sends it a request, and tells of its load.
    Told(usize),
    /// It is gone, and forgotten.
    Gone,
}

fn news() -> impl Strategy<Value = Vec<(Of, News, u64)>> {
    let of = prop_oneof![Just(Of::Earlier), Just(Of::Later), Just(Of::Other)];
    let sign = prop_oneof![Just(Sign::Good), Just(Sign::Bad), Just(Sign::Lost)];
    let news = prop_oneof![
        3 => (0_u64..3).prop_map(News::Send),
        1 => Just(News::Answer),
        1 => Just(News::Events),
        1 => Just(News::End),
        1 => (0_u32..200).prop_map(News::Report),
        1 => sign.prop_map(News::Sign),
        1 => (0..PEERS).prop_map(News::Told),
        1 => Just(News::Gone),
    ];
    proptest::collection::vec((of, news, 0_u64..400), 1..30)
}

/// What an entry expects of the later life, and what it tells of it.
#[derive(Debug, PartialEq)]
struct Met {
    stream: Option<Choice>,
    plain: Option<Choice>,
    is_suspended: bool,
    told: Option<EndpointLoad>,
}

/// An entry, the other entries, and the endpoints that they hear of.
struct Stage {
    loads: Loads,
    peers: [Loads; PEERS],
    earlier: Endpoint,
    later: Endpoint,
    other: Endpoint,
    tickets: Vec<Ticket>,
    now: Millis,
}

impl Stage {
    fn new(earlier: &Endpoint, later: &Endpoint) -> Self {
        let loads = |seed| Loads::new(name::DataCentre::from("dub-a"), seed);
        Self {
            loads: loads(1),
            peers: [loads(2), loads(3)],
            earlier: earlier.clone(),
            later: later.clone(),
            other: endpoint("e1"),
            tickets: Vec::new(),
            now: Millis(1_000),
        }
    }

    fn endpoint(&self, of: Of) -> Endpoint {
        match of {
            Of::Earlier => self.earlier.clone(),
            Of::Later => self.later.clone(),
            Of::Other => self.other.clone(),
        }
    }

    fn hear(&mut self, of: Of, news: News) {
        let endpoint = self.endpoint(of);
        let life = &endpoint.life;
        match news {
            News::Send(subject) => {
                let ticket = send(&mut self.loads, &endpoint, subject, self.now);
                self.tickets.extend(ticket);
            }
            News::Answer => {
                if let Some(ticket) = self.tickets.iter().find(|it| it.endpoint() == life) {
                    self.loads.answered(ticket, false, self.now);
                }
            }
            News::Events => {
                if let Some(ticket) = self.tickets.iter().find(|it| it.endpoint() == life) {
                    self.now = events(&mut self.loads, ticket, self.now);
                }
            }
            News::End => {
                let oldest = self.tickets.iter().position(|it| it.endpoint() == life);
                if let Some(ticket) = oldest.map(|at| self.tickets.remove(at)) {
                    self.loads.end(&ticket, self.now);
                }
            }
            News::Report(running) => {
                let report = Report {
                    running,
                    waiting: running / 2,
                    slots: 64,
                };
                self.loads.report(life, report, self.now);
            }
            News::Sign(sign) => self.loads.note(life, sign, self.now),
            News::Told(peer) => self.tell(peer, &endpoint),
            News::Gone => self.loads.forget(std::slice::from_ref(life)),
        }
    }

    /// Another entry sends a request there, sees events of it, and tells of its load.
    fn tell(&mut self, peer: usize, endpoint: &Endpoint) {
        let loads = &mut self.peers[peer];
        if let Some(ticket) = send(loads, endpoint, 9, self.now) {
            self.now = events(loads, &ticket, self.now);
        }
        let tidings = loads.tidings(48, self.now);
        let entry = name::Entry::from(format!("peer-{peer}"));
        self.loads.tell(&entry, &tidings, self.now);
    }

    /// What a request would meet now.
    fn met(&mut self) -> Met {
        let work = caption(0, 1_000);
        let open = [&self.later, &self.other];
        let stream = self.loads.choose(&open, &moving(&work), self.now);
        let plain = self.loads.choose(&[&self.later], &PLAIN, self.now);
        let tidings = self.loads.tidings(48, self.now);
        let key = life_key(&self.later.life);
        Met {
            stream,
            plain,
            is_suspended: self.loads.suspended(&self.later.life),
            told: tidings.endpoints.into_iter().find(|it| it.endpoint == key),
        }
    }

    /// What requests meet after each of the news.
    fn play(mut self, news: &[(Of, News, u64)]) -> Vec<Met> {
        let met = news.iter().map(|(of, news, pause)| {
            self.hear(*of, *news);
            self.now = self.now + Millis(*pause);
            self.met()
        });
        met.collect()
    }
}

/// Sends a request with a prompt of this subject, if the endpoint is open.
fn send(loads: &mut Loads, endpoint: &Endpoint, subject: u64, now: Millis) -> Option<Ticket> {
    let work = caption(subject, 1);
    let ask = moving(&work);
    let choice = loads.choose(&[endpoint], &ask, now)?;
    Some(loads.begin(&choice, &ask, now))
}

/// A stream brings events for a while; gives back its end.
fn events(loads: &mut Loads, ticket: &Ticket, now: Millis) -> Millis {
    let at = |event| now + Millis(event * PAUSE);
    for event in 0..EVENTS {
        loads.event(ticket, 1, at(event));
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
    fn news_of_an_earlier_life_never_count_for_the_later_one(
        (earlier, later) in two_lives(),
        news in news(),
    ) {
        let mut unrelated = earlier.clone();
        unrelated.life.id = name::Endpoint::from("e-unrelated");
        let met = Stage::new(&earlier, &later).play(&news);
        let expected = Stage::new(&unrelated, &later).play(&news);
        prop_assert_eq!(met, expected);
    }
}

/// A report of the later life stands, though its counts begin anew and are smaller, and
/// whether the last report of the earlier one is heard before or after it.
#[rstest]
#[case::in_order([Of::Earlier, Of::Later])]
#[case::late([Of::Later, Of::Earlier])]
fn a_count_that_begins_anew_stands(#[case] order: [Of; 2]) {
    let (earlier, later) = (started("e0", 100), started("e0", 200));
    let mut stage = Stage::new(&earlier, &later);
    for of in [Of::Earlier, Of::Later] {
        stage.hear(of, News::Send(0));
    }
    for of in order {
        let running = if matches!(of, Of::Earlier) { 120 } else { 1 };
        stage.hear(of, News::Report(running));
    }
    let plain = stage.met().plain.expect("it is open");
    assert!((plain.running - 1.0).abs() < 0.01, "{plain:?}");
}

/// Another entry that still knows the earlier life tells of much work there, after a third
/// one has told of its work at the later life: that alone counts.
#[test]
fn what_a_peer_tells_of_an_earlier_life_does_not_count() {
    let (earlier, later) = (started("e0", 100), started("e0", 200));
    let mut stage = Stage::new(&earlier, &later);
    stage.hear(Of::Later, News::Told(0));
    let now = stage.now;
    for _ in 0..5 {
        stage.now = now;
        stage.hear(Of::Earlier, News::Told(1));
    }
    let work = caption(0, 1_000);
    let mut running = |endpoint| {
        let choice = stage.loads.choose(&[endpoint], &moving(&work), now);
        choice.map(|it| it.running)
    };
    assert_eq!(running(&later), Some(1.0));
    assert_eq!(running(&earlier), Some(5.0));
}

/// A prompt that shares nothing with others: only an engine that it was sent to keeps it.
fn alone(id: u64) -> Work {
    Work {
        parts: vec![Part { id, tokens: 9_000 }],
        ..caption(0, 0)
    }
}

/// Sends a prompt to an engine, where it stays.
fn keep_busy(loads: &mut Loads, engine: &Endpoint, id: u64) {
    let work = alone(id);
    let choice = loads.choose(&[engine], &moving(&work), Millis(0));
    loads.begin(&choice.expect("it is open"), &moving(&work), Millis(0));
}

/// A prompt is taken from the engine that keeps it, until that starts again: it has nothing
/// to give then. One that has itself started again takes the prompt from another.
#[test]
fn kept_parts_are_not_taken_from_an_engine_that_started_again() {
    let mut loads = Loads::new(name::DataCentre::from("dub-a"), 1);
    let (keeper, free) = (started("e0", 100), started("e1", 100));
    let again = started("e0", 200);
    keep_busy(&mut loads, &keeper, 7);
    // What it does now must not be the reason why it gives nothing.
    for engine in [&keeper, &again] {
        for other in 10..30 {
            keep_busy(&mut loads, engine, other);
        }
    }
    let mut choose = |engines: [&Endpoint; 2]| {
        let work = alone(7);
        let choice = loads.choose(&engines, &moving(&work), Millis(0));
        let choice = choice.expect("an engine is open");
        (choice.endpoint, choice.source)
    };
    let free_again = started("e1", 200);
    assert_eq!(
        choose([&keeper, &free]),
        (free.clone(), Some(keeper.clone()))
    );
    assert_eq!(choose([&again, &free]), (free.clone(), None));
    assert_eq!(
        choose([&keeper, &free_again]),
        (free_again.clone(), Some(keeper))
    );
}
