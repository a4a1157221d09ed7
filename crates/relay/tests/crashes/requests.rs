//! A caller's request ended each engine that began to run it, and the caller sent it again and
//! again, each time under a new identity and at another entry. One engine ended every 0.9 s, for
//! as long as it came: 21 in all, 14 of them by sends later than 3 s after the third. Each entry
//! judged each request alone: what a body had done was remembered by none and told to none. The
//! lines of the entries showed it: `attempt failed`, `cut off: unexpected end of file`, then
//! `not sent: Connection refused`, at one endpoint after the other, and 27 of the 48 requests that
//! were cut off were of one workspace, no two with the same identity.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, UdpSocket};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use woodgap_core::quarantine::{Cause, StoredHistory};
use woodgap_relay::gossip::message::{self, MAX_DATAGRAM_BYTES};

use crate::caller::post;
use crate::crashing::{Arrivals, Crashing, DOWN, Down, FATAL, Manner, PLAIN};
use crate::peer;
use crate::site::{Fixed, Site, source, until, until_met};

/// How many endpoints and entries there are.
const ENDPOINTS: usize = 12;
const ENTRIES: usize = 3;
/// The caller's pause between two sends, and how often it sends.
const PAUSE: Duration = Duration::from_millis(200);
const SENDS: usize = 40;
/// So long after its third end, a request that ends endpoints reaches at most
/// [`MOST_LATE`] more: what operators are promised.
const BOUND: Duration = Duration::from_secs(3);
const MOST_LATE: usize = 3;

/// Entries that hear of one another, before endpoints that a body ends.
struct Fleet {
    endpoints: Vec<Crashing>,
    arrivals: Arrivals,
    sites: Vec<Site>,
    /// What the platform keeps.
    kept: Arc<Mutex<BTreeMap<Cause, StoredHistory>>>,
}

impl Fleet {
    fn start(down: Down) -> Self {
        Self::with(ENDPOINTS, down, PLAIN)
    }

    fn with(endpoints: usize, down: Down, manner: Manner) -> Self {
        let arrivals = Arrivals::default();
        let endpoints = (0..endpoints).map(|_| Crashing::with(&arrivals, down, manner));
        let endpoints = endpoints.collect();
        let mut fleet = Self {
            endpoints,
            arrivals,
            sites: Vec::new(),
            kept: Arc::default(),
        };
        fleet.start_entries();
        fleet
    }

    /// Starts entries in place of all that there are: these are as good as killed, as nobody
    /// asks them any more, and no other entry knows of them.
    fn start_entries(&mut self) {
        self.sites.clear();
        for at in 0..ENTRIES {
            let site = self.entry(at);
            self.sites.push(site);
        }
        until_met(&self.sites);
    }

    /// Another entry, which finds the others through the platform.
    fn entry(&self, at: usize) -> Site {
        let source = source(&[]);
        {
            let mut told = source.0.lock().unwrap();
            told.entries = self.sites.iter().map(|site| site.peer).collect();
            told.kept = Arc::clone(&self.kept);
        }
        self.list(&source);
        let site = Site::with(&format!("dub-a-{at}"), source);
        site.until_ready();
        site
    }

    fn list(&self, source: &Fixed) {
        let rows = self.endpoints.iter().enumerate();
        source.0.lock().unwrap().endpoints = rows.map(|(at, it)| it.row(at)).collect();
    }

    /// Lists the endpoints as they are now.
    fn list_anew(&self) {
        for site in &self.sites {
            self.list(&site.source);
        }
    }

    /// Sends the fatal body, at entries in turn, and lists endpoints as they are by then.
    fn send(&self, number: usize, target: &str) {
        self.list_anew();
        let entry = &self.sites[number % self.sites.len()];
        post(entry.requests, target, &format!("c{number}"), FATAL);
        sleep(PAUSE);
    }

    /// Sends it as often as the caller does.
    fn send_all(&self, target: &str) {
        for number in 0..SENDS {
            self.send(number, target);
        }
    }

    fn check(&self) {
        let late = self.late();
        let all = self.arrivals.lock().unwrap().len();
        assert!(late <= MOST_LATE, "{late} late arrivals, {all} in all");
    }

