//! Compares what callers were told with what endpoints ran.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::event::{End, Event, How};
use crate::inversion;
use crate::record::Run;

/// What the comparison found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Findings {
    /// Requests that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Requests whose whole answer was delivered more than once.
    pub delivered_twice: u64,
    /// Requests that were told `not_run` and ran.
    pub not_run_but_ran: u64,
    /// Tokens that endpoints made.
    pub tokens_generated: u64,
    /// Tokens of whole answers, each counted once.
    pub tokens_delivered: u64,
    /// Share of the tokens made that reached no caller in a whole answer.
    pub wasted: f64,
    /// Requests that were passed over for a lower tier's.
    pub inversion: inversion::Count,
    /// The first few tags found wrong, with what is wrong.
    pub examples: Vec<String>,
}

/// Examples that are kept: enough to look into, few enough to read.
const EXAMPLES: usize = 10;

/// Compares events with records. Runs of tags that no event has are left out:
/// they belong to other traffic. `share` is the part of a pool's service that
/// each class is owed.
pub fn compare(events: &[Event], runs: &[Run], share: f64) -> Findings {
    let by_tag = by_tag(runs);
    let mut findings = Findings {
        inversion: inversion::count(events, &by_tag, share),
        ..Findings::default()
    };
    let mut delivered = HashMap::<&str, u64>::new();
    for event in events {
        let runs = by_tag
            .get(event.tag.as_str())
            .map_or(&[][..], Vec::as_slice);
        findings.take(event, runs);
        if event.end == End::Complete {
            *delivered.entry(&event.tag).or_default() += 1;
        }
    }
    findings.delivered_twice = delivered.values().filter(|times| **times > 1).count() as u64;
    findings.wasted = part(
        findings
            .tokens_generated
            .saturating_sub(findings.tokens_delivered),
        findings.tokens_generated,
    );
    findings
}

/// Runs that got a slot, by the tag of their request.
fn by_tag(runs: &[Run]) -> BTreeMap<&str, Vec<&Run>> {
    let mut by_tag = BTreeMap::<&str, Vec<&Run>>::new();
    for run in runs.iter().filter(|run| run.started_ms.is_some()) {
        if let Some(tag) = &run.prompt_tag {
            by_tag.entry(tag).or_default().push(run);
        }
    }
    by_tag
}

impl Findings {
    fn take(&mut self, event: &Event, runs: &[&Run]) {
        if !event.repeatable && runs.len() > 1 {
            self.doubled += 1;
            self.example(event, "ran more than once");
        }
        if is_denied(event) && !runs.is_empty() {
            self.not_run_but_ran += 1;
            self.example(event, "was told not_run and ran");
        }
        self.tokens_generated += runs.iter().map(|run| run.tokens_sent).sum::<u64>();
        if event.end == End::Complete {
            self.tokens_delivered += u64::from(event.tokens);
        }
    }

    fn example(&mut self, event: &Event, what: &str) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(format!("{} {what}", event.tag));
        }
    }
}

/// Whether the caller was told that the request never ran. Without an identity
/// a verdict speaks of its own attempt only, and an earlier one may have run.
fn is_denied(event: &Event) -> bool {
    let sent_before = event.any(How::Broken) || event.any(How::Cut) || event.any(How::Wrong);
    event.end == End::RefusedNotRun && (event.identity || !sent_before)
}

fn part(some: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        some as f64 / whole as f64
    }
}

#[cfg(test)]
mod tests;
