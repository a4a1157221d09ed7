//! The state of an entry's links, and which endpoints a check of them connects to.

use std::collections::HashSet;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::isolation::{self, Isolation};

use crate::roster::endpoint;

/// A check of thousands of endpoints costs as much as one of some.
#[rstest]
#[case::none(0, 0, 0)]
#[case::one(1, 1, 0)]
#[case::few(12, 1, 11)]
#[case::thousands(5_600, 1, 15)]
fn a_check_connects_to_few_endpoints(
    #[case] endpoints: usize,
    #[case] first: usize,
    #[case] second: usize,
) {
    let all: Vec<_> = (0..endpoints)
        .map(|at| endpoint(&format!("i-{at}")))
        .collect();
    let waves = isolation::waves(all.iter(), 7);
    assert_eq!(waves.each_ref().map(Vec::len), [first, second]);
    let distinct: HashSet<_> = waves.iter().flatten().map(|it| &it.life).collect();
    assert_eq!(distinct.len(), first + second);
}

/// Else an entry that always draws the same endpoints takes their loss for its own.
#[test]
fn each_check_draws_anew() {
    let all: Vec<_> = (0..100).map(|at| endpoint(&format!("i-{at}"))).collect();
    let drawn = |seed| isolation::waves(all.iter(), seed).concat();
    assert_ne!(drawn(1), drawn(2));
}

/// While one endpoint is down, each request that fails there would start a check.
#[test]
fn checks_that_find_a_link_are_rare() {
    let mut isolation = Isolation::default();
    assert!(!isolation.record_check(true, Millis(1_000)));
    assert!(!isolation.may_check(Millis(1_249)));
    assert!(isolation.may_check(Millis(1_250)));
}

#[test]
fn an_isolated_entry_checks_until_a_connection_succeeds() {
    let mut isolation = Isolation::default();
    assert!(isolation.record_check(false, Millis(1_000)));
    assert!(isolation.may_check(Millis(1_001)));
    assert!(!isolation.record_check(false, Millis(1_100)));
    assert_eq!(isolation.since(), Some(Millis(1_000)));
    assert_eq!(
        isolation.record_connected(Millis(3_000)),
        Some(Millis(2_000))
    );
    assert_eq!(isolation.record_connected(Millis(3_001)), None);
}
