//! An endpoint that says in its answers that it is leaving must get no more requests, whatever its
//! row at the platform says.

use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;
use woodgap_core::clock::Millis;

use crate::caller::get;
use crate::endpoint::{Answer, Endpoint, head};
use crate::site::{Site, fleet, until};

const LEAVING: &str = "X-Woodgap-Leaving: 1\r\n";
/// No request that is sent later than this after such an answer reaches the endpoint.
const BOUND: Duration = Duration::from_secs(2);
/// How long the other endpoint works on a request: the leaving one seems the better one.
const WORK: Duration = Duration::from_millis(30);
/// How many requests are sent to each entry after the bound.
const SENDS: usize = 20;

/// An endpoint that is slower than one that leaves.
fn staying(answer: Answer) -> Endpoint {
    Endpoint::numbered(move |_| {
        sleep(WORK);
        answer.steps("")
    })
}

/// Sends requests to an entry, all of which must be served.
fn send(site: &Site, target: &str) {
    for _ in 0..SENDS {
        let answer = get(site.requests, target, "r", "");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// The platform could not be reached, so that no row told that the endpoint was leaving.
#[rstest]
#[case::plain_service("/read/", Answer::Body)]
#[case::stream("/stream/", Answer::Events)]
fn an_endpoint_that_says_it_is_leaving_gets_no_more_requests(
    #[case] target: &str,
    #[case] answer: Answer,
) {
    let leaving = Endpoint::always(answer.steps(LEAVING));
    let other = staying(answer);
    let sites = fleet(1, &[leaving.address, other.address]);
    send(&sites[0], target);
    assert!(!leaving.seen().is_empty());
    sleep(BOUND);
    let before = leaving.seen().len();
    send(&sites[0], target);
    assert_eq!(leaving.seen().len(), before);
}

/// An entry that the endpoint has not answered since hears of it, and leaves it alone as well.
#[test]
fn entries_hear_from_one_another_that_an_endpoint_is_leaving() {
    let leaving = Endpoint::always(Answer::Body.steps(LEAVING));
    let other = staying(Answer::Body);
    let sites = fleet(3, &[leaving.address, other.address]);
    send(&sites[0], "/read/");
    sleep(BOUND);
    let before = leaving.seen().len();
    for site in &sites {
        send(site, "/read/");
    }
    assert_eq!(leaving.seen().len(), before);
}

/// Its row lapses while the platform is away, and is back before the endpoint has left.
#[test]
fn a_row_that_is_back_does_not_bring_back_a_leaving_endpoint() {
    let leaving = Endpoint::always(Answer::Body.steps(LEAVING));
    let other = staying(Answer::Body);
    let sites = fleet(1, &[leaving.address, other.address]);
    let site = &sites[0];
    send(site, "/read/");
    let listed = || {
        let metrics = get(site.metrics, "/metrics", "x", "").text();
        metrics.contains("endpoints 2")
    };
    let row = site.source.0.lock().unwrap().endpoints.remove(0);
    until(|| !listed());
    site.source.0.lock().unwrap().endpoints.insert(0, row);
    until(listed);
    let before = leaving.seen().len();
    send(site, "/read/");
    assert_eq!(leaving.seen().len(), before);
}

/// Rather no endpoint than one that has said that it is leaving.
#[test]
fn the_last_endpoint_of_a_service_may_leave() {
    let leaving = Endpoint::always(Answer::Body.steps(LEAVING));
    let sites = fleet(1, &[leaving.address]);
    assert_eq!(get(sites[0].requests, "/read/", "r1", "").status, 200);
    let answer = get(sites[0].requests, "/write/", "r2", "");
    assert_eq!(answer.status, 503);
    assert!(answer.text().contains("\"verdict\":\"not_run\""));
    assert_eq!(leaving.seen().len(), 1);
}

/// It comes back under its name with a later start, which is another life.
#[test]
fn a_later_life_of_a_leaving_endpoint_is_used() {
    let endpoint = Endpoint::first(Answer::Body.steps(LEAVING), Answer::Body.steps(""));
    let sites = fleet(1, &[endpoint.address]);
    let send = || get(sites[0].requests, "/read/", "r", "").status;
    assert_eq!((send(), send()), (200, 503));
    let started = Some(Millis(1));
    let mut told = sites[0].source.0.lock().unwrap();
    told.endpoints[0].life.started_unix = started;
    drop(told);
    until(|| send() == 200);
}

/// Which answers count: each of them is the first that an endpoint gives, and the others say
/// nothing.
#[rstest]
#[case::error("500 Internal Server Error", LEAVING, true)]
#[case::refusal(
    "503 X",
    "X-Woodgap-Leaving: 1\r\nX-Woodgap-Verdict: not_run\r\n",
    true
)]
#[case::of_another_endpoint("421 Misdirected Request", LEAVING, false)]
#[case::it_stays("200 OK", "X-Woodgap-Leaving: 0\r\nX-Woodgap-Seal: s\r\n", false)]
#[case::unreadable("200 OK", "X-Woodgap-Leaving: soon\r\nX-Woodgap-Seal: s\r\n", false)]
fn the_word_of_the_endpoint_itself_counts(
    #[case] status: &str,
    #[case] headers: &str,
    #[case] is_leaving: bool,
) {
    let first = vec![head(status, &format!("{headers}Content-Length: 0\r\n"))];
    let endpoint = Endpoint::first(first, Answer::Body.steps(""));
    let sites = fleet(1, &[endpoint.address]);
    get(sites[0].requests, "/open/", "r1", "");
    // The only endpoint is used also where another one seems to answer at its address.
    let answer = get(sites[0].requests, "/open/", "r2", "");
    assert_eq!(answer.status == 503, is_leaving, "{}", answer.text());
}
