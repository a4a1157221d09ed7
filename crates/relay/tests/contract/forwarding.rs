//! What an endpoint gets of a caller's request.

use rstest::rstest;

use crate::caller::{Caller, get, post, request};
use crate::endpoint::{Endpoint, whole};
use crate::site::Site;

#[test]
fn method_target_and_body_are_passed_on_unaltered() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let body: Vec<u8> = (0..=255).collect();
    let answer = post(site.requests, "/write/a%2Fb/../c?q=%20x&&y", "r1", &body);
    assert_eq!((answer.status, answer.text().as_str()), (200, "yes"));
    let seen = endpoint.seen().remove(0);
    assert!(
        seen.head
            .starts_with("POST /write/a%2Fb/../c?q=%20x&&y HTTP/1.1\r\n"),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, body);
    assert_eq!(seen.header("host"), "album.example");
}

#[test]
fn a_body_in_chunks_arrives_whole() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    let head = request("POST", "/write/", "r1", "Transfer-Encoding: chunked\r\n");
    caller.send(&head, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(caller.answer().unwrap().status, 200);
    assert_eq!(endpoint.seen()[0].body, b"abcde");
}

#[rstest]
#[case::own("x-family", "Byrne", "Byrne")]
#[case::identity("x-woodgap-request", "", "r1")]
#[case::key("authorization", "", "")]
#[case::workspace_is_ours("x-woodgap-workspace", "forged", "murphy")]
#[case::instance_is_ours("x-woodgap-endpoint", "forged", "i-0")]
#[case::urgency_is_ours("x-woodgap-urgency", "0", "")]
#[case::source_is_ours("x-woodgap-prompt-source", "10.0.0.9:80", "")]
#[case::hop_by_hop("keep-alive", "timeout=5", "")]
#[case::named_by_connection("x-hop", "1", "")]
fn headers_are_passed_on_or_set(#[case] name: &str, #[case] sent: &str, #[case] got: &str) {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let headers = if sent.is_empty() {
        String::new()
    } else {
        format!("{name}: {sent}\r\nConnection: keep-alive, x-hop\r\n")
    };
    get(site.requests, "/read/", "r1", &headers);
    assert_eq!(endpoint.seen()[0].header(name), got);
}

#[test]
fn an_endpoint_is_told_how_long_it_may_work() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    get(
        site.requests,
        "/read/",
        "r1",
        "X-Woodgap-Patience-Ms: 3000\r\n",
    );
    get(
        site.requests,
        "/soon/",
        "r2",
        "X-Woodgap-Patience-Ms: 3000\r\n",
    );
    let left = |at: usize| {
        endpoint.seen()[at]
            .header("x-woodgap-left-ms")
            .parse::<u64>()
    };
    assert!((1..=3_000).contains(&left(0).unwrap()));
    // The route's own timeout is shorter.
    assert!((1..=300).contains(&left(1).unwrap()));
}

#[test]
fn connections_are_used_again() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    for id in ["r1", "r2", "r3"] {
        caller.send(&request("GET", "/read/", id, ""), b"");
        assert_eq!(caller.answer().unwrap().status, 200);
    }
    let seen = endpoint.seen();
    assert!(seen.iter().all(|seen| seen.connection == 0), "{seen:?}");
}
