//! Endpoints that start again under their name and address.

use std::net::SocketAddr;

use rstest::rstest;
use woodgap_core::clock::Millis;

use crate::caller::{Caller, get, post, request};
use crate::endpoint::{EVENTS, Endpoint, Seen, Step, chunk, head, whole};
use crate::site::{Site, source, until};

/// Tells of the endpoint in the life that began at this moment.
fn tell(site: &Site, at: u64) {
    let mut told = site.source.0.lock().unwrap();
    told.endpoints[0].life.started_unix = Some(Millis(at));
}

fn connections(endpoint: &Endpoint) -> usize {
    let seen = endpoint.seen();
    let last = seen.iter().map(|seen| seen.connection).max();
    last.map_or(0, |last| last + 1)
}

/// Tells of a later life, and sends requests until one has gone to it.
fn begin_again(site: &Site, endpoint: &Endpoint) {
    assert_eq!(post(site.requests, "/write/", "r1", b"x").status, 200);
    let before = connections(endpoint);
    tell(site, 200);
    let mut number = 1;
    until(|| {
        number += 1;
        let status = post(site.requests, "/write/", &format!("r{number}"), b"x").status;
        assert_eq!(status, 200);
        connections(endpoint) > before
    });
}

/// How often the endpoint got the request that is cut off.
fn runs_of_cut(endpoint: &Endpoint) -> usize {
    let seen = endpoint.seen();
    let is_cut = |id: String| id.starts_with("cut");
    let ran = seen
        .iter()
        .filter(|it| is_cut(it.header("x-woodgap-request")));
    ran.count()
}

/// A request that the end of the earlier life cut off goes to the later one only where
/// it may run twice.
#[rstest]
#[case::at_most_once("/write/", 502, 1)]
#[case::at_most_once_with_attempts_left("/write-twice/", 502, 1)]
#[case::stream("/stream/", 502, 1)]
#[case::stream_with_attempts_left("/stream-twice/", 502, 1)]
#[case::resumable_stream("/stream-resumed/", 200, 2)]
#[case::idempotent("/read/", 200, 2)]
fn a_request_that_is_cut_off_runs_again_only_if_it_may(
    #[case] path: &'static str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    let endpoint = Endpoint::numbered(|number| match number {
        0 => vec![Step::Wait, Step::Reset],
        _ => vec![whole("yes")],
    });
    let site = Site::start(&[endpoint.address]);
    tell(&site, 100);
    let requests = site.requests;
    let cut = std::thread::spawn(move || post(requests, path, "cut", b"x").status);
    until(|| endpoint.seen().len() == 1);
    begin_again(&site, &endpoint);
    endpoint.go();
    assert_eq!(cut.join().unwrap(), status);
    assert_eq!(runs_of_cut(&endpoint), runs);
}

/// A stream that the end of the earlier life cut off midway is not begun again, whatever its
/// route allows before its first event: the caller has a part of it.
#[rstest]
#[case::with_attempts_left("/stream-twice/")]
#[case::resumable("/stream-resumed/")]
fn a_stream_that_is_cut_off_midway_is_not_begun_again(#[case] path: &str) {
    let endpoint = Endpoint::numbered(|number| match number {
        0 => vec![
            head("200 OK", EVENTS),
            chunk("id: 1\n\n"),
            Step::Wait,
            Step::Reset,
        ],
        _ => vec![whole("yes")],
    });
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", path, "cut", ""), b"");
    assert_eq!(caller.head().unwrap().status, 200);
    assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
    begin_again(&site, &endpoint);
    endpoint.go();
    assert_eq!(caller.chunk(), Err(()));
    assert_eq!(get(site.requests, "/read/", "last", "").status, 200);
    assert_eq!(runs_of_cut(&endpoint), 1);
}

/// A whole answer on a connection that may rest for minutes, so that none is closed for
/// its age while a test runs.
fn whole_and_kept() -> Step {
    let headers = "X-Woodgap-Seal: s1\r\nKeep-Alive: timeout=600\r\nContent-Length: 0\r\n";
    head("200 OK", headers)
}

/// A site that knows one endpoint, which started at this moment, if that is known.
fn site(address: SocketAddr, started: Option<u64>) -> Site {
    let source = source(&[address]);
    source.0.lock().unwrap().endpoints[0].life.started_unix = started.map(Millis);
    let site = Site::with("dub-a-1", source);
    site.until_ready();
    site
}

