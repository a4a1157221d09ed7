//! The stand-ins of the review's cases: a store, runners and clients, beside real entries.
//!
//! `stand CASE RECORD` plays a case and writes what was sent, answered and run. It exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the
//! disruption.

mod base;
mod deadly;
mod deaf;
mod parts;
mod places;
mod restart;
mod runner;
mod store;
mod system;

use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use base::Log;

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn play(case: &str, log: &Log) -> Result<Verdict, String> {
    match case {
        "crash" => parts::crash(log),
        "deadly" => deadly::play(log),
        "deaf" => deaf::play(log),
        "hang" => parts::hang(log),
        "places" => places::play(log),
        "restart" => restart::play(log),
        _ => Err(format!("no case is named {case}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("stand CASE RECORD");
        return ExitCode::from(2);
    };
    let log = Log::new();
    // A case that panics could not run; its entries end as it unwinds.
    let played = panic::catch_unwind(AssertUnwindSafe(|| play(case, &log)));
    let played = played.unwrap_or_else(|_| Err("it panicked".to_owned()));
    match &played {
        Ok(Verdict::Broken) => log.say("verdict: the rule is broken"),
        Ok(Verdict::Held) => log.say("verdict: the rule held"),
        Err(reason) => log.say(format!("verdict: the case could not run: {reason}")),
    }
    if let Err(error) = log.write(record) {
        eprintln!("{record}: {error}");
        return ExitCode::from(2);
    }
    match played {
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
    }
}
