//! Measures what permits cost.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use woodgap_platform::clock::Clock;

use super::print_line;
use crate::arrival::Bounds;
use crate::options::Permits;
use crate::permits::{Findings, Plan};
use crate::traffic::Traffic;
use crate::{Error, loopback, run};

/// Silence after which a connection counts as broken: more than any wait here.
const PATIENCE: Duration = Duration::from_mins(1);

/// The JSON line.
#[derive(Debug, Serialize)]
struct Line<'a> {
    case: &'a str,
    #[serde(flatten)]
    findings: &'a Findings,
}

/// Carries out the command.
///
/// # Errors
///
/// What [`Plan::run`] says, and files that can't be read.
pub fn run(options: &Permits) -> Result<bool, Error> {
    let findings = plan(options)?.run()?;
    print_line(&Line {
        case: "permits",
        findings: &findings,
    });
    Ok(true)
}

fn plan(options: &Permits) -> Result<Plan, Error> {
    let path = &options.operator_key_file;
    let key = std::fs::read_to_string(path).map_err(|error| Error::File {
        path: path.clone(),
        error,
    })?;
    Ok(Plan {
        operator_key: key.trim().to_owned(),
        lent: part(options, &options.lent)?,
        contended: part(options, &options.contended)?,
        idle: Duration::from_millis(options.duration_ms),
        logs: options.log.clone(),
    })
}

fn part(options: &Permits, traffic: &Path) -> Result<run::Plan, Error> {
    let entries = options.entry.iter().map(|url| loopback::base(url));
    Ok(run::Plan {
        name: format!("p{:x}", Clock::start().unix().0),
        entries: entries.collect::<Result<_, _>>()?,
        traffic: Traffic::load(traffic)?,
        seed: options.seed,
        bounds: Bounds {
            duration: Some(Duration::from_millis(options.duration_ms)),
            count: None,
        },
        threads: 2,
        callers: 24,
        retries: 0,
        patience: PATIENCE,
        discovery: false,
    })
}
