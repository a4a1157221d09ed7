//! The report on logs, from the lines to the table.

use std::io::Write;

use rstest::rstest;
use woodgap_causes::cause::{Cause, Verdict, judge};
use woodgap_causes::command;
use woodgap_causes::line::{Ended, Line};
use woodgap_causes::options::Options;
use woodgap_causes::render;
use woodgap_causes::tally::Tally;

/// A line as a relay writes it; the fields that matter differ from case to case.
fn line(second: u64, fields: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-03-15T19:34:{second:02}.5Z","level":"INFO","message":"request ended","kvs":{{{fields}}}}}"#
    )
}

const SERVED: &str = r#""outcome":"complete","status":200,"reason":"","route":"draft","endpoint":"i-1","took_ms":1500,"first_byte_ms":200,"target_ms":600,"gap_ms":300,"longest_pause_ms":90,"expected_wait_ms":180,"queue_ms":100"#;

fn with(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(SERVED.to_owned(), |line, (from, to)| {
        assert!(line.contains(from), "{from}");
        line.replace(from, to)
    })
}

const LATE: (&str, &str) = (r#""first_byte_ms":200"#, r#""first_byte_ms":900"#);
const CUT: (&str, &str) = (r#""complete""#, r#""cut""#);
const FAILED: (&str, &str) = (r#""complete""#, r#""failed""#);

#[rstest]
#[case::on_time(&[], Verdict::OnTime)]
#[case::behind_others(&[LATE, (":180", ":700"), (":100", ":500")], Verdict::Lost(Cause::Queue))]
#[case::own_prompt(&[LATE, (":180", ":700"), (":100", ":50")], Verdict::Lost(Cause::Prompt))]
#[case::not_foreseen(&[LATE], Verdict::Lost(Cause::Unforeseen))]
#[case::long_pause(&[(r#"pause_ms":90"#, r#"pause_ms":301"#)], Verdict::Lost(Cause::Pause))]
#[case::error(&[(r#""status":200"#, r#""status":500"#)], Verdict::Lost(Cause::Error))]
#[case::reset(&[CUT, (r#""reason":"""#, r#""reason":"cut off: reset""#)], Verdict::Lost(Cause::Crash))]
#[case::out_of_time(&[CUT, (r#""reason":"""#, r#""reason":"no answer in time""#)], Verdict::Lost(Cause::Deadline))]
#[case::turned_away(&[FAILED, (r#""reason":"""#, r#""reason":"overloaded: 900 ms""#)], Verdict::Lost(Cause::Refusal))]
#[case::no_plan(&[FAILED, (r#""reason":"""#, r#""reason":"not_ready: none""#)], Verdict::Lost(Cause::Platform))]
#[case::stopping(&[FAILED, (r#""reason":"""#, r#""reason":"stopping: soon""#)], Verdict::Lost(Cause::Stop))]
#[case::crashes_endpoints(&[FAILED, (r#""reason":"""#, r#""reason":"withheld: 3 endpoints""#)], Verdict::Lost(Cause::Withheld))]
#[case::entry_ended(&[CUT, (r#""reason":"""#, r#""reason":"this entry ended""#)], Verdict::Lost(Cause::Stop))]
#[case::no_key(&[FAILED, (r#""reason":"""#, r#""reason":"unknown_key: none""#)], Verdict::NotOwed)]
#[case::gone_midway(&[(r#""complete""#, r#""abandoned""#)], Verdict::Lost(Cause::Caller))]
#[case::gone_waiting(
    &[(r#""complete""#, r#""abandoned""#), (r#""first_byte_ms":200"#, r#""first_byte_ms":0"#)],
    Verdict::Lost(Cause::Unforeseen)
)]
fn each_loss_has_its_cause(#[case] changes: &[(&str, &str)], #[case] verdict: Verdict) {
    let Line::Ended(_, ended) = Line::read(&line(1, &with(changes))) else {
        panic!("it is the end of a request");
    };
    assert_eq!(judge(&ended), verdict);
}

#[rstest]
#[case::not_json("2026-03-15 a line of something else")]
#[case::cut_off(r#"{"timestamp":"2026-03-15T19:34:16Z","mess"#)]
#[case::no_time(r#"{"message":"request ended","kvs":{}}"#)]
#[case::wrong_field(
    r#"{"timestamp":"2026-03-15T19:34:16Z","message":"request ended","kvs":{"took_ms":"soon"}}"#
)]
fn lines_that_are_none_are_told(#[case] text: &str) {
    assert_eq!(Line::read(text), Line::Malformed);
}

fn some_minutes() -> Tally {
    let mut tally = Tally::default();
    for second in 10..40 {
        tally.add(&line(second, &with(&[])));
        if second < 20 {
            tally.add(&line(second, &with(&[LATE])));
        }
        if second == 15 {
            let refused = [FAILED, (r#""reason":"""#, r#""reason":"overloaded: x""#)];
            tally.add(&format!("instance-3 {}", line(second, &with(&refused))));
            tally.add("not a line");
        }
    }
    tally
}

#[test]
fn the_table() {
    insta::assert_snapshot!(render::table::render(&some_minutes(), 3));
}

#[test]
fn the_same_as_json() {
    let tally = some_minutes();
    let told: serde_json::Value = serde_json::to_value(&tally).unwrap();
    assert_eq!(told["all"]["owed"], 41);
    assert_eq!(told["all"]["lost"]["unforeseen"], 10);
    assert_eq!(told["routes"]["draft"]["lost"]["refusal"], 1);
    assert_eq!(told["malformed"], 1);
}

#[test]
fn the_plot_has_a_colour_for_each_cause() {
    let svg = render::plot::render(&some_minutes()).unwrap();
    for cause in Cause::ALL {
        assert!(svg.contains(cause.word()), "{}", cause.word());
    }
}

/// Days of logs and thousands of endpoints are counted in the same memory.
#[test]
fn memory_is_bounded() {
    let mut tally = Tally::default();
    for number in 0..20_000_u64 {
        let minute = number % 60;
        let hour = number / 60 % 24;
        let day = 1 + number / 1_440 % 14;
        let ended = with(&[(r#""i-1""#, &format!(r#""i-{number}""#))]);
        let at = format!("2026-03-{day:02}T{hour:02}:{minute:02}:00Z");
        tally.add(&line(0, &ended).replace("2026-03-15T19:34:00.5Z", &at));
    }
    assert_eq!(tally.all.owed, 20_000);
    assert!(tally.steps.len() <= 600);
    assert!(tally.endpoints.len() <= 5_001);
    let by_endpoint: u64 = tally.endpoints.values().map(|count| count.owed).sum();
    let by_time: u64 = tally.steps.values().map(|count| count.owed).sum();
    assert_eq!((by_endpoint, by_time), (20_000, 20_000));
}

#[test]
fn a_line_without_an_end_is_one_malformed_line() {
    let mut log = tempfile::NamedTempFile::new().unwrap();
    log.write_all(&vec![b'x'; 1_000_000]).unwrap();
    writeln!(log, "\n{}", line(1, SERVED)).unwrap();
    let options = Options {
        json: true,
        svg: None,
        top: 1,
        logs: vec![log.path().to_owned()],
    };
    let mut out = Vec::new();
    command::run(&options, &mut out).unwrap();
    let told: serde_json::Value = serde_json::from_slice(&out).unwrap();
    assert_eq!(
        (&told["malformed"], &told["all"]["owed"]),
        (&1.into(), &1.into())
    );
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let options = Options {
        json: false,
        svg: None,
        top: 1,
        logs: vec!["no-such.log".into()],
    };
    let error = command::run(&options, &mut Vec::new()).unwrap_err();
    assert!(error.to_string().starts_with("no-such.log: "), "{error}");
}

#[test]
fn missing_fields_are_nothing() {
    let Line::Ended(_, ended) = Line::read(&line(1, r#""outcome":"failed""#)) else {
        panic!("it is the end of a request");
    };
    assert_eq!(judge(&ended), Verdict::NotOwed);
    assert_eq!(ended.endpoint, Ended::default().endpoint);
}
