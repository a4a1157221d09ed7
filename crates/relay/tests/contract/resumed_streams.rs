//! Streams that callers take up where endpoints of several software versions serve one service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use woodgap_core::relay::resumption::registration;

use crate::caller::{Answer, Caller, get, request};
use crate::endpoint::{EVENTS, Endpoint, Seen, Step, chunk, head};
use crate::site::{Fixed, Site, plan, source, until, until_met};

/// Streams of one test: enough for a choice by chance to be seen.
const STREAMS: usize = 12;
const ROUTE: &str = "/stream-resumed/";
/// By when each entry has read a changed row: it looks each 20 ms.
const LISTED: Duration = Duration::from_secs(1);

/// What entries store of versions, by key.
type Stored = Arc<Mutex<BTreeMap<String, registration::Row>>>;

/// Endpoints of one service, each with its version, and entries before them.
struct Fleet {
    sites: Vec<Site>,
    stored: Stored,
    endpoints: Vec<(&'static str, Endpoint)>,
    /// Connections whose loss no entry has noticed yet, so that streams go to endpoints in turn.
    open: RefCell<Vec<Caller>>,
}

impl Fleet {
    fn start(entries: usize, versions: &[&'static str]) -> Self {
        let begin = vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Hold];
        let endpoint = |version: &&'static str| (*version, Endpoint::always(begin.clone()));
        let mut fleet = Self {
            sites: Vec::new(),
            stored: Stored::default(),
            endpoints: versions.iter().map(endpoint).collect(),
            open: RefCell::default(),
        };
        for _ in 0..entries {
            fleet.add_entry();
        }
        fleet
    }

    /// Starts an entry and waits until all know one another.
    fn add_entry(&mut self) {
        let source = self.source();
        source.0.lock().unwrap().entries = self.sites.iter().map(|site| site.peer).collect();
        let name = format!("dub-a-{}", self.sites.len());
        let site = if self.sites.is_empty() {
            Site::first(&name, source)
        } else {
            Site::with(&name, source)
        };
        site.until_ready();
        self.sites.push(site);
        until_met(&self.sites);
    }

    fn source(&self) -> Fixed {
        let addresses: Vec<_> = self.endpoints.iter().map(|it| it.1.address).collect();
        let source = source(&addresses);
        {
            let mut told = source.0.lock().unwrap();
            told.versions = Arc::clone(&self.stored);
            for (row, (version, _)) in told.endpoints.iter_mut().zip(&self.endpoints) {
                (*version).clone_into(&mut row.version);
            }
        }
        source
    }

    /// Waits until so many versions are stored, and that these are all.
    fn until_stored(&self, versions: usize) {
        until(|| self.stored.lock().unwrap().len() == versions + 1);
    }

    /// Lists only the endpoints of this version at all entries.
    fn list_only(&self, version: &str) {
        for site in &self.sites {
            let mut told = site.source.0.lock().unwrap();
            for row in &mut told.endpoints {
                row.leaving = row.version != version;
            }
        }
    }

    /// Begins a stream and loses its connection after the first event; gives back its version.
    fn begin(&self, entry: usize, id: &str) -> &'static str {
        let mut caller = Caller::connect(self.sites[entry].requests);
        caller.send(&request("GET", ROUTE, id, ""), b"");
        assert_eq!(caller.head().unwrap().status, 200);
        assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
        self.open.borrow_mut().push(caller);
        self.version_of(id).expect("it began")
    }

