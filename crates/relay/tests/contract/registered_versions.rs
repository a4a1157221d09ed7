//! No stream begins at a software version that the platform has not stored, so that entries which
//! start after a loss of all know each version that may have begun one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::resumption::registration::{COMPLETENESS_KEY, Row, ServiceVersions};
use woodgap_core::relay::resumption::stored::Batch;

use crate::caller::{Answer, Caller, request};
use crate::endpoint::{EVENTS, Endpoint, Seen, Step, chunk, head};
use crate::site::{FLEET_TRUST, Fixed, Refused, Site, source, until, until_met};

const STREAMS: usize = 12;
const ROUTE: &str = "/stream-resumed/";
/// Well above the second for which a new stream waits for a version at most.
const PATIENCE: Duration = Duration::from_secs(3);

/// What is left when all entries are lost: the store, and endpoints of two versions.
struct System {
    versions: Arc<Mutex<BTreeMap<String, Row>>>,
    damaged: Arc<Mutex<BTreeSet<String>>>,
    refused: Option<Refused>,
    refusals: Arc<Mutex<usize>>,
    streams: Arc<Mutex<BTreeMap<(name::Entry, u64), Batch>>>,
    endpoints: Vec<(&'static str, Endpoint)>,
    /// The versions whose endpoints are listed.
    listed: Vec<&'static str>,
    sites: Vec<Site>,
    /// Connections whose loss no entry has noticed yet, so that streams go to endpoints in turn.
    open: RefCell<Vec<Caller>>,
}

impl System {
    /// Starts two entries for the first time, before the endpoints of `v1`.
    fn start() -> Self {
        let mut system = Self::stopped();
        system.start_entries(true);
        system
    }

    /// No entry has ever run, and `v1` is listed.
    fn stopped() -> Self {
        let begin = vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Hold];
        let versions = ["v1", "v1", "v2", "v2"].into_iter();
        Self {
            versions: Arc::default(),
            damaged: Arc::default(),
            refused: None,
            refusals: Arc::default(),
            streams: Arc::default(),
            endpoints: versions
                .map(|it| (it, Endpoint::always(begin.clone())))
                .collect(),
            listed: vec!["v1"],
            sites: Vec::new(),
            open: RefCell::default(),
        }
    }

    /// What an entry reads that starts now.
    fn source(&self) -> Fixed {
        let addresses: Vec<_> = self.endpoints.iter().map(|it| it.1.address).collect();
        let source = source(&addresses);
        {
            let mut told = source.0.lock().unwrap();
            told.versions = Arc::clone(&self.versions);
            told.damaged_versions = Arc::clone(&self.damaged);
            told.refused_versions = self.refused;
            told.refusals = Arc::clone(&self.refusals);
            told.streams = Arc::clone(&self.streams);
            told.entries = self.sites.iter().map(|site| site.peer).collect();
            for (row, (version, _)) in told.endpoints.iter_mut().zip(&self.endpoints) {
                (*version).clone_into(&mut row.version);
                row.slots = 64;
            }
            let listed = &self.listed;
            told.endpoints
                .retain(|row| listed.contains(&row.version.as_str()));
        }
        source
    }

    fn start_entries(&mut self, is_first: bool) {
        for at in 0..2 {
            let name = format!("dub-a-{at}");
            let site = if is_first {
                Site::first(&name, self.source())
            } else {
                Site::with(&name, self.source())
            };
            site.until_ready();
            self.sites.push(site);
        }
        until_met(&self.sites);
    }

    /// All entries are lost: they store nothing more, and nobody knows of them.
    fn lose_all(&mut self) {
        for site in self.sites.drain(..) {
            site.source.0.lock().unwrap().is_down = true;
        }
    }

    /// Lists only the endpoints of these versions.
    fn list(&mut self, versions: &[&'static str]) {
        self.listed = versions.to_vec();
        let endpoints = self.source().0.lock().unwrap().endpoints.clone();
        for site in &self.sites {
            site.source
                .0
                .lock()
                .unwrap()
                .endpoints
                .clone_from(&endpoints);
        }
    }

    /// The store refuses this of versions.
    fn refuse(&mut self, refused: Option<Refused>) {
        self.refused = refused;
        for site in &self.sites {
            site.source.0.lock().unwrap().refused_versions = refused;
        }
    }

    fn is_stored(&self, version: &str) -> bool {
        let one = ServiceVersions::one("links", version);
        self.versions.lock().unwrap().contains_key(&one.key())
    }

    /// The version at which an attempt has arrived, if it has.
    fn version_of(&self, id: &str) -> Option<&'static str> {
        let is_it = |seen: &Seen| seen.header("x-woodgap-request") == id;
        let has_run = |endpoint: &Endpoint| endpoint.seen().iter().any(is_it);
        let ran = self.endpoints.iter().filter(|it| has_run(&it.1));
        let mut ran = ran.map(|it| it.0);
        let version = ran.next();
        assert_eq!(ran.next(), None, "{id} ran twice");
        version
    }

