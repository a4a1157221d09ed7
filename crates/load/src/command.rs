//! The command line.

pub mod overhead;

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use actix_rt::System;
use bpaf::{OptionParser, Parser, construct, long};
use serde::Serialize;
use woodgap_platform::clock::Clock;

use crate::arrival::Bounds;
use crate::check::{self, Findings};
use crate::event::Event;
use crate::report::Report;
use crate::run::Plan;
use crate::totals::Totals;
use crate::traffic::Traffic;
use crate::{Error, loopback, record};

/// What the program is asked to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send load.
    Run(Run),
    /// Cross-check events with records.
    Check(Check),
    /// Measure what an entry adds to streams.
    Overhead(overhead::Options),
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Run {
    entry: Vec<String>,
    traffic: PathBuf,
    seed: u64,
    duration_ms: Option<u64>,
    count: Option<usize>,
    threads: usize,
    callers: usize,
    retries: u32,
    patience_ms: u64,
    no_discovery: bool,
    name: Option<String>,
    events: Option<PathBuf>,
    record: Vec<String>,
    format: Format,
    case: Option<String>,
    expect_complete: bool,
}

/// Options of a cross-check.
#[derive(Clone, Debug)]
pub struct Check {
    events: Vec<PathBuf>,
    record: Vec<String>,
}

/// The form of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Table,
    Json,
}

/// The parser of the command line.
///
/// ```
/// use woodgap_load::command::parser;
///
/// let options = parser().run_inner(&["--entry", "http://127.0.0.1:80", "--traffic", "x.jsonc"]);
/// assert!(options.is_ok());
/// assert!(parser().run_inner(&["check"]).is_err());
/// ```
pub fn parser() -> OptionParser<Command> {
    let check = check_options()
        .to_options()
        .descr("Compares events of runs with what the stand-ins for endpoints ran")
        .command("check")
        .map(Command::Check);
    let overhead = overhead::options()
        .to_options()
        .descr("Measures what an entry adds to streams, beside direct ones in the same run")
        .command("overhead")
        .map(Command::Overhead);
    let run = run_options().map(Command::Run);
    construct!([check, overhead, run])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Sends bounded load to entries on loopback and checks each answer")
        .footer(
            "Exit codes: 0 all sent (with --expect-complete: and all complete), \
             1 otherwise, 2 wrong arguments.",
        )
}

fn run_options() -> impl Parser<Run> {
    let entry = long("entry")
        .help("Base URL of an entry on loopback")
        .argument::<String>("URL")
        .some("name at least one entry by --entry URL");
    let traffic = long("traffic")
        .help("Description of the traffic, JSON with comments")
        .argument::<PathBuf>("FILE");
    let seed = long("seed")
        .help("Fixes arrivals, lengths and retries")
        .argument::<u64>("N")
        .fallback(1);
    let duration_ms = long("duration-ms")
        .help("Span of the arrivals; 10 s if neither this nor a count is given")
        .argument::<u64>("N")
        .optional();
    let count = long("count")
        .help("Number of requests")
        .argument::<usize>("N")
        .optional();
    let threads = long("threads")
        .help("Threads that send")
        .argument::<usize>("N")
        .fallback(2);
    let callers = long("callers")
        .help("Callers, each with its own view of the entries")
        .argument::<usize>("N")
        .fallback(24);
    let retries = long("retries")
        .help("Retries after the first attempt")
        .argument::<u32>("N")
        .fallback(8);
    let patience_ms = long("patience-ms")
        .help("Silence after which a connection counts as broken")
        .argument::<u64>("N")
        .fallback(60_000);
    let no_discovery = long("no-discovery")
        .help("Use the given entries in turn, and never ask for others")
        .switch();
    let name = long("name")
        .help("Name of the run, which all tags begin with; by default the time of day")
        .argument::<String>("TEXT")
        .optional();
    let events = long("events")
        .help("Writes one JSON line per request")
        .argument::<PathBuf>("FILE")
        .optional();
    let record = records();
    let format = long("format")
        .help("table or json")
        .argument::<String>("FORMAT")
        .parse(|text| match text.as_str() {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err("expected table or json"),
        })
        .fallback(Format::Table);
    let case = long("case")
        .help("Prints the totals last, as one JSON line with this name")
        .argument::<String>("NAME")
        .optional();
    let expect_complete = long("expect-complete")
        .help("Fails unless each request got its own whole answer once")
        .switch();
    construct!(Run {
        entry,
        traffic,
        seed,
        duration_ms,
        count,
        threads,
        callers,
        retries,
        patience_ms,
        no_discovery,
        name,
        events,
        record,
        format,
        case,
        expect_complete,
    })
}

