//! From rows to the report: pure sums.

use std::collections::{BTreeMap, BTreeSet};

use jiff::tz::TimeZone;
use serde::Serialize;
use woodgap_core::burn::{Count, Row};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::tier::Tier;

use crate::figure::{Figure, Sum};
use crate::gap::{self, Gap};
use crate::objective::Objectives;
use crate::series::Series;
use crate::shift::{Calendar, Occurrence, Shift};
use crate::span::Span;
use crate::tally::{Key, Tally};
use crate::window::{self, Alarm, Burn, Window};

/// The version of the JSON form; it changes when a field changes its meaning or goes.
pub const SCHEMA: &str = "woodgap-burn/1";

/// What a report is about.
#[derive(Clone, Debug)]
pub struct Scope {
    /// The minutes that are reported.
    pub span: Span,
    /// What is aimed at.
    pub objectives: Objectives,
    /// The windows of the budget burn, from the shortest to the longest; they
    /// end where the span ends.
    pub windows: Vec<Window>,
    /// The shifts and the time zone.
    pub calendar: Calendar,
}

impl Scope {
    /// The minutes that these times touch, in milliseconds since the Unix
    /// epoch, with the usual windows and objective, in UTC and without shifts.
    pub fn between(from: Millis, until: Millis) -> Self {
        Self {
            span: Span::touched(from, until),
            objectives: Objectives::default(),
            windows: Window::DEFAULT.to_vec(),
            calendar: Calendar {
                shifts: Vec::<Shift>::new(),
                time_zone: TimeZone::UTC,
            },
        }
    }

    /// The minutes whose rows the report needs: those reported, the longest
    /// window, and the shifts from their start.
    pub fn needed(&self) -> Span {
        let windows = self.windows.iter().map(|window| window.minutes());
        let longest = windows.max().unwrap_or_default();
        let shifts = self.calendar.occurrences(self.span);
        let starts = shifts.iter().map(|shift| shift.span.first);
        let first = starts.min().unwrap_or(self.span.first);
        Span {
            first: first
                .min(self.span.first)
                .min(self.span.tail(longest).first),
            end: self.span.end,
        }
    }
}

/// The report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// [`SCHEMA`].
    pub schema: &'static str,
    /// The first moment, in milliseconds since the Unix epoch.
    pub from: Millis,
    /// The end, in milliseconds since the Unix epoch.
    pub until: Millis,
    /// The workspace that is reported alone, if any.
    pub workspace: Option<name::Workspace>,
    /// The entries that recorded rows, over all minutes that were read.
    pub entries: Vec<name::Entry>,
    /// By tier and class, the highest tier first.
    pub lines: Vec<Line>,
    /// By class, over all tiers.
    pub classes: Vec<Line>,
    /// All together.
    pub total: Figure,
    /// The windows and how much of each was recorded.
    pub windows: Vec<Cover>,
    /// By shift, the oldest first; empty if no shifts are set.
    pub shifts: Vec<Turn>,
    /// What ended within the span and outside all shifts; none if no shifts are set.
    pub outside_shifts: Option<Figure>,
    /// Attainment by class over time.
    pub series: Series,
    /// What the counts lack.
    pub missing: Vec<Gap>,
}

/// The figures of one class.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The tier; none for all tiers.
    pub tier: Option<Tier>,
    /// The class.
    pub class: name::Class,
    /// The share of requests that should meet their target.
    pub objective: f64,
    /// The figures.
    #[serde(flatten)]
    pub figure: Figure,
    /// Budget burn by window, from the shortest to the longest.
    pub burns: Vec<Burn>,
    /// Whether two windows burn too fast.
    pub alarm: Option<Alarm>,
}

/// How much of a window was recorded.
#[derive(Clone, Debug, Serialize)]
pub struct Cover {
    /// The window's length in minutes.
    pub minutes: u64,
    /// How many of them have a row of any entry.
    pub covered: u64,
}

/// The figures of one shift on one day.
#[derive(Clone, Debug, Serialize)]
pub struct Turn {
    /// The shift's name.
    pub name: String,
    /// The day on which it starts, as `YYYY-MM-DD`.
    pub date: String,
    /// Its start, in milliseconds since the Unix epoch.
    pub from: Millis,
    /// Its end, in milliseconds since the Unix epoch.
    pub until: Millis,
    /// Whether it goes on beyond the report's end.
    pub running: bool,
    /// The figures of all classes.
    #[serde(flatten)]
    pub total: Figure,
    /// The figures by class.
    pub classes: Vec<Share>,
}

/// One class's figures in a shift.
#[derive(Clone, Debug, Serialize)]
pub struct Share {
    /// The class.
    pub class: name::Class,
    /// The figures.
    #[serde(flatten)]
    pub figure: Figure,
}

impl Report {
    /// The report on these rows, each of which is to be given once.
    ///
    /// ```
    /// use woodgap_burn::report::{Report, Scope};
    /// use woodgap_core::clock::Millis;
    ///
    /// let scope = Scope::between(Millis(0), Millis::from_secs(3_600));
    /// let report = Report::from_rows(&[], &scope);
    /// assert_eq!(report.total.goodput, 0);
    /// assert_eq!(report.total.attainment, None);
    /// ```
    pub fn from_rows(rows: &[Row], scope: &Scope) -> Self {
        let mut tally = Tally::default();
        for row in rows {
            tally.add(row);
        }
        Self::from_tally(&tally, scope)
    }

