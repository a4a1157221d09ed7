//! The report for people: aligned columns of plain text.

use jiff::tz::TimeZone;

use crate::figure::Figure;
use crate::render::grid::Grid;
use crate::render::missing;
use crate::render::text::{decimal, percent, time};
use crate::report::{Line, Report, Turn};
use crate::window::{Alarm, Level, PERIOD, Window};

/// Gaps shown at most; the JSON form has them all.
const GAPS: usize = 20;

/// Headings of the figures that all tables share.
const FIGURES: [&str; 9] = [
    "ended",
    "attainment",
    "goodput",
    "complete",
    "not_run",
    "uncertain",
    "abandoned",
    "wasted",
    "burn",
];

/// The report as text, with times by the clock of this zone.
pub fn render(report: &Report, zone: &TimeZone) -> String {
    let mut sections = vec![title(report, zone), lines(report)];
    if !report.windows.is_empty() {
        sections.push(burns(report));
    }
    if !report.shifts.is_empty() || report.outside_shifts.is_some() {
        sections.push(shifts(report, zone));
    }
    if !report.missing.is_empty() {
        sections.push(gaps(report, zone));
    }
    sections.join("\n")
}

fn title(report: &Report, zone: &TimeZone) -> String {
    let workspace = report.workspace.as_ref();
    let workspace = workspace.map(|name| format!(", workspace {name} alone"));
    format!(
        "Service-level burn from {} to {}, entries: {}{}\n",
        time(report.from, zone, "%Y-%m-%d %H:%M"),
        time(report.until, zone, "%Y-%m-%d %H:%M %Z"),
        report.entries.len(),
        workspace.unwrap_or_default(),
    )
}

fn lines(report: &Report) -> String {
    let mut grid = Grid::new(2, &[&["tier", "class"], &FIGURES[..]].concat());
    for line in &report.lines {
        grid.push(row(&[&tier(line), line.class.as_str()], &line.figure));
    }
    grid.push(row(&["all", "all"], &report.total));
    grid.render()
}

fn tier(line: &Line) -> String {
    line.tier
        .map_or_else(|| "all".to_owned(), |tier| tier.to_string())
}

fn row(names: &[&str], figure: &Figure) -> Vec<String> {
    let count = &figure.count;
    let names = names.iter().map(|name| (*name).to_owned());
    let figures = [
        count.ended.to_string(),
        percent(figure.attainment),
        figure.goodput.to_string(),
        count.complete.to_string(),
        count.not_run.to_string(),
        count.uncertain.to_string(),
        count.abandoned.to_string(),
        percent(figure.wasted_share),
        decimal(figure.burn),
    ];
    names.chain(figures).collect()
}

fn burns(report: &Report) -> String {
    let windows: Vec<String> = report
        .windows
        .iter()
        .filter_map(|cover| Window::new(cover.minutes))
        .map(|window| window.to_string())
        .collect();
    let mut headings = vec!["tier", "class", "objective"];
    headings.extend(windows.iter().map(String::as_str));
    let mut grid = Grid::new(2, &headings);
    for line in &report.lines {
        let mut row = vec![tier(line), line.class.to_string()];
        row.push(percent(Some(line.objective)));
        row.extend(line.burns.iter().map(|burn| decimal(burn.burn)));
        grid.push(row);
    }
    let mut covered = vec![String::new(), "minutes recorded".to_owned(), String::new()];
    covered.extend(report.windows.iter().map(|cover| cover.covered.to_string()));
    grid.push(covered);
    let alarms = report.alarms();
    let alarms = alarms.iter().map(|(line, alarm)| sentence(line, alarm));
    format!(
        "Budget burn by window (at 1, the budget of {} days lasts just as long)\n{}{}",
        PERIOD / Window::DEFAULT[3].minutes(),
        grid.render(),
        alarms.collect::<String>(),
    )
}

fn sentence(line: &Line, alarm: &Alarm) -> String {
    let level = match alarm.level {
        Level::Page => "PAGE",
        Level::Ticket => "TICKET",
    };
    let window = |minutes| Window::new(minutes).map_or_else(String::new, |it| it.to_string());
    format!(
        "{level}: tier {} {} burns above {:.1} over both {} and {}\n",
        tier(line),
        line.class,
        alarm.threshold,
        window(alarm.short_minutes),
        window(alarm.long_minutes),
    )
}

fn shifts(report: &Report, zone: &TimeZone) -> String {
    let names = ["shift", "date", "from", "to", "class"];
    let mut grid = Grid::new(names.len(), &[&names, &FIGURES[..]].concat());
    for turn in &report.shifts {
        let [from, to] = [turn.from, turn.until].map(|unix| time(unix, zone, "%H:%M"));
        let to = if turn.running {
            format!("{to}, running")
        } else {
            to
        };
        let names = [&turn.name, &turn.date, &from, &to, "all"];
        grid.push(row(&names, &turn.total));
        classes(&mut grid, turn);
    }
    if let Some(outside) = &report.outside_shifts {
        grid.push(row(&["outside", "", "", "", "all"], outside));
    }
    format!(
        "Goodput by shift, each request in the shift in which it ended\n{}",
        grid.render()
    )
}

fn classes(grid: &mut Grid, turn: &Turn) {
    for share in &turn.classes {
        grid.push(row(&["", "", "", "", share.class.as_str()], &share.figure));
    }
}

fn gaps(report: &Report, zone: &TimeZone) -> String {
    let mut lines = vec!["Missing from this report".to_owned()];
    let shown = report.missing.iter().take(GAPS);
    lines.extend(shown.map(|gap| format!("- {}", missing::sentence(gap, zone))));
    if report.missing.len() > GAPS {
        let more = report.missing.len() - GAPS;
        lines.push(format!("- and {more} more: see --format json"));
    }
    lines.join("\n") + "\n"
}
