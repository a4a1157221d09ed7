//! The command line.

pub mod moment;

use bpaf::{OptionParser, Parser, construct, long};

use moment::Moment;

/// What the operator asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the platform.
    pub platform: String,
    /// The first moment.
    pub since: Moment,
    /// The end.
    pub until: Moment,
    /// The form of the report.
    pub format: Format,
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
    let platform = long("platform")
        .help("Base URL of the platform's services, as http://HOST:PORT")
        .argument::<String>("URL");
    let since = long("since")
        .help("First moment: a span back from now (90m, 6h, 2d) or a time (2026-03-29T06:00Z); 60m if left out")
        .argument::<String>("WHEN")
        .parse(|text| Moment::parse(&text).map_err(|error| format!("--since: {error}")))
        .fallback(Moment::HOUR_AGO);
    let until = long("until")
        .help("End, in the same forms; now if left out")
        .argument::<String>("WHEN")
        .parse(|text| Moment::parse(&text).map_err(|error| format!("--until: {error}")))
        .fallback(Moment::NOW);
    let format = long("format")
        .help("table (for people, if left out) or json (for machines)")
        .argument::<String>("FORM")
        .parse(|text| format(&text))
        .fallback(Format::Table);
    construct!(Options {
        platform,
        since,
        until,
        format
    })
    .to_options()
    .descr("The report on service-level burn: attainment, goodput, wasted work and budget burn.")
    .version(env!("CARGO_PKG_VERSION"))
}

fn format(text: &str) -> Result<Format, String> {
    match text {
        "table" => Ok(Format::Table),
        "json" => Ok(Format::Json),
        other => Err(format!("--format: {other:?} is neither table nor json")),
    }
}
