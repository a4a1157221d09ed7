//! Limits of the idle time of connections.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::rest::IdleLimits;

#[rstest]
#[case::forgotten(900, 2, Some(450))]
#[case::at_work_already(900, 300, None)]
#[case::hardly_rested(40, 2, None)]
fn a_loss_sets_a_limit(#[case] idle: u64, #[case] took: u64, #[case] max_idle: Option<u64>) {
    let mut limits = IdleLimits::default();
    limits.record_loss("links", Millis(idle), Millis(took), Millis(5));
    assert_eq!(limits.max_idle("links", Millis(6)), max_idle.map(Millis));
}

#[test]
fn the_shortest_recent_limit_counts() {
    let mut limits = IdleLimits::default();
    limits.record_loss("links", Millis(3_000), Millis(1), Millis(0));
    limits.record_loss("links", Millis(400), Millis(1), Millis(100));
    limits.record_loss("links", Millis(1_000), Millis(1), Millis(200));
    assert_eq!(limits.max_idle("links", Millis(300)), Some(Millis(200)));
    assert_eq!(limits.max_idle("links", Millis(15_300)), None);
}

#[test]
fn entries_merge_limits_but_report_only_their_own() {
    let mut first = IdleLimits::default();
    let mut second = IdleLimits::default();
    first.record_loss("links", Millis(600), Millis(1), Millis(0));
    second.merge(&first.report(Millis(10)), Millis(10));
    assert_eq!(second.max_idle("links", Millis(20)), Some(Millis(300)));
    assert_eq!(second.report(Millis(20)), []);
}
