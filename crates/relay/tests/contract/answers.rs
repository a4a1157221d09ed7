//! What a caller gets of an endpoint's answer, however the endpoint behaves.

use std::io::{Read, Write};
use std::net::TcpStream;

use rstest::rstest;
use tokio::net::TcpSocket;

use crate::caller::{Caller, get, post, request};
use crate::endpoint::{Endpoint, Step, declined, head, whole};
use crate::site::Site;

const SEALED: &str = "X-Woodgap-Seal: s1\r\n";

fn text(text: &str) -> Step {
    Step::Send(text.to_owned())
}

#[test]
fn status_body_and_headers_come_back_unaltered() {
    let answer = head(
        "404 Not Found",
        "X-Woodgap-Seal: s7\r\nX-Own: 1\r\nContent-Length: 3\r\n",
    );
    let endpoint = Endpoint::always(vec![answer, text("abc")]);
    let site = Site::start(&[endpoint.address]);
    let answer = get(site.requests, "/read/", "r1", "");
    assert_eq!((answer.status, answer.text().as_str()), (404, "abc"));
    assert_eq!(answer.header("x-woodgap-seal"), "s7");
    assert_eq!(answer.header("x-own"), "1");
    assert_eq!(answer.header("x-woodgap-request"), "r1");
}

/// One endpoint that misbehaves, a request that may not be repeated: the caller is
/// told that it may have run, never that it has not, and never something else as
/// the answer.
#[rstest]
#[case::cut_short(vec![head("200 OK", "X-Woodgap-Seal: s\r\nContent-Length: 9\r\n"), text("abc"), Step::Close])]
#[case::reset_without_length(vec![head("200 OK", SEALED), text("abc"), Step::Reset])]
#[case::closed_before_the_head(vec![Step::Close])]
#[case::reset_before_the_head(vec![Step::Reset])]
#[case::half_a_head(vec![text("HTTP/1.1 200 OK\r\nX-Wood"), Step::Close])]
#[case::no_answer_in_the_protocol(vec![text("\u{1}\u{2}garbage\r\n\r\n"), Step::Close])]
#[case::two_framings(vec![head("200 OK", "X-Woodgap-Seal: s\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"), text("abc")])]
#[case::two_lengths(vec![head("200 OK", "X-Woodgap-Seal: s\r\nContent-Length: 3\r\nContent-Length: 4\r\n"), text("abcd")])]
#[case::bad_chunk(vec![head("200 OK", "X-Woodgap-Seal: s\r\nTransfer-Encoding: chunked\r\n"), text("zz\r\n")])]
#[case::no_seal(vec![head("200 OK", "Content-Length: 3\r\n"), text("abc")])]
#[case::encoded(vec![head("200 OK", "X-Woodgap-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n"), text("abc")])]
#[case::no_identity(vec![text("HTTP/1.1 200 OK\r\nX-Woodgap-Seal: s\r\nContent-Length: 3\r\n\r\nabc")])]
#[case::only_answers_to_others(vec![
    text("HTTP/1.1 200 OK\r\nX-Woodgap-Request: z\r\nX-Woodgap-Seal: s\r\nContent-Length: 1\r\n\r\na"),
    text("HTTP/1.1 200 OK\r\nX-Woodgap-Request: z\r\nX-Woodgap-Seal: s\r\nContent-Length: 1\r\n\r\nb"),
    text("HTTP/1.1 200 OK\r\nX-Woodgap-Request: z\r\nX-Woodgap-Seal: s\r\nContent-Length: 1\r\n\r\nc"),
])]
fn a_broken_answer_is_no_answer(#[case] steps: Vec<Step>) {
    let endpoint = Endpoint::always(steps);
    let other = Endpoint::always(vec![whole("yes")]);
    // The other endpoint must not be asked: it would run the request again.
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/write-twice/", "r1", b"x");
    assert_eq!(answer.status, 502);
    assert!(answer.text().contains("may_have_run"), "{}", answer.text());
    assert_eq!(answer.header("x-woodgap-seal"), "");
    assert_eq!(answer.header("retry-after"), "");
    assert!(other.seen().is_empty());
}

