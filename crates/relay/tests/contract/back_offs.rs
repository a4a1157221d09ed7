//! An endpoint that turns an entry away and says for how long must be left alone by it.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use woodgap_core::clock::Millis;

use crate::caller::get;
use crate::endpoint::{Answer, Endpoint, Step, declined, head};
use crate::site::{Site, fleet, until};

/// The back-off that is asked for.
const BACK_OFF: Duration = Duration::from_secs(3);
/// For how long requests are sent, less than the back-off.
const SENDING: Duration = Duration::from_millis(2_900);
/// From so long after it was asked for until its end, at most so many requests may still come.
const KNOWN_AFTER: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;
/// How long the other endpoint works on a request: the one that turns all away seems faster.
const WORK: Duration = Duration::from_millis(30);
/// The headers of an answer that turns a request away for [`BACK_OFF`].
const TURNED_AWAY: &str = "X-Woodgap-Verdict: not_run\r\nRetry-After: 3\r\nContent-Length: 0\r\n";

/// How many requests are sent to three endpoints.
const REQUESTS: usize = 90;

/// How many requests an endpoint takes slowly, and how many it declines then.
const SLOW_ANSWERS: usize = 3;
const DECLINES: usize = 40;
/// Longer than the longest back-off of an endpoint that declines without a word.
const LONGEST_DECLINE: Duration = Duration::from_secs(2);

