//! Entries that have lost their links to all endpoints, while callers reach them.

use std::time::Duration;

use rstest::rstest;

use crate::caller::{Caller, get, request};
use crate::endpoint::{EVENTS, Endpoint, Step, chunk, head, whole};
use crate::link::{Link, Mode};
use crate::site::{Site, endpoint, source, until, until_met};

/// Entries before the same endpoints, each with links of its own.
struct Fleet {
    sites: Vec<Site>,
    links: Vec<Vec<Link>>,
}

impl Fleet {
    fn start(entries: usize, endpoints: &[&Endpoint]) -> Self {
        let mut sites: Vec<Site> = Vec::new();
        let mut links = Vec::new();
        for at in 0..entries {
            let own: Vec<_> = endpoints.iter().map(|it| Link::to(it.address)).collect();
            let source = source(&[]);
            {
                let mut told = source.0.lock().unwrap();
                let listed = own.iter().enumerate();
                told.endpoints = listed
                    .map(|(at, link)| endpoint(at, link.address))
                    .collect();
                told.entries = sites.iter().map(|site| site.peer).collect();
            }
            let site = Site::with(&format!("dub-a-{at}"), source);
            site.until_ready();
            sites.push(site);
            links.push(own);
        }
        until_met(&sites);
        Self { sites, links }
    }

    /// Two entries before three endpoints that answer everything.
    fn of_two(endpoints: &[Endpoint; 3]) -> Self {
        let fleet = Self::start(2, &endpoints.each_ref());
        // Each has connections that rest.
        for site in &fleet.sites {
            for at in 0..6 {
                assert_eq!(
                    get(site.requests, "/read/", &format!("w{at}"), "").status,
                    200
                );
            }
        }
        fleet
    }

    /// What one entry's links do.
    fn set(&self, entry: usize, mode: Mode) {
        for link in &self.links[entry] {
            link.set(mode);
        }
    }

    /// Which entries this one names to callers.
    fn named_by(&self, entry: usize) -> Vec<usize> {
        let text = get(self.sites[entry].directory, "/v1/entries", "x", "").text();
        let all = self.sites.iter().enumerate();
        let named = all.filter(|(_, site)| text.contains(&site.requests.to_string()));
        named.map(|(at, _)| at).collect()
    }

    fn metric(&self, entry: usize, name: &str) -> u64 {
        let text = get(self.sites[entry].metrics, "/metrics", "x", "").text();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.map_or(0, |value| value.parse().unwrap())
    }
}

fn answering() -> [Endpoint; 3] {
    [0, 1, 2].map(|_| Endpoint::always(vec![whole("yes")]))
}

/// How often each of these requests arrived at any endpoint.
fn arrivals(endpoints: &[Endpoint], id: &str) -> usize {
    let seen = endpoints.iter().flat_map(Endpoint::seen);
    seen.filter(|seen| seen.header("x-woodgap-request") == id)
        .count()
}

#[rstest]
#[case::refused(Mode::Reset)]
#[case::silent(Mode::Silent)]
fn an_entry_without_links_to_endpoints_serves_first_tries_through_another(#[case] mode: Mode) {
    let endpoints = answering();
    let fleet = Fleet::of_two(&endpoints);
    fleet.set(0, mode);
    let mut tries = 0;
    until(|| {
        tries += 1;
        let id = format!("t{tries}");
        get(fleet.sites[0].requests, "/read/", &id, "").status == 200
            && fleet.metric(0, "isolated") == 1
    });
    for at in 0..20 {
        for route in ["read", "write", "stream"] {
            let id = format!("{route}-{at}");
            let answer = get(fleet.sites[0].requests, &format!("/{route}/"), &id, "");
            assert_eq!(
                (answer.status, answer.text()),
                (200, "yes".to_owned()),
                "{id}"
            );
            assert_eq!(answer.header("x-woodgap-request"), id);
            assert_eq!(arrivals(&endpoints, &id), 1, "{id}");
        }
    }
    fleet.set(0, Mode::Pass);
    let before: usize = fleet.links[0].iter().map(Link::connections).sum();
    until(|| fleet.metric(0, "isolated") == 0);
    until(|| {
        assert_eq!(
            get(fleet.sites[0].requests, "/read/", "back", "").status,
            200
        );
        fleet.links[0].iter().map(Link::connections).sum::<usize>() > before
    });
}

