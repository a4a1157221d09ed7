//! What callers do wrong, and what they are told.

use std::fmt::Write as _;

use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Stand, documents};

use crate::exchange::{Exchange, request};
use crate::seen::Seen;
use crate::site::{Plan, Site, engine};

const CHAT: &str = "POST /v1/chat/completions";
const COMPLETION: &str = "POST /v1/completions";
const GOOD: &str = r#"{"model":"story-7b","stream":true,"prompt":"len=1"}"#;

/// A site whose bounds are small enough to be crossed.
async fn site() -> Site {
    Site::start(Plan {
        endpoints: vec![Stand::engine(engine())],
        settings: json!({"limits": {"body_bytes": 2_048}}),
        ..Plan::default()
    })
    .await
}

/// A site that does not wait long for the rest of a request.
async fn impatient_site() -> Site {
    Site::start(Plan {
        endpoints: vec![Stand::engine(engine())],
        settings: json!({"limits": {"header_timeout_ms": 300}}),
        ..Plan::default()
    })
    .await
}

/// Sends bytes; nothing may come of them at the engine but a good answer.
async fn exchange(site: &Site, bytes: &str) -> Seen {
    let mut exchange = Exchange::open(site).await;
    exchange.write(bytes.as_bytes()).await;
    let seen = exchange.end().await;
    assert_eq!(site.runs().await.len(), usize::from(seen.whole()));
    seen
}

#[rstest]
#[case::good(COMPLETION, "", GOOD, "200 whole")]
#[case::no_json(COMPLETION, "", "{\"model\":", "400 bad_request not_run")]
#[case::no_object(COMPLETION, "", "[1]", "400 bad_request not_run")]
#[case::no_model(COMPLETION, "", r#"{"prompt":"x"}"#, "400 bad_request not_run")]
#[case::model_of_wrong_type(
    COMPLETION,
    "",
    r#"{"model":7,"prompt":"x"}"#,
    "400 bad_request not_run"
)]
#[case::stream_of_wrong_type(
    COMPLETION,
    "",
    r#"{"model":"story-7b","stream":"yes","prompt":"x"}"#,
    "400 bad_request not_run"
)]
#[case::prompt_of_wrong_type(
    COMPLETION,
    "",
    r#"{"model":"story-7b","prompt":7}"#,
    "400 bad_request not_run"
)]
#[case::messages_of_wrong_type(
    CHAT,
    "",
    r#"{"model":"story-7b","messages":"x"}"#,
    "400 bad_request not_run"
)]
#[case::no_messages(
    CHAT,
    "",
    r#"{"model":"story-7b","messages":[]}"#,
    "400 bad_request not_run"
)]
#[case::unknown_model(
    COMPLETION,
    "",
    r#"{"model":"x","prompt":"x"}"#,
    "404 unknown_target not_run"
)]
#[case::class_not_bought(
    COMPLETION,
    "x-woodgap-class: x\r\n",
    GOOD,
    "403 class_not_bought not_run"
)]
#[case::class_for_another_target(
    COMPLETION,
    "x-woodgap-class: flux\r\n",
    GOOD,
    "404 unknown_target not_run"
)]
#[case::class_not_text(
    COMPLETION,
    "x-woodgap-class: \u{e9}\r\n",
    GOOD,
    "400 bad_request not_run"
)]
#[case::no_identity(
    COMPLETION,
    "x-woodgap-class: narration\r\n",
    GOOD,
    "400 identity_required not_run"
)]
#[case::identity_empty(COMPLETION, "idempotency-key:\r\n", GOOD, "400 bad_request not_run")]
#[case::identity_with_blank(
    COMPLETION,
    "idempotency-key: a b\r\n",
    GOOD,
    "400 bad_request not_run"
)]
#[case::unknown_path("GET /v1/none", "", "", "404 unknown_path not_run")]
#[case::unknown_path_at_the_root("GET /", "", "", "404 unknown_path not_run")]
#[case::wrong_method("GET /v1/completions", "", "", "405 method_not_allowed not_run")]
#[case::wrong_query(
    "GET /v1/entries?data_centre=a&data_centre=b",
    "",
    "",
    "400 bad_request not_run"
)]
#[case::two_lengths(COMPLETION, "content-length: 3\r\n", GOOD, "400 bare")]
#[case::no_service("GET /v1/services/x/y", "", "", "404 unknown_target not_run")]
#[actix_rt::test]
async fn a_bad_request(
    #[case] line: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] expected: &str,
) {
    let seen = exchange(&site().await, &request(line, headers, body)).await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
}

