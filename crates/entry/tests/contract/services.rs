//! What plain services do wrong, and what callers see of it.

use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::Stand;

use crate::raw::Raw;
use crate::site::{Site, service};

#[rstest]
#[case::cut_after_it_ran(json!({"cut_after_run": 1}), "look-up", "200 whole", &["crashed", "complete"])]
#[case::cut_after_it_ran_once(json!({"cut_after_run": 1}), "flux", "502 endpoint_failed may_have_run", &["crashed"])]
#[case::answer_cut(json!({"cut_answer": 1}), "look-up", "200 cut", &["crashed"])]
#[case::answer_cut_once(json!({"cut_answer": 1}), "flux", "200 cut", &["crashed"])]
#[actix_rt::test]
async fn a_fault_of_a_service(
    #[case] faults: Value,
    #[case] class: &str,
    #[case] expected: &str,
    #[case] ends: &[&str],
) {
    let site = Site::new(vec![Stand::service(service())]).await;
    site.fault(&faults).await;
    let seen = site.call(class, "post").await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
    assert_eq!(site.ends().await, ends);
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
const CHUNK_MISSING: &str =
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
const WITHIN_A_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc";
const SHORT: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 9\r\n\r\nabc";

#[rstest]
#[case::whole(WHOLE, "200 whole")]
#[case::last_chunk_missing(CHUNK_MISSING, "200 cut")]
#[case::within_a_chunk(WITHIN_A_CHUNK, "200 cut")]
#[case::shorter_than_announced(SHORT, "200 cut")]
#[actix_rt::test]
async fn a_cut_body_is_seen_as_cut(#[case] answer: &'static str, #[case] expected: &str) {
    let site = Site::raw(Raw::new(&[answer]).await).await;
    let seen = site.call("look-up", "post").await;
    assert_eq!(
        (seen.to_string().as_str(), seen.body.as_str()),
        (expected, "abc")
    );
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