/// Requests that old connections have no room for need new ones.
#[test]
fn an_entry_whose_old_connections_live_on_serves_more_through_another() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::always(vec![Step::Wait, whole("yes")]));
    let fleet = Fleet::start(2, &endpoints.each_ref());
    let at_once = |tag: &str| {
        let address = fleet.sites[0].requests;
        let id = |at: usize| format!("{tag}-{at}");
        let callers = (0..12).map(|at| {
            let mut caller = Caller::connect(address);
            caller.send(&request("GET", "/write/", &id(at), ""), b"");
            caller
        });
        let callers: Vec<_> = callers.collect();
        // All are on their way before the first one ends.
        std::thread::sleep(Duration::from_millis(200));
        for endpoint in &endpoints {
            (0..12).for_each(|_| endpoint.go());
        }
        let answers = callers
            .into_iter()
            .map(|mut it| it.answer().unwrap().status);
        answers.collect::<Vec<_>>()
    };
    assert_eq!(at_once("before"), vec![200; 12]);
    fleet.set(0, Mode::OldOnly);
    // The second twelve find connections that rest; what is beyond them must be served too.
    for round in 0..3 {
        let hold: Vec<_> = (0..24)
            .map(|at| {
                let mut caller = Caller::connect(fleet.sites[0].requests);
                let id = format!("hold-{round}-{at}");
                caller.send(&request("GET", "/write/", &id, ""), b"");
                caller
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        for endpoint in &endpoints {
            (0..24).for_each(|_| endpoint.go());
        }
        for mut caller in hold {
            assert_eq!(caller.answer().unwrap().status, 200, "round {round}");
        }
    }
}

/// Requests that went out on connections that rested find no connection to open.
#[test]
fn links_that_say_nothing_are_noticed_by_what_waits_on_old_connections() {
    let endpoints = answering();
    let fleet = Fleet::of_two(&endpoints);
    fleet.set(0, Mode::Silent);
    let mut caller = Caller::connect(fleet.sites[0].requests);
    caller.send(&request("GET", "/write/", "w", ""), b"");
    until(|| fleet.metric(0, "isolated") == 1);
    assert_eq!(
        get(fleet.sites[0].requests, "/write/", "after", "").status,
        200
    );
    assert_eq!(arrivals(&endpoints, "after"), 1);
    drop(caller);
}

/// A sound endpoint may say nothing for a second, and all of them at the same moment.
#[rstest]
#[case::of_one_endpoint(1)]
#[case::of_all_endpoints(3)]
fn a_short_silence_loses_nothing(#[case] silent: usize) {
    let work = || vec![Step::Wait, whole("yes")];
    let endpoints = [0, 1, 2].map(|_| Endpoint::always(work()));
    let fleet = Fleet::start(2, &endpoints.each_ref());
    let mut callers: Vec<_> = (0..9)
        .map(|at| {
            let mut caller = Caller::connect(fleet.sites[0].requests);
            caller.send(&request("GET", "/write/", &format!("w{at}"), ""), b"");
            caller
        })
        .collect();
    until(|| endpoints.iter().map(|it| it.seen().len()).sum::<usize>() == 9);
    let links = &fleet.links[0][..silent];
    for link in links {
        link.set(Mode::Silent);
    }
    for endpoint in &endpoints {
        (0..12).for_each(|_| endpoint.go());
    }
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        get(fleet.sites[0].requests, "/write/", "during", "").status,
        200
    );
    for link in links {
        link.set(Mode::Pass);
    }
    for caller in &mut callers {
        assert_eq!(caller.answer().map(|answer| answer.status), Some(200));
    }
    for at in 0..9 {
        assert_eq!(arrivals(&endpoints, &format!("w{at}")), 1);
    }
    assert_eq!(arrivals(&endpoints, "during"), 1);
    assert_eq!(fleet.metric(0, "crashes"), 0);
    until(|| fleet.metric(0, "isolated") == 0);
}

