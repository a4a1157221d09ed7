//! An entry that is told to stop took a chat 3.1 s later and ended 4.4 s after that, in the
//! middle of the answer. It served whatever came in the first 3.5 s of a stop without asking
//! whether the answer could end before the process did, and callers were sent to it for
//! seconds, as the other entries heard late that it stops.
//!
//! Of the record: stop at 14.875 s, chat sent at 17.977 s, at the engine at 17.990 s, cut off
//! at 22.399 s; that is 7.524 s after the stop, half a second before the grace of 8 s ends.

use std::time::Duration;

use rstest::rstest;

use crate::caller::{Answer, Caller, get, request};
use crate::endpoint::{EVENTS, Endpoint, Step, chunk, declined, head, whole};
use crate::site::{Site, Unanswered, source, until};

/// Headers of a chat whose length is known: tokens of the prompt, and the most that come out.
const SHORT: &str = "X-Woodgap-Work: {\"prompt_tokens\":20,\"output_limit\":10,\"output_hint\":null,\"parts\":[]}\r\n";
const LONG: &str = "X-Woodgap-Work: {\"prompt_tokens\":20,\"output_limit\":90000,\"output_hint\":null,\"parts\":[]}\r\n";

/// The status of an answer, whose body is not waited for.
fn get_head(site: &Site, target: &str, headers: &str) -> u16 {
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", target, "r", headers), b"");
    caller.head().expect("a head").status
}

fn assert_turned_away(answer: &Answer) {
    assert!(answer.is_whole, "cut off: {}", answer.head);
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.text().contains("not_run"), "{}", answer.text());
    assert_ne!(answer.header("retry-after"), "");
}