    /// How many sends reached endpoints later than the bound after the third.
    fn late(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let third: Instant = arrivals[2];
        let is_late = |at: &&Instant| **at > third + BOUND;
        arrivals.iter().filter(is_late).count()
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

#[rstest]
#[case::read("/read/")]
#[case::write("/write/")]
#[case::stream("/stream/")]
fn a_body_that_ends_endpoints_reaches_few_more(#[case] target: &str) {
    reaches_few_more(&Fleet::start(DOWN), target);
}

/// Where an endpoint listens again before anybody can see that it was gone, its row tells that
/// it has started anew.
#[test]
fn endpoints_that_are_back_at_once_are_no_exception() {
    reaches_few_more(&Fleet::start(Down::Refuses(Duration::ZERO)), "/write/");
}

/// Where something before the endpoint takes connections while it is gone, other requests are
/// cut off by that, later than those that the endpoint had when it crashed.
#[test]
fn endpoints_behind_something_that_takes_connections_are_no_exception() {
    let fleet = Fleet::start(Down::Fronted(Duration::from_millis(1_800)));
    beside_others(&fleet.sites, || fleet.send_all("/write/"));
    fleet.check();
}

/// An endpoint that is gone for long loses requests until its row tells of its new start: what it
/// had when it crashed lies further back than what was lost last.
#[rstest]
#[case::of_some_seconds(Duration::from_millis(2_500))]
#[case::longer_than_a_row_takes(Duration::from_secs(7))]
fn what_began_a_long_outage_is_its_cause(#[case] down: Duration) {
    let fleet = Fleet::with(1, Down::Fronted(down), PLAIN);
    let entry = &fleet.sites[0];
    let ask = |number| post(entry.requests, "/write/", &format!("c{number}"), FATAL);
    beside_others(&fleet.sites[..1], || {
        for number in 0..3 {
            ask(number);
            sleep(down + PAUSE);
            fleet.list_anew();
            // The entry reads the row meanwhile.
            sleep(PAUSE);
            until(|| post(entry.requests, "/read/", "is-back", b"is it back?").status == 200);
        }
        let answer = ask(3);
        assert!(answer.text().contains("withheld"), "{}", answer.text());
    });
}

/// A request that is sent again and again while endpoints are gone has crashed none of them.
#[test]
fn what_finds_endpoints_gone_has_not_crashed_them() {
    let down = Duration::from_millis(1_500);
    let fleet = Fleet::with(3, Down::Fronted(down), PLAIN);
    let entry = &fleet.sites[0];
    let ask = |id: &str| post(entry.requests, "/read/", id, b"asked once more");
    beside_others(&fleet.sites[..1], || {
        fleet.endpoints.iter().for_each(Crashing::end);
        sleep(PAUSE);
        let lost = (0..20).filter(|number| {
            sleep(PAUSE / 5);
            ask(&format!("lost-{number}")).status == 502
        });
        assert!(lost.count() >= 3);
        sleep(down);
        fleet.list_anew();
        sleep(PAUSE);
        until(|| post(entry.requests, "/read/", "is-back", b"is it back?").status == 200);
        let answer = ask("served");
        assert_eq!(answer.status, 200, "{}", answer.text());
    });
}

/// Does this while others send requests to each of these entries.
fn beside_others(sites: &[Site], act: impl FnOnce()) {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for site in sites {
            scope.spawn(|| {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let body = number.to_string();
                    post(
                        site.requests,
                        "/read/",
                        &format!("o{number}"),
                        body.as_bytes(),
                    );
                    sleep(PAUSE / 10);
                }
            });
        }
        // Else the others would go on after a failure.
        let acted = catch_unwind(AssertUnwindSafe(act));
        is_over.store(true, Ordering::Relaxed);
        acted.unwrap_or_else(|failure| resume_unwind(failure));
    });
}

fn reaches_few_more(fleet: &Fleet, target: &str) {
    fleet.send_all(target);
    fleet.check();
}

/// What entries have learnt outlasts them: all of them are killed and started anew, twice, while
/// the caller goes on.
#[test]
fn what_is_withheld_outlasts_all_entries() {
    let mut fleet = Fleet::start(DOWN);
    for _ in 0..3 {
        for number in 0..SENDS / 2 {
            fleet.send(number, "/write/");
        }
        fleet.start_entries();
    }
    fleet.check();
}

/// An entry that starts long after a crash is told of it by those that were there: they may be
/// replaced next.
#[test]
fn an_entry_that_starts_hears_of_earlier_crashes() {
    let fleet = Fleet::start(DOWN);
    for number in 0..2 {
        fleet.send(number, "/write/");
    }
    sleep(BOUND + PAUSE);
    let newcomer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    newcomer.set_read_timeout(Some(BOUND)).unwrap();
    let own = newcomer.local_addr().unwrap();
    let question = message::encode(&peer::question("dub-a-9", own, peer::IGNORANT)).unwrap();
    newcomer.send_to(&question, fleet.sites[0].peer).unwrap();
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    let answer = loop {
        let length = newcomer.recv(&mut bytes).unwrap();
        if message::decode_resumption(&bytes[..length]).is_some() {
            // Who starts is told of versions as well.
            continue;
        }
        let heard = message::decode(&bytes[..length]).unwrap();
        if heard.is_answer {
            break heard;
        }
    };
    let told = answer.suspects.iter().map(|it| it.crashes.len());
    assert_eq!(told.collect::<Vec<_>>(), [2]);
}

/// Nobody is to blame where endpoints end by themselves: a request that stands beside many of
/// these ends, at one endpoint after the other, is served on.
#[test]
fn endpoints_that_end_by_themselves_hold_nobody_back() {
    let fleet = Fleet::start(DOWN);
    for number in 0..SENDS {
        fleet.endpoints[number % ENDPOINTS].end();
        fleet.list_anew();
        let entry = &fleet.sites[number % ENTRIES];
        let answer = post(
            entry.requests,
            "/read/",
            &format!("r{number}"),
            b"asked often",
        );
        assert_eq!(answer.status, 200, "{}", answer.text());
        sleep(PAUSE);
    }
}

/// An error says nothing of what the request does to endpoints that run it: they may not have begun it.
#[test]
fn errors_between_ends_clear_nothing() {
    let manner = Manner {
        has_errors: true,
        ..PLAIN
    };
    reaches_few_more(&Fleet::with(ENDPOINTS, DOWN, manner), "/write/");
}
