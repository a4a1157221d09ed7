//! The command line.

pub mod moment;
pub mod value;

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use jiff::tz::TimeZone;
use woodgap_core::name;

use moment::Moment;

use crate::objective::Objectives;
use crate::shift::Shift;
use crate::window::Window;

/// How long one call to the platform may take where nothing is set: a full
/// page over a slow link.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What the operator asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the platform.
    pub platform: String,
    /// How long one call to it may take.
    pub timeout: Duration,
    /// The first moment.
    pub since: Moment,
    /// The end.
    pub until: Moment,
    /// The workspace to report alone.
    pub workspace: Option<name::Workspace>,
    /// What is aimed at.
    pub objectives: Objectives,
    /// The windows of the budget burn, from the shortest to the longest.
    pub windows: Vec<Window>,
    /// The shifts that goodput is counted by.
    pub shifts: Vec<Shift>,
    /// The time zone of the shifts and of the table's times.
    pub time_zone: TimeZone,
    /// The form of the report.
    pub format: Format,
    /// Where to write a plot.
    pub svg: Option<PathBuf>,
}

/// The form of the report on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Table,
    /// For machines.
    Json,
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let platform = platform();
    let timeout = timeout();
    let since = since();
    let until = until();
    let workspace = workspace();
    let objectives = objectives();
    let windows = windows();
    let shifts = shifts();
    let time_zone = time_zone();
    let format = format();
    let svg = svg();
    construct!(Options {
        platform,
        timeout,
        since,
        until,
        workspace,
        objectives,
        windows,
        shifts,
        time_zone,
        format,
        svg
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("The report on service-level burn: attainment, goodput, wasted work and budget burn")
    .footer(
        "Exit codes: 0 the report is whole; 1 there is no report; 2 the command line is wrong; \
         3 the table service failed midway, and the report says from when on it lacks counts",
    )
}

fn platform() -> impl Parser<String> {
    long("platform")
        .help("Base URL of the platform's services, as http://HOST:PORT")
        .argument::<String>("URL")
        .parse(|text| value::url(&text).map_err(|error| format!("--platform: {error}")))
}

fn timeout() -> impl Parser<Duration> {
    long("timeout")
        .help("How long one call to the platform may take; 10s if left out")
        .argument::<String>("SPAN")
        .parse(|text| value::timeout(&text).map_err(|error| format!("--timeout: {error}")))
        .fallback(TIMEOUT)
}

fn since() -> impl Parser<Moment> {
    long("since")
        .help(
            "First moment: a span back from now (90m, 6h, 2d) or a time \
             (2026-03-29T06:00Z); 60m if left out",
        )
        .argument::<String>("WHEN")
        .parse(|text| Moment::parse(&text).map_err(|error| format!("--since: {error}")))
        .fallback(Moment::HOUR_AGO)
}

fn until() -> impl Parser<Moment> {
    long("until")
        .help("End, in the same forms; now if left out")
        .argument::<String>("WHEN")
        .parse(|text| Moment::parse(&text).map_err(|error| format!("--until: {error}")))
        .fallback(Moment::NOW)
}

fn workspace() -> impl Parser<Option<name::Workspace>> {
    long("workspace")
        .help("Count the requests of this workspace alone")
        .argument::<String>("NAME")
        .map(name::Workspace::from)
        .optional()
}

fn objectives() -> impl Parser<Objectives> {
    long("objective")
        .help(
            "Share of requests that should meet their latency target, 0.95 if left out; \
             for one class as CLASS=SHARE. May be repeated",
        )
        .argument::<String>("SHARE")
        .many()
        .parse(|texts| value::objectives(&texts).map_err(|error| format!("--objective: {error}")))
}

fn windows() -> impl Parser<Vec<Window>> {
    long("window")
        .help("Window of the budget burn; 5m, 1h, 6h and 1d if left out. May be repeated")
        .argument::<String>("SPAN")
        .many()
        .parse(|texts| value::windows(&texts).map_err(|error| format!("--window: {error}")))
}

fn shifts() -> impl Parser<Vec<Shift>> {
    long("shift")
        .help(
            "Shift to count goodput by, as day=06:00-14:00, with its days as \
             day=06:00-14:00@mon-fri. May be repeated",
        )
        .argument::<String>("SHIFT")
        .many()
        .parse(|texts| value::shifts(&texts).map_err(|error| format!("--shift: {error}")))
}

fn time_zone() -> impl Parser<TimeZone> {
    long("time-zone")
        .help("Time zone of the shifts and of the table's times, as Europe/Madrid; UTC if left out")
        .argument::<String>("ZONE")
        .parse(|text| value::time_zone(&text).map_err(|error| format!("--time-zone: {error}")))
        .fallback(TimeZone::UTC)
}

fn format() -> impl Parser<Format> {
    long("format")
        .help("table (for people, if left out) or json (for machines)")
        .argument::<String>("FORM")
        .parse(|text| match text.as_str() {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            other => Err(format!("--format: {other:?} is neither table nor json")),
        })
        .fallback(Format::Table)
}

fn svg() -> impl Parser<Option<PathBuf>> {
    long("svg")
        .help("Also write a plot of attainment and budget burn to this file")
        .argument::<PathBuf>("FILE")
        .optional()
}
