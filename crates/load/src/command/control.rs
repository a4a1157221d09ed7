//! Reads what the control side of entries costs.

use std::time::Duration;

use actix_rt::System;
use serde::Serialize;

use super::print_line;
use crate::options::Control;
use crate::{Error, control, loopback};

/// The JSON line.
#[derive(Debug, Serialize)]
struct Line<'a> {
    case: &'a str,
    #[serde(flatten)]
    findings: &'a control::Findings,
}

/// Carries out the command.
///
/// # Errors
///
/// A key that can't be read, or entries that give no status.
pub fn run(options: &Control) -> Result<bool, Error> {
    let path = &options.operator_key_file;
    let key = std::fs::read_to_string(path).map_err(|error| Error::File {
        path: path.clone(),
        error,
    })?;
    let entries = options.entry.iter().map(|url| loopback::base(url));
    let plan = control::Plan {
        entries: entries.collect::<Result<_, _>>()?,
        operator_key: key.trim().to_owned(),
        span: Duration::from_millis(options.span_ms),
        rate: options.rate,
        probes: options.probes,
        workspaces: options.workspaces,
    };
    let findings = System::new().block_on(control::run(plan))?;
    print_line(&Line {
        case: "control",
        findings: &findings,
    });
    Ok(true)
}
