//! A part of prompts that ends each engine that begins to answer it.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use woodgap_core::quarantine::{Cause, StoredHistory};

use crate::caller::{Answer, Caller, request};
use crate::crashing::{
    Arrivals, Crashing, DOWN, Down, EVENTS, FATAL_PART, Framed, Manner, PLAIN, Rest,
};
use crate::site::{Site, source, until_met};

/// The pause between two fatal requests, and how many there are.
const PAUSE: Duration = Duration::from_millis(200);
const SENDS: usize = 50;
/// So long after the fifth end, requests with the part reach at most [`MOST_LATE`] more engines.
const BOUND: Duration = Duration::from_secs(3);
const MOST_LATE: usize = 3;
/// The number of ends from which the bounds count.
const ENDS: usize = 5;
/// So long after the fifth end, sound requests are served at least so often again.
const SOUND_BOUND: Duration = Duration::from_secs(6);
const LEAST_SERVED: f64 = 0.5;
/// A part that all requests hold.
const SHARED_PART: u64 = 0x5a;

/// Where the fatal part stands in a prompt.
#[derive(Clone, Copy, Debug)]
enum Place {
    First,
    Second,
    /// Each time elsewhere.
    Anywhere,
}

impl Place {
    /// The parts of the prompt of a fatal request: the last one is its own.
    fn parts(self, number: usize) -> Vec<u64> {
        let own = 10_000 + number as u64;
        match (self, number % 3) {
            (Self::First, _) | (Self::Anywhere, 0) => vec![FATAL_PART, SHARED_PART, own],
            (Self::Second, _) | (Self::Anywhere, 1) => vec![SHARED_PART, FATAL_PART, own],
            (Self::Anywhere, _) => vec![SHARED_PART, 77, own + 50_000, FATAL_PART, own],
        }
    }
}

/// Entries that hear of one another, before engines that a part of prompts ends.
struct Fleet {
    engines: Vec<Crashing>,
    arrivals: Arrivals,
    sites: Vec<Site>,
    /// What the platform keeps.
    kept: Arc<Mutex<BTreeMap<Cause, StoredHistory>>>,
}

impl Fleet {
    fn start(entries: usize, engines: usize, down: Down, manner: Manner) -> Self {
        let arrivals = Arrivals::default();
        let engines = (0..engines).map(|_| Crashing::with(&arrivals, down, manner));
        let mut fleet = Self {
            engines: engines.collect(),
            arrivals,
            sites: Vec::new(),
            kept: Arc::default(),
        };
        fleet.start_entries(entries);
        fleet
    }

    /// Starts so many entries in place of all that there are: these are as good as killed, as nobody
    /// asks them any more, and no other entry knows of them.
    fn start_entries(&mut self, entries: usize) {
        self.sites.clear();
        for at in 0..entries {
            let source = source(&[]);
            {
                let mut told = source.0.lock().unwrap();
                told.entries = self.sites.iter().map(|site| site.peer).collect();
                told.kept = Arc::clone(&self.kept);
            }
            let site = Site::with(&format!("dub-a-{at}"), source);
            site.until_ready();
            self.sites.push(site);
        }
        until_met(&self.sites);
        self.list();
        sleep(PAUSE);
    }

    /// Lists the engines as they are now.
    fn list(&self) {
        for site in &self.sites {
            let rows = self.engines.iter().enumerate().map(|(at, engine)| {
                let mut row = engine.row(at);
                "model".clone_into(&mut row.service);
                row
            });
            site.source.0.lock().unwrap().endpoints = rows.collect();
        }
    }

    /// Sends fatal requests at entries in turn, no two alike, and lists engines as they are.
    fn send_fatal(&self, place: Place) {
        self.send_some(place, 0..SENDS);
    }

    fn send_some(&self, place: Place, numbers: Range<usize>) {
        for number in numbers {
            let site = &self.sites[number % self.sites.len()];
            let parts = place.parts(number);
            ask(site, &format!("f{number}"), &parts);
            self.list();
            sleep(PAUSE);
        }
    }

    /// How many fatal requests reached engines later than the bound after the fifth end.
    fn late(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let Some(fifth) = arrivals.get(ENDS - 1) else {
            return 0;
        };
        let is_late = |at: &&Instant| **at > *fifth + BOUND;
        arrivals.iter().filter(is_late).count()
    }

    fn check(&self) {
        let all = self.arrivals.lock().unwrap().len();
        let late = self.late();
        assert!(late <= MOST_LATE, "{late} late arrivals, {all} in all");
        assert!(all >= ENDS, "{all} arrivals");
    }
}

/// Its entries go on beside other tests: they are to look for no endpoint of this one.
impl Drop for Fleet {
    fn drop(&mut self) {
        for site in &self.sites {
            site.source.0.lock().unwrap().endpoints.clear();
        }
    }
}

