//! What answers and connections show of an endpoint.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::health::{Health, Sign};

#[rstest]
#[case::first(1, 250)]
#[case::second(2, 500)]
#[case::third(3, 1_000)]
#[case::many(12, 2_000)]
fn pauses_grow_up_to_a_bound(#[case] strikes: u32, #[case] pause: u64) {
    let mut health = Health::default();
    for _ in 0..strikes {
        health.note(Sign::Lost, Millis(0));
    }
    assert!(!health.due(Millis(pause - 1)));
    assert!(health.due(Millis(pause)));
}

#[test]
fn one_that_answers_badly_is_not_suspended_but_counted() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.note(Sign::Bad, Millis(0));
    }
    assert!(!health.suspended());
    assert!(health.failing() > 0.85);
    for _ in 0..20 {
        health.note(Sign::Good, Millis(0));
    }
    assert!(health.failing() < 0.15);
}
