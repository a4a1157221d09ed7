//! Endpoints that answer a long upload before they have read it and reset the connection, and what
//! callers see of it.

use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use serde_json::json;

use crate::raw::Raw;
use crate::seen::Seen;
use crate::site::{Plan, Site};

/// More than a connection to an endpoint that does not read takes at once, in bytes.
const UPLOAD_BYTES: usize = 3 * 1024 * 1024;
/// How often each case is played: whether the entry hears of a reset while it writes is chance.
const UPLOADS: usize = 10;

const PART: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\n\r\npart";
const HEAD_ALONE: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 9\r\n\r\nabc";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nx-woodgap-request: {id}\r\n\r\npart";
const NO_LAST_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc";

async fn uploads(class: &str, answers: &[&'static str]) -> Vec<Seen> {
    uploads_to(Raw::resetting(Duration::ZERO, answers).await, class).await
}

async fn uploads_to(endpoint: Raw, class: &str) -> Vec<Seen> {
    let site = Site::start(Plan {
        raw: vec![endpoint],
        settings: json!({"limits": {"body_bytes": 2 * UPLOAD_BYTES}}),
        ..Plan::default()
    })
    .await;
    let mut seen = Vec::new();
    for _ in 0..UPLOADS {
        let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
        seen.push(site.upload(class, "post", body).await);
    }
    seen
}

#[rstest]
#[case::no_length(PART)]
#[case::right_after_the_head(HEAD_ALONE)]
#[case::shorter_than_announced(CUT)]
#[case::unavailable(UNAVAILABLE)]
#[actix_rt::test]
async fn a_part_is_no_answer(#[case] answer: &'static str) {
    for seen in uploads("flux", &[answer]).await {
        let told = seen.to_string();
        assert_eq!(told, "502 endpoint_failed may_have_run", "{seen:?}");
    }
}

/// Chunks are passed on as they come.
#[actix_rt::test]
async fn a_part_in_chunks_does_not_look_complete() {
    for seen in uploads("flux", &[NO_LAST_CHUNK]).await {
        assert!(seen.status == 502 || seen.cut, "{seen:?}");
    }
}

/// The client writes the whole upload before it reads the answer, and may lose one to the reset. It
/// then says that the request may have run.
#[actix_rt::test]
async fn a_whole_answer_arrives_or_is_told_as_lost() {
    for seen in uploads("flux", &[WHOLE]).await {
        let told = seen.to_string();
        let is_whole = told == "200 whole" && seen.body == "abc";
        assert!(
            is_whole || told == "502 endpoint_failed may_have_run",
            "{seen:?}"
        );
    }
}

/// What must not run twice goes over a connection of its own, so that an endpoint which resets later takes
/// nothing else with it.
#[actix_rt::test]
async fn nothing_is_sent_behind_an_upload_that_is_not_read() {
    let endpoint = Raw::resetting(Duration::from_millis(500), &[WHOLE]).await;
    for seen in uploads_to(endpoint, "flux").await {
        assert_eq!(
            (seen.to_string().as_str(), seen.body.as_str()),
            ("200 whole", "abc"),
            "{seen:?}"
        );
    }
}
