//! Values of options, read from the text that the operator wrote.

use std::time::Duration;

use jiff::civil::{Time, Weekday};
use jiff::tz::TimeZone;

use crate::objective::Objectives;
use crate::options::moment::span;
use crate::shift::Shift;
use crate::window::Window;

/// The days of a week as they are written, Monday first.
const DAYS: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

/// Reads the base URL of the platform.
///
/// # Errors
///
/// Says what a base URL looks like.
pub fn url(text: &str) -> Result<String, String> {
    let host = text.strip_prefix("http://").unwrap_or_default();
    if host.is_empty() || host.starts_with('/') || text.contains(char::is_whitespace) {
        return Err(format!(
            "{text:?} is not a base URL, as http://127.0.0.1:8080"
        ));
    }
    Ok(text.to_owned())
}

/// Reads a timeout.
///
/// # Errors
///
/// Says which spans are understood.
pub fn timeout(text: &str) -> Result<Duration, String> {
    span(text)
        .filter(|span| span.0 > 0)
        .map(|span| Duration::from_millis(span.0))
        .ok_or_else(|| format!("{text:?} is not a span, as 10s"))
}

/// Reads objectives: shares, or shares of a class.
///
/// # Errors
///
/// Names the text that is wrong, or that says the same thing a second time.
pub fn objectives(texts: &[String]) -> Result<Objectives, String> {
    let mut objectives = Objectives::default();
    let mut default = None;
    for text in texts {
        let earlier = match text.rsplit_once('=') {
            None => default.replace(share(text)?),
            Some((class, text)) => objectives.classes.insert(class.into(), share(text)?),
        };
        if earlier.is_some() {
            return Err(format!("{text:?} repeats what was set before"));
        }
    }
    objectives.default = default.unwrap_or(Objectives::DEFAULT);
    Ok(objectives)
}

fn share(text: &str) -> Result<f64, String> {
    let share = text.parse().ok();
    share
        .filter(|share| *share > 0.0 && *share <= Objectives::MOST)
        .ok_or_else(|| format!("{text:?} is not above 0 and at most {}", Objectives::MOST))
}

/// Reads windows, and puts them into order.
///
/// # Errors
///
/// Names the text that is not a span of minutes.
pub fn windows(texts: &[String]) -> Result<Vec<Window>, String> {
    if texts.is_empty() {
        return Ok(Window::DEFAULT.to_vec());
    }
    let windows: Result<Vec<Window>, String> = texts.iter().map(|text| window(text)).collect();
    let mut windows = windows?;
    windows.sort_unstable();
    windows.dedup();
    Ok(windows)
}

fn window(text: &str) -> Result<Window, String> {
    let whole = span(text).filter(|span| span.0 % 60_000 == 0);
    whole
        .and_then(|span| Window::new(span.0 / 60_000))
        .ok_or_else(|| format!("{text:?} is not a span of whole minutes up to 30d, as 5m or 6h"))
}

/// Reads shifts.
///
/// # Errors
///
/// Names the text that is not a shift, or whose name was used before.
pub fn shifts(texts: &[String]) -> Result<Vec<Shift>, String> {
    let mut shifts: Vec<Shift> = Vec::new();
    for text in texts {
        let shift = shift(text).ok_or_else(|| {
            format!("{text:?} is not a shift, as day=06:00-14:00 or night=22:00-06:00@mon-fri")
        })?;
        if shifts.iter().any(|other| other.name == shift.name) {
            return Err(format!("{text:?} uses the name of an earlier shift"));
        }
        shifts.push(shift);
    }
    Ok(shifts)
}

fn shift(text: &str) -> Option<Shift> {
    let (name, hours) = text.split_once('=')?;
    let (hours, days) = match hours.split_once('@') {
        Some((hours, days)) => (hours, self::days(days)?),
        None => (hours, DAYS.map(|(_, day)| day).to_vec()),
    };
    let (from, to) = hours.split_once('-')?;
    let shift = Shift {
        name: name.to_owned(),
        from: time(from)?,
        to: time(to)?,
        days,
    };
    (!name.is_empty()).then_some(shift)
}

fn time(text: &str) -> Option<Time> {
    (text.len() == "06:00".len()).then(|| text.parse().ok())?
}

/// Reads days: one, a list, or a range that may run over the week's end.
fn days(text: &str) -> Option<Vec<Weekday>> {
    if let Some((first, last)) = text.split_once('-') {
        let (first, last) = (day(first)?, day(last)?);
        let length = (last + DAYS.len() - first) % DAYS.len();
        let range = (first..=first + length).map(|day| DAYS[day % DAYS.len()].1);
        return Some(range.collect());
    }
    let days = text.split(',');
    days.map(|text| Some(DAYS[day(text)?].1)).collect()
}

fn day(text: &str) -> Option<usize> {
    DAYS.iter().position(|(name, _)| *name == text)
}

/// Reads the name of a time zone.
///
/// # Errors
///
/// Says what a time zone looks like.
pub fn time_zone(text: &str) -> Result<TimeZone, String> {
    TimeZone::get(text).map_err(|_| format!("{text:?} is not a time zone, as Europe/Madrid"))
}
