use std::collections::BTreeMap;

use woodgap_core::clock::Millis;

use super::{Act, Findings, compare};
use crate::record::Run;

fn run(started_ms: Option<u64>) -> Run {
    Run {
        request: String::new(),
        prompt_tag: None,
        started_ms: started_ms.map(Millis),
        ended_ms: None,
        tokens_sent: 0,
        resumed_from: None,
        end: "complete".to_owned(),
    }
}

#[test]
fn only_what_started_after_a_leave_is_new_work() {
    let lines = [
        r#"{"leave": {"url": "a", "at_ms": 100}}"#,
        r#"{"leave": {"url": "b", "at_ms": 100}}"#,
        r#"{"restart": {"name": "x", "exit": 0}}"#,
        r#"{"restart": {"name": "y", "exit": 137}}"#,
    ];
    let acts = lines.map(|line| serde_json::from_str::<Act>(line).unwrap());
    let records = BTreeMap::from([
        (
            "a".to_owned(),
            vec![run(Some(99)), run(Some(100)), run(None)],
        ),
        ("b".to_owned(), vec![run(Some(101)), run(Some(350))]),
    ]);
    let expected = Findings {
        restarts: 1,
        failed_stops: 1,
        leaves: 2,
        new_work_after_leave: 2,
        new_work_after_leave_ms_max: Millis(250),
    };
    assert_eq!(compare(&acts, &records), expected);
}
