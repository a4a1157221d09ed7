//! The settings of `woodgap-burn`: shifts and objectives.

use std::collections::BTreeMap;
use std::path::Path;

use jiff::civil::{Time, Weekday};

use crate::platform::Platform;
use crate::problem::Problems;
use crate::reader::{self, Section};
use crate::rule;

/// The objective of a class where the settings name none.
const OBJECTIVE: f64 = 0.95;

/// The largest objective: at 1 there is no error budget that could burn.
const MOST_OBJECTIVE: f64 = 0.9999;

/// All days of a week, for a shift that names none.
const WEEK: [Weekday; 7] = [
    Weekday::Monday,
    Weekday::Tuesday,
    Weekday::Wednesday,
    Weekday::Thursday,
    Weekday::Friday,
    Weekday::Saturday,
    Weekday::Sunday,
];

/// All settings of the report on service-level burn.
#[derive(Clone, Debug, PartialEq)]
pub struct Burn {
    /// The platform, whose table service holds the counts.
    pub platform: Platform,
    /// The shifts that goodput is counted by; may be empty.
    pub shifts: Vec<Shift>,
    /// The IANA time zone of the shifts and of the report's times.
    pub time_zone: String,
    /// What is aimed at.
    pub objectives: Objectives,
}

/// A part of the day in which a team is at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Unique among the shifts.
    pub name: String,
    /// Its start.
    pub from: Time,
    /// Its end, not included; at or before the start it is on the next day.
    pub to: Time,
    /// The days on which it starts, Monday first; never empty.
    pub days: Vec<Weekday>,
}

/// The share of each class's requests that shall meet their latency target.
#[derive(Clone, Debug, PartialEq)]
pub struct Objectives {
    /// For classes that are not named.
    pub default: f64,
    /// By class.
    pub classes: BTreeMap<String, f64>,
}

impl Objectives {
    /// The share aimed at for a class.
    pub fn of(&self, class: &str) -> f64 {
        self.classes.get(class).copied().unwrap_or(self.default)
    }
}

/// Reads the settings of the report; `file` is the name for messages.
///
/// # Errors
///
/// All problems of the text at once.
///
/// ```
/// let text = r#"{"platform": {"url": "http://127.0.0.1:8080"},
///   "time_zone": "Europe/Madrid",
///   "shifts": [{"name": "day", "from": "06:00", "to": "14:00"}],
///   "objectives": {"classes": {"certificate": 0.99}}}"#;
/// let burn = woodgap_settings::burn::parse(text, "burn.jsonc").unwrap();
/// assert_eq!(burn.shifts[0].days.len(), 7);
/// assert!(burn.objectives.of("certificate") > burn.objectives.of("draft-report"));
/// ```
pub fn parse(text: &str, file: &str) -> Result<Burn, Problems> {
    reader::read(text, file, read)
}

/// Reads the settings of the report from a file.
///
/// # Errors
///
/// All problems of the file at once, or the one that kept it from being read.
pub fn load(path: &Path) -> Result<Burn, Problems> {
    reader::load(path, read)
}

fn read(section: &Section) -> Option<Burn> {
    let platform = section.within("platform", Platform::read).flatten();
    let shifts = section.each("shifts", shift);
    let time_zone = section.required("time_zone", &rule::time_zone());
    let objectives = section.within("objectives", objectives);
    check_shifts(section, &shifts);
    Some(Burn {
        platform: platform?,
        shifts,
        time_zone: time_zone?,
        objectives: objectives?,
    })
}

fn shift(section: &Section) -> Option<Shift> {
    let name = section.required("name", &rule::name());
    let from = section.required("from", &rule::time());
    let to = section.required("to", &rule::time());
    let days = section.list("days", &rule::weekday());
    let mut days = days.unwrap_or_else(|| WEEK.to_vec());
    if days.is_empty() {
        section.reject(
            "days",
            "an empty list".to_owned(),
            "at least one day",
            "Leave `days` out for every day.",
        );
    }
    days.sort_by_key(|day| day.to_monday_zero_offset());
    days.dedup();
    Some(Shift {
        name: name?,
        from: from?,
        to: to?,
        days,
    })
}

fn objectives(section: &Section) -> Objectives {
    let rule = rule::share(MOST_OBJECTIVE);
    Objectives {
        default: section.or("default", &rule, OBJECTIVE),
        classes: section.map("classes", &rule),
    }
}

fn check_shifts(section: &Section, shifts: &[Shift]) {
    for (index, shift) in shifts.iter().enumerate() {
        for other in &shifts[..index] {
            if other.name == shift.name {
                section.reject(
                    "shifts",
                    format!("the name `{}` more than once", shift.name),
                    "a name of its own for each shift",
                    "Rename one, or join their `days`.",
                );
            }
            if overlap(other, shift) {
                section.reject(
                    "shifts",
                    format!("`{}` and `{}` at the same time", other.name, shift.name),
                    "shifts that follow one another",
                    "Let one end where the other starts.",
                );
            }
        }
    }
}

fn overlap(one: &Shift, other: &Shift) -> bool {
    let spans = |shift: &Shift| -> Vec<(i32, i32)> {
        shift.days.iter().map(|day| span(shift, *day)).collect()
    };
    let others = spans(other);
    spans(one)
        .iter()
        .any(|one| others.iter().any(|other| meet(*one, *other)))
}

/// Start and end of a shift in minutes of the week.
fn span(shift: &Shift, day: Weekday) -> (i32, i32) {
    const DAY: i32 = 24 * 60;
    let midnight = i32::from(day.to_monday_zero_offset()) * DAY;
    let minute = |time: Time| i32::from(time.hour()) * 60 + i32::from(time.minute());
    let (from, to) = (minute(shift.from), minute(shift.to));
    let length = if to > from {
        to - from
    } else {
        to - from + DAY
    };
    (midnight + from, midnight + from + length)
}

/// Whether two spans share a minute; Sunday night runs on into Monday.
fn meet(one: (i32, i32), other: (i32, i32)) -> bool {
    const WEEK: i32 = 7 * 24 * 60;
    [-WEEK, 0, WEEK]
        .iter()
        .any(|turn| one.0 < other.1 + turn && other.0 + turn < one.1)
}
