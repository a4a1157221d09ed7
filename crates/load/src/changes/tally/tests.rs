//! What counts as late, reverted, lost and doubled.

use rstest::rstest;
use woodgap_core::admin::{Applied, Change};
use woodgap_core::clock::Millis;

use super::Tally;
use crate::changes::Findings;
use crate::changes::operator::End;
use crate::changes::watch::Sight;

const GOOD: Findings = Findings {
    changes: 2,
    conflicts: 0,
    in_force_ms_max: 0,
    reverted: 0,
    lost: 0,
    double_applied: 0,
    unknown: 0,
};

fn sights(seen: &[(u64, u64)]) -> Vec<Sight> {
    seen.iter()
        .map(|&(asked, revision)| Sight {
            asked: Millis(asked),
            revision,
        })
        .collect()
}

fn history(changes: &[&str]) -> Vec<Change> {
    let kept = |change: &&str| Change {
        revision: 0,
        key: "workspace/w".to_owned(),
        operator: "o".to_owned(),
        change: (*change).to_owned(),
        at: Millis::ZERO,
    };
    changes.iter().map(kept).collect()
}

/// Change `a` made revision 1 at 100 ms, change `b` revision 2 at 200 ms.
fn tally() -> Tally {
    let mut tally = Tally::default();
    for (change, revision, at) in [("a", 1, 100), ("b", 2, 200)] {
        let applied = Applied {
            revision,
            version: revision,
            already: false,
        };
        tally.ended(change, End::Accepted(applied), Millis(at));
    }
    tally
}

#[rstest]
#[case::at_once(&[(99, 0), (150, 1), (210, 2)], &["a", "b"], GOOD)]
#[case::late(&[(99, 0), (260, 1), (300, 2)], &["a", "b"], Findings { in_force_ms_max: 60, ..GOOD })]
#[case::went_back(&[(150, 1), (210, 2), (220, 1), (230, 2)], &["a", "b"],
    Findings { in_force_ms_max: 20, reverted: 1, ..GOOD })]
#[case::never_there(&[(150, 1)], &["a", "b"], Findings { lost: 1, ..GOOD })]
#[case::not_in_history(&[(210, 2)], &["b"], Findings { lost: 1, ..GOOD })]
#[case::twice_in_history(&[(210, 2)], &["a", "b", "b"], Findings { double_applied: 1, ..GOOD })]
fn findings(#[case] seen: &[(u64, u64)], #[case] changes: &[&str], #[case] expected: Findings) {
    let found = tally().findings(&[sights(seen)], &history(changes));
    assert_eq!(found, expected);
}
