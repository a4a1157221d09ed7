use rstest::rstest;
use woodgap_core::verdict::Verdict;

use super::{failure, text};
use crate::event::How;

#[rstest]
#[case::chat_chunk(
    r#"{"choices": [{"delta": {"content": "a:1 "}, "finish_reason": null}]}"#,
    "a:1 "
)]
#[case::last_chunk(r#"{"choices": [{"delta": {}, "finish_reason": "stop"}]}"#, "")]
#[case::role_chunk(
    r#"{"choices": [{"delta": {"role": "assistant", "content": null}}]}"#,
    ""
)]
#[case::completion(r#"{"choices": [{"text": "a:1 a:2 "}]}"#, "a:1 a:2 ")]
#[case::chat(
    r#"{"choices": [{"message": {"role": "assistant", "content": "a:1 "}}]}"#,
    "a:1 "
)]
#[case::usage(r#"{"choices": [], "usage": {"total_tokens": 3}}"#, "")]
#[case::no_json("hm", "")]
fn text_of_each_form(#[case] body: &str, #[case] expected: &str) {
    assert_eq!(text(body.as_bytes()), expected);
}

#[rstest]
#[case::proper(
    r#"{"error": {"message": "m", "type": "woodgap", "code": "overloaded",
        "verdict": "not_run", "request": "r"}}"#,
    How::Refused,
    Some(Verdict::NotRun),
    "overloaded"
)]
#[case::without_verdict(
    r#"{"error": {"code": "overloaded"}}"#,
    How::Wrong,
    None,
    "unreadable error: 429"
)]
#[case::no_json("hm", How::Wrong, None, "unreadable error: 429")]
fn errors_need_a_verdict(
    #[case] body: &str,
    #[case] how: How,
    #[case] verdict: Option<Verdict>,
    #[case] code: &str,
) {
    let reply = failure(body.as_bytes(), "429");
    assert_eq!((reply.how, reply.verdict), (how, verdict));
    assert_eq!(reply.code.as_deref(), Some(code));
}
