//! The report as text.

use std::cmp::Reverse;
use std::fmt::Write;

use jiff::Timestamp;

use crate::cause::Cause;
use crate::tally::{Count, Forecast, Tally};

/// The report as text, with at most so many rows in each part.
pub fn render(tally: &Tally, top: usize) -> String {
    let mut text = String::new();
    part(&mut text, "all", &[("", &tally.all)]);
    let routes = tally
        .routes
        .iter()
        .map(|(name, count)| (name.as_str(), count));
    part(&mut text, "route", &worst(routes, top));
    let endpoints = tally.endpoints.iter();
    let endpoints = endpoints.map(|(name, count)| (name.as_str(), count));
    part(&mut text, "endpoint", &worst(endpoints, top));
    let times: Vec<_> = tally.steps.iter().map(|(at, it)| (time(*at), it)).collect();
    let times = times.iter().map(|(time, count)| (time.as_str(), *count));
    part(
        &mut text,
        &format!("{} s from", tally.step_s),
        &worst(times, top),
    );
    forecast(&mut text, &tally.forecast);
    if tally.malformed > 0 {
        // Writing to a text never fails.
        let _ = writeln!(text, "{} lines are none of a relay's log", tally.malformed);
    }
    text
}

/// Those with the most losses, the worst first.
fn worst<'c>(
    counts: impl Iterator<Item = (&'c str, &'c Count)>,
    top: usize,
) -> Vec<(&'c str, &'c Count)> {
    let mut counts: Vec<_> = counts.filter(|(_, count)| count.all_lost() > 0).collect();
    counts.sort_by_key(|(_, count)| Reverse(count.all_lost()));
    counts.truncate(top);
    counts
}

fn part(text: &mut String, title: &str, rows: &[(&str, &Count)]) {
    let _ = write!(text, "{title:<22}{:>8}{:>8}", "owed", "lost");
    for cause in Cause::ALL {
        let _ = write!(text, "{:>11}", cause.word());
    }
    let _ = writeln!(text);
    for (name, count) in rows {
        let _ = write!(text, "{name:<22}{:>8}{:>8}", count.owed, count.all_lost());
        for cause in Cause::ALL {
            let lost = count.lost.get(&cause).copied().unwrap_or_default();
            let _ = write!(text, "{lost:>11}");
        }
        let _ = writeln!(text);
    }
    let _ = writeln!(text);
}

fn forecast(text: &mut String, forecast: &Forecast) {
    let quantiles = [0.1, 0.5, 0.9].map(|part| forecast.quantile(part));
    if let [Some(low), Some(middle), Some(high)] = quantiles {
        let _ = writeln!(
            text,
            "first byte by its forecast: {}% for a tenth, {}% for half, {}% for nine tenths",
            low * 10,
            middle * 10,
            high * 10
        );
    }
}

/// A moment by its second since 1970.
fn time(second: i64) -> String {
    Timestamp::from_second(second).map_or_else(|_| second.to_string(), |it| it.to_string())
}
