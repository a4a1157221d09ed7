//! Endpoints that answer a long upload before they have read it, and then end the connection in good or
//! in bad order.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::net::TcpSocket;

use crate::caller::{Answer, Caller, post, request};
use crate::endpoint::{Endpoint, Step, whole};
use crate::site::{self, FLEET_TRUST, Fixed, Site, source, until, until_met};

/// More than a connection to an endpoint that does not read takes at once, in bytes.
const UPLOAD_BYTES: usize = 3 * 1024 * 1024;
/// A slow upload comes in so many pieces, so far apart.
const PIECES: usize = 16;
const PAUSE: Duration = Duration::from_millis(1);
/// How often each case is played: whether the entry hears of a reset while it writes, or later, is chance.
const UPLOADS: usize = 20;

const SEALED: &str = "X-Woodgap-Seal: s1\r\n";
const EVENTS: &str = "X-Woodgap-Seal: s1\r\nContent-Type: text/event-stream\r\n";

/// An answer in one piece: endpoints that end the connection right after it leave no time between.
fn answer(status: &str, headers: &str, body: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 {status}\r\nX-Woodgap-Request: {{id}}\r\n{headers}\r\n{body}"
    ))
}

/// A source with these endpoints, and a plan that allows such uploads.
fn generous(endpoints: &[SocketAddr]) -> Fixed {
    let source = source(endpoints);
    {
        let mut told = source.0.lock().unwrap();
        let mut plan = site::plan(1);
        plan.limits.body_bytes = 2 * UPLOAD_BYTES;
        told.plan = Some(plan);
    }
    source
}

fn start(endpoints: &[SocketAddr]) -> Site {
    let site = Site::with_trust("dub-a-1", FLEET_TRUST, generous(endpoints));
    site.until_ready();
    site
}

/// How a caller sends its upload.
#[derive(Clone, Copy, Debug)]
enum Sending {
    AtOnce,
    InPieces,
    Chunked,
}

fn upload(address: SocketAddr, target: &str, id: &str, sending: Sending) -> Answer {
    let body = vec![b'u'; UPLOAD_BYTES];
    let mut caller = Caller::connect(address);
    let length = format!("Content-Length: {UPLOAD_BYTES}\r\n");
    match sending {
        Sending::AtOnce => caller.send(&request("POST", target, id, &length), &body),
        Sending::InPieces => {
            caller.send(&request("POST", target, id, &length), b"");
            for piece in body.chunks(UPLOAD_BYTES / PIECES) {
                std::thread::sleep(PAUSE);
                caller.send("", piece);
            }
        }
        Sending::Chunked => {
            let head = request("POST", target, id, "Transfer-Encoding: chunked\r\n");
            caller.send(&head, b"");
            for piece in body.chunks(UPLOAD_BYTES / PIECES) {
                caller.send(&format!("{:x}\r\n", piece.len()), piece);
                caller.send("\r\n", b"");
            }
            caller.send("0\r\n\r\n", b"");
        }
    }
    caller.answer().expect("an answer")
}

fn uploads(site: &Site, target: &str, sending: Sending) -> Vec<Answer> {
    let ids = (0..UPLOADS).map(|at| format!("u{at}"));
    ids.map(|id| upload(site.requests, target, &id, sending))
        .collect()
}

/// Callers are told that their request may have run, and get nothing of the answer.
fn are_failures(answers: &[Answer]) {
    for answer in answers {
        assert_eq!(answer.status, 502, "{} {}", answer.head, answer.text());
        assert!(answer.text().contains("may_have_run"), "{}", answer.text());
        assert_eq!(answer.header("x-woodgap-seal"), "");
    }
}