#[rstest]
#[case::none("")]
#[case::unknown("authorization: Bearer nobody's\r\n")]
#[case::other_scheme("authorization: Basic murphy-key\r\n")]
#[case::operator("authorization: Bearer operator-key\r\n")]
#[actix_rt::test]
async fn a_bad_key(#[case] header: &str) {
    let good = format!("authorization: Bearer {}\r\n", documents::MURPHY);
    let bytes = request(COMPLETION, "", GOOD).replace(&good, header);
    let seen = exchange(&site().await, &bytes).await;
    assert_eq!(seen.to_string(), "401 unknown_key not_run", "{seen:?}");
}

/// Sizes at both sides of each bound. What the HTTP parser itself refuses has a
/// bare status, and the connection is closed.
#[rstest]
#[case::body_at_the_limit(body(2_048), "200 whole")]
#[case::body_above_it(body(2_049), "413 body_too_large not_run")]
#[case::body_far_above_it(body(1_000_000), "413 body_too_large not_run")]
#[case::chunked_body_above_it(chunked(2_049), "413 body_too_large not_run")]
#[case::identity_at_the_limit(identity(200), "200 whole")]
#[case::identity_above_it(identity(201), "400 bad_request not_run")]
#[case::header_below_the_limit(headers(1, 16_000), "200 whole")]
#[case::header_above_it(headers(1, 16_400), "431 header_too_large not_run")]
#[case::headers_above_it(headers(80, 300), "431 header_too_large not_run")]
#[case::header_above_the_parser_s(headers(1, 200_000), "431 bare")]
#[case::more_headers_than_the_parser_s(headers(200, 1), "431 bare")]
#[actix_rt::test]
async fn a_size(#[case] bytes: String, #[case] expected: &str) {
    let seen = exchange(&site().await, &bytes).await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
}

fn body(length: usize) -> String {
    request(COMPLETION, "", &padded(length))
}

fn padded(length: usize) -> String {
    let blanks = " ".repeat(length - GOOD.len());
    format!("{GOOD}{blanks}")
}

fn chunked(length: usize) -> String {
    let chunk = format!("{length:x}\r\n{}\r\n0\r\n\r\n", padded(length));
    let bytes = request(COMPLETION, "transfer-encoding: chunked\r\n", "");
    bytes.replace("content-length: 0\r\n", "") + &chunk
}

fn identity(length: usize) -> String {
    let header = format!("idempotency-key: {}\r\n", "i".repeat(length));
    request(COMPLETION, &header, GOOD)
}

fn headers(count: usize, length: usize) -> String {
    let mut headers = String::new();
    for number in 0..count {
        write!(headers, "x-{number}: {}\r\n", "v".repeat(length)).unwrap();
    }
    request(COMPLETION, &headers, GOOD)
}

/// Requests that stop half-way, with the connection open.
#[rstest]
#[case::nothing("", "408 bare")]
#[case::half_a_header("POST /v1/completions HTTP/1.1\r\nhost: en", "408 bare")]
#[case::half_a_body(&request(COMPLETION, "", GOOD)[..130], "408 request_timeout not_run")]
#[actix_rt::test]
async fn a_request_that_stalls(#[case] bytes: &str, #[case] expected: &str) {
    let seen = exchange(&impatient_site().await, bytes).await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
}

/// The body that errors have, and their headers.
#[actix_rt::test]
async fn the_form_of_an_error() {
    let site = site().await;
    let mut response = site.get("/v1/none").send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    insta::assert_json_snapshot!(body, @r#"
    {
      "error": {
        "code": "unknown_path",
        "message": "there is no such call",
        "type": "woodgap",
        "verdict": "not_run"
      }
    }
    "#);
    assert_eq!(response.headers().get("x-woodgap-entry").unwrap(), "entry");
}

/// Requests that are sent before their predecessor's answer are answered in order.
#[actix_rt::test]
async fn pipelined_requests() {
    let site = site().await;
    let mut exchange = Exchange::open(&site).await;
    let mut bytes = String::new();
    for tag in ["a", "b", "c"] {
        let body = json!({"model": "story-7b", "prompt": format!("echo={tag} len=2")});
        let one = request(COMPLETION, "", &body.to_string());
        bytes += &one.replace("connection: close\r\n", "");
    }
    bytes += &request("GET /v1/none", "", "");
    exchange.write(bytes.as_bytes()).await;
    let answers = exchange.end().await.body;
    let found = ["a:1 a:2 ", "b:1 b:2 ", "c:1 c:2 ", "unknown_path"].map(|text| answers.find(text));
    assert!(found.is_sorted() && found[0].is_some(), "{answers}");
    assert_eq!(site.runs().await.len(), 3);
}
