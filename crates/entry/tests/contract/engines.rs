//! What engines do wrong, and what callers see of it.

use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Stand, documents, until};

use crate::raw::Raw;
use crate::seen::Seen;
use crate::site::{Plan, Site, engine, question};

/// Two engines; a silent one is given up soon if the case needs it.
async fn site(no_resume: bool, timeout_ms: u64) -> Site {
    let engine = || {
        Stand::engine(woodgap_fake::engine::Options {
            no_resume,
            ..engine()
        })
    };
    Site::start(Plan {
        endpoints: vec![engine(), engine()],
        settings: json!({"dispatch": {"endpoint_timeout_ms": timeout_ms}}),
        ..Plan::default()
    })
    .await
}

/// Far above any pause of a busy machine.
const NEVER: u64 = 60_000;
/// Waited for in full, so as short as a busy machine allows.
const SOON: u64 = 1_500;

/// A whole answer is the request's own, and `not_run` means that nothing ran.
async fn check(site: &Site, seen: &Seen, tokens: u32) {
    if seen.whole() {
        assert_eq!(seen.text(), text(tokens));
        let ids: Vec<u64> = (1..=u64::from(tokens) + 1).collect();
        assert!(seen.ids().is_empty() || seen.ids() == ids, "{seen:?}");
    }
    if seen.to_string().contains("not_run") {
        assert!(site.runs().await.is_empty(), "{seen}");
    }
    assert!(
        !seen.body.contains("another-"),
        "another answer's text: {seen:?}"
    );
}

/// The text of an answer with this many tokens.
fn text(tokens: u32) -> String {
    let tokens: Vec<_> = (1..=tokens).map(|number| format!("t:{number} ")).collect();
    tokens.concat()
}

/// What a caller sees, and how the runs of its request end.
struct Expected {
    seen: &'static str,
    ends: &'static [&'static str],
}

const fn expect(seen: &'static str, ends: &'static [&'static str]) -> Expected {
    Expected { seen, ends }
}

/// Each of two engines does the same wrong once, so that the third attempt is
/// good; what a request that may be repeated sees of it, and one that may not.
#[rstest]
#[case::none(json!({}), NEVER, expect("200 whole", &["complete"]), expect("200 whole", &["complete"]))]
#[case::crash_before_the_answer(
    json!({"crash_after_tokens": 0}), NEVER,
    expect("200 whole", &["crashed", "crashed", "complete"]),
    expect("502 endpoint_failed may_have_run", &["crashed"])
)]
#[case::crash_in_mid_stream(
    json!({"crash_after_tokens": 3}), NEVER,
    expect("200 whole", &["crashed", "crashed", "complete"]),
    expect("200 endpoint_failed may_have_run", &["crashed"])
)]
#[case::end_in_mid_stream(
    json!({"truncate": 1}), NEVER,
    expect("200 whole", &["crashed", "crashed", "complete"]),
    expect("200 endpoint_failed may_have_run", &["crashed"])
)]
#[case::garbage(
    json!({"garbage": 1}), NEVER,
    expect("200 whole", &["crashed", "crashed", "complete"]),
    expect("502 bad_answer ran", &["crashed"])
)]
#[case::answer_of_another_request(
    json!({"wrong_id": 1}), NEVER,
    expect("200 whole", &[GIVEN_UP, GIVEN_UP, "complete"]),
    expect("502 endpoint_failed may_have_run", &[GIVEN_UP])
)]
#[case::skipped_offset(
    json!({"bad_offset": 1}), NEVER,
    expect("200 whole", &[GIVEN_UP, GIVEN_UP, "complete"]),
    expect("200 bad_answer ran", &[GIVEN_UP])
)]
#[case::event_twice(
    json!({"duplicate_event": 1}), NEVER,
    expect("200 whole", &["complete"]),
    expect("200 whole", &["complete"])
)]
#[case::refusal(
    json!({"refuse": 2}), NEVER,
    expect("200 whole", &["complete"]),
    expect("200 whole", &["complete"])
)]
#[case::slow(json!({"slow": 20.0}), NEVER, expect("200 whole", &["complete"]), expect("200 whole", &["complete"]))]
#[case::no_answer(
    json!({"hang": 1}), SOON,
    expect("200 whole", &["disconnected", "disconnected", "complete"]),
    expect("502 endpoint_failed may_have_run", &["disconnected"])
)]
#[actix_rt::test]
async fn a_fault(
    #[case] faults: Value,
    #[case] timeout_ms: u64,
    #[case] repeatable: Expected,
    #[case] once: Expected,
    #[values("caption", "narration")] class: &str,
    #[values(true, false)] stream: bool,
) {
    let site = site(false, timeout_ms).await;
    site.fault(&faults).await;
    let mut question = question(10);
    question["stream"] = stream.into();
    let seen = site.ask(class, &question).await;
    check(&site, &seen, 10).await;
    let expected = if class == "caption" { repeatable } else { once };
    // What is not streamed has its error as status.
    let line = match (stream, expected.seen.strip_prefix("200 ")) {
        (false, Some(error)) if error != "whole" => &format!("502 {error}"),
        _ => expected.seen,
    };
    assert_eq!(seen.to_string(), line, "{seen:?}");
    settled(&site, expected.ends).await;
}

