use rstest::rstest;
use serde_json::json;
use woodgap_platform::table::Write;

use super::*;

fn change(key: &str, over: u64, value: Option<Value>) -> Change {
    Change {
        place: Place::new("claims", key),
        over,
        value,
    }
}

const COMMITTED: fn(u64) -> Fate = |version| Fate::Settled(Written::Committed(version));
const CONFLICT: Fate = Fate::Settled(Written::Conflict);
const UNKNOWN: Fate = Fate::Settled(Written::Unknown);
const UNAVAILABLE: Fate = Fate::Settled(Written::Unavailable);

fn conflict(failed: &[usize]) -> Outcome {
    Outcome::Conflict {
        failed: failed.to_vec(),
    }
}

fn committed(versions: &[u64]) -> Outcome {
    Outcome::Committed {
        versions: versions.to_vec(),
    }
}

#[rstest]
#[case::all_written(Ok(committed(&[4, 0, 6])), [COMMITTED(4), COMMITTED(0), COMMITTED(6)])]
#[case::one_conflict(Ok(conflict(&[1])), [Fate::Again, CONFLICT, Fate::Again])]
#[case::all_in_conflict(Ok(conflict(&[0, 1, 2])), [CONFLICT; 3])]
#[case::conflict_without_names(Ok(conflict(&[])), [CONFLICT; 3])]
#[case::conflict_of_nothing_asked(Ok(conflict(&[9])), [CONFLICT; 3])]
#[case::versions_missing(Ok(committed(&[4])), [UNKNOWN; 3])]
#[case::no_answer(Err(Error::Unknown(String::new())), [UNKNOWN; 3])]
#[case::too_large(Err(Error::TooLarge), [UNKNOWN; 3])]
#[case::out(Err(Error::Unavailable(String::new())), [UNAVAILABLE; 3])]
#[case::malformed(Err(Error::Rejected(String::new())), [UNAVAILABLE; 3])]
fn each_change_has_its_fate(#[case] result: Result<Outcome, Error>, #[case] expected: [Fate; 3]) {
    assert_eq!(fates(3, &result), expected);
}

#[test]
fn a_transaction_checks_and_writes_each_row() {
    let changes = [change("a", 0, Some(json!(1))), change("b", 7, None)];
    let transaction = transaction(&changes);
    let checked: Vec<_> = transaction
        .checks
        .iter()
        .map(|check| check.version)
        .collect();
    assert_eq!(checked, [0, 7]);
    let place = |key| Place::new("claims", key);
    let put = Write {
        place: place("a"),
        value: Some(json!(1)),
    };
    let delete = Write {
        place: place("b"),
        value: None,
    };
    assert_eq!(transaction.writes, [put, delete]);
}

#[rstest]
#[case::all(&["a", "b"], 9, &["a", "b"], &[])]
#[case::at_most(&["a", "b", "c"], 2, &["a", "b"], &["c"])]
#[case::one_of_each_row(&["a", "b", "a", "c"], 9, &["a", "b", "c"], &["a"])]
fn a_batch_is_taken(
    #[case] queue: &[&str],
    #[case] most: usize,
    #[case] taken: &[&str],
    #[case] left: &[&str],
) {
    let mut queue: Vec<Place> = queue.iter().map(|key| Place::new("claims", key)).collect();
    let batch = take(&mut queue, most, |place| place);
    let keys = |places: &[Place]| -> Vec<String> {
        places.iter().map(|place| place.key.clone()).collect()
    };
    assert_eq!(keys(&batch), taken);
    assert_eq!(keys(&queue), left);
}
