//! An endpoint that says in its answers that it is leaving must get no more requests, whatever its
//! row at the platform says.

use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;

use crate::caller::get;
use crate::endpoint::{Answer, Endpoint};
use crate::site::{Site, fleet};

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
        assert_eq!(get(site.requests, target, "r", "").status, 200);
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