/// An endpoint that notes when requests arrive.
struct Noting {
    endpoint: Endpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Noting {
    /// Does with each request, counted from 0, what the script says.
    fn numbered(script: impl Fn(usize) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
        let noting = Arc::clone(&arrivals);
        let endpoint = Endpoint::numbered(move |number| {
            noting.lock().unwrap().push(Instant::now());
            script(number)
        });
        Self { endpoint, arrivals }
    }

    /// Turns every request away.
    fn overloaded() -> Self {
        Self::numbered(|_| vec![head("503 Service Unavailable", TURNED_AWAY)])
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// An endpoint that is slower than one that turns requests away.
fn working(answer: Answer) -> Endpoint {
    Endpoint::numbered(move |_| {
        sleep(WORK);
        answer.steps("")
    })
}

/// Whether the metrics of an entry have this text.
fn shows(site: &Site, text: &str) -> bool {
    let metrics = get(site.metrics, "/metrics", "x", "").text();
    metrics.contains(text)
}

/// Sends requests to an entry for so long. Returns their statuses.
fn send_for(site: &Site, target: &str, span: Duration) -> Vec<u16> {
    let until = Instant::now() + span;
    let mut statuses = Vec::new();
    while Instant::now() < until {
        statuses.push(get(site.requests, target, "r", "").status);
        sleep(Duration::from_millis(5));
    }
    statuses
}

/// Engines that had asked for 3 s got up to 8 requests in that time, and their callers 503.
#[rstest]
#[case::plain_service("/read/", Answer::Body)]
#[case::stream("/stream-twice/", Answer::Events)]
fn an_endpoint_that_asks_for_a_back_off_is_left_alone(
    #[case] target: &str,
    #[case] answer: Answer,
) {
    let overloaded = Noting::overloaded();
    let other = working(answer);
    let sites = fleet(1, &[overloaded.endpoint.address, other.address]);
    let statuses = send_for(&sites[0], target, SENDING);
    let arrivals = overloaded.arrivals();
    let first = arrivals[0];
    let early = |at: &&Instant| **at >= first + KNOWN_AFTER && **at < first + BACK_OFF;
    let count = arrivals.iter().filter(early).count();
    assert!(count <= ALLOWED, "{count} requests, {ALLOWED} allowed");
    let refused = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(refused, 0, "the other endpoint serves all");
}

/// After the back-off it gets one request at a time until it takes one, and then its part again.
#[test]
fn an_endpoint_is_used_again_after_its_back_off() {
    let recovering = Noting::numbered(|number| {
        let turned_away = TURNED_AWAY.replace("Retry-After: 3", "Retry-After: 1");
        if number < 2 {
            return vec![head("503 Service Unavailable", &turned_away)];
        }
        Answer::Body.steps("")
    });
    let other = working(Answer::Body);
    let sites = fleet(1, &[recovering.endpoint.address, other.address]);
    send_for(&sites[0], "/read/", Duration::from_secs(4));
    let arrivals = recovering.arrivals();
    let gaps: Vec<_> = arrivals.windows(2).map(|two| two[1] - two[0]).collect();
    let back_off = Duration::from_millis(950);
    assert!(gaps[0] >= back_off && gaps[1] >= back_off, "{gaps:?}");
    assert!(arrivals.len() > 10, "{} requests", arrivals.len());
}

/// A caller whom no endpoint may take is told so at once, and when to come back.
#[test]
fn where_all_endpoints_ask_for_a_back_off_the_caller_does_not_wait() {
    let overloaded = Noting::overloaded();
    let sites = fleet(1, &[overloaded.endpoint.address]);
    get(sites[0].requests, "/write/", "r1", "");
    let answer = get(sites[0].requests, "/write/", "r2", "");
    assert_eq!(answer.status, 503);
    assert!(
        answer.text().contains("ask for a back-off"),
        "{}",
        answer.text()
    );
    assert!(answer.text().contains("\"verdict\":\"not_run\""));
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(overloaded.arrivals().len(), 1);
}

/// Each of these is the first answer of the only endpoint.
#[rstest]
#[case::may_have_run("503 X", "X-Woodgap-Seal: s\r\nRetry-After: 3\r\n", true)]
#[case::too_many("429 X", "X-Woodgap-Verdict: not_run\r\nRetry-After: 3\r\n", true)]
#[case::one_caller_asks_too_often("429 X", "X-Woodgap-Seal: s\r\nRetry-After: 3\r\n", false)]
#[case::of_another_endpoint("421 X", "Retry-After: 3\r\n", false)]
#[case::not_said("503 X", "X-Woodgap-Verdict: not_run\r\n", false)]
#[case::at_once("503 X", "X-Woodgap-Verdict: not_run\r\nRetry-After: 0\r\n", false)]
#[case::negative("503 X", "X-Woodgap-Verdict: not_run\r\nRetry-After: -3\r\n", false)]
#[case::unreadable("503 X", "X-Woodgap-Verdict: not_run\r\nRetry-After: later\r\n", false)]
#[case::contradictory(
    "503 X",
    "X-Woodgap-Verdict: not_run\r\nRetry-After: 3\r\nRetry-After: 4\r\n",
    false
)]
fn only_a_readable_back_off_of_the_endpoint_itself_counts(
    #[case] status: &str,
    #[case] headers: &str,
    #[case] counts: bool,
) {
    let first = vec![head(status, &format!("{headers}Content-Length: 0\r\n"))];
    let endpoint = Endpoint::first(first, Answer::Body.steps(""));
    let sites = fleet(1, &[endpoint.address]);
    get(sites[0].requests, "/open/", "r1", "");
    let answer = get(sites[0].requests, "/open/", "r2", "");
    assert_eq!(answer.status == 503, counts, "{}", answer.text());
}

/// It answers within a millisecond and has nothing in flight, so that it seemed the best one to
/// each request.
#[test]
fn an_endpoint_that_declines_at_once_gets_no_more_than_its_part() {
    let declining = Endpoint::always(vec![declined()]);
    let others = [working(Answer::Body), working(Answer::Body)];
    let addresses = [declining.address, others[0].address, others[1].address];
    let sites = fleet(1, &addresses);
    for _ in 0..REQUESTS {
        get(sites[0].requests, "/write/", "r", "");
    }
    let count = declining.seen().len();
    assert!(count <= REQUESTS / addresses.len(), "{count} of {REQUESTS}");
}

/// It took 300 ms for a request, then declined others within a millisecond, and seemed the faster one.
#[test]
fn an_endpoint_that_declines_at_once_does_not_seem_fast() {
    let slow = Endpoint::numbered(|number| {
        if number >= SLOW_ANSWERS {
            return vec![declined()];
        }
        sleep(Duration::from_millis(300));
        Answer::Body.steps("")
    });
    let fast = Endpoint::always(Answer::Body.steps(""));
    let sites = fleet(1, &[slow.address, fast.address]);
    let site = &sites[0];
    let row = site.source.0.lock().unwrap().endpoints.remove(1);
    until(|| shows(site, "\nendpoints 1\n"));
    for _ in 0..SLOW_ANSWERS + DECLINES {
        get(site.requests, "/write/", "r", "");
    }
    let before = slow.seen().len();
    assert_eq!(before, SLOW_ANSWERS + DECLINES, "the only endpoint");
    site.source.0.lock().unwrap().endpoints.push(row);
    until(|| shows(site, "\nendpoints 2\n"));
    sleep(LONGEST_DECLINE);
    let status = get(site.requests, "/write/", "r", "").status;
    assert_eq!((slow.seen().len() - before, status), (0, 200));
}

/// Two endpoints have declined before, and a request that a third one fails goes to one of them.
#[test]
fn an_endpoint_that_has_declined_is_better_than_none() {
    let declining = [0, 1].map(|_| Endpoint::first(vec![declined()], Answer::Body.steps("")));
    let failing = Endpoint::always(vec![Step::Reset]);
    let addresses = [declining[0].address, declining[1].address, failing.address];
    let sites = fleet(1, &addresses);
    for _ in 0..addresses.len() {
        get(sites[0].requests, "/write/", "r", "");
    }
    assert_eq!(get(sites[0].requests, "/read/", "r", "").status, 200);
}

/// The endpoint had started again, and its row told so only after it had turned the entry away.
#[test]
fn a_back_off_outlasts_a_row_that_is_late() {
    let overloaded = Noting::overloaded();
    let other = working(Answer::Body);
    let sites = fleet(1, &[overloaded.endpoint.address, other.address]);
    send_for(&sites[0], "/read/", Duration::from_millis(200));
    let before = overloaded.arrivals().len();
    let started = Some(Millis(1));
    let mut told = sites[0].source.0.lock().unwrap();
    told.endpoints[0].life.started_unix = started;
    drop(told);
    send_for(&sites[0], "/read/", Duration::from_secs(2));
    assert_eq!(overloaded.arrivals().len(), before);
}

/// The row had lapsed for longer than an endpoint is kept without one, but not than it had asked for.
#[test]
fn an_endpoint_that_is_listed_again_is_left_alone_for_as_long_as_it_asked() {
    let turned_away = TURNED_AWAY.replace("Retry-After: 3", "Retry-After: 60");
    let overloaded = Noting::numbered(move |_| vec![head("503 Service Unavailable", &turned_away)]);
    let sites = fleet(1, &[overloaded.endpoint.address]);
    let site = &sites[0];
    get(site.requests, "/write/", "r", "");
    until(|| shows(site, "back_offs 1"));
    let row = site.source.0.lock().unwrap().endpoints.remove(0);
    until(|| shows(site, "back_offs 0"));
    site.source.0.lock().unwrap().endpoints.push(row);
    until(|| shows(site, "\nendpoints 1\n"));
    get(site.requests, "/write/", "r", "");
    assert_eq!(overloaded.arrivals().len(), 1);
}
