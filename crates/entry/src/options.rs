//! The command line of `woodgap-entry`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// What the command line says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help(
            "Settings in JSON with comments; `woodgap-ctl check FILE` checks them without starting",
        )
        .argument::<PathBuf>("FILE");
    construct!(Options { settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Takes callers' requests, queues them by tier and streams answers from endpoints")
        .footer(
            "Exit codes: 0 after a planned stop, 1 if the entry could not run, \
             2 for a wrong command line, 3 for wrong settings. \
             Logs are JSON lines on standard error; standard output has one line, once ready.",
        )
}

/// Reads the process's command line; prints help or an error and exits where asked.
pub fn read() -> Options {
    match parser().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let code = if failure.exit_code() == 0 {
                0
            } else {
                USAGE_EXIT_CODE
            };
            std::process::exit(code);
        }
    }
}

/// Columns of help texts.
const HELP_WIDTH: usize = 100;
/// Exit code for a wrong command line.
const USAGE_EXIT_CODE: i32 = 2;
