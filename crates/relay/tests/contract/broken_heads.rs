//! Answers whose head or trailer is corrupt, and heads that only look so.

use rstest::rstest;

use crate::caller::{Caller, get, post, request};
use crate::endpoint::{Endpoint, Step, head, whole};
use crate::site::Site;

/// Chunks that hold `abc`, up to the trailer section.
const CHUNKS: &str = "3\r\nabc\r\n0\r\n";

/// An answer with this status, these lines in its head, and all that follows. The endpoint ends the
/// connection after it, so that an answer without a length ends there.
fn answer(status: &str, lines: &str, rest: &str) -> Vec<Step> {
    let lines = format!("X-Woodgap-Seal: s1\r\n{lines}\r\n");
    let rest = Step::Send(rest.to_owned());
    vec![head(status, &lines), rest, Step::Close]
}

/// The caller is told that its request may have run, and gets nothing of the answer.
fn is_no_answer(steps: Vec<Step>) {
    let endpoint = Endpoint::always(steps);
    let site = Site::start(&[endpoint.address]);
    let answer = get(site.requests, "/write-twice/", "r1", "");
    assert_eq!(answer.status, 502, "{} {}", answer.head, answer.text());
    assert!(answer.text().contains("may_have_run"), "{}", answer.text());
    assert_eq!(answer.header("x-woodgap-seal"), "");
    assert_eq!(endpoint.seen().len(), 1);
}

/// The caller gets the body that the endpoint sent.
fn is_whole(steps: Vec<Step>) {
    let endpoint = Endpoint::always(steps);
    let site = Site::start(&[endpoint.address]);
    let answer = get(site.requests, "/write-twice/", "r1", "");
    assert_eq!((answer.status, answer.text().as_str()), (200, "abc"));
    assert!(answer.is_whole);
    assert_eq!(answer.header("x-woodgap-seal"), "s1");
}

#[rstest]
#[case::plus("Content-Length: +3")]
#[case::plus_in_place_of_a_digit("Content-Length: +0")]
#[case::minus("Content-Length: -3")]
#[case::letter("Content-Length: 3x")]
#[case::blank_between_digits("Content-Length: 3 3")]
#[case::list("Content-Length: 3, 3")]
#[case::nothing("Content-Length:")]
#[case::too_large("Content-Length: 99999999999999999999")]
#[case::control_byte("Content-Length: 3\u{b}")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4")]
#[case::length_and_corrupt_length("Content-Length: 3\r\nContent-Length: +3")]
#[case::length_and_coding("Content-Length: 3\r\nTransfer-Encoding: chunked")]
fn a_corrupt_length_is_no_answer(#[case] lines: &str) {
    is_no_answer(answer("200 OK", lines, "abc"));
}

#[rstest]
#[case::unknown("Transfer-Encoding: xhunked")]
#[case::nothing("Transfer-Encoding:")]
#[case::identity("Transfer-Encoding: identity")]
#[case::twice_in_a_list("Transfer-Encoding: chunked, chunked")]
#[case::twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")]
#[case::another_one_after_it("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip")]
#[case::another_one_before_it("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked")]
fn a_corrupt_transfer_coding_is_no_answer(#[case] lines: &str) {
    is_no_answer(answer("200 OK", lines, &format!("{CHUNKS}\r\n")));
}

