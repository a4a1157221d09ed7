//! DRAIN: a request that an entry had given up arrived when the link to its endpoint lived again.

use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;

use crate::caller::{Caller, get, request};
use crate::endpoint::{Endpoint, whole};
use crate::link::{Link, Mode};
use crate::site::{Site, until};

/// Longer than a link that lives again takes to pass on what it held.
const HELD: Duration = Duration::from_millis(300);

fn arrivals(endpoint: &Endpoint, id: &str) -> usize {
    let seen = endpoint.seen().into_iter();
    seen.filter(|seen| seen.header("x-woodgap-request") == id)
        .count()
}

/// A relay with an open connection to an endpoint, and the link between them.
fn scene() -> (Site, Endpoint, Link) {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let link = Link::to(endpoint.address);
    let site = Site::start(&[link.address]);
    assert_eq!(get(site.requests, "/write/", "warm", "").status, 200);
    (site, endpoint, link)
}

/// The route's time is over, or the caller's patience.
#[rstest]
#[case::timeout_of_the_route("/soon/", "")]
#[case::patience_of_the_caller("/write/", "X-Woodgap-Patience-Ms: 300\r\n")]
#[case::stream("/stream/", "X-Woodgap-Patience-Ms: 300\r\n")]
fn a_request_that_was_given_up_does_not_arrive_later(#[case] target: &str, #[case] headers: &str) {
    let (site, endpoint, link) = scene();
    link.set(Mode::Lossy);
    let answer = get(site.requests, target, "late", headers);
    assert!(answer.status >= 500, "{}", answer.text());
    link.set(Mode::Pass);
    sleep(HELD);
    assert_eq!(arrivals(&endpoint, "late"), 0);
}

#[test]
fn a_request_whose_caller_has_gone_does_not_arrive_later() {
    let (site, endpoint, link) = scene();
    link.set(Mode::Lossy);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", "/stream/", "late", ""), b"");
    until(|| link.held() > 0);
    drop(caller);
    sleep(HELD);
    link.set(Mode::Pass);
    sleep(HELD);
    assert_eq!(arrivals(&endpoint, "late"), 0);
}

/// What was not given up arrives.
#[test]
fn a_request_that_is_waited_for_arrives_once_the_link_lives_again() {
    let (site, endpoint, link) = scene();
    link.set(Mode::Lossy);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", "/write/", "waiting", ""), b"");
    until(|| link.held() > 0);
    link.set(Mode::Pass);
    assert_eq!(caller.answer().unwrap().status, 200);
    assert_eq!(arrivals(&endpoint, "waiting"), 1);
}
