//! The program: options in, report out, an exit code that scripts can act on.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use woodgap_core::clock::Millis;
use woodgap_platform::clock::Clock;
use woodgap_platform::http::Platform;
use woodgap_platform::table::Table;

use crate::error::Error;
use crate::options::{self, Format, Options};
use crate::render;
use crate::report::{Report, Scope};
use crate::shift::Calendar;
use crate::source::{self, Retry};
use crate::span::Span;
use crate::tally::Tally;

/// Exit code for a report that could not be made.
const FAILED: u8 = 1;
/// Exit code for a command line that is not understood.
const MISUSED: u8 = 2;
/// Exit code for a report that lacks counts since the table service failed midway.
const PARTIAL: u8 = 3;

/// Width of help and of messages about the command line, in characters.
const WIDTH: usize = 100;

/// Reads the command line and prints the report.
pub async fn main() -> ExitCode {
    let options = match options::parser().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return refuse(&failure),
    };
    match run(&options, Clock::start().unix()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(PARTIAL),
        Err(error) => {
            eprintln!("woodgap-burn: {error}");
            ExitCode::from(if error.is_misuse() { MISUSED } else { FAILED })
        }
    }
}

fn refuse(failure: &ParseFailure) -> ExitCode {
    failure.print_message(WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(MISUSED),
        _ => ExitCode::SUCCESS,
    }
}

/// Makes the report and puts it where it is wanted; false if it is partial.
async fn run(options: &Options, now: Millis) -> Result<bool, Error> {
    let scope = scope(options, now)?;
    let platform = Platform::new(&options.platform, options.timeout);
    let (report, whole) = report(&platform, options, &scope, Retry::default()).await?;
    let zone = &options.time_zone;
    if let Some(path) = &options.svg {
        write(path, &render::plot::render(&report, zone)?)?;
    }
    print(&match options.format {
        Format::Table => render::table::render(&report, zone),
        Format::Json => render::json::render(&report)?,
    })?;
    Ok(whole)
}

/// What the options ask about.
///
/// # Errors
///
/// [`Error::EmptySpan`] and [`Error::Future`].
pub fn scope(options: &Options, now: Millis) -> Result<Scope, Error> {
    let (from, until) = (options.since.unix(now), options.until.unix(now));
    if from >= until {
        return Err(Error::EmptySpan);
    }
    if until > now {
        return Err(Error::Future);
    }
    Ok(Scope {
        span: Span::touched(from, until),
        objectives: options.objectives.clone(),
        windows: options.windows.clone(),
        calendar: Calendar {
            shifts: options.shifts.clone(),
            time_zone: options.time_zone.clone(),
        },
    })
}

/// Reads what the report needs and adds it up; the second value is false if
/// the table service failed midway.
///
/// # Errors
///
/// [`Error::Platform`] if it failed before it gave anything.
pub async fn report(
    table: &impl Table,
    options: &Options,
    scope: &Scope,
    retry: Retry,
) -> Result<(Report, bool), Error> {
    let mut tally = Tally::new(options.workspace.clone());
    let needed = scope.needed();
    let reading = source::read(table, needed, retry, |row| tally.add(row)).await;
    let whole = reading.failure.is_none();
    match reading.failure {
        Some(cause) if reading.rows == 0 => {
            return Err(Error::Platform {
                url: options.platform.clone(),
                cause,
            });
        }
        Some(_) => tally.cut(reading.end),
        None => {}
    }
    let mut report = Report::from_tally(&tally, scope);
    report.missing.extend(reading.missing);
    Ok((report, whole))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|cause| Error::Write {
        path: path.to_owned(),
        cause,
    })
}

fn print(text: &str) -> Result<(), Error> {
    let mut output = io::stdout().lock();
    match writeln!(output, "{}", text.trim_end()) {
        // The reader has seen enough, as `head` has.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        done => done.map_err(Error::Print),
    }
}