/// A run whose answer is no longer read: it may be whole before the engine notices.
const GIVEN_UP: &str = "disconnected or complete";

/// Waits until the endpoints' records are these: an engine notices a closed
/// connection a moment after the caller has its answer.
async fn settled(site: &Site, ends: &[&str]) {
    let same = async || {
        let found = site.ends().await;
        let pairs = found.iter().zip(ends);
        let alike = pairs.filter(|(found, end)| end.split(" or ").any(|end| end == *found));
        (found.len() == ends.len() && alike.count() == ends.len()).then_some(())
    };
    until(&format!("the runs are {ends:?}"), same).await;
}

/// An endpoint that is no longer there costs nothing, and its pool says so when
/// it was the last.
#[rstest]
#[case::one_of_two(vec![Stand::engine(engine())], "200 whole")]
#[case::the_last(vec![], "503 no_endpoint not_run retry after 2")]
#[actix_rt::test]
async fn an_endpoint_that_is_gone(
    #[case] endpoints: Vec<Stand>,
    #[case] expected: &str,
    #[values("caption", "narration")] class: &str,
) {
    let site = Site::start(Plan {
        endpoints,
        raw: vec![Raw::gone()],
        ..Plan::default()
    })
    .await;
    let seen = site.ask(class, &question(10)).await;
    check(&site, &seen, 10).await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
}

/// More faults than attempts: the caller learns the last one.
#[rstest]
#[case::crashes(json!({"crash_after_tokens": 2, "crash_runs": 9}), "200 endpoint_failed may_have_run")]
#[case::garbage(json!({"garbage": 9}), "502 bad_answer ran")]
#[actix_rt::test]
async fn faults_without_end(#[case] faults: Value, #[case] expected: &str) {
    let site = site(false, NEVER).await;
    site.fault(&faults).await;
    let seen = site.ask("caption", &question(10)).await;
    check(&site, &seen, 10).await;
    assert_eq!(seen.to_string(), expected, "{seen:?}");
    assert_eq!(site.runs().await.len(), 3);
}

/// Engines that can't resume start over, and the caller's stream goes on.
#[actix_rt::test]
async fn an_engine_that_can_t_resume_starts_over() {
    let site = site(true, NEVER).await;
    site.fault(&json!({"crash_after_tokens": 3})).await;
    let seen = site.ask("caption", &question(10)).await;
    check(&site, &seen, 10).await;
    assert_eq!(seen.to_string(), "200 whole");
    settled(&site, &["crashed", "crashed", "complete"]).await;
}

/// An answer that comes after it was given up reaches no one.
#[actix_rt::test]
async fn an_answer_after_it_was_given_up() {
    let site = site(false, SOON).await;
    site.fault(&json!({"late_ms": 2 * SOON})).await;
    let late = json!({"model": documents::MODEL, "stream": true, "prompt": "echo=another- len=3"});
    let seen = site.ask("narration", &late).await;
    assert_eq!(seen.to_string(), "502 endpoint_failed may_have_run");
    site.fault(&json!({"late_ms": 0})).await;
    let seen = site.ask("caption", &question(10)).await;
    check(&site, &seen, 10).await;
    assert_eq!(seen.to_string(), "200 whole");
}

/// An answer above the bound for those that are gathered ends its run.
#[actix_rt::test]
async fn a_whole_answer_above_the_limit() {
    let site = Site::start(Plan {
        endpoints: vec![Stand::engine(engine())],
        settings: json!({"limits": {"answer_bytes": 1_024}}),
        ..Plan::default()
    })
    .await;
    let body = json!({"model": documents::MODEL, "prompt": "len=1000000"});
    let seen = site.ask("caption", &body).await;
    assert_eq!(seen.to_string(), "502 bad_answer ran");
    settled(&site, &["disconnected"]).await;
}