/// Most callers got the part as a complete answer: writing the upload had failed with the reset, and the
/// connection seemed to have ended in order to whoever read on.
#[rstest]
#[case::in_the_body("200 OK", "part", Step::Reset, Sending::AtOnce)]
#[case::right_after_the_head("200 OK", "", Step::Reset, Sending::AtOnce)]
#[case::closed_with_bytes_unread("200 OK", "part", Step::Close, Sending::AtOnce)]
#[case::slow_upload("200 OK", "part", Step::Reset, Sending::InPieces)]
#[case::chunked_upload("200 OK", "part", Step::Reset, Sending::Chunked)]
#[case::no_success("404 Not Found", "part", Step::Reset, Sending::AtOnce)]
#[case::unavailable("503 Service Unavailable", "part", Step::Reset, Sending::AtOnce)]
fn a_part_without_a_length_is_no_answer(
    #[case] status: &str,
    #[case] part: &str,
    #[case] ending: Step,
    #[case] sending: Sending,
) {
    let endpoint = Endpoint::early(vec![answer(status, SEALED, part), ending]);
    let site = start(&[endpoint.address]);
    are_failures(&uploads(&site, "/write-twice/", sending));
    // It may have run, and its route forbids to run it again.
    assert_eq!(endpoint.seen().len(), UPLOADS);
}

/// What is longer than the buffer is passed on as it comes, and broken off.
#[test]
fn a_long_part_without_a_length_does_not_look_complete() {
    let part = "a".repeat(100_000);
    let endpoint = Endpoint::early(vec![answer("200 OK", SEALED, &part), Step::Reset]);
    let site = start(&[endpoint.address]);
    for answer in uploads(&site, "/write/", Sending::AtOnce) {
        assert!(answer.status != 200 || !answer.is_whole, "{}", answer.head);
    }
}

#[rstest]
#[case::before_an_event("")]
#[case::inside_an_event("id: 1\ndata")]
#[case::between_events("id: 1\n\n")]
fn a_stream_that_is_reset_does_not_look_complete(#[case] events: &str) {
    let endpoint = Endpoint::early(vec![answer("200 OK", EVENTS, events), Step::Reset]);
    let site = start(&[endpoint.address]);
    for answer in uploads(&site, "/stream/", Sending::AtOnce) {
        assert!(answer.status != 200 || !answer.is_whole, "{}", answer.head);
    }
}

#[test]
fn what_may_be_repeated_is_answered_by_another_endpoint() {
    let part = vec![answer("200 OK", SEALED, "part"), Step::Reset];
    let endpoints = [Endpoint::early(part), Endpoint::always(vec![whole("yes")])];
    let site = start(&endpoints.each_ref().map(|it| it.address));
    for answer in uploads(&site, "/read/", Sending::AtOnce) {
        assert_eq!((answer.status, answer.text().as_str()), (200, "yes"));
    }
    assert!(!endpoints[0].seen().is_empty());
}

/// An endpoint that has no use for the rest of an upload may answer and end the connection as it likes,
/// if its answer says where it ends. Else its end must come in order.
#[rstest]
#[case::length("Content-Length: 3\r\n", "abc", vec![Step::Reset])]
#[case::length_with_bytes_unread("Content-Length: 3\r\n", "abc", vec![Step::Close])]
#[case::length_and_all_read("Content-Length: 3\r\n", "abc", vec![Step::ReadBody])]
#[case::chunks("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", vec![Step::Reset])]
#[case::no_length("", "abc", vec![Step::Finish, Step::Hold])]
#[case::no_length_and_reset_after_its_end("", "abc", vec![Step::Finish, Step::Reset])]
fn a_sound_early_answer_arrives_whole_and_once(
    #[case] framing: &str,
    #[case] body: &str,
    #[case] ending: Vec<Step>,
) {
    let mut steps = vec![answer("200 OK", &format!("{SEALED}{framing}"), body)];
    steps.extend(ending);
    let endpoint = Endpoint::early(steps);
    let site = start(&[endpoint.address]);
    for answer in uploads(&site, "/write-twice/", Sending::AtOnce) {
        assert_eq!((answer.status, answer.text().as_str()), (200, "abc"));
        assert!(answer.is_whole);
        assert_eq!(answer.header("x-woodgap-seal"), "s1");
    }
    assert_eq!(endpoint.seen().len(), UPLOADS);
}

