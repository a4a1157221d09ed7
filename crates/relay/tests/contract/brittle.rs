//! Endpoints that fail if they have to turn away more requests than they say.

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::caller::get;
use crate::endpoint::{Endpoint, head, whole};
use crate::site::{Site, fleet};

/// Entries, and the callers of each in a burst.
const ENTRIES: usize = 3;
const CALLERS: usize = 20;
/// Requests that an endpoint runs at once, as it is listed; it lets none wait.
const SLOTS: usize = 8;
/// How long it works on one.
const WORK: Duration = Duration::from_millis(30);
/// The limit holds from so long after it was first named, in each second.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
/// How long an entry sends nothing to an endpoint that has refused it. Entries that don't know yet
/// that the endpoint is brittle are all refused in the first burst.
const REFUSAL_PAUSE: Duration = SECOND;
/// How long callers go on, and the pause between two bursts.
const LASTS: Duration = Duration::from_secs(7);
const PAUSE: Duration = Duration::from_millis(150);

#[derive(Default)]
struct Counts {
    running: AtomicUsize,
    served: Mutex<Vec<Instant>>,
    refusals: Mutex<Vec<Instant>>,
}

/// An endpoint that says how many requests it can turn away in a second.
fn brittle(limit: usize) -> (Endpoint, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let counting = Arc::clone(&counts);
    let endpoint = Endpoint::numbered(move |_| {
        let before = counting.running.fetch_add(1, Ordering::SeqCst);
        let is_taken = before < SLOTS;
        if is_taken {
            sleep(WORK);
            counting.served.lock().unwrap().push(Instant::now());
        } else {
            counting.refusals.lock().unwrap().push(Instant::now());
        }
        let running = counting.running.fetch_sub(1, Ordering::SeqCst) - 1;
        let says = format!(
            "X-Woodgap-Brittle: {limit}\r\nX-Woodgap-Load: {},0,{SLOTS}\r\n",
            running.min(SLOTS)
        );
        if is_taken {
            let all = format!("X-Woodgap-Seal: s\r\nContent-Length: 3\r\n{says}");
            vec![
                head("200 OK", &all),
                crate::endpoint::Step::Send("yes".to_owned()),
            ]
        } else {
            let all = format!("X-Woodgap-Verdict: not_run\r\nContent-Length: 0\r\n{says}");
            vec![head("503 Service Unavailable", &all)]
        }
    });
    (endpoint, counts)
}

/// The most refusals in a second, from [`KNOWN_AFTER`] the beginning on.
fn most_refusals(counts: &Counts, began: Instant) -> usize {
    let refusals = counts.refusals.lock().unwrap();
    let late: Vec<_> = refusals
        .iter()
        .filter(|at| **at >= began + KNOWN_AFTER)
        .collect();
    let within = |first: &Instant| {
        late.iter()
            .filter(|at| ***at >= *first && ***at - *first < SECOND)
            .count()
    };
    late.iter().map(|at| within(at)).max().unwrap_or(0)
}

/// The requests that were served in a part of the test.
fn served(counts: &Counts, part: Range<Instant>) -> u128 {
    let served = counts.served.lock().unwrap();
    served.iter().filter(|at| part.contains(*at)).count() as u128
}

/// The requests that one slot serves in a time.
fn slot_capacity(time: Duration) -> u128 {
    time.as_millis() / WORK.as_millis()
}

/// All callers come at once, at all entries together.
fn bursts(sites: &[Site], route: &str, began: Instant) {
    scope(|scope| {
        for (at, site) in sites.iter().enumerate() {
            for caller in 0..CALLERS {
                scope.spawn(move || {
                    for round in 0.. {
                        if began.elapsed() >= LASTS {
                            return;
                        }
                        let id = format!("{at}-{caller}-{round}");
                        get(site.requests, route, &id, "");
                        let bursts = began.elapsed().as_millis() / PAUSE.as_millis() + 1;
                        let next = PAUSE * u32::try_from(bursts).unwrap();
                        sleep(next.saturating_sub(began.elapsed()));
                    }
                });
            }
        }
    });
}

#[rstest]
#[case::of_reads("/read/", 6)]
#[case::of_writes("/write/", 6)]
#[case::that_bears_few_refusals("/read/", 2)]
#[case::that_bears_none("/read/", 0)]
fn entries_together_push_a_brittle_endpoint_into_no_more_refusals_than_it_bears(
    #[case] route: &str,
    #[case] limit: usize,
) {
    let (endpoint, counts) = brittle(limit);
    let sites = fleet(ENTRIES, &[endpoint.address]);
    let began = Instant::now();
    bursts(&sites, route, began);
    let most = most_refusals(&counts, began);
    assert!(
        most <= limit,
        "{most} refusals in a second, {limit} are borne"
    );
    let first = served(&counts, began..began + REFUSAL_PAUSE);
    assert!(first >= SLOTS as u128, "{first} served at first");
    // Each entry has a slot then, also one that has just started.
    let mut from = REFUSAL_PAUSE + PAUSE;
    while from + 3 * PAUSE <= LASTS {
        let served = served(&counts, began + from..began + from + 3 * PAUSE);
        assert!(
            served >= ENTRIES as u128,
            "{served} served from {from:?} on"
        );
        from += 3 * PAUSE;
    }
    // One of the slots is in use all the while at least, but for the second in which entries that
    // were refused keep away.
    let ended = Instant::now();
    for from in [REFUSAL_PAUSE, KNOWN_AFTER] {
        let served = served(&counts, began + from..ended);
        let least = slot_capacity(LASTS.saturating_sub(from));
        assert!(
            served >= least,
            "{served} of {least} served from {from:?} on"
        );
    }
}

/// Others may still be brittle, and their answers say so.
#[test]
fn endpoints_that_say_nothing_are_used_without_limits() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let sites = fleet(1, &[endpoint.address]);
    for at in 0..20 {
        assert_eq!(
            get(sites[0].requests, "/read/", &format!("r{at}"), "").status,
            200
        );
    }
    let metrics = get(sites[0].metrics, "/metrics", "x", "").text();
    assert!(metrics.contains("brittle_refusals 0"));
}
