//! An entry that is told to stop took a chat 3.1 s later and ended 4.4 s after that, in the
//! middle of the answer. It served whatever came in the first 3.5 s of a stop without asking
//! whether the answer could end before the process did, and the chat's caller still had it
//! on its list, as the other entries had heard late that it stops.
//!
//! Of the record: stop at 14.875 s, chat taken at 17.990 s, running from 18.017 s, cut off
//! at 22.399 s; that is 7.524 s after the stop, half a second before the grace of 8 s ends.

use std::time::Duration;

use rstest::rstest;

use crate::caller::{Answer, get};
use crate::endpoint::{Endpoint, Step, head, whole};
use crate::site::{Site, until};

const EVENTS: &str =
    "X-Woodgap-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// An endpoint whose streams go on for longer than any entry that stops.
fn endless() -> Endpoint {
    Endpoint::always(vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Wait])
}

fn assert_turned_away(answer: &Answer) {
    assert!(answer.is_whole, "cut off: {}", answer.head);
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.text().contains("not_run"), "{}", answer.text());
    assert_ne!(answer.header("retry-after"), "");
}

/// Whatever comes late in a stop and may outlast the entry is turned away at once, with a
/// time to come back: it is never begun.
#[rstest]
#[case::as_in_the_record(8, 3_100)]
#[case::with_a_grace_shorter_than_callers_lists_live(2, 200)]
fn a_stream_that_may_outlast_the_entry_is_not_begun(#[case] grace_s: u64, #[case] after: u64) {
    let endpoint = endless();
    let site = Site::with_grace(grace_s, &[endpoint.address]);
    site.stop();
    std::thread::sleep(Duration::from_millis(after));
    let answer = get(site.requests, "/stream/", "r1", "");
    assert_turned_away(&answer);
    assert_eq!(endpoint.seen().len(), 0);
    until(|| site.has_ended());
}

/// What is sure to end is served for as long as callers may come.
#[test]
fn a_request_that_ends_in_time_is_served_in_a_stop() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::with_grace(8, &[endpoint.address]);
    site.stop();
    assert_eq!(get(site.requests, "/soon/", "r1", "").status, 200);
    std::thread::sleep(Duration::from_millis(2_800));
    assert_eq!(get(site.requests, "/soon/", "r2", "").status, 200);
}
