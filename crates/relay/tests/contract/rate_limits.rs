//! An endpoint that names a rate limit in its answers must not get more from all entries together.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::caller::get;
use crate::endpoint::{EVENTS, Endpoint, Step, chunk, head};
use crate::site::{Site, source, until_met};

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

/// How long the other endpoints work on a request: the limited one seems the best.
const WORK: Duration = Duration::from_millis(30);

/// An endpoint that names [`LIMIT`].
struct Limited {
    endpoint: Endpoint,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

/// How an endpoint answers: with a body, or with a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Body,
    Events,
}

impl Answer {
    /// An answer that carries these headers.
    fn steps(self, headers: &str) -> Vec<Step> {
        match self {
            Self::Body => {
                let all = format!("X-Woodgap-Seal: s\r\nContent-Length: 3\r\n{headers}");
                vec![head("200 OK", &all), Step::Send("yes".to_owned())]
            }
            Self::Events => {
                let all = format!("{EVENTS}{headers}");
                let end = Step::Send("0\r\n\r\n".to_owned());
                vec![head("200 OK", &all), chunk("id: 1\n\n"), end]
            }
        }
    }
}

impl Limited {
    fn start(answer: Answer) -> Self {
        let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
        let noting = Arc::clone(&arrivals);
        let endpoint = Endpoint::numbered(move |_| {
            noting.lock().unwrap().push(Instant::now());
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

/// Entries that know one another, before these endpoints.
fn entries(addresses: &[std::net::SocketAddr]) -> Vec<Site> {
    let mut sites: Vec<Site> = Vec::new();
    for at in 0..ENTRIES {
        let source = source(addresses);
        source.0.lock().unwrap().entries = sites.iter().map(|site| site.peer).collect();
        let site = Site::with(&format!("dub-a-{at}"), source);
        site.until_ready();
        sites.push(site);
    }
    until_met(&sites);
    sites
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
    let sites = entries(&addresses);
    let failed = send_for(&sites, target, KNOWN_AFTER + 2 * WINDOW);
    let most = limited.most_in_a_window();
    assert!(most <= bound(), "{most} requests, {} allowed", bound());
    assert_eq!(
        failed, 0,
        "other endpoints take what the limited one does not"
    );
}
