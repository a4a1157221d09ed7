//! Attainment over time, in steps wide enough to be drawn.

use std::collections::BTreeMap;

use serde::Serialize;
use woodgap_core::burn::Count;
use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::figure::Figure;
use crate::span::{Span, start};
use crate::tally::Tally;

/// Steps of a series at most: more can't be told apart in a plot.
const STEPS: u64 = 60;

/// Attainment of all classes over time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// The length of a step in minutes.
    pub step_minutes: u64,
    /// By class and time; steps without counted requests are left out.
    pub points: Vec<Point>,
}

/// Attainment of one class in one step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The class.
    pub class: name::Class,
    /// The start of the step, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Requests that count for attainment.
    pub counted: u64,
    /// Share of them that met their target.
    pub attainment: f64,
}

impl Series {
    /// The series of a span.
    pub fn new(tally: &Tally, span: Span) -> Self {
        let step_minutes = span.len().div_ceil(STEPS).max(1);
        let steps = (span.first..span.end).step_by(usize::try_from(step_minutes).unwrap_or(1));
        let mut points: Vec<Point> = steps
            .flat_map(|first| {
                let end = (first + step_minutes).min(span.end);
                step(tally, Span { first, end })
            })
            .collect();
        points.sort_by(|one, other| (&one.class, one.at).cmp(&(&other.class, other.at)));
        Self {
            step_minutes,
            points,
        }
    }
}

fn step(tally: &Tally, span: Span) -> Vec<Point> {
    let mut classes: BTreeMap<name::Class, Count> = BTreeMap::new();
    for ((_, class), count) in tally.sums(span) {
        classes.entry(class).or_default().add(&count);
    }
    let point = |(class, count): (name::Class, Count)| {
        // The objective plays no part in attainment.
        let figure = Figure::new(&count, 0.0);
        Some(Point {
            class,
            at: start(span.first),
            counted: figure.counted,
            attainment: figure.attainment?,
        })
    };
    classes.into_iter().filter_map(point).collect()
}
