use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use woodgap_core::clock::Millis;

use super::{Findings, Recorder, Report};
use crate::answer::Faults;
use crate::event::{Attempt, End, Event, How};
use crate::traffic::Kind;

fn event(class: &str, tier: u8, end: End, how: How, delay: f64) -> Event {
    let is_complete = end == End::Complete;
    Event {
        tag: "r-1".to_owned(),
        class: class.to_owned(),
        tier,
        workspace: "murphy".to_owned(),
        target: "story-7b".to_owned(),
        kind: Kind::Chat,
        repeatable: true,
        identity: false,
        length: 5,
        sent_at: Millis(0),
        end,
        met: is_complete && delay <= 100.0,
        attempts: vec![Attempt {
            entry: "http://127.0.0.1:1".to_owned(),
            at: Millis(0),
            ended_at: Millis(1),
            how,
            verdict: None,
            code: None,
        }],
        first_token_ms: is_complete.then_some(delay / 2.0),
        complete_ms: is_complete.then_some(delay),
        tokens: 5,
        faults: Faults {
            crossed: how == How::Wrong,
            ..Faults::default()
        },
    }
}

fn findings() -> Findings {
    let mut gaps = Recorder::default();
    gaps.add(Duration::from_millis(20));
    Findings {
        run: "r".to_owned(),
        seed: 1,
        span: Duration::from_secs(10),
        events: vec![
            event("links", 1, End::Complete, How::Complete, 40.0),
            event("links", 1, End::Complete, How::Complete, 90.0),
            event("links", 1, End::Complete, How::Complete, 120.0),
            event("captions", 2, End::RefusedNotRun, How::Refused, 0.0),
            event("captions", 2, End::MayHaveRun, How::Refused, 0.0),
            event("captions", 2, End::Lost, How::Broken, 0.0),
            event("captions", 2, End::Lost, How::Wrong, 0.0),
            event("captions", 2, End::Complete, How::Complete, 80.0),
        ],
        gaps: BTreeMap::from([("captions".to_owned(), gaps)]),
        bursting: BTreeSet::from(["captions".to_owned()]),
    }
}

#[test]
fn table() {
    insta::assert_snapshot!(Report::new(&findings()).to_string());
}

#[test]
fn json() {
    insta::assert_json_snapshot!(Report::new(&findings()));
}

#[test]
fn totals_add_up() {
    let totals = Report::new(&findings()).totals;
    let ends = totals.complete + totals.refused_not_run + totals.may_have_run + totals.lost;
    assert_eq!(totals.sent, ends);
    assert!(!totals.all_well());
}
