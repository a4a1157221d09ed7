//! Rate limits of endpoints, divided between entries.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::load_report;
use woodgap_core::relay::prefix::mix;
use woodgap_core::relay::rate_limit::{Change, Notice, RateLimits};
use woodgap_core::relay::warming::Ring;

/// What operators are promised: within this span, an endpoint gets at most one and a half times
/// what its limit allows, and five requests more.
const WINDOW: u64 = 4_000;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn endpoint(number: usize) -> name::Life {
    name::Life::from(name::Endpoint::from(format!("i-{number}")))
}

fn entry(number: usize) -> name::Entry {
    name::Entry::from(format!("dub-a-{number}"))
}

fn key(number: usize) -> u32 {
    load_report::life_key(&endpoint(number))
}

/// The ring of an entry that knows the others for which `knows` holds.
fn ring(own: usize, entries: usize, knows: impl Fn(usize) -> bool) -> Ring {
    let others = (0..entries).filter(|at| *at != own && knows(*at));
    let others: Vec<_> = others.map(entry).collect();
    Ring::new(&entry(own), others.iter())
}

/// Every entry sends all that it may to one endpoint with this limit, each 10 ms for 20 s. Returns
/// when the requests arrive.
fn simulate(entries: usize, limit: f64, knows: impl Fn(usize, usize) -> bool) -> Vec<u64> {
    let life = endpoint(0);
    let mut arrivals = Vec::new();
    for own in 0..entries {
        let ring = ring(own, entries, |other| knows(own, other));
        let mut limits = RateLimits::new(own as u64);
        let learnt = mix(own as u64, 1) % 500;
        limits.record(&life, Some(limit), Millis(learnt));
        for now in (learnt..20_000).step_by(10) {
            while limits.may_send(&life, Some(&ring), Millis(now)) {
                limits.record_send(&life);
                arrivals.push(now);
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

fn most_in_a_window(arrivals: &[u64]) -> usize {
    let within =
        |first: usize| arrivals[first..].partition_point(|at| *at < arrivals[first] + WINDOW);
    (0..arrivals.len()).map(within).max().unwrap_or(0)
}

fn allowed(limit: f64) -> f64 {
    TOLERANCE * limit * WINDOW as f64 / 1_000.0 + SLACK
}

#[rstest]
fn entries_together_send_what_an_endpoint_takes(
    #[values(1, 6, 60, 300)] entries: usize,
    #[values(0.0, 0.4, 1.3, 1.7, 30.0, 400.0)] limit: f64,
) {
    let arrivals = simulate(entries, limit, |_, _| true);
    let most = most_in_a_window(&arrivals) as f64;
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let mean = arrivals.len() as f64 / 20.0;
    assert!(mean >= 0.8 * limit, "{mean} per second");
    assert!(!arrivals.is_empty(), "nobody learns that it takes more");
}

/// Each entry has yet to hear of another one that has just started, a different one each.
#[rstest]
fn entries_with_different_views_hold_the_limit(
    #[values(6, 60, 300)] entries: usize,
    #[values(0.4, 1.3, 1.7, 30.0)] limit: f64,
) {
    let arrivals = simulate(entries, limit, |own, other| (own + 1) % entries != other);
    let most = most_in_a_window(&arrivals) as f64;
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

#[test]
fn an_entry_that_does_not_know_the_others_yet_sends_nothing() {
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(5.0), Millis(0));
    assert!(!limits.may_send(&endpoint(0), None, Millis(60_000)));
    assert!(limits.may_send(&endpoint(1), None, Millis(0)));
}

/// The endpoint is idle then, and all entries would send to it at once.
#[test]
fn the_rate_grows_after_the_limit_is_lifted() {
    let life = endpoint(0);
    let mut limits = RateLimits::new(1);
    limits.record(&life, Some(2.0), Millis(0));
    assert_eq!(
        limits.record(&life, None, Millis(10_000)),
        Some(Change::Lifted)
    );
    let rates = [0, 500, 1_000, 2_000, 3_900, 4_000];
    let rates = rates.map(|after| limits.rate(&life, Millis(10_000 + after)).map(f64::round));
    let expected = [
        Some(2.0),
        Some(4.0),
        Some(8.0),
        Some(32.0),
        Some(446.0),
        None,
    ];
    assert_eq!(rates, expected);
    // Further answers without a limit don't begin this anew.
    assert_eq!(limits.record(&life, None, Millis(12_000)), None);
    assert_eq!(limits.rate(&life, Millis(14_000)), None);
    assert!(limits.may_send(&life, None, Millis(14_000)));
}

#[test]
fn an_endpoint_that_names_no_limit_is_not_remembered() {
    let mut limits = RateLimits::new(1);
    assert_eq!(limits.record(&endpoint(0), None, Millis(0)), None);
    assert_eq!(limits.notices(8, Millis(0)), []);
}

#[rstest]
#[case::same(2.0, None)]
#[case::about_the_same(2.2, None)]
#[case::higher(3.0, Some(Change::Named(3.0)))]
#[case::lower(1.0, Some(Change::Named(1.0)))]
#[case::beyond_bounds(1e300, Some(Change::Named(1_000_000.0)))]
fn only_a_large_change_is_told_at_once(#[case] limit: f64, #[case] expected: Option<Change>) {
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(2.0), Millis(0));
    assert_eq!(
        limits.record(&endpoint(0), Some(limit), Millis(500)),
        expected
    );
}

fn notice(per_second: f32, is_lifted: bool, age: u64) -> Notice {
    Notice {
        endpoint: key(0),
        per_second,
        is_lifted,
        age: Millis(age),
    }
}

/// An answer named a limit of 2 at 10 s; another entry tells this at 20 s.
#[rstest]
#[case::newer_limit(notice(5.0, false, 1_000), Some(Change::Named(5.0)), Some(5.0))]
#[case::newer_end(notice(2.0, true, 1_000), Some(Change::Lifted), Some(2.0))]
#[case::older_limit(notice(5.0, false, 11_000), None, Some(2.0))]
#[case::older_end(notice(2.0, true, 11_000), None, Some(2.0))]
#[case::its_own_word_with_time_in_transit(notice(2.0, true, 9_970), None, Some(2.0))]
#[case::no_number(notice(f32::NAN, false, 0), None, Some(2.0))]
#[case::negative(notice(-1.0, false, 0), None, Some(2.0))]
#[case::older_than_everything(notice(5.0, false, u64::MAX), None, Some(2.0))]
fn the_newer_word_counts(
    #[case] told: Notice,
    #[case] change: Option<Change>,
    #[case] rate: Option<f64>,
) {
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(2.0), Millis(10_000));
    let changes: Vec<_> = change.map(|it| (key(0), it)).into_iter().collect();
    assert_eq!(limits.merge(&[told], Millis(20_000)), changes);
    assert_eq!(limits.rate(&endpoint(0), Millis(20_000)), rate);
}

/// What one entry knows holds at another one, and so does the end of it.
#[test]
fn a_limit_and_its_end_pass_from_entry_to_entry() {
    let life = endpoint(0);
    let [mut first, mut second] = [RateLimits::new(1), RateLimits::new(2)];
    first.record(&life, Some(1.5), Millis(1_000));
    let told = first.notices(8, Millis(1_200));
    assert_eq!(
        second.merge(&told, Millis(5_000)),
        [(key(0), Change::Named(1.5))]
    );
    first.record(&life, None, Millis(2_000));
    let told = first.notices(8, Millis(2_000));
    assert_eq!(
        second.merge(&told, Millis(5_900)),
        [(key(0), Change::Lifted)]
    );
    // Nor does an entry that still has the old word undo it.
    let old = notice(1.5, false, 950);
    assert_eq!(second.merge(&[old], Millis(5_900)), []);
}

/// Changes are told first, and all others in turn.
#[test]
fn every_limit_is_told_in_its_turn() {
    let mut limits = RateLimits::new(1);
    for number in 0..10 {
        limits.record(&endpoint(number), Some(2.0), Millis(0));
    }
    let mut told = Vec::new();
    for round in 1..=5 {
        told.extend(
            limits
                .notices(2, Millis(round * 300))
                .iter()
                .map(|it| it.endpoint),
        );
    }
    told.sort_unstable();
    let mut all: Vec<_> = (0..10).map(key).collect();
    all.sort_unstable();
    assert_eq!(told, all);
    limits.record(&endpoint(7), None, Millis(2_000));
    assert_eq!(limits.notices(1, Millis(2_000))[0].endpoint, key(7));
}

#[test]
fn limits_of_lives_that_are_over_are_forgotten() {
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(2.0), Millis(0));
    limits.remove(&[endpoint(0)]);
    assert_eq!(limits.count(Millis(0)), 0);
    limits.record(&endpoint(1), Some(2.0), Millis(0));
    limits.expire(Millis(599_999));
    assert_eq!(limits.count(Millis(599_999)), 1);
    limits.expire(Millis(600_000));
    assert_eq!(limits.count(Millis(600_000)), 0);
}

#[test]
fn an_unreadable_limit_is_reported_once() {
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(2.0), Millis(0));
    assert!(limits.record_invalid(&endpoint(0)));
    assert!(!limits.record_invalid(&endpoint(0)));
    assert_eq!(limits.rate(&endpoint(0), Millis(0)), Some(2.0));
    limits.record(&endpoint(0), Some(2.0), Millis(1));
    assert!(limits.record_invalid(&endpoint(0)));
}

