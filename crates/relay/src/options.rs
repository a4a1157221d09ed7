//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// What was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
}

/// The parser, for the process and for tests.
pub fn parser() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help("Settings in JSON with comments; woodgap-ctl check tells what is wrong with them")
        .argument::<PathBuf>("FILE");
    construct!(Options { settings })
        .to_options()
        .descr("Passes whole requests to endpoints by route")
        .version(env!("CARGO_PKG_VERSION"))
}
