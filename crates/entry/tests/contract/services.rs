//! What plain services do wrong, and what callers see of it.

use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Stand, documents, until};

use crate::exchange::{Exchange, request};
use crate::raw::Raw;
use crate::site::{Plan, Site, service};

/// Far above any pause of a busy machine.
const NEVER: u64 = 60_000;
/// Waited for in full, so as short as a busy machine allows.
const SOON: u64 = 1_500;

/// What a service does wrong, what a caller sees of it, and how its runs end.
#[rstest]
#[case::refused(json!({"refuse": 3}), NEVER, "look-up", "200 whole", &["complete"])]
#[case::refused_once(json!({"refuse": 3}), NEVER, "flux", "200 whole", &["complete"])]
#[case::error_without_name(json!({"fail_after_run": 1}), NEVER, "look-up", "200 whole", &["crashed", "complete"])]
#[case::error_without_name_once(json!({"fail_after_run": 1}), NEVER, "flux", "502 endpoint_failed may_have_run", &["crashed"])]
#[case::cut_after_it_ran(json!({"cut_after_run": 1}), NEVER, "look-up", "200 whole", &["crashed", "complete"])]
#[case::cut_after_it_ran_once(json!({"cut_after_run": 1}), NEVER, "flux", "502 endpoint_failed may_have_run", &["crashed"])]
#[case::answer_cut(json!({"cut_answer": 1}), NEVER, "look-up", "200 whole", &["crashed", "complete"])]
#[case::answer_cut_once(json!({"cut_answer": 1}), NEVER, "flux", "502 endpoint_failed may_have_run", &["crashed"])]
#[case::no_answer(json!({"hang": 1}), SOON, "look-up", "200 whole", &["disconnected", "complete"])]
#[case::no_answer_once(json!({"hang": 1}), SOON, "flux", "502 endpoint_failed may_have_run", &["disconnected"])]
#[actix_rt::test]
async fn a_fault(
    #[case] faults: Value,
    #[case] timeout_ms: u64,
    #[case] class: &str,
    #[case] expected: &str,
    #[case] ends: &[&str],
) {
    let site = Site::start(Plan {
        endpoints: vec![Stand::service(service())],
        settings: json!({"dispatch": {"endpoint_timeout_ms": timeout_ms}}),
        ..Plan::default()
    })
    .await;
    site.fault(&faults).await;
    let seen = site.call(class, "post").await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
    let same = async || (site.ends().await == ends).then_some(());
    until("the runs have ended", same).await;
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
const CHUNK_MISSING: &str =
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
const WITHIN_A_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc";
const SHORT: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 9\r\n\r\nabc";

const EMPTY: &str = "HTTP/1.1 204 No Content\r\nx-woodgap-request: {id}\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc";
const REFUSED: &str =
    "HTTP/1.1 429 Busy\r\nx-woodgap-verdict: not_run\r\ncontent-length: 0\r\n\r\n";
const NO_NAME: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
const OTHER_NAME: &str =
    "HTTP/1.1 200 OK\r\nx-woodgap-request: 0-0\r\ncontent-length: 3\r\n\r\nabc";
const NO_HTTP: &str = "abc\r\n\r\n";
const NOTHING: &str = "";

/// Answers in turn, and what a caller sees; a cut body counts as cut however
/// its end is marked.
#[rstest]
#[case::whole(&[WHOLE], "200 whole", "200 whole")]
#[case::empty(&[EMPTY], "204 bare", "204 bare")]
#[case::last_chunk_missing(&[CHUNK_MISSING, WHOLE], "200 cut", "200 cut")]
#[case::within_a_chunk(&[WITHIN_A_CHUNK, WHOLE], "200 cut", "200 cut")]
#[case::shorter_than_announced(&[SHORT, WHOLE], "200 whole", "502 endpoint_failed may_have_run")]
#[case::error_of_its_own(&[BUSY, WHOLE], "503 bare", "503 bare")]
#[case::refused(&[REFUSED, WHOLE], "200 whole", "200 whole")]
#[case::no_name(&[NO_NAME, WHOLE], "200 whole", "502 endpoint_failed may_have_run")]
#[case::other_name(&[OTHER_NAME, WHOLE], "200 whole", "502 endpoint_failed may_have_run")]
#[case::no_http(&[NO_HTTP, WHOLE], "200 whole", "502 endpoint_failed may_have_run")]
#[case::closed(&[NOTHING, WHOLE], "200 whole", "502 endpoint_failed may_have_run")]
#[actix_rt::test]
async fn answers_in_turn(
    #[case] answers: &[&'static str],
    #[case] repeatable: &str,
    #[case] once: &str,
    #[values("look-up", "flux")] class: &str,
) {
    let site = Site::raw(Raw::new(answers).await).await;
    let seen = site.call(class, "post").await;
    let expected = if class == "look-up" { repeatable } else { once };
    assert_eq!(seen.to_string(), expected, "{seen:?}");
    if seen.status == 200 {
        assert_eq!(seen.body, "abc");
    }
}

/// What a path is at the service; none if the call does not reach it.
#[rstest]
#[case::plain("a/b", Some("/a/b"))]
#[case::empty("", Some("/"))]
#[case::query("a?x=1&y=%20", Some("/a?x=1&y=%20"))]
#[case::encoded("a%20b/%2F/%C3%A9%25", Some("/a%20b/%2F/%C3%A9%25"))]
#[case::double_slash("a//b", Some("/a//b"))]
#[case::name_like_control("controls", Some("/controls"))]
#[case::control("control/cancel", None)]
#[case::control_in_disguise("x/.././/%63ontrol%2Fload", None)]
#[actix_rt::test]
async fn a_path_is_passed_on_as_it_is(#[case] path: &str, #[case] expected: Option<&str>) {
    let raw = Raw::new(&[WHOLE]).await;
    let heads = raw.heads();
    let site = Site::raw(raw).await;
    let line = format!("POST /v1/services/{}/{path}", documents::SERVICE);
    let mut exchange = Exchange::open(&site).await;
    let bytes = request(&line, "x-woodgap-class: look-up\r\n", "");
    exchange.write(bytes.as_bytes()).await;
    let seen = exchange.end().await;
    let lines = expected.map(|path| format!("POST {path} HTTP/1.1"));
    assert_eq!(heads.lines(), Vec::from_iter(lines), "{seen:?}");
    let status = if expected.is_some() {
        "200 whole"
    } else {
        "404 unknown_path not_run"
    };
    assert_eq!(seen.to_string(), status);
}

const KEPT: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\n\
    connection: keep-alive\r\ncontent-length: 3\r\n\r\nabc";

/// An endpoint may close an idle connection at the very moment when the next
/// request is written to it.
#[rstest]
#[case::repeatable("look-up")]
#[case::once("flux")]
#[actix_rt::test]
async fn a_connection_closed_while_idle_costs_no_request(#[case] class: &str) {
    let raw = Raw::closing(KEPT).await;
    let heads = raw.heads();
    let site = Site::raw(raw).await;
    for number in 1..=3 {
        let seen = site.call(class, "post").await;
        assert_eq!(seen.to_string(), "200 whole");
        assert_eq!(heads.lines().len(), number);
    }
}
