//! Endpoint health, as observed from answers and connections.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::health::{Health, HealthSignal};

#[rstest]
#[case::first(1, 250)]
#[case::second(2, 500)]
#[case::third(3, 1_000)]
#[case::many(12, 2_000)]
fn backoff_grows_up_to_a_limit(#[case] losses: u32, #[case] backoff: u64) {
    let mut health = Health::default();
    for _ in 0..losses {
        health.record(HealthSignal::Lost, Millis(0));
    }
    assert!(!health.is_reconnect_due(Millis(backoff - 1)));
    assert!(health.is_reconnect_due(Millis(backoff)));
}

#[test]
fn failures_are_counted_without_suspending() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.record(HealthSignal::Failure, Millis(0));
    }
    assert!(!health.is_suspended());
    assert!(health.failure_rate() > 0.85);
    for _ in 0..20 {
        health.record(HealthSignal::Success, Millis(0));
    }
    assert!(health.failure_rate() < 0.15);
}