/// An entry whose stop goes on until its grace is over: something runs there that does not end.
fn kept_busy(grace_s: f64, endpoint: &Endpoint) -> (Site, Caller) {
    let site = Site::with_grace(grace_s, &[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", "/stream/", "r0", ""), b"");
    assert_eq!(caller.head().expect("a head").status, 200);
    site.stop();
    (site, caller)
}

/// A chat comes late in a stop and may outlast the entry: it is turned away at once, with a
/// time to come back, and never begun.
#[test]
fn a_chat_that_may_outlast_the_entry_is_not_begun() {
    let endpoint = Endpoint::endless();
    let (site, _caller) = kept_busy(8.0, &endpoint);
    site.list_model(endpoint.address);
    // As soon as the model is known, a short chat is taken early in the stop.
    until(|| get_head(&site, "/chat/", SHORT) == 200);
    std::thread::sleep(Duration::from_millis(3_100));
    let before = endpoint.seen().len();
    assert_turned_away(&get(site.requests, "/chat/", "r1", SHORT));
    // As in the record: its caller waits for 15 s.
    let patient = format!("{SHORT}X-Woodgap-Patience-Ms: 15000\r\n");
    assert_turned_away(&get(site.requests, "/chat/", "r2", &patient));
    assert_eq!(endpoint.seen().len(), before);
}

/// Early in a stop a chat is taken by its forecast: a short one is, a long one is not.
#[test]
fn early_in_a_stop_a_chat_is_taken_by_its_forecast() {
    let endpoint = Endpoint::endless();
    let site = Site::with_grace(8.0, &[endpoint.address]);
    site.list_model(endpoint.address);
    until(|| get_head(&site, "/chat/", SHORT) == 200);
    site.stop();
    assert_turned_away(&get(site.requests, "/chat/", "r1", LONG));
    assert_eq!(get_head(&site, "/chat/", SHORT), 200);
}

/// What may take so long that nothing can be said of it is turned away in any stop.
#[rstest]
#[case::as_in_the_record(8.0, 3_100)]
#[case::with_a_grace_shorter_than_callers_lists_live(2.0, 200)]
fn a_stream_that_may_outlast_the_entry_is_not_begun(#[case] grace_s: f64, #[case] after: u64) {
    let endpoint = Endpoint::endless();
    let (site, _caller) = kept_busy(grace_s, &endpoint);
    std::thread::sleep(Duration::from_millis(after));
    let answer = get(site.requests, "/stream/", "r1", "");
    assert_turned_away(&answer);
    assert_eq!(endpoint.seen().len(), 1);
    until(|| site.has_ended());
}

/// What is sure to end, or answers soon, is served.
#[test]
fn a_request_that_ends_in_time_is_served_in_a_stop() {
    let endpoint = Endpoint::numbered(|number| match number {
        0 => vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Wait],
        _ => vec![whole("yes")],
    });
    let (site, _caller) = kept_busy(8.0, &endpoint);
    assert_eq!(get(site.requests, "/read/", "r1", "").status, 200);
    std::thread::sleep(Duration::from_millis(2_800));
    assert_eq!(get(site.requests, "/soon/", "r2", "").status, 200);
}

/// The moment counts at which a request would be sent on, not the one at which its head came.
#[test]
fn a_body_that_comes_after_the_stop_is_not_sent_on() {
    let endpoint = Endpoint::endless();
    let site = Site::with_grace(4.0, &[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    let length = "Content-Length: 4\r\n";
    caller.send(&request("POST", "/stream/", "r1", length), b"ab");
    // A second request tells that the head of the first has been read.
    assert_eq!(get(site.requests, "/nowhere/", "r2", "").status, 404);
    site.stop();
    caller.send("", b"cd");
    assert_turned_away(&caller.answer().expect("an answer"));
    assert_eq!(endpoint.seen().len(), 0);
}

/// A body that comes after the time of its request is over is not sent on: in a stop or not,
/// there is no time left in which it could be answered.
#[rstest]
#[case::in_a_stop(true)]
#[case::at_any_time(false)]
fn a_body_that_comes_after_its_time_is_not_sent_on(#[case] is_stopping: bool) {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::with_grace(8.0, &[endpoint.address]);
    // Leaves a connection on which a request can be sent at once.
    assert_eq!(get(site.requests, "/read/", "r0", "").status, 200);
    let mut caller = Caller::connect(site.requests);
    let length = "Content-Length: 4\r\n";
    caller.send(&request("POST", "/soon/", "r1", length), b"ab");
    assert_eq!(get(site.requests, "/nowhere/", "r2", "").status, 404);
    if is_stopping {
        site.stop();
    }
    std::thread::sleep(Duration::from_millis(500));
    caller.send("", b"cd");
    let answer = caller.answer().expect("an answer");
    assert_eq!(endpoint.seen().len(), 1, "{}", answer.head);
    assert!(answer.text().contains("not_run"), "{}", answer.text());
}

/// A second attempt is begun by the same rule as the first.
#[test]
fn a_second_attempt_that_may_outlast_the_entry_is_not_made() {
    let steps = [vec![Step::Wait, declined()], vec![Step::Wait, declined()]];
    let endpoints = steps.map(Endpoint::always);
    let site = Site::with_grace(4.0, &[endpoints[0].address, endpoints[1].address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("GET", "/stream-twice/", "r1", ""), b"");
    let seen = || endpoints.iter().map(|it| it.seen().len()).sum::<usize>();
    until(|| seen() == 1);
    site.stop();
    for endpoint in &endpoints {
        endpoint.go();
    }
    assert_turned_away(&caller.answer().expect("an answer"));
    assert_eq!(seen(), 1);
}

/// A request whose answer has not begun when the entry ends is told so: that it may have
/// run, or that it has not and when to come back.
#[rstest]
#[case::at_an_endpoint("/write/", b"abcd", 502)]
#[case::with_half_of_its_body("/write/", b"ab", 503)]
fn what_still_waits_at_the_end_gets_an_answer(
    #[case] path: &str,
    #[case] body: &[u8],
    #[case] status: u16,
) {
    let endpoint = Endpoint::always(vec![Step::Hold]);
    let site = Site::with_grace(2.0, &[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(&request("POST", path, "r1", "Content-Length: 4\r\n"), body);
    if body.len() == 4 {
        until(|| endpoint.seen().len() == 1);
    } else {
        assert_eq!(get(site.requests, "/nowhere/", "r2", "").status, 404);
    }
    site.stop();
    let answer = caller.answer().expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(answer.header("retry-after").is_empty(), status != 503);
    until(|| site.has_ended());
}

/// A caller whose request is at an endpoint.
fn waiting_at(endpoint: &Endpoint, site: &Site) -> Caller {
    let mut caller = Caller::connect(site.requests);
    let length = "Content-Length: 0\r\n";
    caller.send(&request("POST", "/write/", "r1", length), b"");
    until(|| endpoint.seen().len() == 1);
    caller
}

/// The platform may be away when an entry stops: callers get what they wait for all the same.
#[test]
fn a_lost_withdrawal_holds_nobody_up() {
    let endpoint = Endpoint::always(vec![Step::Hold]);
    let site = Site::with_grace(2.0, &[endpoint.address]);
    until(|| site.source.0.lock().unwrap().is_announced);
    site.source.0.lock().unwrap().unanswered = Some(Unanswered::Withdrawal);
    let mut caller = waiting_at(&endpoint, &site);
    site.stop();
    assert_eq!(caller.answer().expect("an answer").status, 502);
    until(|| site.has_ended());
}

/// Also an entry that is to end nearly at once says its last word.
#[test]
fn with_hardly_any_grace_those_that_wait_get_an_answer() {
    let endpoint = Endpoint::always(vec![Step::Hold]);
    let site = Site::with_grace(0.3, &[endpoint.address]);
    let mut caller = waiting_at(&endpoint, &site);
    site.tell_to_stop();
    assert_eq!(caller.answer().expect("an answer").status, 502);
}

/// An entry that has nothing left to run may still hold bytes of answers, for callers that
/// read slowly.
#[test]
fn answers_that_their_caller_reads_slowly_are_whole() {
    /// More than the system buffers for one connection, in answers of 60 kB.
    const ASKED: usize = 400;
    let body = "x".repeat(60_000);
    let endpoint = Endpoint::always(vec![whole(&body)]);
    let site = Site::with_grace(8.0, &[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    for number in 0..ASKED {
        let id = format!("r{number}");
        caller.send(&request("GET", "/read/", &id, ""), b"");
    }
    until_still(|| endpoint.seen().len());
    assert!(endpoint.seen().len() < ASKED, "the system buffers them all");
    site.stop();
    // Longer than an idle entry waits for callers.
    std::thread::sleep(Duration::from_millis(4_500));
    let answers: Vec<_> = std::iter::from_fn(|| caller.answer()).collect();
    assert!(answers.len() >= endpoint.seen().len(), "an answer is lost");
    assert!(answers.iter().all(|it| it.is_whole), "an answer is cut off");
}

/// A second request that was read with the first one, whose answer comes in a stop, is
/// answered too.
#[test]
fn a_request_read_behind_another_one_gets_an_answer_in_a_stop() {
    let endpoint = Endpoint::always(vec![Step::Wait, whole("yes")]);
    let site = Site::with_grace(8.0, &[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    let two = ["r1", "r2"]
        .map(|id| request("GET", "/read/", id, ""))
        .concat();
    caller.send(&two, b"");
    until(|| endpoint.seen().len() == 1);
    site.stop();
    endpoint.go();
    endpoint.go();
    assert_eq!(caller.answer().expect("an answer").status, 200);
    let second = caller.answer().expect("an answer to the second");
    assert!(second.is_whole);
    assert!([200, 503].contains(&second.status), "{}", second.text());
}

/// Waits until a count is the same for a while.
fn until_still(count: impl Fn() -> usize) {
    loop {
        let before = count();
        std::thread::sleep(Duration::from_millis(500));
        if before > 0 && count() == before {
            return;
        }
    }
}

/// An entry that is told to stop before it knows whether its row was written takes the row back.
#[test]
fn a_row_that_may_have_been_written_is_taken_back() {
    let told = source(&[]);
    told.0.lock().unwrap().unanswered = Some(Unanswered::Announcement);
    let site = Site::with("dub-a-1", told);
    until(|| site.source.0.lock().unwrap().is_announced);
    site.tell_to_stop();
    until(|| site.has_ended());
    assert!(site.source.0.lock().unwrap().is_withdrawn);
}