    /// The version at which an attempt has arrived, if it has.
    fn version_of(&self, id: &str) -> Option<&'static str> {
        let mut versions = Vec::new();
        for (version, endpoint) in &self.endpoints {
            let seen = endpoint.seen();
            let is_it = |seen: &&Seen| seen.header("x-woodgap-request") == id;
            versions.extend(seen.iter().filter(is_it).map(|_| *version));
        }
        versions.dedup();
        assert!(versions.len() < 2, "{id} ran at {versions:?}");
        versions.pop()
    }

    /// Takes a stream up after its first event, and loses it again; gives back the version at
    /// which it goes on.
    fn take_up(&self, entry: usize, id: &str, first: &str) -> Option<&'static str> {
        let mut caller = Caller::connect(self.sites[entry].requests);
        caller.send(&request("GET", ROUTE, id, &resuming(first)), b"");
        let status = caller.head().unwrap().status;
        let version = self.version_of(id);
        assert_eq!(status == 200, version.is_some(), "{id}: {status}");
        self.open.borrow_mut().push(caller);
        version
    }

    /// Begins streams at the first entry; gives back each with its version.
    fn begin_all(&self) -> Vec<(&'static str, String)> {
        let ids = (0..STREAMS).map(|at| format!("first-{at}"));
        ids.map(|id| (self.begin(0, &id), id)).collect()
    }

    /// Takes streams up at an entry, the last one first.
    fn check_all(&self, streams: &[(&'static str, String)], entry: usize) {
        let mut wrong = Vec::new();
        for (began, first) in streams.iter().rev() {
            let went_on = self.take_up(entry, &format!("again-{entry}-{first}"), first);
            if went_on != Some(*began) {
                wrong.push((began, went_on));
            }
        }
        assert!(wrong.is_empty(), "of {STREAMS}: {wrong:?}");
    }
}

fn resuming(first: &str) -> String {
    format!("Last-Event-ID: 1\r\nX-Woodgap-Resumes: {first}\r\n")
}

fn assert_refused(answer: &Answer) {
    assert_eq!((answer.status, answer.is_whole), (503, true));
    assert!(answer.text().contains("\"not_run\""), "{}", answer.text());
}

#[rstest]
#[case::at_the_entry_that_began_it(0)]
#[case::at_another_entry(1)]
fn a_stream_goes_on_only_at_the_version_that_began_it(#[case] entry: usize) {
    let fleet = Fleet::start(3, &["v1", "v2", "v1", "v2"]);
    fleet.check_all(&fleet.begin_all(), entry);
}

#[test]
fn a_stream_goes_on_at_its_version_at_an_entry_that_has_just_started() {
    let mut fleet = Fleet::start(2, &["v1", "v2", "v1", "v2"]);
    let streams = fleet.begin_all();
    fleet.add_entry();
    fleet.check_all(&streams, 2);
}

/// Each time the attempt that brought the first event is named.
#[test]
fn a_stream_that_is_taken_up_twice_stays_at_its_version() {
    let fleet = Fleet::start(3, &["v1", "v2", "v1", "v2"]);
    let streams = fleet.begin_all();
    for entry in [1, 2, 0] {
        fleet.check_all(&streams, entry);
    }
}

/// A route may be split between services.
#[test]
fn a_stream_goes_on_only_at_the_service_that_began_it() {
    let fleet = Fleet::start(2, &["v1", "v1", "v1", "v1"]);
    let mut split = plan(2);
    let route = split.routes.iter_mut().find(|it| it.prefix == ROUTE);
    let route = route.unwrap();
    let mut other = route.shares[0].clone();
    "model".clone_into(&mut other.service);
    route.shares.push(other);
    for site in &fleet.sites {
        let mut told = site.source.0.lock().unwrap();
        for row in &mut told.endpoints[2..] {
            "model".clone_into(&mut row.service);
        }
        told.plan = Some(split.clone());
    }
    let is_split = |site: &Site| {
        let metrics = get(site.metrics, "/metrics", "x", "").text();
        metrics.lines().any(|line| line == "plan_version 2")
    };
    until(|| fleet.sites.iter().all(is_split));
    let has_seen = |at: usize, id: &str| {
        let seen = fleet.endpoints[at].1.seen();
        seen.iter().any(|it| it.header("x-woodgap-request") == id)
    };
    let side = |id: &str| (0..4).find(|at| has_seen(*at, id)).map(|at| at < 2);
    for at in 0..STREAMS {
        let (first, again) = (format!("first-{at}"), format!("again-{at}"));
        fleet.begin(0, &first);
        fleet.take_up(1, &again, &first);
        assert_eq!(side(&first), side(&again));
    }
}

/// Whoever knows nothing must not guess.
#[rstest]
#[case::an_attempt_that_nobody_knows("X-Woodgap-Resumes: unknown\r\n")]
#[case::an_attempt_that_is_not_named("")]
#[case::an_attempt_without_a_name("X-Woodgap-Resumes:\r\n")]
fn a_stream_of_unknown_version_is_refused_where_two_serve(#[case] header: &str) {
    let fleet = Fleet::start(2, &["v1", "v2"]);
    for at in 0..STREAMS {
        let id = format!("again-{at}");
        let headers = format!("Last-Event-ID: 1\r\n{header}");
        assert_refused(&get(fleet.sites[at % 2].requests, ROUTE, &id, &headers));
        assert_eq!(fleet.version_of(&id), None);
    }
}

/// An identity is its workspace's own.
#[test]
fn a_stream_of_another_workspace_can_not_be_taken_up_where_two_versions_serve() {
    let fleet = Fleet::start(1, &["v1", "v2"]);
    let mut told = fleet.sites[0].source.0.lock().unwrap();
    let mut plan = plan(2);
    let mut other = plan.workspaces[0].clone();
    "byrne".clone_into(&mut other.name);
    other.keys = vec!["key-b".to_owned()];
    plan.workspaces.push(other);
    told.plan = Some(plan);
    drop(told);
    fleet.begin(0, "first");
    let theirs = request("GET", ROUTE, "theirs", &resuming("first")).replace("key-m", "key-b");
    until(|| {
        let mut caller = Caller::connect(fleet.sites[0].requests);
        caller.send(&theirs, b"");
        let answer = caller.answer().unwrap();
        assert_ne!(answer.status, 200);
        answer.status == 503
    });
    assert_eq!(fleet.version_of("theirs"), None);
}

#[test]
fn a_stream_whose_version_has_gone_is_refused_at_once() {
    let fleet = Fleet::start(2, &["v1", "v2"]);
    let streams = fleet.begin_all();
    fleet.list_only("v1");
    std::thread::sleep(LISTED);
    for (began, first) in &streams {
        let again = format!("again-{first}");
        if *began == "v1" {
            assert_eq!(fleet.take_up(1, &again, first), Some("v1"));
        } else {
            let begun = Instant::now();
            assert_refused(&get(
                fleet.sites[1].requests,
                ROUTE,
                &again,
                &resuming(first),
            ));
            assert!(begun.elapsed().as_millis() < 1_000);
            assert_eq!(fleet.version_of(&again), None);
        }
    }
}

/// With one version alone nothing needs to be known, or asked.
#[rstest]
#[case::an_attempt_that_nobody_knows("X-Woodgap-Resumes: unknown\r\n")]
#[case::an_attempt_that_is_not_named("")]
fn a_stream_goes_on_where_one_version_serves(#[case] header: &str) {
    let fleet = Fleet::start(2, &["v1", "v1", "v1"]);
    for at in 0..STREAMS {
        let id = format!("again-{at}");
        let headers = format!("Last-Event-ID: 1\r\n{header}");
        let mut caller = Caller::connect(fleet.sites[at % 2].requests);
        caller.send(&request("GET", ROUTE, &id, &headers), b"");
        assert_eq!(caller.head().unwrap().status, 200);
        assert_eq!(fleet.version_of(&id), Some("v1"));
        fleet.open.borrow_mut().push(caller);
    }
}

/// An endpoint has started again under its name, at another version, and its row is late.
#[test]
fn a_stream_does_not_begin_at_a_version_that_the_row_does_not_name() {
    let begin = vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Hold];
    let of_version = |version: &'static str| {
        let begin = begin.clone();
        Endpoint::looking(move |seen| {
            if seen.header("x-woodgap-version") == version {
                begin.clone()
            } else {
                vec![head("421 Misdirected Request", "Content-Length: 0\r\n")]
            }
        })
    };
    let mut fleet = Fleet::start(0, &[]);
    fleet.endpoints = vec![("v1", of_version("v1")), ("v1", of_version("v2"))];
    fleet.add_entry();
    let begin_one = |id: &str| {
        let mut caller = Caller::connect(fleet.sites[0].requests);
        caller.send(&request("GET", ROUTE, id, ""), b"");
        assert_eq!(caller.head().unwrap().status, 200);
        fleet.open.borrow_mut().push(caller);
    };
    let runs = |at: usize, version: &str| {
        let seen = fleet.endpoints[at].1.seen();
        let is_meant = |it: &&Seen| it.header("x-woodgap-version") == version;
        seen.iter().filter(is_meant).count()
    };
    (0..STREAMS).for_each(|at| begin_one(&format!("late-{at}")));
    assert_eq!((runs(0, "v1"), runs(1, "v2")), (STREAMS, 0));
    {
        let mut told = fleet.sites[0].source.0.lock().unwrap();
        "v2".clone_into(&mut told.endpoints[1].version);
    }
    std::thread::sleep(2 * LISTED);
    (0..STREAMS).for_each(|at| begin_one(&format!("listed-{at}")));
    assert!(runs(1, "v2") > 0);
    assert_eq!(runs(0, "v1") + runs(1, "v2"), 2 * STREAMS);
}

