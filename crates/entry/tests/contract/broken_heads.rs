//! Endpoints whose answers have a corrupt head, and what callers see of it.

use rstest::rstest;

use crate::raw::Raw;
use crate::site::Site;

const SOUND: &str = "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc";

/// The caller of a request that may not be repeated is told that it may have run; what may be
/// repeated is answered by the next attempt.
#[rstest]
#[case::no_length("HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\n\r\nabc")]
#[case::sign("HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: +3\r\n\r\nabc")]
#[case::letter("HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3x\r\n\r\nabc")]
#[case::name_of_the_length(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontemt-length: 3\r\n\r\nabc"
)]
#[case::name_of_the_coding(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encodinq: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)]
#[case::no_coding(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: identity\r\n\r\nabc"
)]
#[case::length_and_coding(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)]
#[case::no_field(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\nspoilt\r\n\r\nabc"
)]
#[case::blank_in_a_name(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\nx a: b\r\n\r\nabc"
)]
#[case::blank_after_a_name(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\nx-a : b\r\n\r\nabc"
)]
#[case::control_byte_in_a_name(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\nx\u{1}a: b\r\n\r\nabc"
)]
#[case::status_of_zeros(
    "HTTP/1.1 000 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc"
)]
#[case::status_above_all(
    "HTTP/1.1 999 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc"
)]
#[case::interim_with_a_body(
    "HTTP/1.1 100 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc"
)]
#[case::no_content_with_a_body(
    "HTTP/1.1 204 OK\r\nx-woodgap-request: {id}\r\ncontent-length: 3\r\n\r\nabc"
)]
#[actix_rt::test]
async fn a_corrupt_answer_reaches_no_caller(#[case] answer: &'static str) {
    let site = Site::raw(Raw::new(&[answer, SOUND]).await).await;
    let once = site.call("flux", "post").await;
    assert_eq!(
        once.to_string(),
        "502 endpoint_failed may_have_run",
        "{once:?}"
    );

    let site = Site::raw(Raw::new(&[answer, SOUND]).await).await;
    let repeated = site.call("look-up", "post").await;
    assert_eq!(
        (repeated.to_string().as_str(), repeated.body.as_str()),
        ("200 whole", "abc")
    );
}

#[actix_rt::test]
async fn an_interim_answer_is_not_the_answer() {
    let answer = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\n\
        content-length: 3\r\n\r\nabc";
    let site = Site::raw(Raw::new(&[answer]).await).await;
    let seen = site.call("flux", "post").await;
    assert_eq!(
        (seen.to_string().as_str(), seen.body.as_str()),
        ("200 whole", "abc")
    );
}