/// Only some parts of an endpoint know of its limit, or it names another one each time: the limit
/// holds, and not each answer is news that entries pass on to all others.
#[rstest]
#[case::now_and_then(&[Some(2.0), None])]
#[case::seldom(&[Some(2.0), None, None, None, None, None, None, None])]
#[case::another_each_time(&[Some(1.0), Some(2.0)])]
fn answers_that_differ_make_little_news(#[case] answers: &[Option<f64>]) {
    let mut limits = RateLimits::new(1);
    let mut news = 0;
    for (number, limit) in answers.iter().cycle().take(1_000).enumerate() {
        let now = Millis(10 * number as u64);
        news += usize::from(limits.record(&endpoint(0), *limit, now).is_some());
        assert!(
            limits
                .rate(&endpoint(0), now)
                .is_some_and(|rate| rate <= 2.0)
        );
    }
    // In ten seconds, at most one for each round of messages.
    assert!(news <= 34, "{news} times news");
}

/// A later life is listed so long after an answer has named a limit.
#[rstest]
#[case::it_may_have_named_it(4_999, Some(2.0))]
#[case::the_earlier_one_named_it(5_000, None)]
fn a_limit_holds_for_a_life_that_was_listed_late(#[case] after: u64, #[case] rate: Option<f64>) {
    let later = name::Life {
        started_unix: Some(Millis(1)),
        ..endpoint(0)
    };
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(2.0), Millis(0));
    limits.succeed(&endpoint(0), &later, Millis(after));
    assert_eq!(limits.rate(&later, Millis(after)), rate);
    assert_eq!(limits.rate(&endpoint(0), Millis(after)), None);
}

