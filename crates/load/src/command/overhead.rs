//! `woodgap-load overhead`: what an entry adds to streams.

use actix_rt::System;
use bpaf::{Parser, construct, long};
use serde::Serialize;
use woodgap_core::clock::Millis;

use crate::overhead::{Plan, Report};
use crate::traffic::{Class, Kind, Measure, Tokens};
use crate::{Error, loopback};

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    direct: Vec<String>,
    entry: String,
    key: String,
    class: String,
    model: String,
    tokens: u32,
    streams: Vec<usize>,
    rounds: usize,
    seed: u64,
    pid: Option<u32>,
}

/// The parser of the options.
pub fn options() -> impl Parser<Options> {
    let direct = long("direct")
        .help("Base URL of an engine on loopback, one that the entry uses")
        .argument::<String>("URL")
        .some("name at least one engine by --direct URL");
    let entry = long("entry")
        .help("Base URL of an entry on loopback")
        .argument::<String>("URL");
    let key = long("key")
        .help("Key of a workspace")
        .argument::<String>("TEXT");
    let class = long("class")
        .help("Class of the workspace")
        .argument::<String>("NAME");
    let model = long("model")
        .help("Model that the engines hold")
        .argument::<String>("NAME");
    let tokens = long("tokens")
        .help("Tokens of each stream")
        .argument::<u32>("N")
        .fallback(40);
    let streams = long("streams")
        .help("Streams at once, one row for each number")
        .argument::<String>("A,B")
        .parse(|list| list.split(',').map(str::parse).collect::<Result<_, _>>())
        .fallback(vec![1, 100, 1_000]);
    let rounds = long("rounds")
        .help("The fewest bursts for each row and side")
        .argument::<usize>("N")
        .fallback(3);
    let seed = long("seed")
        .help("Fixes when streams start within a burst")
        .argument::<u64>("N")
        .fallback(1);
    let pid = long("pid")
        .help("The entry's process, whose memory is read")
        .argument::<u32>("N")
        .optional();
    construct!(Options {
        direct,
        entry,
        key,
        class,
        model,
        tokens,
        streams,
        rounds,
        seed,
        pid
    })
}

/// The last line, for scripts.
#[derive(Debug, Serialize)]
struct Line<'a> {
    case: &'static str,
    #[serde(flatten)]
    report: &'a Report,
}

/// Measures and prints; false if a stream failed.
///
/// # Errors
///
/// An address that is not on loopback.
pub fn run(options: Options) -> Result<bool, Error> {
    let direct = options.direct.iter().map(|url| loopback::base(url));
    let plan = Plan {
        direct: direct.collect::<Result<_, _>>()?,
        entry: loopback::base(&options.entry)?,
        class: Class {
            name: options.class.clone(),
            workspace: String::new(),
            key: options.key,
            class: options.class,
            target: options.model,
            kind: Kind::Completion,
            path: String::new(),
            stream: true,
            rate_per_s: 0.0,
            tokens: Tokens::Fixed(options.tokens),
            prompt_prefix: String::new(),
            repeatable: true,
            identity: None,
            tier: 1,
            target_ms: Millis::ZERO,
            measure: Measure::Complete,
            bursts: Vec::new(),
        },
        tokens: options.tokens,
        streams: options.streams,
        rounds: options.rounds,
        seed: options.seed,
        pid: options.pid,
    };
    let report = System::new().block_on(plan.run());
    print!("{report}");
    let line = Line {
        case: "relay",
        report: &report,
    };
    super::print_line(&line);
    Ok(report.rows.iter().all(|row| row.failed.is_empty()))
}