const NO_MODEL: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
const BAD: &str = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
const NO_RESUME: &str = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";

/// The head of a stream, and as much of an answer of two tokens as the name says.
macro_rules! stream {
    ($($event:expr),*) => {
        concat!(
            "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\nconnection: close\r\n\r\n{chunked}",
            $($event),*
        )
    };
}
macro_rules! token {
    ($id:literal, $text:literal) => {
        concat!(
            "id: ",
            $id,
            "\ndata: {\"choices\":[{\"text\":\"",
            $text,
            "\"}]}\n\n"
        )
    };
}
macro_rules! last {
    ($id:literal) => {
        concat!(
            "id: ",
            $id,
            "\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"
        )
    };
}
const DONE: &str = "data: [DONE]\n\n";
const WHOLE: &str = stream!(
    token!(1, "t:1 "),
    token!(2, "t:2 "),
    last!(3),
    "data: [DONE]\n\n"
);
const FIRST: &str = stream!(token!(1, "t:1 "));
const REST: &str = stream!(token!(2, "t:2 "), last!(3), "data: [DONE]\n\n");
const OTHER: &str = stream!(
    token!(1, "x:1 "),
    token!(2, "x:2 "),
    last!(3),
    "data: [DONE]\n\n"
);
const NO_MARK: &str = stream!(token!(1, "t:1 "), token!(2, "t:2 "), last!(3));
const NO_LAST: &str = stream!(token!(1, "t:1 "), token!(2, "t:2 "), "data: [DONE]\n\n");
const NO_OFFSET: &str = stream!("data: {\"choices\":[]}\n\n");
const ERROR_EVENT: &str = stream!(token!(1, "t:1 "), "event: error\ndata: {\"error\":{}}\n\n");
const MANY_LINES: &str = stream!(
    "id: 1\ndata: {\"choices\":\ndata: [{\"text\":\"t:1 t:2 \",\ndata: \"finish_reason\":\"stop\"}]}\n\n",
    "data: [DONE]\n\n"
);

/// Answers in turn, and what becomes of one request.
#[rstest]
#[case::whole(&[WHOLE], "200 whole", "200 whole")]
#[case::model_not_held_any_more(&[NO_MODEL, WHOLE], "200 whole", "200 whole")]
#[case::request_is_wrong(&[BAD], "400 bad_request not_run", "400 bad_request not_run")]
#[case::error(&[ERROR, WHOLE], "200 whole", "502 endpoint_failed may_have_run")]
#[case::resumed(&[FIRST, REST], "200 whole", "200 endpoint_failed may_have_run")]
#[case::refused_later(&[FIRST, BAD], "200 endpoint_failed may_have_run", "200 endpoint_failed may_have_run")]
#[case::can_t_resume(&[FIRST, NO_RESUME, WHOLE], "200 whole", "200 endpoint_failed may_have_run")]
#[case::another_answer(&[FIRST, NO_RESUME, OTHER], "200 endpoint_failed may_have_run", "200 endpoint_failed may_have_run")]
#[case::started_over_unasked(&[FIRST, WHOLE], "200 whole", "200 endpoint_failed may_have_run")]
#[case::another_answer_unasked(&[FIRST, OTHER], "200 endpoint_failed may_have_run", "200 endpoint_failed may_have_run")]
#[case::only_the_mark_is_missing(&[NO_MARK], "200 whole", "200 whole")]
#[case::mark_without_last_chunk(&[NO_LAST], "200 bad_answer ran", "200 bad_answer ran")]
#[case::no_offset(&[NO_OFFSET, WHOLE], "200 whole", "502 bad_answer ran")]
#[case::error_event(&[ERROR_EVENT, REST], "200 whole", "200 bad_answer ran")]
#[case::event_of_many_lines(&[MANY_LINES], "200 whole", "200 whole")]
#[actix_rt::test]
async fn answers_in_turn(
    #[case] answers: &[&'static str],
    #[case] repeatable: &str,
    #[case] once: &str,
    #[values("caption", "narration")] class: &str,
) {
    let site = Site::raw(Raw::new(answers).await).await;
    let seen = site.ask(class, &question(2)).await;
    let expected = if class == "caption" { repeatable } else { once };
    assert_eq!(seen.to_string(), expected, "{seen:?}");
    if seen.whole() {
        assert_eq!(seen.text(), text(2), "{seen:?}");
        assert!(seen.body.ends_with(DONE));
    }
}
