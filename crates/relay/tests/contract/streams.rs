//! Streams of events pass through event by event.

use crate::caller::{Caller, request};
use crate::endpoint::{EVENTS, Endpoint, Step, chunk, head};
use crate::site::{Site, until};

fn open(endpoint: &Endpoint) -> (Site, Caller) {
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", "/stream/", "r1", ""), b"");
    (site, caller)
}

#[test]
fn an_event_is_passed_on_before_the_next_is_made() {
    let steps = vec![
        head("200 OK", EVENTS),
        chunk("id: 1\n\n"),
        Step::Wait,
        chunk("id: 2\n\n"),
        Step::Send("0\r\n\r\n".to_owned()),
    ];
    let endpoint = Endpoint::always(steps);
    let (_site, mut caller) = open(&endpoint);
    assert_eq!(caller.head().unwrap().status, 200);
    assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
    endpoint.go();
    assert_eq!(caller.chunk(), Ok(Some(b"id: 2\n\n".to_vec())));
    assert_eq!(caller.chunk(), Ok(None));
}

#[test]
fn a_stream_that_breaks_off_does_not_look_whole() {
    let steps = vec![
        head("200 OK", EVENTS),
        chunk("id: 1\n\n"),
        Step::Wait,
        Step::Reset,
    ];
    let endpoint = Endpoint::always(steps);
    let (_site, mut caller) = open(&endpoint);
    assert_eq!(caller.head().unwrap().status, 200);
    assert_eq!(caller.chunk(), Ok(Some(b"id: 1\n\n".to_vec())));
    endpoint.go();
    assert_eq!(caller.chunk(), Err(()));
}

#[test]
fn one_that_breaks_off_before_its_first_event_is_an_error() {
    let endpoint = Endpoint::always(vec![head("200 OK", EVENTS), Step::Close]);
    let (_site, mut caller) = open(&endpoint);
    assert_eq!(caller.answer().unwrap().status, 502);
}

#[test]
fn one_that_ends_with_its_connection_within_an_event_is_not_whole() {
    let unframed = "X-Woodgap-Seal: s\r\nContent-Type: text/event-stream\r\n";
    let steps = |last: &str| {
        vec![
            head("200 OK", unframed),
            Step::Send("id: 1\n\n".to_owned()),
            Step::Wait,
            Step::Send(last.to_owned()),
            Step::Close,
        ]
    };
    for (last, is_whole) in [("id: 2\n\n", true), ("id: 2\nda", false)] {
        let endpoint = Endpoint::always(steps(last));
        endpoint.go();
        let (_site, mut caller) = open(&endpoint);
        assert_eq!(caller.answer().unwrap().is_whole, is_whole, "{last}");
    }
}

#[test]
fn an_endpoint_stops_when_the_caller_goes() {
    let before_an_answer = vec![Step::Hold];
    let within_a_stream = vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Hold];
    for steps in [before_an_answer, within_a_stream] {
        let endpoint = Endpoint::always(steps);
        let (_site, caller) = open(&endpoint);
        until(|| endpoint.seen().len() == 1);
        caller.leave();
        until(|| endpoint.closed() == 1);
    }
}
