//! Changes the configuration and reports how it took hold.

use std::path::Path;

use actix_rt::System;
use serde::Serialize;
use woodgap_platform::clock::Clock;

use super::print_line;
use crate::options::Changes;
use crate::{Error, changes, loopback};

/// The JSON line of a run of configuration changes.
#[derive(Debug, Serialize)]
struct Line<'a> {
    case: &'a str,
    #[serde(flatten)]
    findings: &'a changes::Findings,
}

/// Carries out the command; false if something went wrong with a change.
///
/// # Errors
///
/// Files that can't be read, or a history that can't.
pub fn run(options: &Changes) -> Result<bool, Error> {
    let findings = System::new().block_on(changes::run(plan(options)?))?;
    print_line(&Line {
        case: "configuration",
        findings: &findings,
    });
    Ok(findings.all_well())
}

fn plan(options: &Changes) -> Result<changes::Plan, Error> {
    let failed = |path: &Path, error| Error::File {
        path: path.to_owned(),
        error,
    };
    let read = |path: &Path| std::fs::read_to_string(path).map_err(|error| failed(path, error));
    let document = read(&options.workspace)?;
    let entries = options.entry.iter().map(|url| loopback::base(url));
    Ok(changes::Plan {
        entries: entries.collect::<Result<_, _>>()?,
        operator_key: read(&options.operator_key_file)?.trim().to_owned(),
        workspace_key: options.workspace_key.clone(),
        workspace: serde_json::from_str(&document)
            .map_err(|error| failed(&options.workspace, error.into()))?,
        changes: options.count,
        name: format!("c{:x}", Clock::start().unix().0),
    })
}
