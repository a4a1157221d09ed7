//! The program: options in, report out, an exit code that scripts can act on.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Args, ParseFailure};
use woodgap_core::clock::Millis;
use woodgap_platform::clock::Clock;
use woodgap_platform::http::Platform;

use crate::error::Error;
use crate::options::{self, Format, Options};
use crate::report::{MINUTE, Report, Scope};
use crate::{render, source};

/// How long one call to the platform may take: a full page over a slow link.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The share of requests that should meet their target where no other is set.
const OBJECTIVE: f64 = 0.99;

/// Exit code for a report that could not be made.
const FAILED: u8 = 1;
/// Exit code for a command line that is not understood.
const MISUSED: u8 = 2;

/// Reads the command line and prints the report.
pub async fn main() -> ExitCode {
    let options = match options::parser().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return refuse(&failure),
    };
    match run(&options, Clock::start().unix()).await {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("woodgap-burn: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn refuse(failure: &ParseFailure) -> ExitCode {
    failure.print_message(80);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(MISUSED),
        _ => ExitCode::SUCCESS,
    }
}

async fn run(options: &Options, now: Millis) -> Result<String, Error> {
    let scope = Scope {
        from: options.since.unix(now),
        until: options.until.unix(now),
        objective: OBJECTIVE,
    };
    if scope.from >= scope.until {
        return Err(Error::EmptySpan);
    }
    let platform = Platform::new(&options.platform, TIMEOUT);
    let (first, last) = (scope.from.0 / MINUTE.0, scope.until.0 / MINUTE.0);
    let rows = source::read(&platform, first, last)
        .await
        .map_err(|cause| Error::Platform {
            url: options.platform.clone(),
            cause,
        })?;
    let report = Report::from_rows(&rows, &scope);
    Ok(match options.format {
        Format::Table => render::table::render(&report),
        Format::Json => render::json::render(&report)?,
    })
}
