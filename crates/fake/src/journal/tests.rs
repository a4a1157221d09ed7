use woodgap_core::clock::Millis;

use super::Journal;
use crate::record::{End, Run};

fn run(request: &str, end: End) -> Run<()> {
    Run {
        request: request.to_owned(),
        detail: (),
        arrived_ms: Millis(1),
        started_ms: Some(Millis(2)),
        ended_ms: None,
        tokens_sent: 0,
        resumed_from: None,
        while_leaving: false,
        end,
    }
}

#[test]
fn another_process_finds_the_runs_and_those_that_were_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("record");
    let (mut journal, runs) = Journal::open::<()>(&path).unwrap();
    assert!(runs.is_empty());
    journal.write(0, &run("a", End::Running));
    // Number 1 never started.
    journal.write(2, &run("b", End::Running));
    journal.write(0, &run("a", End::Complete));

    let (mut journal, runs) = Journal::open::<()>(&path).unwrap();
    journal.write(runs.len(), &run("c", End::Cancelled));
    let (_, runs) = Journal::open::<()>(&path).unwrap();
    let ends: Vec<_> = runs
        .iter()
        .map(|run| (run.request.as_str(), run.end))
        .collect();
    // The second process counts on from the runs that it found.
    assert_eq!(
        ends,
        [
            ("a", End::Complete),
            ("b", End::Crashed),
            ("c", End::Cancelled)
        ]
    );
}
