//! When an entry relies on what it knows.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::standstill::Watch;

#[rstest]
#[case::regular_work(250, 0)]
#[case::a_slow_moment(1_000, 0)]
#[case::a_standstill(1_001, 300)]
fn only_a_standstill_has_requests_wait(#[case] gap: u64, #[case] expected: u64) {
    let mut watch = Watch::new(Millis(7));
    assert_eq!(watch.look(Millis(7 + gap)), Millis(expected));
}

#[test]
fn nobody_is_waited_for_longer_than_a_round() {
    let mut watch = Watch::new(Millis(0));
    assert_eq!(watch.look(Millis(9_000)), Millis(300));
    assert_eq!(watch.look(Millis(9_299)), Millis(1));
    assert_eq!(watch.look(Millis(9_300)), Millis(0));
    assert!(!watch.record_answer(Millis(9_301)));
}

/// The answer to a question from before the standstill may be as old as the standstill is long.
#[test]
fn only_an_answer_to_a_later_question_counts() {
    let mut watch = Watch::new(Millis(0));
    watch.look(Millis(9_000));
    assert!(!watch.record_answer(Millis(8_999)));
    assert_eq!(watch.look(Millis(9_010)), Millis(290));
    assert!(watch.record_answer(Millis(9_000)));
    assert_eq!(watch.look(Millis(9_020)), Millis(0));
}

/// It stands still again before it has caught up.
#[test]
fn each_standstill_counts_anew() {
    let mut watch = Watch::new(Millis(0));
    watch.look(Millis(9_000));
    assert_eq!(watch.look(Millis(12_000)), Millis(300));
    assert!(!watch.record_answer(Millis(9_500)));
    assert!(watch.record_answer(Millis(12_000)));
}
