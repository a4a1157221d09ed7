//! The forms of a report, and the command line.

use bpaf::ParseFailure;
use jiff::tz::TimeZone;
use rstest::rstest;
use woodgap_burn::command;
use woodgap_burn::options::parser;
use woodgap_burn::render;
use woodgap_burn::report::{Report, Scope};

use crate::sample::{NOON, cell, fleet, rows, time};

fn madrid() -> TimeZone {
    TimeZone::get("Europe/Madrid").unwrap()
}

fn arguments<'a>(more: &[&'a str]) -> Vec<&'a str> {
    [&["--platform", "http://127.0.0.1:1"], more].concat()
}

/// The hour from noon on, with two shifts of a plant in Spain.
fn scope() -> Scope {
    let shifts = ["--shift", "day=06:00-14:00", "--shift", "noon=14:00-22:00"];
    let more = [
        "--time-zone",
        "Europe/Madrid",
        "--objective",
        "receipt=0.99",
        "--window",
        "1h",
        "--window",
        "5m",
    ];
    let arguments = arguments(&[&shifts[..], &more].concat());
    let options = parser().run_inner(&*arguments).unwrap();
    command::scope(&options, time(60)).unwrap()
}

#[test]
fn table() {
    let report = Report::from_rows(&fleet(), &scope());
    insta::assert_snapshot!(render::table::render(&report, &madrid()));
}

#[test]
fn table_of_nothing() {
    let report = Report::from_rows(&[], &Scope::between(time(0), time(60)));
    insta::assert_snapshot!(render::table::render(&report, &TimeZone::UTC));
}

#[test]
fn table_with_an_alarm() {
    let rows = rows("entry-1", 0..60, &[cell(1, "receipt", 10, 1)]);
    let report = Report::from_rows(&rows, &Scope::between(time(0), time(60)));
    insta::assert_snapshot!(render::table::render(&report, &TimeZone::UTC));
}

#[test]
fn json() {
    let report = Report::from_rows(&fleet(), &scope());
    let mut report = serde_json::to_value(&report).unwrap();
    // Sixty points by class: two show the form.
    let points = report["series"]["points"].as_array_mut().unwrap();
    assert_eq!(points.len(), 120);
    points.truncate(2);
    insta::assert_json_snapshot!(report);
}

#[test]
fn plot() {
    let mut rows = fleet();
    for row in &mut rows {
        row.cells[0].key.class = "<receipt> & more".into();
    }
    let report = Report::from_rows(&rows, &scope());
    let svg = render::plot::render(&report, &madrid()).unwrap();
    assert!(svg.starts_with("<svg ") && svg.trim_end().ends_with("</svg>"));
    // Texts stand as texts, so that the reader's fonts draw them.
    let texts = svg
        .lines()
        .filter(|line| !line.starts_with('<') && line.chars().any(char::is_alphanumeric));
    let texts: Vec<&str> = texts.collect();
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn a_plot_of_nothing() {
    let mut scope = Scope::between(time(0), time(60));
    scope.windows.clear();
    let report = Report::from_rows(&[], &scope);
    assert!(render::plot::render(&report, &TimeZone::UTC).is_ok());
}

#[rstest]
#[case::no_platform(&[], "--platform")]
#[case::platform(&["--platform", "127.0.0.1:80"], "--platform")]
#[case::since(&["--since", "noon"], "--since")]
#[case::until(&["--until", "5x"], "--until")]
#[case::timeout(&["--timeout", "0s"], "--timeout")]
#[case::objective(&["--objective", "1"], "--objective")]
#[case::objective_of_a_class(&["--objective", "receipt=x"], "--objective")]
#[case::objective_twice(&["--objective", "0.9", "--objective", "0.8"], "--objective")]
#[case::window(&["--window", "90s"], "--window")]
#[case::long_window(&["--window", "31d"], "--window")]
#[case::shift(&["--shift", "day=6-14"], "--shift")]
#[case::shift_days(&["--shift", "day=06:00-14:00@monday"], "--shift")]
#[case::shift_twice(&["--shift", "a=06:00-14:00", "--shift", "a=14:00-22:00"], "--shift")]
#[case::time_zone(&["--time-zone", "Atlantis/Capital"], "--time-zone")]
#[case::format(&["--format", "xml"], "--format")]
#[case::settings(&["--settings", "no-such-file.jsonc"], "--settings")]
#[case::unknown(&["--colour"], "--colour")]
fn a_wrong_option_is_named(#[case] arguments: &[&str], #[case] option: &str) {
    let complete = self::arguments(arguments);
    let lone = arguments.is_empty() || arguments.contains(&"--platform");
    let arguments = if lone { arguments } else { &complete };
    match parser().run_inner(arguments) {
        Err(ParseFailure::Stderr(message)) => {
            let message = message.monochrome(true);
            assert!(message.contains(option), "{message}");
        }
        other => panic!("{other:?}"),
    }
}

const SITE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../samples/navarra-aragon/burn.jsonc"
);

#[test]
fn settings_fill_what_the_command_line_leaves_open() {
    let options = parser().run_inner(&["--settings", SITE]).unwrap();
    assert_eq!(options.platform, "http://10.2.0.2:8080");
    assert_eq!(options.shifts.len(), 2);
    assert_eq!(options.time_zone, madrid());
    assert!((options.objectives.of(&"certificate".into()) - 0.99).abs() < f64::EPSILON);
}

#[test]
fn the_command_line_goes_before_the_settings() {
    let arguments = [
        "--settings",
        SITE,
        "--shift",
        "night=22:00-06:00",
        "--objective",
        "0.9",
    ];
    let options = parser().run_inner(&*self::arguments(&arguments)).unwrap();
    assert_eq!(options.platform, "http://127.0.0.1:1");
    assert_eq!(options.shifts[0].name, "night");
    assert!((options.objectives.of(&"certificate".into()) - 0.9).abs() < f64::EPSILON);
}

#[rstest]
#[case::backwards(&["--since", "5m", "--until", "10m"], "--since")]
#[case::empty(&["--since", "0m"], "--since")]
#[case::future(&["--until", "2026-03-29T12:00:01Z"], "--until")]
fn times_that_make_no_span(#[case] arguments: &[&str], #[case] option: &str) {
    let options = parser().run_inner(&*self::arguments(arguments)).unwrap();
    let error = command::scope(&options, NOON).unwrap_err();
    assert!(error.is_misuse());
    assert!(error.to_string().starts_with(option), "{error}");
}
