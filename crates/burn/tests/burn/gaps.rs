//! What is missing, entry by entry.

use rstest::rstest;
use woodgap_burn::gap::Gap;
use woodgap_burn::report::{Report, Scope};
use woodgap_burn::tally::Tally;
use woodgap_core::burn::Row;

use crate::sample::{at, row, time};

/// An hour from noon on, and what one entry recorded of it.
#[rstest]
#[case::whole(&[(0, 60)], None, None, &[])]
#[case::writes_a_minute_late(&[(0, 57)], None, None, &[])]
#[case::just_too_late(&[(0, 56)], None, None, &["stopped 55"])]
#[case::died(&[(0, 30)], None, None, &["stopped 29"])]
#[case::ended_cleanly(&[(0, 30)], None, Some(29), &[])]
#[case::went_on_after_its_end(&[(0, 30)], None, Some(20), &["stopped 29"])]
#[case::a_hole(&[(0, 10), (13, 60)], None, None, &["hole 10-13"])]
#[case::two_holes_and_an_end(&[(0, 10), (11, 20), (25, 30)], None, None, &["hole 10-11", "hole 20-25", "stopped 29"])]
#[case::started_later(&[(40, 60)], Some(40), None, &[])]
#[case::first_minutes_missing(&[(40, 60)], Some(35), None, &["hole 35-40"])]
#[case::started_before_the_report(&[(0, 60)], Some(-5_000), None, &[])]
#[case::first_minutes_missing_since_the_report_begins(&[(5, 60)], Some(-5_000), None, &["hole 0-5"])]
fn gaps_of_a_life(
    #[case] recorded: &[(i64, i64)],
    #[case] started: Option<i64>,
    #[case] last: Option<i64>,
    #[case] expected: &[&str],
) {
    let minutes = recorded.iter().flat_map(|(first, end)| *first..*end);
    let rows: Vec<Row> = minutes
        .map(|minute| Row {
            started: started.map(at),
            last: last == Some(minute),
            ..row("entry-1", at(minute), &[])
        })
        .collect();
    let mut scope = Scope::between(time(0), time(60));
    scope.windows.clear();
    let report = Report::from_rows(&rows, &scope);
    let found: Vec<String> = report.missing.iter().map(short).collect();
    assert_eq!(found, expected);
}

#[test]
fn what_was_not_read_is_no_gap_of_an_entry() {
    let mut tally = Tally::default();
    for minute in 0..20 {
        tally.add(&row("entry-1", at(minute), &[]));
    }
    tally.cut(at(19));
    let report = Report::from_tally(&tally, &Scope::between(time(0), time(60)));
    assert_eq!(report.missing, []);
}

fn short(gap: &Gap) -> String {
    let minute = |unix: &woodgap_core::clock::Millis| unix.0 / 60_000 - at(0);
    match gap {
        Gap::Stopped { at, .. } => format!("stopped {}", minute(at)),
        Gap::Hole { from, until, .. } => format!("hole {}-{}", minute(from), minute(until)),
        other => panic!("{other:?}"),
    }
}
