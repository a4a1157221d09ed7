//! Finds requests that were shed or preempted although a lower tier's request
//! in the same pool waited then, or was admitted within the next second.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;

use crate::event::{Attempt, Event, How};
use crate::record::Run;

/// An admission this long after the shedding still counts against it.
const AFTER: Millis = Millis(1_000);
/// A decision is seen this much late at most, by the caller or the endpoint:
/// what lies nearer to it can't be put in order.
const BLUR: Millis = Millis(50);
/// Requests of a class whose lengths may exceed what it is owed: lengths are
/// not known at the admission, so that the share is corrected afterwards.
const UNFORESEEN: usize = 2;
/// The error's code of a request that was shed.
const SHED: &str = "overloaded";

/// Counts of inversions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests shed.
    pub shed: u64,
    /// Requests preempted.
    pub preempted: u64,
    /// Those of both for which a lower tier's request waited or was admitted.
    pub inversions: u64,
    /// Inversions that the share owed to each class does not account for: more
    /// than one request of some lower class waited, or more tokens than its
    /// share were admitted.
    pub beyond_share: u64,
}

/// Counts the inversions. A pool is taken to be a target: one data centre.
///
/// `share` is the part of a pool's service that each class is owed.
pub fn count(events: &[Event], by_tag: &BTreeMap<&str, Vec<&Run>>, share: f64) -> Count {
    let mut pools = BTreeMap::<&str, Pool>::new();
    let mut losses = Vec::new();
    for event in events {
        let runs = by_tag
            .get(event.tag.as_str())
            .map_or(&[][..], Vec::as_slice);
        let pool = pools.entry(&event.target).or_default();
        pool.add(event, runs);
        losses.extend(losses_of(event, runs));
    }
    for pool in pools.values_mut() {
        pool.sort();
    }
    let mut count = Count::default();
    for loss in losses {
        count.shed += u64::from(!loss.preempted);
        count.preempted += u64::from(loss.preempted);
        let found = pools[loss.event.target.as_str()].passed_over(&loss, share);
        count.inversions += u64::from(found.any);
        count.beyond_share += u64::from(found.beyond_share);
    }
    count
}

/// A request that was shed or preempted.
struct Loss<'a> {
    event: &'a Event,
    at: Millis,
    preempted: bool,
}

fn losses_of<'a>(event: &'a Event, runs: &[&Run]) -> Vec<Loss<'a>> {
    let shed = event
        .attempts
        .iter()
        .filter(|attempt| attempt.code.as_deref() == Some(SHED))
        .map(|attempt| (attempt.ended_at, false));
    // Callers of this tool never go away, so only the fleet ends a run early.
    let broken = event.any(How::Broken);
    let preempted = runs
        .iter()
        .filter(|run| !broken && matches!(run.end.as_str(), "cancelled" | "disconnected"))
        .filter_map(|run| Some((run.ended_ms?, true)));
    let loss = |(at, preempted)| Loss {
        event,
        at,
        preempted,
    };
    shed.chain(preempted).map(loss).collect()
}

/// What was found about one loss.
struct Found {
    any: bool,
    beyond_share: bool,
}

/// The requests for one target.
#[derive(Default)]
struct Pool {
    /// By tier, workspace and class.
    lines: BTreeMap<(u8, String, String), Line>,
    admitted: Vec<Admission>,
}

/// The requests of one class.
#[derive(Default)]
struct Line {
    /// Starts and ends of waiting.
    waits: Vec<(Millis, Millis)>,
    longest_wait: Millis,
    admitted: Vec<Admission>,
}

/// A request's start at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Admission {
    at: Millis,
    tokens: u32,
}

impl Pool {
    fn add(&mut self, event: &Event, runs: &[&Run]) {
        let key = (event.tier, event.workspace.clone(), event.class.clone());
        let line = self.lines.entry(key).or_default();
        let starts: Vec<_> = runs.iter().filter_map(|run| run.started_ms).collect();
        for attempt in &event.attempts {
            let (start, end) = wait(attempt, &starts);
            line.waits.push((start, end));
            line.longest_wait = line.longest_wait.max(end - start);
        }
        for at in starts {
            let tokens = event.length;
            line.admitted.push(Admission { at, tokens });
            self.admitted.push(Admission { at, tokens });
        }
    }

    fn sort(&mut self) {
        self.admitted.sort_unstable();
        for line in self.lines.values_mut() {
            line.admitted.sort_unstable();
            line.waits.sort_unstable();
        }
    }

    fn passed_over(&self, loss: &Loss<'_>, share: f64) -> Found {
        let admitted = within(&self.admitted, loss.at);
        let owed = share * f64::from(tokens(admitted, 0));
        let mut found = Found {
            any: false,
            beyond_share: false,
        };
        let lower = self
            .lines
            .iter()
            .filter(|((tier, _, _), _)| *tier > loss.event.tier);
        for (_, line) in lower {
            let waiting = line.waiting(loss.at);
            let admitted = within(&line.admitted, loss.at);
            found.any |= waiting > 0 || !admitted.is_empty();
            let served = f64::from(tokens(admitted, UNFORESEEN));
            found.beyond_share |= waiting > 1 || served > owed;
        }
        found
    }
}

/// From the sending to the first start at an endpoint, or to the refusal.
fn wait(attempt: &Attempt, starts: &[Millis]) -> (Millis, Millis) {
    let span = attempt.at..=attempt.ended_at;
    let admitted = starts.iter().filter(|at| span.contains(at)).min();
    (attempt.at, admitted.copied().unwrap_or(attempt.ended_at))
}

impl Line {
    /// Requests that waited all around a point in time.
    fn waiting(&self, at: Millis) -> usize {
        let begun = self.waits.partition_point(|(start, _)| *start + BLUR <= at);
        let over = self
            .waits
            .partition_point(|(start, _)| *start + self.longest_wait < at);
        let until = at + BLUR;
        self.waits[over.min(begun)..begun]
            .iter()
            .filter(|(_, end)| *end > until)
            .count()
    }
}

/// Admissions in the second after a point in time.
fn within(admitted: &[Admission], at: Millis) -> &[Admission] {
    let from = admitted.partition_point(|admission| admission.at <= at + BLUR);
    let to = admitted.partition_point(|admission| admission.at <= at + AFTER);
    &admitted[from..to]
}

/// Tokens of all but the longest few.
fn tokens(admitted: &[Admission], longest: usize) -> u32 {
    let mut tokens: Vec<_> = admitted.iter().map(|admission| admission.tokens).collect();
    tokens.sort_unstable();
    let kept = tokens.len().saturating_sub(longest);
    tokens[..kept].iter().sum()
}

#[cfg(test)]
mod tests;