/// Sends a request with these parts, and a body of its own.
fn ask(site: &Site, id: &str, parts: &[u64]) -> Option<Answer> {
    let parts: Vec<_> = parts
        .iter()
        .map(|part| format!(r#"{{"id":{part},"tokens":100}}"#))
        .collect();
    let work = format!(
        r#"{{"prompt_tokens":{},"output_limit":8,"output_hint":null,"parts":[{}]}}"#,
        100 * parts.len(),
        parts.join(",")
    );
    let headers = format!("X-Woodgap-Work: {work}\r\nContent-Length: {}\r\n", id.len());
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("POST", "/chat/", id, &headers), id.as_bytes());
    caller.answer()
}

/// Sound requests, one after the other at each entry, and how they ended.
#[derive(Default)]
struct Sound {
    is_over: AtomicBool,
    withheld: AtomicUsize,
    /// When each was sent, and whether it was served.
    ends: Mutex<Vec<(Instant, bool)>>,
}

impl Sound {
    fn run(&self, site: &Site, name: usize, pause: Duration) {
        for number in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let sent = Instant::now();
            let own = 1_000_000 * (name as u64 + 1) + number;
            let answer = ask(site, &format!("s{name}-{number}"), &[SHARED_PART, own]);
            let is_served = answer
                .as_ref()
                .is_some_and(|it| it.status == 200 && it.text() == EVENTS && it.is_whole);
            let is_withheld = answer.is_some_and(|it| it.text().contains("withheld"));
            self.withheld
                .fetch_add(usize::from(is_withheld), Ordering::Relaxed);
            self.ends.lock().unwrap().push((sent, is_served));
            sleep(pause);
        }
    }

    /// The share of those sent later than the bound after the fifth end that was served.
    fn served(&self, arrivals: &Arrivals) -> (f64, usize) {
        let fifth = arrivals.lock().unwrap()[ENDS - 1];
        let ends = self.ends.lock().unwrap();
        let late: Vec<_> = ends
            .iter()
            .filter(|(at, _)| *at > fifth + SOUND_BOUND)
            .collect();
        let served = late.iter().filter(|(_, is_served)| *is_served).count();
        (served as f64 / late.len().max(1) as f64, late.len())
    }
}

/// Plays fatal requests beside sound ones that share their caller and other parts.
fn play(fleet: &Fleet, place: Place, pause: Duration) -> Arc<Sound> {
    let sound = Arc::new(Sound::default());
    std::thread::scope(|scope| {
        for (name, site) in fleet.sites.iter().enumerate() {
            let sound = &sound;
            scope.spawn(move || sound.run(site, name, pause));
        }
        // Sound requests were served before the first fatal one comes.
        sleep(PAUSE * 3);
        fleet.send_fatal(place);
        sound.is_over.store(true, Ordering::Relaxed);
    });
    sound
}

const fn manner(framed: Framed, rest: Rest) -> Manner {
    Manner {
        framed,
        rest,
        ..PLAIN
    }
}

#[rstest]
#[case::first(Place::First, PLAIN)]
#[case::second(Place::Second, PLAIN)]
#[case::anywhere(Place::Anywhere, PLAIN)]
#[case::cut_inside_an_event_with_its_length(
    Place::Second,
    manner(Framed::Length, Rest::PartOfEvent)
)]
#[case::cut_inside_an_event_with_a_last_chunk(
    Place::Second,
    manner(Framed::Chunks, Rest::PartOfEvent)
)]
#[case::cut_inside_an_event_with_its_connection(
    Place::Second,
    manner(Framed::Close, Rest::PartOfEvent)
)]
#[case::ended_after_an_event_with_its_connection(Place::Second, manner(Framed::Close, Rest::Event))]
fn a_part_that_ends_engines_reaches_few_more(#[case] place: Place, #[case] manner: Manner) {
    let fleet = Fleet::start(3, 12, DOWN, manner);
    let sound = play(&fleet, place, PAUSE);
    fleet.check();
    assert_eq!(sound.withheld.load(Ordering::Relaxed), 0);
    let (served, count) = sound.served(&fleet.arrivals);
    assert!(served >= LEAST_SERVED, "{served} of {count} served");
}

/// An engine that is back before anybody can see that it was gone.
#[rstest]
#[case::without_an_answer(PLAIN)]
#[case::with_its_connection(manner(Framed::Close, Rest::Event))]
fn engines_that_are_back_at_once_are_no_exception(#[case] manner: Manner) {
    let fleet = Fleet::start(3, 12, Down::Refuses(Duration::ZERO), manner);
    play(&fleet, Place::Second, PAUSE);
    fleet.check();
}

