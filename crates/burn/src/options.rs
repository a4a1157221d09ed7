//! The command line.

pub mod moment;
pub mod site;
pub mod value;

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use jiff::tz::TimeZone;
use woodgap_core::name;

use moment::Moment;
use site::Site;

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

/// What the command line says, before a settings file fills the rest.
#[derive(Clone, Debug)]
struct Given {
    settings: Option<Site>,
    platform: Option<String>,
    timeout: Option<Duration>,
    since: Moment,
    until: Moment,
    workspace: Option<name::Workspace>,
    objectives: Option<Objectives>,
    windows: Vec<Window>,
    shifts: Vec<Shift>,
    time_zone: Option<TimeZone>,
    format: Format,
    svg: Option<PathBuf>,
}

impl Given {
    /// The command line goes before the settings, the settings before what holds
    /// where nothing is set.
    fn fill(self) -> Result<Options, &'static str> {
        let site = self.settings;
        let platform = self
            .platform
            .or_else(|| Some(site.as_ref()?.platform.clone()));
        let Some(platform) = platform else {
            return Err("name the platform by --platform URL, or by --settings FILE");
        };
        let shifts = if self.shifts.is_empty() {
            site.as_ref()
                .map(|site| site.shifts.clone())
                .unwrap_or_default()
        } else {
            self.shifts
        };
        let of_site = site.as_ref();
        Ok(Options {
            platform,
            timeout: self
                .timeout
                .or(of_site.map(|site| site.timeout))
                .unwrap_or(TIMEOUT),
            since: self.since,
            until: self.until,
            workspace: self.workspace,
            objectives: self
                .objectives
                .or(of_site.map(|site| site.objectives.clone()))
                .unwrap_or_default(),
            windows: self.windows,
            shifts,
            time_zone: self
                .time_zone
                .or(of_site.map(|site| site.time_zone.clone()))
                .unwrap_or(TimeZone::UTC),
            format: self.format,
            svg: self.svg,
        })
    }
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
    let settings = settings();
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
    construct!(Given {
        settings,
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
    .parse(Given::fill)
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("The report on service-level burn: attainment, goodput, wasted work and budget burn")
    .footer(
        "Exit codes: 0 the report is whole; 1 there is no report; 2 the command line is wrong; \
         3 the table service failed midway, and the report says from when on it lacks counts",
    )
}

fn settings() -> impl Parser<Option<Site>> {
    long("settings")
        .help(
            "Settings in JSON with comments: platform, shifts, time zone, objectives; \
             what the command line says goes before them",
        )
        .argument::<PathBuf>("FILE")
        .parse(|file| site::read(&file).map_err(|error| format!("--settings: {error}")))
        .optional()
}

fn platform() -> impl Parser<Option<String>> {
    long("platform")
        .help("Base URL of the platform's services, as http://HOST:PORT")
        .argument::<String>("URL")
        .parse(|text| value::url(&text).map_err(|error| format!("--platform: {error}")))
        .optional()
}

fn timeout() -> impl Parser<Option<Duration>> {
    long("timeout")
        .help("How long one call to the platform may take; 10s if left out")
        .argument::<String>("SPAN")
        .parse(|text| value::timeout(&text).map_err(|error| format!("--timeout: {error}")))
        .optional()
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

fn objectives() -> impl Parser<Option<Objectives>> {
    long("objective")
        .help(
            "Share of requests that should meet their latency target, 0.95 if left out; \
             for one class as CLASS=SHARE. May be repeated",
        )
        .argument::<String>("SHARE")
        .many()
        .parse(|texts| {
            let objectives = value::objectives(&texts);
            let given = objectives.map_err(|error| format!("--objective: {error}"))?;
            Ok::<_, String>((!texts.is_empty()).then_some(given))
        })
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

fn time_zone() -> impl Parser<Option<TimeZone>> {
    long("time-zone")
        .help("Time zone of the shifts and of the table's times, as Europe/Madrid; UTC if left out")
        .argument::<String>("ZONE")
        .parse(|text| value::time_zone(&text).map_err(|error| format!("--time-zone: {error}")))
        .optional()
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
