//! Cross-checks the events of runs with the records of endpoints.

use actix_rt::System;

use super::print_line;
use crate::event::file;
use crate::options::Check;
use crate::{Error, check, record};

/// Carries out the command; false if something was found.
///
/// # Errors
///
/// Events or records that can't be read.
pub fn run(options: &Check) -> Result<bool, Error> {
    let mut events = Vec::new();
    for path in &options.events {
        events.extend(file::read(path)?);
    }
    let runs = System::new().block_on(record::read(&options.record))?;
    let findings = check::compare(&events, &runs, options.share);
    print_line(&findings);
    let bad = findings.doubled + findings.delivered_twice + findings.not_run_but_ran;
    Ok(bad == 0)
}