/// Two connections rest and one is busy when the endpoint starts again. Once a request has
/// gone to the later life, none goes on any of the three: neither on those that rested, nor on
/// the one whose answer was whole afterwards.
#[rstest]
#[case::same_address(Some(100), Some(200), true)]
#[case::another_address(Some(100), Some(200), false)]
#[case::a_start_is_told_at_last(None, Some(200), true)]
#[case::back_to_an_earlier_writer(Some(200), None, true)]
#[case::back_to_an_earlier_writer_elsewhere(Some(200), None, false)]
fn a_connection_of_the_earlier_life_is_never_used_again(
    #[case] earlier: Option<u64>,
    #[case] later: Option<u64>,
    #[case] stays: bool,
) {
    const OLD: usize = 3;
    let old = Endpoint::numbered(|number| match number {
        0..OLD => vec![Step::Wait, whole_and_kept()],
        _ => vec![whole_and_kept()],
    });
    let elsewhere = Endpoint::always(vec![whole_and_kept()]);
    let new = if stays { &old } else { &elsewhere };
    let site = site(old.address, earlier);
    let requests = site.requests;
    let send = move |id: String| assert_eq!(post(requests, "/write/", &id, b"x").status, 200);
    let first = (0..OLD).map(|at| std::thread::spawn(move || send(format!("first-{at}"))));
    let first: Vec<_> = first.collect();
    until(|| old.seen().len() == OLD);
    for _ in 1..OLD {
        old.go();
    }
    until(|| first.iter().filter(|it| it.is_finished()).count() == OLD - 1);
    {
        let mut told = site.source.0.lock().unwrap();
        told.endpoints[0].life.started_unix = later.map(Millis);
        told.endpoints[0].address = new.address;
    }
    let is_of_later = |seen: &Seen| !stays || seen.connection >= OLD;
    let mut number = 0;
    until(|| {
        number += 1;
        send(format!("until-{number}"));
        new.seen().last().is_some_and(is_of_later)
    });
    let before = [&old, new].map(|it| it.seen().len());
    old.go();
    for thread in first {
        thread.join().unwrap();
    }
    for number in 0..5 {
        send(format!("later-{number}"));
    }
    let later = &new.seen()[before[1]..];
    assert_eq!(later.len(), 5);
    assert!(later.iter().all(is_of_later), "{later:?}");
    if !stays {
        assert_eq!(old.seen().len(), before[0]);
    }
}

/// The news that an endpoint has started again may come late: a stream that ends with its connection
/// after that is one of the later life, and whole.
#[test]
fn a_stream_of_a_later_life_that_ends_with_its_connection_is_whole() {
    let unframed = "X-Woodgap-Seal: s\r\nContent-Type: text/event-stream\r\n";
    let endpoint = Endpoint::looking(move |seen| {
        if seen.header("x-woodgap-request").starts_with("cut") {
            return vec![Step::Close];
        }
        vec![
            head("200 OK", unframed),
            Step::Send("id: 1\n\n".to_owned()),
            Step::Wait,
            Step::Close,
        ]
    });
    let site = Site::start(&[endpoint.address]);
    assert_eq!(post(site.requests, "/write/", "cut", b"x").status, 502);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", "/stream/", "r1", ""), b"");
    assert_eq!(caller.head().unwrap().status, 200);
    assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
    tell(&site, 200);
    until(|| {
        let metrics = get(site.metrics, "/metrics", "x", "").text();
        metrics.lines().any(|line| line == "crashes 1")
    });
    endpoint.go();
    assert_eq!(caller.chunk(), Ok(None));
}

/// An endpoint that has crashed and is back at once, at its address and under another name, refuses no
/// connection and is never listed with a later start.
#[test]
fn an_endpoint_that_is_back_under_another_name_has_crashed() {
    let misdirected = "X-Woodgap-Verdict: not_run\r\nContent-Length: 0\r\n";
    let endpoint = Endpoint::looking(move |seen| {
        if seen.header("x-woodgap-request") == "cut" {
            return vec![Step::Close];
        }
        vec![head("421 X", misdirected)]
    });
    let site = Site::start(&[endpoint.address]);
    assert_eq!(post(site.requests, "/write/", "cut", b"x").status, 502);
    assert_ne!(post(site.requests, "/write/", "next", b"x").status, 200);
    let metrics = get(site.metrics, "/metrics", "x", "").text();
    assert!(metrics.lines().any(|line| line == "crashes 1"));
}
