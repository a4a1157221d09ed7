//! The program: logs in, report out.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::error::Error;
use crate::options::{self, Options};
use crate::render;
use crate::tally::Tally;

/// Exit code for a report that could not be made.
const FAILED: u8 = 1;
/// Exit code for a command line that is not understood.
const MISUSED: u8 = 2;
/// Width of help and of messages about the command line, in characters.
const WIDTH: usize = 100;
/// The longest line that is read, in bytes; a longer one counts as malformed. A line
/// of a relay has about one thousand.
const MOST_LINE: usize = 64 * 1024;

/// Reads the command line and prints the report.
pub fn main() -> ExitCode {
    let options = match options::parser().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(MISUSED),
                _ => ExitCode::SUCCESS,
            };
        }
    };
    match run(&options, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap-causes: {error}");
            ExitCode::from(FAILED)
        }
    }
}

/// Makes the report and puts it where it is wanted.
///
/// # Errors
///
/// Any [`Error`].
pub fn run(options: &Options, out: &mut impl Write) -> Result<(), Error> {
    let mut tally = Tally::default();
    for path in &options.logs {
        let failed = |source| Error::Read {
            path: path.clone(),
            source,
        };
        let file = File::open(path).map_err(failed)?;
        count(BufReader::new(file), &mut tally).map_err(failed)?;
    }
    if options.logs.is_empty() {
        count(io::stdin().lock(), &mut tally)?;
    }
    if let Some(path) = &options.svg {
        fs::write(path, render::plot::render(&tally)?)?;
    }
    let text = if options.json {
        serde_json::to_string_pretty(&tally)?
    } else {
        render::table::render(&tally, options.top)
    };
    writeln!(out, "{}", text.trim_end())?;
    Ok(())
}

/// Counts the lines of a log, one at a time.
fn count(mut log: impl BufRead, tally: &mut Tally) -> io::Result<()> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let most = MOST_LINE as u64;
        if log.by_ref().take(most).read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        if line.len() == MOST_LINE && line.last() != Some(&b'\n') {
            log.skip_until(b'\n')?;
        }
        let text = String::from_utf8_lossy(&line);
        if !text.trim().is_empty() {
            tally.add(&text);
        }
    }
}