    /// Asks for a stream; gives back its version, or the answer that refuses it unrun.
    fn ask(&self, entry: usize, id: &str, headers: &str) -> Result<&'static str, Answer> {
        let mut caller = Caller::connect(self.sites[entry].requests);
        caller.send(&request("GET", ROUTE, id, headers), b"");
        let answer = caller.head().unwrap();
        if answer.status == 200 {
            assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
            self.open.borrow_mut().push(caller);
            return Ok(self.version_of(id).expect("it runs"));
        }
        let answer = caller.rest(answer);
        assert_eq!(self.version_of(id), None);
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.text().contains("\"not_run\""), "{}", answer.text());
        Err(answer)
    }

    /// Streams begin at both entries; gives back their attempts and versions.
    fn begin_all(&self, name: &str) -> Vec<(String, &'static str)> {
        let begin = |at: usize| {
            let mut begun = None;
            let mut tries = 0;
            until(|| {
                let id = format!("{name}-{at}-{tries}");
                tries += 1;
                begun = self.ask(at % 2, &id, "").ok().map(|version| (id, version));
                begun.is_some()
            });
            begun.unwrap()
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Takes a stream up.
    fn take_up(&self, entry: usize, id: &str, first: &str) -> Result<&'static str, Answer> {
        let headers = format!("Last-Event-ID: 1\r\nX-Woodgap-Resumes: {first}\r\n");
        self.ask(entry, id, &headers)
    }

    /// Each of these streams is refused at each entry, as nobody knows its version, or none of it
    /// serves.
    fn check_refused(&self, streams: &[(String, &'static str)], name: &str) {
        let mut went_on = Vec::new();
        for (first, began) in streams {
            for entry in 0..2 {
                match self.take_up(entry, &format!("{name}-{entry}-{first}"), first) {
                    Ok(version) => went_on.push((began, version)),
                    Err(answer) => {
                        let text = answer.text();
                        let codes = ["\"unknown_version\"", "\"version_gone\""];
                        assert!(codes.iter().any(|code| text.contains(code)), "{text}");
                    }
                }
            }
        }
        assert!(went_on.is_empty(), "of {STREAMS}: {went_on:?}");
    }

    /// Each of these streams goes on at its version at the other entry than it began at, sooner or
    /// later.
    fn check_go_on(&self, streams: &[(String, &'static str)]) {
        for (at, (first, began)) in streams.iter().enumerate() {
            let mut tries = 0;
            until(|| {
                let again = format!("again-{tries}-{first}");
                tries += 1;
                let version = self.take_up((at + 1) % 2, &again, first);
                assert!(version.as_ref().is_ok_and(|it| it == began) || version.is_err());
                version.is_ok()
            });
        }
    }
}

/// Entries that started took the version that they saw for the only one there had been.
#[test]
fn streams_of_a_replaced_version_go_on_at_no_other_after_a_loss_of_all() {
    let mut system = System::start();
    let streams = system.begin_all("first");
    system.lose_all();
    system.list(&["v2"]);
    system.start_entries(false);
    system.check_refused(&streams, "early");
    let new = system.begin_all("new");
    assert!(new.iter().all(|it| it.1 == "v2"), "{new:?}");
    system.check_refused(&streams, "late");
}

/// A version that was merely listed was taken for one that may have begun streams.
#[test]
fn streams_of_the_only_version_go_on_beside_one_that_came_while_none_ran() {
    let mut system = System::start();
    let streams = system.begin_all("first");
    system.lose_all();
    system.list(&["v1", "v2"]);
    system.start_entries(false);
    system.check_go_on(&streams);
    // The new one is not left out for good.
    let mut number = 0;
    until(|| {
        number += 1;
        system.ask(0, &format!("new-{number}"), "").ok() == Some("v2")
    });
    assert!(system.is_stored("v2"));
}

/// Streams began at a version that the next entries could not know of.
#[test]
fn no_stream_begins_at_a_version_that_can_not_be_stored() {
    let mut system = System::start();
    system.begin_all("first");
    system.refuse(Some(Refused::All));
    system.list(&["v2"]);
    for entry in 0..2 {
        let mut number = 0;
        until(|| {
            number += 1;
            let begun = Instant::now();
            match system.ask(entry, &format!("early-{entry}-{number}"), "") {
                // It has not read the list yet.
                Ok(version) => {
                    assert_eq!(version, "v1");
                    false
                }
                Err(answer) => {
                    let text = answer.text();
                    assert!(text.contains("\"not_ready\""), "{text}");
                    assert!(begun.elapsed() < PATIENCE, "{:?}", begun.elapsed());
                    true
                }
            }
        });
    }
    assert!(!system.is_stored("v2"));
    system.refuse(None);
    let new = system.begin_all("new");
    assert!(new.iter().all(|it| it.1 == "v2"), "{new:?}");
    assert!(system.is_stored("v2"));
}

/// An entry that could not read the store refused all streams, though others knew the versions.
#[test]
fn an_entry_without_a_store_learns_from_another_where_streams_may_begin() {
    let mut system = System::stopped();
    let first = Site::first("dub-a-0", system.source());
    first.until_ready();
    system.sites.push(first);
    until(|| system.is_stored("v1"));
    let source = system.source();
    source.0.lock().unwrap().is_down = true;
    let second = Site::with_trust("dub-a-1", FLEET_TRUST, source);
    second.until_ready();
    system.sites.push(second);
    until_met(&system.sites);
    let new = system.begin_all("new");
    assert!(new.iter().all(|it| it.1 == "v1"), "{new:?}");
}

/// What can't be read of the store.
#[derive(Clone, Copy, Debug)]
enum Damage {
    /// The row of the version can't be decoded, and another version has taken its place.
    Version,
    /// The row that says since when the rows are complete can't be decoded.
    Completeness,
    /// That row is missing.
    MissingCompleteness,
}

/// Versions that could be read were taken for all that there had been.
#[rstest]
#[case::a_version_that_can_not_be_decoded(Damage::Version)]
#[case::completeness_that_can_not_be_decoded(Damage::Completeness)]
#[case::no_completeness(Damage::MissingCompleteness)]
fn unknown_streams_are_refused_where_versions_may_be_missing(#[case] damage: Damage) {
    let mut system = System::start();
    let streams = system.begin_all("first");
    system.lose_all();
    let key = match damage {
        Damage::Version => ServiceVersions::one("links", "v1").key(),
        Damage::Completeness | Damage::MissingCompleteness => COMPLETENESS_KEY.to_owned(),
    };
    let lost = system.versions.lock().unwrap().remove(&key);
    assert!(lost.is_some());
    if !matches!(damage, Damage::MissingCompleteness) {
        system.damaged.lock().unwrap().insert(key);
    }
    if matches!(damage, Damage::Version) {
        system.list(&["v2"]);
    }
    system.start_entries(false);
    system.check_refused(&streams, "early");
    let new = system.begin_all("new");
    assert!(new.iter().all(|it| it.1 == system.listed[0]), "{new:?}");
    // The rows are complete from now on, not for the time before.
    until(|| {
        let versions = system.versions.lock().unwrap();
        let row = versions.get(COMPLETENESS_KEY);
        row.is_some_and(
            |row| matches!(row, Row::Completeness(it) if it.complete_since_unix > Millis::ZERO),
        )
    });
    assert!(system.is_stored(system.listed[0]));
    until(|| system.damaged.lock().unwrap().is_empty());
    system.check_refused(&streams, "late");
    // Those that began meanwhile are known.
    system.check_go_on(&new);
}

/// The store failed between the two steps of a repair, and what was left of it passed for complete.
#[test]
fn a_damaged_row_counts_as_lost_until_completeness_is_stored_anew() {
    let mut system = System::start();
    let streams = system.begin_all("first");
    system.lose_all();
    let key = ServiceVersions::one("links", "v1").key();
    assert!(system.versions.lock().unwrap().remove(&key).is_some());
    system.damaged.lock().unwrap().insert(key);
    system.list(&["v2"]);
    system.refuse(Some(Refused::Completeness));
    system.start_entries(false);
    let new = system.begin_all("new");
    assert!(new.iter().all(|it| it.1 == "v2"), "{new:?}");
    for tries in 1..=2 {
        until(|| *system.refusals.lock().unwrap() >= tries);
        system.check_refused(&streams, &format!("after-{tries}"));
    }
    system.refuse(None);
    until(|| system.damaged.lock().unwrap().is_empty());
    system.check_refused(&streams, "late");
}