fn check_options() -> impl Parser<Check> {
    let events = long("events")
        .help("Events that a run wrote")
        .argument::<PathBuf>("FILE")
        .some("name at least one file by --events FILE");
    let record = records();
    construct!(Check { events, record })
}

fn records() -> impl Parser<Vec<String>> {
    long("record")
        .help("Base URL of a stand-in for an endpoint, whose record is compared")
        .argument::<String>("URL")
        .many()
}

/// Runs the program.
pub fn main() -> ExitCode {
    let done = match parser().run() {
        Command::Run(options) => options.run(),
        Command::Check(options) => options.check(),
        Command::Overhead(options) => overhead::run(options),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("woodgap-load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The JSON line of a case.
#[derive(Debug, Serialize)]
struct Line<'a> {
    case: &'a str,
    #[serde(flatten)]
    totals: Totals,
    #[serde(skip_serializing_if = "Option::is_none")]
    not_run_but_ran: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wasted: Option<f64>,
}

/// The report and what the records say about it.
#[derive(Debug, Serialize)]
struct Whole<'a> {
    #[serde(flatten)]
    report: &'a Report,
    #[serde(skip_serializing_if = "Option::is_none")]
    check: Option<&'a Findings>,
}

impl Run {
    fn run(self) -> Result<bool, Error> {
        let findings = self.plan()?.run()?;
        if let Some(path) = &self.events {
            write(path, &findings.events)?;
        }
        let report = Report::new(&findings);
        let check = self.compare(&findings.events)?;
        self.print(&report, check.as_ref());
        let mut totals = report.totals;
        totals.doubled += check.as_ref().map_or(0, |check| check.doubled);
        if let Some(case) = &self.case {
            print_line(&Line {
                case,
                totals,
                not_run_but_ran: check.as_ref().map(|check| check.not_run_but_ran),
                wasted: check.as_ref().map(|check| check.wasted),
            });
        }
        Ok(!self.expect_complete || totals.all_well())
    }

    fn plan(&self) -> Result<Plan, Error> {
        let entries = self.entry.iter().map(|url| loopback::base(url));
        let time = Clock::start().unix();
        Ok(Plan {
            name: self
                .name
                .clone()
                .unwrap_or_else(|| format!("r{:x}", time.0)),
            entries: entries.collect::<Result<_, _>>()?,
            traffic: Traffic::load(&self.traffic)?,
            seed: self.seed,
            bounds: Bounds {
                duration: self.duration_ms.map(Duration::from_millis),
                count: self.count,
            },
            threads: self.threads,
            callers: self.callers,
            retries: self.retries,
            patience: Duration::from_millis(self.patience_ms),
            discovery: !self.no_discovery,
        })
    }

    fn compare(&self, events: &[Event]) -> Result<Option<Findings>, Error> {
        if self.record.is_empty() {
            return Ok(None);
        }
        let runs = System::new().block_on(record::read(&self.record))?;
        Ok(Some(check::compare(events, &runs)))
    }

    fn print(&self, report: &Report, check: Option<&Findings>) {
        match self.format {
            Format::Json => print_line(&Whole { report, check }),
            Format::Table => {
                print!("{report}");
                if let Some(check) = check {
                    print_line(check);
                }
            }
        }
    }
}

impl Check {
    fn check(self) -> Result<bool, Error> {
        let mut events = Vec::new();
        for path in &self.events {
            events.extend(read(path)?);
        }
        let runs = System::new().block_on(record::read(&self.record))?;
        let findings = check::compare(&events, &runs);
        print_line(&findings);
        let bad = findings.doubled + findings.delivered_twice + findings.not_run_but_ran;
        Ok(bad == 0)
    }
}

fn print_line(value: &impl Serialize) {
    // Our own types have only texts as keys, so this can't fail.
    let line = serde_json::to_string(value).expect("a value with text keys");
    println!("{line}");
}

fn write(path: &Path, events: &[Event]) -> Result<(), Error> {
    let failed = |error| Error::File {
        path: path.to_owned(),
        error,
    };
    let mut file = BufWriter::new(File::create(path).map_err(failed)?);
    for event in events {
        let line = serde_json::to_string(event).expect("a value with text keys");
        writeln!(file, "{line}").map_err(failed)?;
    }
    file.flush().map_err(failed)
}

fn read(path: &Path) -> Result<Vec<Event>, Error> {
    let failed = |error| Error::File {
        path: path.to_owned(),
        error,
    };
    let file = BufReader::new(File::open(path).map_err(failed)?);
    let mut events = Vec::new();
    for (index, line) in file.lines().enumerate() {
        let line = line.map_err(failed)?;
        let event = serde_json::from_str(&line).map_err(|error| Error::Event {
            path: path.to_owned(),
            line: index + 1,
            message: error.to_string(),
        })?;
        events.push(event);
    }
    Ok(events)
}
