//! Which events confirm a revision.

use rstest::rstest;

use super::{Standing, Tracker};
use crate::clock::Millis;
use crate::name::Incarnation;

const LIMIT: Millis = Millis(10_000);
const PEER: Incarnation = Incarnation(1);

enum Step {
    Applied(u64),
    Read(u64),
    Heard(u64, u64),
}
use Step::{Applied, Heard, Read};

#[rstest]
#[case::nothing(&[], 0, Standing::Empty)]
#[case::a_peer_says_there_is_one(&[Heard(0, 4)], 0, Standing::Empty)]
#[case::applied_but_from_where(&[Applied(3)], 0, Standing::Unconfirmed)]
#[case::read(&[Applied(3), Read(100)], 10_100, Standing::Confirmed)]
#[case::read_long_ago(&[Applied(3), Read(100)], 10_101, Standing::Unconfirmed)]
#[case::a_late_answer_does_not_take_back(&[Applied(3), Read(500), Read(100)], 10_400, Standing::Confirmed)]
#[case::an_equal_peer_confirms(&[Applied(3), Heard(9_000, 3)], 19_000, Standing::Confirmed)]
#[case::an_older_peer_confirms(&[Applied(3), Heard(9_000, 2)], 19_000, Standing::Confirmed)]
#[case::a_newer_peer_does_not(&[Applied(3), Read(0), Heard(9_000, 4)], 10_001, Standing::Unconfirmed)]
#[case::an_old_state_of_the_log(&[Applied(3), Heard(0, 4), Read(500)], 600, Standing::Unconfirmed)]
#[case::caught_up_with_it(&[Applied(3), Heard(9_000, 4), Applied(4), Heard(9_500, 4)], 19_500, Standing::Confirmed)]
fn standing(#[case] steps: &[Step], #[case] now: u64, #[case] expected: Standing) {
    let mut tracker = Tracker::new(LIMIT);
    for step in steps {
        match *step {
            Applied(revision) => {
                tracker.applied(revision);
            }
            Read(at) => tracker.log_read(Millis(at)),
            Heard(at, revision) => tracker.peer_heard(Millis(at), PEER, revision),
        }
    }
    assert_eq!(tracker.standing(Millis(now)), expected);
}

#[test]
fn a_lower_revision_is_never_applied() {
    let mut tracker = Tracker::new(LIMIT);
    assert!(tracker.applied(5));
    assert!(!tracker.applied(4));
    assert!(!tracker.applied(5));
    assert_eq!(tracker.in_force(), Some(5));
}

#[test]
fn the_newest_of_the_others_is_asked_until_its_life_ends() {
    let mut tracker = Tracker::new(LIMIT);
    tracker.applied(2);
    tracker.peer_heard(Millis(0), Incarnation(1), 3);
    tracker.peer_heard(Millis(0), Incarnation(2), 4);
    assert_eq!(
        tracker.newer().map(|newer| newer.holder),
        Some(Incarnation(2))
    );
    tracker.gone(Incarnation(2));
    assert_eq!(
        tracker.newer().map(|newer| newer.holder),
        Some(Incarnation(1))
    );
    tracker.applied(4);
    assert_eq!(tracker.newer(), None);
}
