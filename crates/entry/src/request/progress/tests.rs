use rstest::rstest;

use super::{Fault, Progress, Step};
use crate::endpoint::Chunk;

/// Feeds `offset text` events; the text `end` finishes the answer.
fn feed(progress: &mut Progress, events: &[(u64, &str)]) -> Result<Vec<Step>, Fault> {
    let mut cursor = progress.attempt();
    let mut steps = Vec::new();
    for (offset, text) in events {
        let reason = if *text == "end" { "\"stop\"" } else { "null" };
        let data = format!(r#"{{"choices":[{{"text":"{text}","finish_reason":{reason}}}]}}"#);
        steps.push(cursor.take(*offset, &Chunk::parse(&data).unwrap())?);
    }
    Ok(steps)
}

const FIRST: &[(u64, &str)] = &[(1, "a"), (2, "b")];

/// A second attempt after `FIRST`.
#[rstest]
#[case::resumed(&[(3, "c"), (4, "end")], Ok(vec![Step::New, Step::New]))]
#[case::event_twice(&[(3, "c"), (3, "c"), (4, "end")], Ok(vec![Step::New, Step::Old, Step::New]))]
#[case::started_over(&[(1, "a"), (2, "b"), (3, "c")], Ok(vec![Step::Old, Step::Old, Step::New]))]
#[case::started_over_differently(&[(1, "a"), (2, "x"), (3, "c")], Err(Fault::Differs))]
#[case::differently_at_first(&[(1, "x"), (2, "b"), (3, "c")], Err(Fault::Differs))]
#[case::same_text_otherwise_cut(&[(1, "ab"), (2, ""), (3, "c")], Err(Fault::Differs))]
#[case::from_the_middle(&[(2, "b"), (3, "c")], Err(Fault::Gap { last: 0, found: 2 }))]
#[case::gap_at_the_start(&[(4, "d")], Err(Fault::Gap { last: 0, found: 4 }))]
#[case::gap_later(&[(3, "c"), (5, "e")], Err(Fault::Gap { last: 3, found: 5 }))]
#[case::offset_zero(&[(0, "a")], Ok(vec![Step::Old]))]
fn another_attempt(#[case] events: &[(u64, &str)], #[case] expected: Result<Vec<Step>, Fault>) {
    let mut progress = Progress::default();
    feed(&mut progress, FIRST).unwrap();
    assert_eq!(progress.resume_after(), Some(2));
    assert_eq!(feed(&mut progress, events), expected);
    if expected.is_ok() {
        assert_eq!(progress.finished(), events.contains(&(4, "end")));
    }
}

#[test]
fn an_engine_that_can_t_resume_is_asked_from_the_start() {
    let mut progress = Progress::default();
    assert_eq!(progress.resume_after(), None);
    feed(&mut progress, FIRST).unwrap();
    progress.start_over();
    assert_eq!((progress.resume_after(), progress.offset()), (None, 2));
}