/// Long answers with neither a length nor chunks were never served: all callers got 502, after two or
/// three runs.
#[rstest]
#[case::short(9_000)]
#[case::almost_the_buffer(60_000)]
#[case::beyond_the_buffer(70_000)]
#[case::long(300_000)]
#[case::very_long(9_000_000)]
fn an_answer_without_a_length_is_whole_whatever_its_size(#[case] bytes: usize) {
    let body: String = ('a'..='z').cycle().take(bytes).collect();
    let endpoint = Endpoint::always(vec![head("200 OK", SEALED), text(&body), Step::Close]);
    let site = Site::start(&[endpoint.address]);
    let (read, write) = (
        get(site.requests, "/read/", "r1", ""),
        post(site.requests, "/write/", "r2", b"x"),
    );
    for answer in [read, write] {
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert!(answer.text() == body, "{} bytes", answer.body.len());
    }
    assert_eq!(endpoint.seen().len(), 2);
}

/// It has no chunks, and gets the bytes up to the end of the connection.
#[test]
fn a_caller_of_an_earlier_protocol_gets_a_long_answer_without_a_length() {
    let body = "a".repeat(300_000);
    let endpoint = Endpoint::always(vec![head("200 OK", SEALED), text(&body), Step::Close]);
    let site = Site::start(&[endpoint.address]);
    let mut stream = TcpStream::connect(site.requests).unwrap();
    let request = request("GET", "/read/", "r1", "").replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).unwrap();
    let mut got = Vec::new();
    stream.read_to_end(&mut got).unwrap();
    let got = String::from_utf8(got).unwrap();
    let (head, received) = got.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.0 200 "), "{head}");
    assert!(!head.to_lowercase().contains("transfer-encoding"), "{head}");
    assert!(received == body, "{} bytes", received.len());
}

/// Beyond what is buffered it can't be taken back: the caller must see that it is a part.
#[rstest]
#[case::beyond_the_buffer(70_000)]
#[case::long(300_000)]
fn an_answer_without_a_length_that_is_reset_is_not_whole(#[case] bytes: usize) {
    let body = "a".repeat(bytes);
    let steps = vec![head("200 OK", SEALED), text(&body), Step::Reset];
    let endpoint = Endpoint::always(steps);
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/write/", "r1", b"x");
    assert!(answer.status != 200 || !answer.is_whole);
}

#[test]
fn what_may_not_be_repeated_goes_to_one_endpoint_only() {
    let endpoints = [0, 1].map(|_| Endpoint::always(vec![Step::Reset]));
    let site = Site::start(&[endpoints[0].address, endpoints[1].address]);
    assert_eq!(post(site.requests, "/write-twice/", "r1", b"x").status, 502);
    let arrived = endpoints.iter().map(|it| it.seen().len()).sum::<usize>();
    assert_eq!(arrived, 1);
}

#[rstest]
#[case::cut(vec![head("200 OK", "X-Woodgap-Seal: s\r\nContent-Length: 9\r\n"), text("abc"), Step::Close])]
#[case::reset(vec![Step::Reset])]
#[case::an_error_of_its_own(vec![head("500 Internal Server Error", "X-Woodgap-Seal: s\r\nContent-Length: 0\r\n")])]
#[case::declined(vec![declined()])]
fn what_may_be_repeated_is_tried_elsewhere(#[case] steps: Vec<Step>) {
    let endpoints = [0, 1].map(|_| Endpoint::first(steps.clone(), vec![whole("yes")]));
    let site = Site::start(&[endpoints[0].address, endpoints[1].address]);
    // Each endpoint fails its first request only, so one of two requests is answered.
    let statuses = ["r1", "r2"].map(|id| get(site.requests, "/read/", id, "").status);
    assert!(statuses.contains(&200), "{statuses:?}");
    let ids: Vec<_> = endpoints
        .iter()
        .flat_map(Endpoint::seen)
        .map(|seen| seen.header("x-woodgap-request"))
        .collect();
    assert_eq!(ids.iter().filter(|id| *id == "r1").count(), 2);
}

