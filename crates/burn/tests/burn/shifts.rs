//! Shifts over the days on which the clock is changed.

use jiff::tz::TimeZone;
use rstest::rstest;
use woodgap_burn::options::value;
use woodgap_burn::report::{Report, Scope};
use woodgap_burn::shift::{Calendar, Occurrence};
use woodgap_burn::span::Span;
use woodgap_core::clock::Millis;

use crate::sample::{cell, rows, time};

fn calendar(shifts: &[&str], zone: &str) -> Calendar {
    let texts: Vec<String> = shifts.iter().map(|text| (*text).to_owned()).collect();
    Calendar {
        shifts: value::shifts(&texts).unwrap(),
        time_zone: TimeZone::get(zone).unwrap(),
    }
}

fn millis(text: &str) -> Millis {
    let time: jiff::Timestamp = text.parse().unwrap();
    Millis(u64::try_from(time.as_millisecond()).unwrap())
}

/// Start and end by the UTC clock, and the length in hours and minutes.
fn text(occurrence: &Occurrence) -> String {
    let clock = |unix: Millis| {
        let time = jiff::Timestamp::from_millisecond(i64::try_from(unix.0).unwrap()).unwrap();
        time.strftime("%dT%H:%M").to_string()
    };
    let span = occurrence.span;
    let (hours, minutes) = (span.len() / 60, span.len() % 60);
    format!(
        "{} {} {}..{} {hours}:{minutes:02}",
        occurrence.name,
        occurrence.date,
        clock(span.from()),
        clock(span.until())
    )
}

// In Spain the clock goes from 02:00 to 03:00 on 2026-03-29, and from 03:00
// back to 02:00 on 2026-10-25.
#[rstest]
#[case::usual("2026-03-27T00:00Z", "2026-03-28T00:00Z", &["day=06:00-14:00", "noon=14:00-22:00"],
    &["day 2026-03-27 27T05:00..27T13:00 8:00", "noon 2026-03-27 27T13:00..27T21:00 8:00"])]
#[case::after_the_skip("2026-03-29T00:00Z", "2026-03-29T12:00Z", &["day=06:00-14:00"],
    &["day 2026-03-29 29T04:00..29T12:00 8:00"])]
#[case::over_the_skip("2026-03-29T00:00Z", "2026-03-29T12:00Z", &["night=22:00-06:00"],
    &["night 2026-03-28 28T21:00..29T04:00 7:00"])]
#[case::starts_in_the_skip("2026-03-29T00:00Z", "2026-03-29T12:00Z", &["early=02:30-06:00"],
    &["early 2026-03-29 29T01:30..29T04:00 2:30"])]
#[case::within_the_skip("2026-03-29T00:00Z", "2026-03-29T12:00Z", &["odd=02:00-03:00"], &[])]
#[case::over_the_repeat("2026-10-25T00:00Z", "2026-10-25T12:00Z", &["night=22:00-06:00"],
    &["night 2026-10-24 24T20:00..25T05:00 9:00"])]
#[case::meet_in_the_repeat("2026-10-25T00:00Z", "2026-10-25T04:00Z", &["late=22:00-02:30", "early=02:30-06:00"],
    &["late 2026-10-24 24T20:00..25T00:30 4:30", "early 2026-10-25 25T00:30..25T05:00 4:30"])]
#[case::only_some_days("2026-03-27T00:00Z", "2026-03-31T00:00Z", &["day=06:00-14:00@mon-fri"],
    &["day 2026-03-27 27T05:00..27T13:00 8:00", "day 2026-03-30 30T04:00..30T12:00 8:00"])]
#[case::days_over_the_weekend("2026-03-27T00:00Z", "2026-03-31T00:00Z", &["day=06:00-14:00@sat-mon"],
    &["day 2026-03-28 28T05:00..28T13:00 8:00", "day 2026-03-29 29T04:00..29T12:00 8:00",
      "day 2026-03-30 30T04:00..30T12:00 8:00"])]
fn occurrences(
    #[case] from: &str,
    #[case] until: &str,
    #[case] shifts: &[&str],
    #[case] expected: &[&str],
) {
    let calendar = calendar(shifts, "Europe/Madrid");
    let span = Span::touched(millis(from), millis(until));
    let found: Vec<String> = calendar.occurrences(span).iter().map(text).collect();
    assert_eq!(found, expected);
}

#[test]
fn goodput_counts_in_the_shift_in_which_a_request_ended() {
    // One request met its target in each minute from 11:00 to 13:00 UTC.
    let rows = rows("entry-1", -60..60, &[cell(1, "certificate", 1, 1)]);
    let mut scope = Scope::between(time(-30), time(60));
    let shifts = ["day=08:00-14:00", "noon=14:00-14:20", "late=14:30-22:00"];
    scope.calendar = calendar(&shifts, "Europe/Madrid");
    let report = Report::from_rows(&rows, &scope);
    let turns = report.shifts.iter();
    let goodput: Vec<(&str, u64, bool)> = turns
        .map(|turn| (turn.name.as_str(), turn.total.goodput, turn.running))
        .collect();
    // The day shift is counted whole, also before the report's start.
    let expected = [("day", 60, false), ("noon", 20, false), ("late", 30, true)];
    assert_eq!(goodput, expected);
    assert_eq!(report.outside_shifts.unwrap().goodput, 10);
}
