//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// What the operator asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// The form of the report.
    pub json: bool,
    /// Where to write a plot.
    pub svg: Option<PathBuf>,
    /// How many routes, endpoints and steps of time the table shows.
    pub top: usize,
    /// The logs; standard input if there is none.
    pub logs: Vec<PathBuf>,
}

/// The rows of a table where nothing is said: half a screen for each part.
const TOP: usize = 12;

/// The parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let json = long("json").help("Print JSON instead of a table").switch();
    let svg = long("svg")
        .help("Write a plot of losses over time")
        .argument("FILE")
        .optional();
    let top = long("top")
        .help("Rows of each part of the table")
        .argument("COUNT")
        .fallback(TOP);
    let logs = positional("LOG")
        .help("Logs of relays; standard input if none is given")
        .many();
    construct!(Options {
        json,
        svg,
        top,
        logs
    })
    .to_options()
    .descr("Where requests were lost, and why, from the logs of relays")
}