/// The rest of the first upload waits for an endpoint that may never read it. A request that followed on
/// its connection would be lost with it, and its route forbids to send it again.
#[rstest]
#[case::one_megabyte(1024 * 1024)]
#[case::three_megabytes(UPLOAD_BYTES)]
fn nothing_is_sent_behind_an_upload_that_is_not_read(#[case] bytes: usize) {
    let framing = format!("{SEALED}Content-Length: 3\r\n");
    let first = vec![answer("200 OK", &framing, "abc"), Step::Wait, Step::Reset];
    let endpoint = Endpoint::early_first(first, vec![whole("yes")]);
    let site = start(&[endpoint.address]);
    let upload = post(site.requests, "/write-twice/", "unread", &vec![b'u'; bytes]);
    assert_eq!((upload.status, upload.text().as_str()), (200, "abc"));
    let next = post(site.requests, "/write-twice/", "next", b"x");
    endpoint.go();
    assert_eq!((next.status, next.text().as_str()), (200, "yes"));
    assert_eq!(connections(&endpoint), [0, 1]);
}

#[test]
fn a_connection_whose_uploads_are_read_is_kept() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = start(&[endpoint.address]);
    for answer in uploads(&site, "/write-twice/", Sending::AtOnce) {
        assert_eq!((answer.status, answer.text().as_str()), (200, "yes"));
    }
    assert_eq!(connections(&endpoint), [0; UPLOADS]);
}

/// The connection that each request came on.
fn connections(endpoint: &Endpoint) -> Vec<usize> {
    let seen = endpoint.seen();
    seen.iter().map(|seen| seen.connection).collect()
}

/// The head of a refusal says all, and it has come whole.
#[rstest]
#[case::no_length("", "no room", Step::Reset)]
#[case::no_length_with_bytes_unread("", "no room", Step::Close)]
#[case::cut_short("Content-Length: 70\r\n", "no room", Step::Reset)]
#[case::whole("Content-Length: 7\r\n", "no room", Step::Reset)]
fn an_early_refusal_is_one_however_it_ends(
    #[case] framing: &str,
    #[case] body: &str,
    #[case] ending: Step,
) {
    let headers = format!("X-Woodgap-Verdict: not_run\r\n{framing}");
    let refusal = answer("503 Service Unavailable", &headers, body);
    let endpoint = Endpoint::early(vec![refusal, ending]);
    let site = start(&[endpoint.address]);
    for answer in uploads(&site, "/write/", Sending::AtOnce) {
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.text().contains("not_run"), "{}", answer.text());
    }
}

/// An entry that reaches no endpoint hands uploads to another one, which reads the broken answer.
#[test]
fn a_part_is_no_answer_through_another_entry_either() {
    let endpoint = Endpoint::early(vec![answer("200 OK", SEALED, "part"), Step::Reset]);
    // Their ports are kept, and nobody listens there.
    let silent = [(); 3].map(|()| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        socket
    });
    let unreachable = silent.each_ref().map(|it| it.local_addr().unwrap());
    let other = Site::with_trust("dub-a-1", FLEET_TRUST, generous(&[endpoint.address]));
    other.until_ready();
    let lost = generous(&unreachable);
    lost.0.lock().unwrap().entries = vec![other.peer];
    let lost = Site::with_trust("dub-a-0", FLEET_TRUST, lost);
    lost.until_ready();
    let sites = [lost, other];
    until_met(&sites);
    until(|| {
        post(sites[0].requests, "/write-twice/", "first", b"x");
        !endpoint.seen().is_empty()
    });
    let before = endpoint.seen().len();
    are_failures(&uploads(&sites[0], "/write-twice/", Sending::AtOnce));
    assert_eq!(endpoint.seen().len(), before + UPLOADS);
}