#[test]
fn an_error_is_passed_on_when_no_other_endpoint_does_better() {
    let error = head(
        "500 Internal Server Error",
        "X-Woodgap-Seal: s9\r\nContent-Length: 2\r\n",
    );
    let endpoint = Endpoint::always(vec![error, text("no")]);
    let site = Site::start(&[endpoint.address]);
    let answer = get(site.requests, "/read/", "r1", "");
    assert_eq!((answer.status, answer.text().as_str()), (500, "no"));
    assert_eq!(answer.header("x-woodgap-seal"), "s9");
}

#[rstest]
#[case::declined(declined())]
#[case::misdirected(head("421 Misdirected Request", "Content-Length: 0\r\n"))]
fn what_has_not_run_may_go_to_another(#[case] refusal: Step) {
    let endpoints = [0, 1].map(|_| Endpoint::first(vec![refusal.clone()], vec![whole("yes")]));
    let site = Site::start(&[endpoints[0].address, endpoints[1].address]);
    let statuses = ["r1", "r2"].map(|id| post(site.requests, "/write-twice/", id, b"x").status);
    assert!(statuses.contains(&200), "{statuses:?}");
}

/// Its port is kept by a socket that does not listen, as a relay of another test could take
/// a free one: that one then answered 401.
#[test]
fn a_dead_endpoint_costs_nothing() {
    let dead = TcpSocket::new_v4().unwrap();
    dead.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = dead.local_addr().unwrap();
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[address, endpoint.address]);
    for id in ["r1", "r2", "r3"] {
        assert_eq!(post(site.requests, "/write/", id, b"x").status, 200);
    }
}

#[test]
fn an_answer_to_another_request_is_skipped() {
    let surplus = "HTTP/1.1 200 OK\r\nX-Woodgap-Request: old\r\nX-Woodgap-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
    let endpoint = Endpoint::always(vec![text(surplus), whole("right")]);
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/write/", "r1", b"x");
    assert_eq!((answer.status, answer.text().as_str()), (200, "right"));
}

#[test]
fn bytes_after_an_answer_belong_to_nobody() {
    let endpoint = Endpoint::always(vec![whole("one"), whole("two")]);
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    for id in ["r1", "r2"] {
        caller.send(&request("GET", "/read/", id, ""), b"");
        let answer = caller.answer().unwrap();
        assert_eq!(
            (
                answer.text().as_str(),
                answer.header("x-woodgap-request").as_str()
            ),
            ("one", id)
        );
    }
}

#[test]
fn an_answer_may_end_with_its_connection() {
    let endpoint = Endpoint::always(vec![head("200 OK", SEALED), text("abc"), Step::Close]);
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/write/", "r1", b"x");
    assert_eq!((answer.status, answer.text().as_str()), (200, "abc"));
    assert!(answer.is_whole);
}

#[test]
fn an_answer_may_come_before_the_body_was_read() {
    let early = head(
        "413 Payload Too Large",
        "X-Woodgap-Seal: s\r\nContent-Length: 3\r\n",
    );
    let endpoint = Endpoint::early(vec![early, text("big"), Step::Hold]);
    let site = Site::start(&[endpoint.address]);
    let body = vec![b'x'; 200 * 1024];
    let answer = post(site.requests, "/write/", "r1", &body);
    assert_eq!((answer.status, answer.text().as_str()), (413, "big"));
}

#[test]
fn an_interim_answer_is_not_the_answer() {
    let endpoint = Endpoint::always(vec![text("HTTP/1.1 103 Early Hints\r\n\r\n"), whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    assert_eq!(post(site.requests, "/write/", "r1", b"x").text(), "yes");
}

#[test]
fn an_endpoint_that_says_nothing_is_told_at_the_routes_timeout() {
    let endpoint = Endpoint::always(vec![Step::Hold]);
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/soon/", "r1", b"x");
    assert_eq!(answer.status, 504);
    assert!(answer.text().contains("may_have_run"));
    crate::site::until(|| endpoint.closed() == 1);
}