/// An endpoint is taken for gone while the platform is away, and listed again so long after.
#[rstest]
#[case::within_ten_minutes(599_999, Some(2.0))]
#[case::later(600_000, None)]
fn a_limit_holds_for_a_life_that_is_listed_again(#[case] at: u64, #[case] rate: Option<f64>) {
    let life = endpoint(0);
    let mut limits = RateLimits::new(1);
    limits.record(&life, Some(2.0), Millis(0));
    limits.notices(8, Millis(0));
    limits.record(&endpoint(1), Some(2.0), Millis(0));
    limits.give_up(&life, Millis(0));
    limits.remove(std::slice::from_ref(&life));
    assert_eq!(limits.rate(&life, Millis(0)), None);
    limits.restore(|listed| *listed == life, Millis(at));
    assert_eq!(limits.rate(&life, Millis(at)), rate);
    // Entries that have started meanwhile hear of it at once.
    let told = limits.notices(8, Millis(at));
    assert_eq!(told.iter().any(|it| it.endpoint == key(0)), rate.is_some());
}

#[test]
fn a_limit_of_a_given_up_life_is_neither_told_nor_another_lifes() {
    let later = name::Life {
        started_unix: Some(Millis(1)),
        ..endpoint(0)
    };
    let mut limits = RateLimits::new(1);
    limits.record(&endpoint(0), Some(2.0), Millis(0));
    limits.give_up(&endpoint(0), Millis(0));
    assert_eq!(limits.count(Millis(0)), 0);
    assert_eq!(limits.notices(8, Millis(0)), []);
    assert_eq!(limits.restore(|life| *life == later, Millis(1)), []);
    assert_eq!(limits.rate(&later, Millis(1)), None);
}

/// Another entry tells of the life after this one has given it up.
#[rstest]
#[case::newer(1_000, Some(5.0))]
#[case::older(11_000, Some(2.0))]
fn a_limit_that_is_restored_undoes_nothing_newer(#[case] age: u64, #[case] rate: Option<f64>) {
    let life = endpoint(0);
    let mut limits = RateLimits::new(1);
    limits.record(&life, Some(2.0), Millis(10_000));
    limits.give_up(&life, Millis(15_000));
    limits.merge(&[notice(5.0, false, age)], Millis(20_000));
    limits.restore(|listed| *listed == life, Millis(20_000));
    assert_eq!(limits.rate(&life, Millis(20_000)), rate);
}

/// All endpoints of a large site are given up at once.
#[test]
fn limits_of_given_up_lives_are_bounded_in_number() {
    let mut limits = RateLimits::new(1);
    for number in 0..5_600 {
        limits.record(&endpoint(number), Some(2.0), Millis(0));
        limits.give_up(&endpoint(number), Millis(number as u64));
    }
    assert_eq!(limits.restore(|_| true, Millis(5_600)).len(), 2_048);
    let kept = |number| limits.rate(&endpoint(number), Millis(5_600));
    assert_eq!((kept(0), kept(5_599)), (None, Some(2.0)));
}