#[rstest]
#[case::no_colon("Content-Length: 3\r\nspoilt")]
#[case::no_name("Content-Length: 3\r\n: corrupt")]
#[case::control_bytes("Content-Length: 3\r\n\u{1}\u{2}")]
#[case::blank_first("Content-Length: 3\r\n X-A: b")]
#[case::length_without_a_colon("Content-Length 3")]
#[case::blank_in_a_name("Content-Length: 3\r\nX A: b")]
#[case::blank_after_a_name("Content-Length: 3\r\nX-A : b")]
#[case::tab_after_a_name("Content-Length: 3\r\nX-A\t: b")]
#[case::control_byte_in_a_name("Content-Length: 3\r\nX\u{1}A: b")]
#[case::null_in_a_name("Content-Length: 3\r\nX\0A: b")]
#[case::letter_beyond_ascii_in_a_name("Content-Length: 3\r\nX\u{e9}A: b")]
#[case::control_byte_in_a_value("Content-Length: 3\r\nX-A: a\u{1}b")]
#[case::carriage_return_in_a_value("Content-Length: 3\r\nX-A: a\rb")]
#[case::line_feed_in_place_of_a_digit("Content-Length: 3\n")]
#[case::line_ended_otherwise("Content-Length: 3\nX-A: b")]
#[case::blank_in_the_name_of_the_length("Content Length: 3")]
#[case::blank_after_the_name_of_the_length("Content-Length : 3")]
#[case::control_byte_in_the_name_of_the_length("Content\0Length: 3")]
fn a_line_that_is_no_field_is_no_answer(#[case] lines: &str) {
    is_no_answer(answer("200 OK", lines, "abc"));
}

#[rstest]
#[case::zero("000")]
#[case::below_all("099 OK")]
#[case::above_all("600 OK")]
#[case::far_above_all("999 OK")]
#[case::two_digits("20 OK")]
#[case::four_digits("2000 OK")]
#[case::sign("+20 OK")]
#[case::letters("2OO OK")]
fn a_corrupt_status_is_no_answer(#[case] status: &str) {
    is_no_answer(answer(status, "Content-Length: 3", "abc"));
}

/// Without its length an answer seems to end with its connection, as others do whose head names none.
#[rstest]
#[case::length("Contemt-Length: 3", "abc")]
#[case::two_letters("Contemt-Lenght: 3", "abc")]
#[case::letter_lost("Content-Lengt: 3", "abc")]
#[case::colon_in_place_of_a_letter("C:ntent-Length: 3", "abc")]
#[case::line_feed_in_place_of_a_letter("\nontent-Length: 3", "abc")]
#[case::coding("Transfer-Encodinq: chunked", "3\r\nabc\r\n0\r\n\r\n")]
fn a_length_under_a_corrupt_name_is_no_answer(#[case] lines: &str, #[case] rest: &str) {
    is_no_answer(answer("200 OK", lines, rest));
}

/// Neither 1xx nor 204 has a body, so one that announces it has a corrupt status or length.
#[rstest]
#[case::no_content_with_a_length("204 No Content", "Content-Length: 3", "abc")]
#[case::no_content_in_chunks(
    "204 No Content",
    "Transfer-Encoding: chunked",
    "3\r\nabc\r\n0\r\n\r\n"
)]
#[case::interim_with_a_length("100 Continue", "Content-Length: 3", "")]
#[case::interim_in_chunks("103 Early Hints", "Transfer-Encoding: chunked", "")]
#[case::another_protocol("101 Switching Protocols", "Upgrade: other", "")]
fn a_body_where_none_can_be_is_no_answer(
    #[case] status: &str,
    #[case] lines: &str,
    #[case] rest: &str,
) {
    let mut steps = answer(status, lines, rest);
    // What follows an interim answer looks like a whole one.
    steps.insert(2, whole("abc"));
    is_no_answer(steps);
}

/// Of a corrupt answer nothing is believed, also not that the request has not run.
#[test]
fn a_corrupt_refusal_is_no_refusal() {
    let lines = "X-Woodgap-Verdict: not_run\r\nContent-Length: +0";
    let steps = answer("503 Service Unavailable", lines, "");
    let endpoint = Endpoint::always(steps);
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/write-twice/", "r1", b"x");
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert!(answer.text().contains("may_have_run"), "{}", answer.text());
}

/// The head alone is the answer, and must be sound all the same.
#[test]
fn a_corrupt_head_without_a_body_is_no_answer() {
    let endpoint = Endpoint::always(answer("200 OK", "Content-Length: +3", ""));
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("HEAD", "/write-twice/", "r1", ""), b"");
    assert_eq!(caller.head().expect("a head").status, 502);
}

