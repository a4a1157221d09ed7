//! Cold endpoints in a fleet whose entries know one another only in part.

use std::collections::BTreeMap;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::name::{Endpoint, Entry, Life};
use woodgap_core::relay::Roster;
use woodgap_core::relay::prefix::mix;
use woodgap_core::relay::roster::Change;
use woodgap_core::relay::warming::{Ring, SendHistory, split_rate};

use crate::roster::{FALLBACK_PERIOD, endpoint};

/// The rate that the users' specification allows at an endpoint that sustains `rate` requests per
/// second.
fn bound(rate: f64) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bound = (rate * 1.5 + 5.0) as usize;
    bound
}

fn entry(at: usize) -> Entry {
    Entry::from(format!("front-dub-{at}"))
}

fn cold(at: usize) -> Life {
    Life::from(Endpoint::from(format!("i-{at}")))
}

/// Every entry tries to send a request to every cold endpoint each 10 ms for three seconds; `knows`
/// tells which entries an entry knows. Returns the maximum number of requests at one endpoint
/// within any second, and the mean per second.
fn simulate(
    entries: usize,
    endpoints: usize,
    rate: f64,
    knows: impl Fn(usize, usize) -> bool,
) -> (usize, f64) {
    let names: Vec<_> = (0..entries).map(entry).collect();
    let (senders, each) = split_rate(rate, entries);
    let mut arrivals: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for own in 0..entries {
        let others = names.iter().enumerate();
        let others = others.filter(|(at, _)| *at != own && knows(own, *at));
        let ring = Ring::new(&names[own], others.map(|(_, name)| name));
        let range = ring.range(senders);
        let assigned: Vec<_> = (0..endpoints)
            .filter(|at| range.contains(&cold(*at)))
            .collect();
        let mut sent = SendHistory::default();
        for at in assigned {
            let life = cold(at);
            // Entries have different phases.
            let shift = mix(own as u64, at as u64) % 1_000;
            for now in (shift..shift + 3_000).step_by(10) {
                if sent.may_send(&life, each, Millis(now)) {
                    sent.record(&life, Millis(now));
                    arrivals.entry(at).or_default().push(now);
                }
            }
        }
    }
    let mut peak = 0;
    let mut total = 0;
    for arrived in arrivals.values_mut() {
        arrived.sort_unstable();
        total += arrived.len();
        for (first, start) in arrived.iter().enumerate() {
            let within = arrived[first..].partition_point(|at| *at < start + 1_000);
            peak = peak.max(within);
        }
    }
    (peak, total as f64 / endpoints as f64 / 3.0)
}

/// Whatever entries send, their sum stays within the bound, and most of the endpoints' capacity is
/// used, so that they take their share of the load soon.
#[rstest]
#[case::small(9, 12, 8.8)]
#[case::middle(63, 140, 8.8)]
#[case::large(295, 300, 8.8)]
#[case::largest(985, 400, 8.8)]
#[case::fast_endpoints(63, 40, 40.0)]
#[case::slow_endpoints(63, 40, 1.5)]
fn the_sum_of_all_entries_stays_within_the_bound(
    #[case] entries: usize,
    #[case] endpoints: usize,
    #[case] rate: f64,
) {
    let (peak, mean) = simulate(entries, endpoints, rate, |_, _| true);
    assert!(peak <= bound(rate), "{peak} in a second");
    assert!(mean >= 0.5 * rate.floor(), "{mean} a second of {rate}");
}

/// A fleet split in two, entries that know nine of ten others, and some entries that know no
/// others.
#[rstest]
fn the_bound_holds_with_partial_membership(
    #[values(9, 63, 295, 985)] entries: usize,
    #[values(0, 1, 2)] topology: u8,
) {
    let knows = |own: usize, other: usize| match topology {
        0 => (own % 2) == (other % 2),
        1 => !mix(own as u64, other as u64).is_multiple_of(10),
        _ => own > 2,
    };
    let (peak, _) = simulate(entries, 150, 8.8, knows);
    assert!(peak <= bound(8.8), "{peak} in a second");
}

/// An endpoint is cold for the time given in its row, counted from when the row was received. The
/// same row does not make it cold again.
#[test]
fn an_endpoint_is_cold_for_as_long_as_its_row_says() {
    let mut roster = Roster::new(FALLBACK_PERIOD);
    let mut row = endpoint("i-1");
    row.cold_for = Millis(3_000);
    let life = row.life.clone();
    roster.replace(vec![row.clone()], 1, Millis(100), Millis(100));
    assert!(roster.is_cold(&life, Millis(3_099)));
    assert!(!roster.is_cold(&life, Millis(3_100)));
    roster.replace(vec![row.clone()], 2, Millis(9_000), Millis(9_000));
    assert!(!roster.is_cold(&life, Millis(9_000)));
    // It may become cold again at any time.
    row.cold_for = Millis(2_000);
    roster.apply(vec![(3, Change::Listed(row))], Millis(9_500), Millis(9_500));
    assert!(roster.is_cold(&life, Millis(11_499)));
    assert!(!roster.is_cold(&life, Millis(11_500)));
}

/// Another program answers at the endpoint's address. A row that changes only `cold_for` does not
/// make the endpoint usable.
#[test]
fn address_reuse_outlasts_changes_of_cold_for() {
    let mut roster = Roster::new(FALLBACK_PERIOD);
    let mut row = endpoint("i-1");
    row.cold_for = Millis(3_000);
    roster.replace(vec![row.clone(), endpoint("i-2")], 1, Millis(0), Millis(0));
    roster.mark_address_reused(&row, Millis(5));
    row.cold_for = Millis(1_000);
    roster.apply(vec![(2, Change::Listed(row))], Millis(9), Millis(9));
    let usable = roster.usable(
        "engines",
        &woodgap_core::relay::Evacuation::default(),
        Millis(9),
    );
    assert_eq!(usable.len(), 1);
    assert_eq!(usable[0].life.id.as_str(), "i-2");
}
