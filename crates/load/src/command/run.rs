//! Sends load and reports what became of it.

use std::time::Duration;

use actix_rt::System;
use serde::Serialize;
use woodgap_platform::clock::Clock;

use super::print_line;
use crate::arrival::Bounds;
use crate::case::Measured;
use crate::check::{self, Findings};
use crate::event::{End, Event, file};
use crate::options::{Format, Run};
use crate::report::Report;
use crate::run::Plan;
use crate::totals::Totals;
use crate::traffic::Traffic;
use crate::{Error, act, loopback, record};

/// The JSON line of a run.
#[derive(Debug, Serialize)]
struct Line<'a> {
    case: &'a str,
    seed: u64,
    #[serde(flatten)]
    totals: Totals,
    #[serde(skip_serializing_if = "Option::is_none")]
    not_run_but_ran: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wasted: Option<f64>,
    starved: u64,
    /// Requests that may be repeated and yet ended as uncertain.
    may_have_run_repeatable: u64,
    /// Requests of which an answer could not be read.
    garbled: u64,
    #[serde(flatten)]
    acts: Option<act::Findings>,
}

/// Carries out the command; false if requests were to be complete and are not.
///
/// # Errors
///
/// What keeps the run from starting, or its result from being told.
pub fn run(options: &Run) -> Result<bool, Error> {
    let findings = plan(options)?.run()?;
    if let Some(path) = &options.events {
        file::write(path, &findings.events)?;
    }
    let measured = Measured {
        report: Report::new(&findings),
        check: compare(options, &findings.events)?,
    };
    print(&measured, options.format);
    let totals = totals(&measured);
    if let Some(case) = &options.case {
        let check = measured.check.as_ref();
        print_line(&Line {
            case,
            seed: options.seed,
            totals,
            not_run_but_ran: check.map(|check| check.not_run_but_ran),
            wasted: check.map(|check| check.wasted),
            starved: measured.report.starved(),
            may_have_run_repeatable: count(&findings.events, |event| {
                event.repeatable && event.end == End::MayHaveRun
            }),
            garbled: count(&findings.events, |event| event.faults.garbled),
            acts: acts(options)?,
        });
    }
    Ok(!options.expect_complete || totals.all_well())
}

fn plan(options: &Run) -> Result<Plan, Error> {
    let entries = options.entry.iter().map(|url| loopback::base(url));
    let time = Clock::start().unix();
    let name = options.name.clone();
    let mut traffic = Traffic::load(&options.traffic)?;
    if options.no_bursts {
        traffic.calm();
    }
    Ok(Plan {
        name: name.unwrap_or_else(|| format!("r{:x}", time.0)),
        entries: entries.collect::<Result<_, _>>()?,
        traffic,
        seed: options.seed,
        bounds: Bounds {
            duration: options.duration_ms.map(Duration::from_millis),
            count: options.count,
        },
        threads: options.threads,
        callers: options.callers,
        retries: options.retries,
        patience: Duration::from_millis(options.patience_ms),
        discovery: !options.no_discovery,
    })
}

fn compare(options: &Run, events: &[Event]) -> Result<Option<Findings>, Error> {
    if options.record.is_empty() {
        return Ok(None);
    }
    let runs = System::new().block_on(record::read(&options.record))?;
    Ok(Some(check::compare(events, &runs, options.share)))
}

fn acts(options: &Run) -> Result<Option<act::Findings>, Error> {
    let Some(path) = &options.acts else {
        return Ok(None);
    };
    let acts = act::read(path)?;
    let records = System::new().block_on(act::records(&acts))?;
    Ok(Some(act::compare(&acts, &records)))
}

fn count(events: &[Event], of: impl Fn(&Event) -> bool) -> u64 {
    events.iter().filter(|event| of(event)).count() as u64
}

fn print(measured: &Measured, format: Format) {
    match format {
        Format::Json => print_line(measured),
        Format::Table => {
            print!("{}", measured.report);
            if let Some(check) = &measured.check {
                print_line(check);
            }
        }
    }
}

fn totals(measured: &Measured) -> Totals {
    let mut totals = measured.report.totals;
    totals.doubled += measured.check.as_ref().map_or(0, |check| check.doubled);
    totals
}