/// A stream whose end is lost on the way must not look complete.
#[test]
fn a_stream_through_another_entry_arrives_piece_by_piece_and_its_cut_is_seen() {
    let steps = || {
        vec![
            head("200 OK", EVENTS),
            chunk("id: 1\n\n"),
            Step::Wait,
            chunk("id: 2\n\n"),
            Step::Reset,
        ]
    };
    let endpoints = [0, 1, 2].map(|_| Endpoint::always(steps()));
    let fleet = Fleet::start(2, &endpoints.each_ref());
    fleet.set(0, Mode::Reset);
    let mut caller = None;
    until(|| {
        let mut one = Caller::connect(fleet.sites[0].requests);
        one.send(&request("GET", "/stream/", "s1", ""), b"");
        let is_served = one.head().is_some_and(|head| head.status == 200);
        caller = is_served.then_some(one);
        is_served
    });
    let mut caller = caller.unwrap();
    assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
    endpoints.iter().for_each(Endpoint::go);
    assert_eq!(caller.chunk(), Ok(Some(b"id: 2\n\n".to_vec())));
    assert_eq!(caller.chunk(), Err(()));
}

#[test]
fn callers_are_not_sent_to_an_entry_without_links_to_endpoints() {
    let endpoints = answering();
    let fleet = Fleet::of_two(&endpoints);
    fleet.set(0, Mode::Reset);
    until(|| {
        get(fleet.sites[0].requests, "/read/", "r", "");
        [0, 1].map(|entry| fleet.named_by(entry)) == [vec![1], vec![1]]
    });
    fleet.set(0, Mode::Pass);
    until(|| [0, 1].map(|entry| fleet.named_by(entry)) == [vec![0, 1], vec![0, 1]]);
    // Where none has links, all are named.
    fleet.set(0, Mode::Reset);
    fleet.set(1, Mode::Reset);
    until(|| {
        for site in &fleet.sites {
            get(site.requests, "/read/", "r", "");
        }
        fleet.metric(0, "isolated") + fleet.metric(1, "isolated") == 2
    });
    until(|| [0, 1].map(|entry| fleet.named_by(entry)) == [vec![0, 1], vec![0, 1]]);
}

/// Else what ran at the moment of the cut is withheld from all endpoints for ten minutes.
#[test]
fn an_entry_that_has_lost_its_links_takes_no_endpoint_for_crashed() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::endless());
    let fleet = Fleet::start(2, &endpoints.each_ref());
    let callers: Vec<_> = (0..9)
        .map(|at| {
            let mut caller = Caller::connect(fleet.sites[0].requests);
            caller.send(&request("GET", "/stream/", &format!("s{at}"), ""), b"");
            assert_eq!(caller.head().map(|head| head.status), Some(200));
            caller
        })
        .collect();
    fleet.set(0, Mode::Reset);
    for mut caller in callers {
        while let Ok(Some(_)) = caller.chunk() {}
    }
    until(|| fleet.metric(0, "isolated") == 1);
    assert_eq!(fleet.metric(0, "crashes"), 0);
    assert_eq!(fleet.metric(0, "quarantined"), 0);
}

/// Else all entries open a connection for nearly each request, as if endpoints dropped idle ones.
#[test]
fn an_entry_that_has_lost_its_links_shortens_no_idle_times() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let fleet = Fleet::start(2, &[&endpoint]);
    for site in &fleet.sites {
        assert_eq!(get(site.requests, "/read/", "first", "").status, 200);
    }
    // Long enough to seem to be the cause, and for the other entry to hear of it.
    let rest = Duration::from_millis(600);
    std::thread::sleep(rest);
    fleet.set(0, Mode::ResetLater);
    until(|| {
        get(fleet.sites[0].requests, "/read/", "r", "");
        fleet.metric(0, "isolated") == 1
    });
    for round in 0..3 {
        get(fleet.sites[1].requests, "/read/", "before", "");
        let before = fleet.metric(1, "connects");
        std::thread::sleep(rest);
        get(fleet.sites[1].requests, "/read/", "after", "");
        assert_eq!(fleet.metric(1, "connects"), before, "round {round}");
    }
}
