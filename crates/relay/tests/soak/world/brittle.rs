//! Whether brittle endpoints had to turn away more than they bear.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Scene;
use crate::endpoint::BORNE;
use crate::record::Problem;

/// What an endpoint says holds from so long after it first said it, through entries that nothing
/// has befallen for as long.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

/// The endpoints that had to turn too many away, one problem for each life of an endpoint.
pub(super) fn problems(scene: &Scene) -> Vec<Problem> {
    let sent: BTreeMap<_, _> = scene.record.all_sent().into_iter().collect();
    let mut first_said = BTreeMap::new();
    let mut refusals: BTreeMap<_, Vec<Instant>> = BTreeMap::new();
    for arrival in scene.record.all_arrivals() {
        let Some(free_slots) = arrival.free_slots else {
            continue;
        };
        let said = *first_said
            .entry(arrival.endpoint.clone())
            .or_insert(arrival.at);
        let since = arrival.at.checked_sub(KNOWN_AFTER).unwrap_or(arrival.at);
        let is_bound = sent
            .get(&arrival.request)
            .is_some_and(|sent| scene.entries.was_sound(sent.life, since, arrival.at));
        if free_slots == 0 && is_bound && said <= since {
            refusals
                .entry(arrival.endpoint)
                .or_default()
                .push(arrival.at);
        }
    }
    let excesses = refusals.into_iter().filter_map(|((endpoint, _), all)| {
        let within = |from: &Instant| {
            all.iter()
                .filter(|at| **at >= *from && **at - *from < SECOND)
                .count()
        };
        let most = all.iter().map(within).max()?;
        (most > BORNE).then_some(Problem::Brittle(endpoint, most))
    });
    excesses.collect()
}