#[rstest]
#[case::no_colon("corrupt")]
#[case::no_name(": corrupt")]
#[case::blank_in_a_name("X A: b")]
#[case::blank_after_a_name("X-A : b")]
#[case::control_byte_in_a_name("X\u{1}A: b")]
#[case::control_byte_in_a_value("X-A: a\u{1}b")]
fn a_trailer_line_that_is_no_field_cuts_the_answer_off(#[case] line: &str) {
    let rest = format!("{CHUNKS}{line}\r\n\r\n");
    let steps = answer("200 OK", "Transfer-Encoding: chunked", &rest);
    let endpoint = Endpoint::always(steps);
    let site = Site::start(&[endpoint.address]);
    let answer = get(site.requests, "/write-twice/", "r1", "");
    assert!(answer.status == 502 || !answer.is_whole, "{}", answer.head);
}

#[rstest]
#[case::control_byte("3;a=\u{1}")]
#[case::carriage_return("3;a=b\rc")]
#[case::sign("+3")]
#[case::blank_before("\u{20}3")]
#[case::nothing("")]
#[case::too_large("10000000000000003")]
fn a_corrupt_chunk_size_is_no_answer(#[case] size: &str) {
    let rest = format!("{size}\r\nabc\r\n0\r\n\r\n");
    is_no_answer(answer("200 OK", "Transfer-Encoding: chunked", &rest));
}

#[rstest]
#[case::zeros_before_the_length("Content-Length: 0003", "abc")]
#[case::blanks_around_the_length("Content-Length:  3  ", "abc")]
#[case::the_same_length_twice("Content-Length: 3\r\nContent-Length: 3", "abc")]
#[case::capitals("CONTENT-LENGTH: 3", "abc")]
#[case::no_length("X-A: b", "abc")]
#[case::no_length_beside_like_names("Content-Language: en\r\nContent-Location: /a", "abc")]
#[case::coding_in_capitals("Transfer-Encoding: CHUNKED", "3\r\nabc\r\n0\r\n\r\n")]
#[case::extension("Transfer-Encoding: chunked", "3;a=\"b c\"\r\nabc\r\n0;d\r\n\r\n")]
#[case::trailer(
    "Transfer-Encoding: chunked",
    "3\r\nabc\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n"
)]
#[case::empty_value("Content-Length: 3\r\nX-A:", "abc")]
#[case::value_beyond_ascii("Content-Length: 3\r\nX-A: \u{e9}", "abc")]
fn a_sound_head_is_an_answer(#[case] lines: &str, #[case] rest: &str) {
    is_whole(answer("200 OK", lines, rest));
}

#[rstest]
#[case::no_reason("200")]
#[case::empty_reason("200 ")]
#[case::long_reason("200 All is well")]
fn a_sound_status_is_an_answer(#[case] status: &str) {
    is_whole(answer(status, "Content-Length: 3", "abc"));
}

/// Its lines end in one way, if not in the usual one.
#[test]
fn a_head_with_line_feeds_alone_is_an_answer() {
    let steps = vec![
        Step::Send("HTTP/1.1 200 OK\nX-Woodgap-Request: {id}\nX-Woodgap-Seal: s1\n".to_owned()),
        Step::Send("Content-Length: 3\n\nabc".to_owned()),
        Step::Close,
    ];
    is_whole(steps);
}

/// A corrupt answer is a failure of its endpoint.
#[rstest]
#[case::length("200 OK", "Content-Length: +3")]
#[case::coding("200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip")]
#[case::line("200 OK", "Content-Length: 3\r\nspoilt")]
#[case::status("000", "Content-Length: 3")]
fn what_may_be_repeated_is_answered_elsewhere(#[case] status: &str, #[case] lines: &str) {
    let corrupt = Endpoint::always(answer(status, lines, "abc"));
    let sound = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[corrupt.address, sound.address]);
    for id in ["r1", "r2", "r3", "r4"] {
        let answer = get(site.requests, "/read/", id, "");
        assert_eq!((answer.status, answer.text().as_str()), (200, "yes"));
    }
    assert!(!corrupt.seen().is_empty());
}
