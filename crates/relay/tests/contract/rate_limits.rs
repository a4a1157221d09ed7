//! An endpoint that names a rate limit in its answers must not get more from all entries together.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::caller::get;
use crate::endpoint::{Answer, Endpoint, Step, head};
use crate::site::{Site, fleet, until};

/// How many entries there are, and how many endpoints beside the limited one.
const ENTRIES: usize = 3;
const OTHERS: usize = 2;
/// The limit that is named, in requests per second.
const LIMIT: f64 = 2.0;
/// The limit holds from so long after it was first named.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// In each span of this length, an endpoint gets at most one and a half times what its limit
/// allows, and five requests more.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The pause between two requests of a caller; each entry has one.
const PAUSE: Duration = Duration::from_millis(20);

/// How many requests are sent at once, more than [`bound`].
const BURST: usize = 40;

/// How long the other endpoints work on a request: the limited one seems the best.
const WORK: Duration = Duration::from_millis(30);

/// An endpoint that names [`LIMIT`].
struct Limited {
    endpoint: Endpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Limited {
    fn start(answer: Answer) -> Self {
        Self::working(answer, Duration::ZERO)
    }

    /// Works on each request for so long.
    fn working(answer: Answer, work: Duration) -> Self {
        let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
        let noting = Arc::clone(&arrivals);
        let endpoint = Endpoint::numbered(move |_| {
            noting.lock().unwrap().push(Instant::now());
            sleep(work);
            answer.steps(&format!("X-Woodgap-Rate-Limit: {LIMIT}\r\n"))
        });
        Self { endpoint, arrivals }
    }

    /// The most requests that arrived within [`WINDOW`], from [`KNOWN_AFTER`] the first on.
    fn most_in_a_window(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let Some(first) = arrivals.first() else {
            return 0;
        };
        let judged = arrivals.iter().filter(|at| **at >= *first + KNOWN_AFTER);
        let judged: Vec<_> = judged.collect();
        let until = |from: &Instant| {
            judged
                .iter()
                .filter(|at| ***at >= *from && ***at < *from + WINDOW)
                .count()
        };
        judged.iter().map(|from| until(from)).max().unwrap_or(0)
    }
}

/// What an endpoint gets within [`WINDOW`] at most.
fn bound() -> usize {
    let allowed = TOLERANCE * LIMIT * WINDOW.as_secs_f64() + SLACK;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = allowed as usize;
    allowed
}

/// Sends requests to each entry for so long. Returns how many got another status than 200.
fn send_for(sites: &[Site], target: &str, span: Duration) -> usize {
    let until = Instant::now() + span;
    std::thread::scope(|scope| {
        let callers: Vec<_> = sites
            .iter()
            .map(|site| {
                scope.spawn(move || {
                    let mut failed = 0;
                    while Instant::now() < until {
                        failed += usize::from(get(site.requests, target, "r", "").status != 200);
                        sleep(PAUSE);
                    }
                    failed
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum()
    })
}

/// Two engines named limits of 1.6 and 1.3 a second, and got 16 and 13 requests in 4 s.
#[rstest]
#[case::plain_service("/read/", Answer::Body)]
#[case::stream("/stream/", Answer::Events)]
fn an_endpoint_gets_no_more_than_the_rate_limit_that_it_names(
    #[case] target: &str,
    #[case] answer: Answer,
) {
    let limited = Limited::start(answer);
    let other = move |_| {
        sleep(WORK);
        answer.steps("")
    };
    let others: Vec<_> = (0..OTHERS).map(|_| Endpoint::numbered(other)).collect();
    let mut addresses = vec![limited.endpoint.address];
    addresses.extend(others.iter().map(|it| it.address));
    let sites = fleet(ENTRIES, &addresses);
    let failed = send_for(&sites, target, KNOWN_AFTER + 2 * WINDOW);
    let most = limited.most_in_a_window();
    assert!(most <= bound(), "{most} requests, {} allowed", bound());
    assert_eq!(
        failed, 0,
        "other endpoints take what the limited one does not"
    );
}

/// Whether the entry takes this endpoint for limited, by its metrics.
fn is_limited(site: &Site) -> bool {
    let metrics = get(site.metrics, "/metrics", "x", "").text();
    metrics.contains("limited_endpoints 1")
}

/// An entry to which the endpoint has never answered knows of its limit, and of its end.
#[test]
fn entries_hear_of_limits_from_one_another() {
    let names_limit = Arc::new(AtomicBool::new(true));
    let naming = Arc::clone(&names_limit);
    let endpoint = Endpoint::numbered(move |_| {
        let limit = format!("X-Woodgap-Rate-Limit: {LIMIT}\r\n");
        let is_named = naming.load(Ordering::Relaxed);
        Answer::Body.steps(if is_named { &limit } else { "" })
    });
    let sites = fleet(ENTRIES, &[endpoint.address]);
    get(sites[0].requests, "/read/", "r", "");
    until(|| sites.iter().all(is_limited));
    names_limit.store(false, Ordering::Relaxed);
    // The first entry asks again at the rate that is its own.
    until(|| {
        get(sites[0].requests, "/read/", "r", "");
        !sites.iter().any(is_limited)
    });
    for site in &sites {
        assert_eq!(get(site.requests, "/read/", "r", "").status, 200);
    }
}

/// A caller whom no endpoint may take is told so at once, and when to come back.
#[test]
fn a_request_beyond_all_limits_is_refused_with_a_time_to_retry() {
    let limited = Limited::start(Answer::Body);
    let sites = fleet(ENTRIES, &[limited.endpoint.address]);
    send_for(&sites, "/read/", KNOWN_AFTER);
    let answers = (0..30).map(|_| get(sites[0].requests, "/write/", "r", ""));
    let refused: Vec<_> = answers.filter(|it| it.status == 503).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert!(answer.text().contains("\"verdict\":\"not_run\""));
        assert!(answer.text().contains("\"error\":\"overloaded\""));
        assert!(!answer.header("retry-after").is_empty());
    }
}

/// What is no limit, or another endpoint's, changes nothing.
#[rstest]
#[case::unreadable("200 OK", "X-Woodgap-Seal: s\r\nX-Woodgap-Rate-Limit: few\r\n")]
#[case::contradictory(
    "200 OK",
    "X-Woodgap-Seal: s\r\nX-Woodgap-Rate-Limit: 1\r\nX-Woodgap-Rate-Limit: 2\r\n"
)]
#[case::of_another_endpoint("421 Misdirected Request", "X-Woodgap-Rate-Limit: 1\r\n")]
fn only_a_readable_limit_of_the_endpoint_itself_counts(
    #[case] status: &'static str,
    #[case] headers: &'static str,
) {
    let endpoint =
        Endpoint::numbered(move |_| vec![head(status, &format!("{headers}Content-Length: 0\r\n"))]);
    let site = Site::start(&[endpoint.address]);
    get(site.requests, "/read/", "r", "");
    // Longer than the metrics take to show it.
    sleep(Duration::from_secs(1));
    assert!(!is_limited(&site));
}

/// The endpoint names its limit in each of these answers, and in no other.
#[rstest]
#[case::error("500 Internal Server Error", "Content-Length: 0\r\n")]
#[case::refusal(
    "503 Service Unavailable",
    "X-Woodgap-Verdict: not_run\r\nContent-Length: 0\r\n"
)]
#[case::answer_without_a_seal("200 OK", "Content-Length: 0\r\n")]
fn a_limit_counts_in_every_answer(#[case] status: &'static str, #[case] headers: &'static str) {
    let endpoint = Endpoint::numbered(move |_| {
        vec![head(
            status,
            &format!("X-Woodgap-Rate-Limit: 2\r\n{headers}"),
        )]
    });
    let site = Site::start(&[endpoint.address]);
    get(site.requests, "/read/", "r", "");
    until(|| is_limited(&site));
}