/// Few engines, and few sound requests: most stand beside a crash.
#[test]
fn sound_requests_are_served_where_engines_are_few() {
    let fleet = Fleet::start(2, 3, DOWN, PLAIN);
    let sound = play(&fleet, Place::Second, PAUSE * 2);
    fleet.check();
    assert_eq!(sound.withheld.load(Ordering::Relaxed), 0);
    let (served, count) = sound.served(&fleet.arrivals);
    assert!(served >= LEAST_SERVED, "{served} of {count} served");
}

/// A stream that ends within an event was broken off, however it is framed.
#[rstest]
#[case::length(Framed::Length)]
#[case::chunks(Framed::Chunks)]
#[case::close(Framed::Close)]
fn a_stream_that_ends_inside_an_event_is_not_whole(#[case] framed: Framed) {
    let fleet = Fleet::start(1, 1, DOWN, manner(framed, Rest::PartOfEvent));
    let answer = ask(&fleet.sites[0], "f", &Place::Second.parts(1));
    let is_whole = answer.is_some_and(|it| it.status == 200 && it.is_whole);
    assert!(!is_whole);
}

/// A stream that ends with its connection, as its engine ends, may lack events.
#[rstest]
#[case::that_listens_no_more(DOWN)]
#[case::before_which_something_listens(Down::Fronted(Duration::from_millis(800)))]
fn a_stream_that_ends_with_its_engine_is_not_whole(#[case] down: Down) {
    let fleet = Fleet::start(1, 1, down, manner(Framed::Close, Rest::Event));
    let answer = ask(&fleet.sites[0], "f", &Place::Second.parts(1));
    let is_whole = answer.is_some_and(|it| it.status == 200 && it.is_whole);
    assert!(!is_whole);
}

/// Leaving is no excuse: MIXED. An engine that leaves as planned ended with requests in hand, and what it
/// had written of streams without a length was passed on as complete.
#[test]
fn a_stream_that_ends_with_a_leaving_engine_is_not_whole() {
    let leaving = Manner {
        is_leaving: true,
        ..manner(Framed::Close, Rest::Event)
    };
    let fleet = Fleet::start(1, 1, DOWN, leaving);
    let answer = ask(&fleet.sites[0], "f", &Place::Second.parts(1));
    let is_whole = answer.is_some_and(|it| it.status == 200 && it.is_whole);
    assert!(!is_whole);
}

/// Its streams that have ended are whole, as it still takes connections.
#[test]
fn a_stream_of_a_leaving_engine_is_whole() {
    let leaving = Manner {
        is_leaving: true,
        ..manner(Framed::Close, Rest::Event)
    };
    let fleet = Fleet::start(1, 1, DOWN, leaving);
    let answer = ask(&fleet.sites[0], "s", &[SHARED_PART, 1]).unwrap();
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.text(), EVENTS);
}

/// MIXED: all engines ended at once, which was taken for the loss of all links, and what one had written
/// of a stream without a length was passed on as complete.
#[test]
fn a_stream_that_ends_with_all_engines_is_not_whole() {
    let fleet = Fleet::start(1, 4, DOWN, manner(Framed::Close, Rest::Event));
    let is_whole = std::thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let answer = ask(&fleet.sites[0], "f", &Place::Second.parts(1));
            answer.is_some_and(|it| it.status == 200 && it.is_whole)
        });
        while fleet.arrivals.lock().unwrap().is_empty() {
            sleep(Duration::from_millis(1));
        }
        // The others, right before it.
        let others = fleet.engines.iter().filter(|it| !it.is_ending());
        others.for_each(Crashing::end);
        asking.join().unwrap()
    });
    assert!(!is_whole);
}

/// All entries are killed and started anew, twice, while requests with the part go on coming.
#[test]
fn what_is_withheld_outlasts_all_entries() {
    let mut fleet = Fleet::start(3, 12, DOWN, PLAIN);
    for round in 0..3 {
        fleet.send_some(Place::Anywhere, round * 20..(round + 1) * 20);
        fleet.start_entries(3);
    }
    fleet.check();
    // A sound request is served as ever.
    let answer = ask(&fleet.sites[0], "s", &[SHARED_PART, 1]);
    assert_eq!(answer.unwrap().status, 200);
}

/// All entries are killed and started anew, again and again, before the part has ended enough
/// engines to be withheld.
#[test]
fn ends_are_counted_on_where_all_entries_are_replaced() {
    const ROUNDS: usize = 5;
    let mut fleet = Fleet::start(3, 12, DOWN, PLAIN);
    for round in 0..ROUNDS {
        for (at, site) in fleet.sites.iter().enumerate() {
            ask(site, &format!("s{round}-{at}"), &[SHARED_PART, 1]);
        }
        fleet.send_some(Place::Second, round * (ENDS - 1)..(round + 1) * (ENDS - 1));
        fleet.start_entries(3);
    }
    fleet.check();
}
