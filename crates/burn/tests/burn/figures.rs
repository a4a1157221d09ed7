//! Sums, shares, windows and alarms.

use rstest::rstest;
use woodgap_burn::figure::Figure;
use woodgap_burn::report::{Report, Scope};
use woodgap_burn::tally::Tally;
use woodgap_burn::window::{Level, Window};
use woodgap_core::burn::Count;

use crate::sample::{at, cell, fleet, row, rows, time};

#[rstest]
#[case::nothing(0, 0, 0, None, None)]
#[case::all_met(10, 0, 10, Some(1.0), Some(0.0))]
#[case::half_met(10, 0, 5, Some(0.5), Some(10.0))]
#[case::callers_left(10, 5, 5, Some(1.0), Some(0.0))]
#[case::all_left(10, 10, 0, None, None)]
fn attainment_and_burn(
    #[case] ended: u64,
    #[case] abandoned: u64,
    #[case] met: u64,
    #[case] attainment: Option<f64>,
    #[case] burn: Option<f64>,
) {
    let count = Count {
        ended,
        abandoned,
        met,
        ..Count::default()
    };
    let figure = Figure::new(&count, 0.95);
    assert_eq!(figure.attainment, attainment);
    let rounded = figure.burn.map(|burn| (burn * 1e6).round() / 1e6);
    assert_eq!(rounded, burn);
}

#[test]
fn the_span_leaves_out_its_end() {
    let rows = rows("entry-1", -10..10, &[cell(1, "receipt", 1, 1)]);
    let report = Report::from_rows(&rows, &Scope::between(time(-5), time(5)));
    assert_eq!(report.total.count.ended, 10);
}

#[test]
fn the_total_burns_by_the_objectives_of_its_classes() {
    let rows = [row(
        "entry-1",
        at(0),
        &[cell(1, "receipt", 100, 99), cell(2, "caption", 100, 90)],
    )];
    let mut scope = Scope::between(time(0), time(1));
    scope.objectives.default = 0.9;
    scope.objectives.classes.insert("receipt".into(), 0.99);
    let report = Report::from_rows(&rows, &scope);
    // Each class has missed just what it may.
    let burns = report.lines.iter().map(|line| line.figure.burn);
    for burn in burns.chain([report.total.burn]) {
        assert!((burn.unwrap() - 1.0).abs() < 1e-9, "{burn:?}");
    }
}

#[test]
fn classes_are_summed_over_tiers() {
    let cells = [cell(1, "receipt", 4, 4), cell(3, "receipt", 4, 0)];
    let rows = [row("entry-1", at(0), &cells)];
    let report = Report::from_rows(&rows, &Scope::between(time(0), time(1)));
    assert_eq!(report.lines.len(), 2);
    assert_eq!(report.classes.len(), 1);
    assert_eq!(report.classes[0].figure.attainment, Some(0.5));
}

#[test]
fn one_workspace_alone() {
    let mut other = cell(1, "receipt", 7, 0);
    other.key.workspace = "album".into();
    let mut merged = cell(1, "receipt", 5, 0);
    merged.key = merged.key.merged();
    let row = row("entry-1", at(0), &[cell(1, "receipt", 3, 3), other, merged]);
    let mut tally = Tally::new(Some("stories".into()));
    tally.add(&row);
    let report = Report::from_tally(&tally, &Scope::between(time(0), time(1)));
    assert_eq!(report.total.count.ended, 3);
    let missing = serde_json::to_value(&report.missing).unwrap();
    assert_eq!(
        missing,
        serde_json::json!([{"kind": "merged", "requests": 5}])
    );
}

/// Minutes of a bad spell that ended at the report's end, and the alarm.
#[rstest]
#[case::calm(0, 0, None)]
#[case::a_blip(2, 100, None)]
#[case::a_fast_burn(15, 100, Some((Level::Page, 5, 60)))]
#[case::a_slow_burn(240, 10, Some((Level::Page, 60, 360)))]
#[case::a_creeping_burn(1_440, 4, Some((Level::Ticket, 360, 1_440)))]
fn an_alarm_needs_two_windows(
    #[case] bad_minutes: i64,
    #[case] missed: u64,
    #[case] expected: Option<(Level, u64, u64)>,
) {
    let good = [cell(1, "receipt", 100, 100)];
    let bad = [cell(1, "receipt", 100, 100 - missed)];
    let mut all = rows("entry-1", -1_440..-bad_minutes, &good);
    all.extend(rows("entry-1", -bad_minutes..0, &bad));
    let mut scope = Scope::between(time(-60), time(0));
    scope.objectives.default = 0.99;
    let report = Report::from_rows(&all, &scope);
    let alarms = report.alarms();
    let alarm = alarms.first().map(|(_, alarm)| alarm);
    let found = alarm.map(|alarm| (alarm.level, alarm.short_minutes, alarm.long_minutes));
    assert_eq!(found, expected);
}

#[rstest]
#[case(5, "5m", 172.8)]
#[case(60, "1h", 14.4)]
#[case(90, "90m", 24.0)]
#[case(360, "6h", 6.0)]
#[case(1_440, "1d", 3.0)]
fn windows_and_their_thresholds(#[case] minutes: u64, #[case] name: &str, #[case] threshold: f64) {
    let window = Window::new(minutes).unwrap();
    assert_eq!(window.to_string(), name);
    assert!((window.threshold() - threshold).abs() < 1e-9);
}

#[test]
fn a_window_tells_how_much_of_it_was_recorded() {
    let scope = Scope::between(time(0), time(60));
    let report = Report::from_rows(&fleet(), &scope);
    let covered: Vec<u64> = report.windows.iter().map(|cover| cover.covered).collect();
    assert_eq!(covered, [5, 60, 90, 90]);
}
