//! Jobs that are older than the clock that measures them, and runs that a stop ends.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::Outcome;
use woodgap_core::verdict::Verdict;

use super::{Since, outcome};
use crate::request::{Code, Problem};

#[rstest]
#[case::younger_than_the_clock(5_000, 100_000, 98_000, 3_000, 0)]
#[case::older_than_the_clock(5_000, 100_000, 90_000, 0, 5_000)]
#[case::from_a_clock_ahead(5_000, 100_000, 101_000, 5_000, 0)]
fn since(
    #[case] now: u64,
    #[case] unix: u64,
    #[case] created: u64,
    #[case] arrived: u64,
    #[case] before: u64,
) {
    let since = Since::new(Millis(now), Millis(unix), Millis(created));
    let expected = Since {
        arrived: Millis(arrived),
        before: Millis(before),
    };
    assert_eq!(since, expected);
}

/// A run that the entry's end cut off is run again, if it may be.
#[rstest]
#[case::before_it_began(Verdict::NotRun, Outcome::Refused)]
#[case::under_way(
    Verdict::MayHaveRun,
    Outcome::Broken { code: "stopping".to_owned(), message: "it ends".to_owned() }
)]
fn a_run_in_a_stop(#[case] verdict: Verdict, #[case] expected: Outcome) {
    let problem = Problem::new(Code::Stopping, verdict, "it ends");
    assert_eq!(outcome(problem), expected);
}
