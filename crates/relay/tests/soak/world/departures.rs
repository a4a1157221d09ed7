//! Whether endpoints that had said that they were leaving got requests from those that they had told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Scene;
use crate::process::LEAVE;
use crate::record::{Outcome, Problem};

/// Requests that reached an endpoint after its answers had told the same process that it leaves,
/// and were sent later than the bound after that.
pub(super) fn problems(scene: &Scene) -> Vec<Problem> {
    let sent: BTreeMap<_, _> = scene.record.all_sent().into_iter().collect();
    let answered = answered(scene);
    // When each life of an endpoint first told each process.
    let mut told: BTreeMap<_, Instant> = BTreeMap::new();
    let mut problems = Vec::new();
    let arrivals = scene.record.all_arrivals();
    for arrival in arrivals.into_iter().filter(|it| it.is_leaving) {
        let Some(sent) = sent.get(&arrival.request) else {
            continue;
        };
        let pair = (arrival.endpoint.clone(), sent.life);
        if let Some(first) = told.get(&pair) {
            let after = sent.at.saturating_duration_since(*first);
            let is_late = after > Duration::from_millis(LEAVE);
            if is_late && !scene.entries.is_hurt(sent.life) {
                problems.push(Problem::SaidLeaving(arrival.request, after.as_millis()));
            }
            continue;
        }
        if let Some(at) = answered.get(&arrival.request) {
            told.insert(pair, *at);
        }
    }
    problems
}

/// When the callers of requests whose run went well had their answers.
fn answered(scene: &Scene) -> BTreeMap<String, Instant> {
    let sent = scene.record.all_sent().into_iter();
    let ended = sent.filter_map(|(id, sent)| Some((id, sent.ended?)));
    let is_well = |id: &String| {
        let runs = scene.record.runs_of(id);
        runs.iter().all(|run| run.outcome == Outcome::Well) && !runs.is_empty()
    };
    ended.filter(|(id, _)| is_well(id)).collect()
}
