//! Whether endpoints that had asked for a back-off were left alone.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Scene;
use crate::endpoint::BACK_OFF;
use crate::record::Problem;

/// From so long after an endpoint has turned a process away until the end of the back-off, so many
/// requests from it may still come.
const KNOWN_AFTER: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;

/// The processes from which an endpoint that had turned them away got too much, one problem for
/// each and each life of the endpoint.
pub(super) fn problems(scene: &Scene) -> Vec<Problem> {
    let mut by_pair: BTreeMap<_, Vec<(Instant, bool)>> = BTreeMap::new();
    for arrival in scene.record.all_arrivals() {
        let pair = (arrival.endpoint, arrival.sender);
        let arrived = (arrival.at, arrival.is_turned_away);
        by_pair.entry(pair).or_default().push(arrived);
    }
    let excesses = by_pair.iter().filter_map(|(((endpoint, _), life), all)| {
        let turned_away = all.iter().filter(|(_, is_turned_away)| *is_turned_away);
        let mut counts = turned_away.filter_map(|(at, _)| {
            let (from, until) = (*at + KNOWN_AFTER, *at + BACK_OFF);
            let is_bound = !scene.entries.was_hurt(*life, until)
                && !scene.was_path_faulty(endpoint, *at, until);
            let within = all.iter().filter(|(at, _)| *at >= from && *at < until);
            is_bound.then(|| within.count())
        });
        let count = counts.find(|count| *count > ALLOWED)?;
        Some(Problem::BackedOff(endpoint.clone(), count))
    });
    excesses.collect()
}