/// The last endpoint of a version may go just before all entries start again.
#[test]
fn a_version_that_has_gone_is_remembered_after_all_entries_have_started_again() {
    let fleet = Fleet::start(2, &["v1", "v2"]);
    fleet.until_stored(2);
    let started_again = |stored: &Stored| {
        let source = fleet.source();
        {
            let mut told = source.0.lock().unwrap();
            told.endpoints.remove(1);
            told.versions = Arc::clone(stored);
        }
        let site = Site::with("dub-a-0", source);
        site.until_ready();
        site
    };
    let site = started_again(&fleet.stored);
    let headers = resuming("before");
    assert_refused(&get(site.requests, ROUTE, "again", &headers));
    assert_eq!(fleet.version_of("again"), None);
    // A store in which nothing is any more tells of no version.
    let site = started_again(&Stored::default());
    assert_refused(&get(site.requests, ROUTE, "forgotten", &headers));
    assert_eq!(fleet.version_of("forgotten"), None);
    // The same where there was one version all the while.
    let single = Fleet::start(1, &["v1"]);
    single.until_stored(1);
    let site = started_again(&single.stored);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", ROUTE, "single", &headers), b"");
    assert_eq!(caller.head().unwrap().status, 200);
    assert_eq!(fleet.version_of("single"), Some("v1"));
}

#[test]
fn a_request_that_names_two_attempts_is_refused() {
    let fleet = Fleet::start(1, &["v1"]);
    let headers = "X-Woodgap-Resumes: a\r\nX-Woodgap-Resumes: b\r\n";
    let answer = get(fleet.sites[0].requests, ROUTE, "again", headers);
    assert_eq!(answer.status, 400);
    assert_eq!(fleet.version_of("again"), None);
}