    /// The report on rows that were added up before.
    pub fn from_tally(tally: &Tally, scope: &Scope) -> Self {
        let span = scope.span;
        let entries: BTreeSet<&name::Entry> = tally.lives().keys().map(|life| &life.0).collect();
        let shifts = scope.calendar.occurrences(span);
        let outside = (!scope.calendar.shifts.is_empty()).then(|| outside(tally, scope, &shifts));
        Self {
            schema: SCHEMA,
            from: span.from(),
            until: span.until(),
            workspace: tally.workspace().cloned(),
            entries: entries.into_iter().cloned().collect(),
            lines: lines(tally, scope, |(tier, class)| (Some(*tier), class.clone())),
            classes: lines(tally, scope, |(_, class)| (None, class.clone())),
            total: total(&tally.sums(span), &scope.objectives),
            windows: covers(tally, scope),
            shifts: shifts
                .iter()
                .map(|shift| turn(tally, scope, shift))
                .collect(),
            outside_shifts: outside,
            series: Series::new(tally, span),
            missing: gap::find(tally, scope.needed()),
        }
    }

    /// The lines whose burn calls for action, the most urgent first.
    pub fn alarms(&self) -> Vec<(&Line, Alarm)> {
        let lines = self.lines.iter();
        let mut alarms: Vec<(&Line, Alarm)> = lines
            .filter_map(|line| line.alarm.map(|alarm| (line, alarm)))
            .collect();
        alarms.sort_by_key(|(_, alarm)| std::cmp::Reverse(alarm.level));
        alarms
    }
}

/// What a line is kept by: a tier or all of them, and a class.
type Heading = (Option<Tier>, name::Class);

/// Lines of all that ended within the span or one of the windows.
fn lines(tally: &Tally, scope: &Scope, heading: impl Fn(&Key) -> Heading) -> Vec<Line> {
    let grouped = |span: Span| grouped(tally, span, &heading);
    let reported = grouped(scope.span);
    let windows: Vec<(Window, BTreeMap<Heading, Count>)> = scope
        .windows
        .iter()
        .map(|window| (*window, grouped(scope.span.tail(window.minutes()))))
        .collect();
    let sums = windows.iter().map(|(_, sums)| sums).chain([&reported]);
    let headings: BTreeSet<&Heading> = sums.flat_map(BTreeMap::keys).collect();
    let line = |heading: &Heading| {
        let (tier, class) = heading;
        let objective = scope.objectives.of(class);
        let count =
            |sums: &BTreeMap<Heading, Count>| sums.get(heading).copied().unwrap_or_default();
        let burn = |(window, sums): &(Window, _)| Burn::new(*window, &count(sums), objective);
        let burns: Vec<Burn> = windows.iter().map(burn).collect();
        Line {
            tier: *tier,
            class: class.clone(),
            objective,
            figure: Figure::new(&count(&reported), objective),
            alarm: window::alarm(&burns),
            burns,
        }
    };
    headings.into_iter().map(line).collect()
}

fn grouped(
    tally: &Tally,
    span: Span,
    heading: impl Fn(&Key) -> Heading,
) -> BTreeMap<Heading, Count> {
    let mut groups: BTreeMap<Heading, Count> = BTreeMap::new();
    for (key, count) in tally.sums(span) {
        groups.entry(heading(&key)).or_default().add(&count);
    }
    groups
}

fn total(sums: &BTreeMap<Key, Count>, objectives: &Objectives) -> Figure {
    let mut total = Sum::default();
    for ((_, class), count) in sums {
        total.add(count, objectives.of(class));
    }
    total.figure()
}

fn covers(tally: &Tally, scope: &Scope) -> Vec<Cover> {
    let cover = |window: &Window| Cover {
        minutes: window.minutes(),
        covered: tally.covered(scope.span.tail(window.minutes())),
    };
    scope.windows.iter().map(cover).collect()
}

fn turn(tally: &Tally, scope: &Scope, shift: &Occurrence) -> Turn {
    let ended = Span {
        end: shift.span.end.min(scope.span.end),
        ..shift.span
    };
    let sums = tally.sums(ended);
    let mut classes: BTreeMap<&name::Class, Count> = BTreeMap::new();
    for ((_, class), count) in &sums {
        classes.entry(class).or_default().add(count);
    }
    let share = |(class, count): (&name::Class, Count)| Share {
        class: class.clone(),
        figure: Figure::new(&count, scope.objectives.of(class)),
    };
    Turn {
        name: shift.name.clone(),
        date: shift.date.to_string(),
        from: shift.span.from(),
        until: shift.span.until(),
        running: shift.span.end > scope.span.end,
        total: total(&sums, &scope.objectives),
        classes: classes.into_iter().map(share).collect(),
    }
}

/// What ended within the span while no team was at work.
fn outside(tally: &Tally, scope: &Scope, shifts: &[Occurrence]) -> Figure {
    let mut total = Sum::default();
    let mut first = scope.span.first;
    let end = Span {
        first: scope.span.end,
        end: scope.span.end,
    };
    for next in shifts.iter().map(|shift| shift.span).chain([end]) {
        let between = Span {
            first,
            end: next.first.max(first),
        };
        for ((_, class), count) in tally.sums(between) {
            total.add(&count, scope.objectives.of(&class));
        }
        first = first.max(next.end);
    }
    total.figure()
}
