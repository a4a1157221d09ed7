//! When an entry takes and releases the lease, by rank.

use rstest::rstest;

use super::Duty;
use crate::clock::Millis;
use crate::lease::{Term, Want};

const POLL: Millis = Millis(100);
const TERM: Term = Term::new(Millis(1_000));

fn wants(duty: &mut Duty, now: u64) -> bool {
    matches!(duty.want(Millis(now), false, false), Want::Hold { .. })
}

/// The preferred entry takes the lease at once, each further one later, and only while every
/// poll finds work.
#[rstest]
#[case(0, 0)]
#[case(1, 400)]
#[case(2, 1_600)]
#[case(9, 6_400)]
fn duty(#[case] rank: usize, #[case] after: u64) {
    let mut duty = Duty::new(POLL, TERM);
    duty.set_rank(rank);
    assert!(!wants(&mut duty, 0));
    duty.record_poll(Millis(1_000), true);
    duty.record_poll(Millis(1_000 + after), true);
    assert!(after == 0 || !wants(&mut duty, 1_000 + after - 1));
    assert!(wants(&mut duty, 1_000 + after));
    duty.record_poll(Millis(2_000 + after), false);
    assert!(!wants(&mut duty, 2_000 + after));
}

/// A holder that is not preferred stops starting work after its turn, and releases the lease
/// once nothing runs.
#[test]
fn a_turn_ends() {
    let mut duty = Duty::new(POLL, TERM);
    duty.set_rank(1);
    duty.record_poll(Millis(0), true);
    assert!(matches!(
        duty.want(Millis(400), true, true),
        Want::Hold { .. }
    ));
    assert!(duty.may_start(Millis(1_399)) && !duty.may_start(Millis(1_400)));
    assert!(matches!(
        duty.want(Millis(1_400), true, true),
        Want::Hold { .. }
    ));
    assert_eq!(duty.want(Millis(1_400), true, false), Want::Release);
    assert!(!wants(&mut duty, 1_500), "its grace begins anew");
    duty.set_rank(0);
    duty.record_poll(Millis(1_600), true);
    assert!(duty.may_start(Millis(9_999)) && wants(&mut duty, 9_999));
}