/// An answer to another request comes first, and only it names the limit.
#[test]
fn a_limit_counts_in_an_answer_to_another_request() {
    let stray = Step::Send(
        "HTTP/1.1 500 X\r\nX-Woodgap-Request: other\r\nX-Woodgap-Rate-Limit: 2\r\n\
         Content-Length: 0\r\n\r\n"
            .to_owned(),
    );
    let own = head("500 Internal Server Error", "Content-Length: 0\r\n");
    let endpoint = Endpoint::always(vec![stray, own]);
    let site = Site::start(&[endpoint.address]);
    get(site.requests, "/read/", "r", "");
    until(|| is_limited(&site));
}

/// The row had lapsed for longer than an endpoint is kept without one, and 40 requests came at once.
#[test]
fn an_endpoint_that_is_listed_again_gets_no_more_than_its_limit() {
    let limited = Limited::working(Answer::Body, Duration::from_millis(300));
    let sites = fleet(1, &[limited.endpoint.address]);
    let site = &sites[0];
    get(site.requests, "/write/", "r", "");
    until(|| is_limited(site));
    let row = site.source.0.lock().unwrap().endpoints.remove(0);
    until(|| !is_limited(site));
    let before = limited.arrivals.lock().unwrap().len();
    site.source.0.lock().unwrap().endpoints.push(row);
    until(|| {
        let metrics = get(site.metrics, "/metrics", "x", "").text();
        metrics.contains("\nendpoints 1\n")
    });
    std::thread::scope(|scope| {
        for _ in 0..BURST {
            scope.spawn(|| get(site.requests, "/write/", "r", ""));
        }
    });
    let count = limited.arrivals.lock().unwrap().len() - before;
    assert!(count <= bound(), "{count} requests, {} allowed", bound());
}
