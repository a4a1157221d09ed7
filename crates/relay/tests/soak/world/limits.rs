//! Whether endpoints got no more than the rate limits that they named.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Scene;
use crate::record::{Arrival, Problem};

/// A limit holds from so long after it was first named, through entries that nothing has befallen
/// for as long.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// An entry is bound so long after a request of its own met the limit: the answer may take a while.
const TOLD_AFTER: Duration = Duration::from_secs(1);
/// Within such a span an endpoint gets at most one and a half times what its limit allows, and
/// five requests more.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A request that met a limit, and the process that sent it.
struct Limited {
    life: usize,
    at: Instant,
    limit: f64,
}

/// What endpoints got beyond their limits, one problem for each life of an endpoint.
pub(super) fn problems(scene: &Scene) -> Vec<Problem> {
    let sent: BTreeMap<_, _> = scene.record.all_sent().into_iter().collect();
    let mut by_endpoint: BTreeMap<_, Vec<Limited>> = BTreeMap::new();
    for arrival in scene.record.all_arrivals() {
        let Arrival {
            request,
            endpoint,
            at,
            limit: Some(limit),
            ..
        } = arrival
        else {
            continue;
        };
        if let Some(sent) = sent.get(&request) {
            let life = sent.life;
            by_endpoint
                .entry(endpoint)
                .or_default()
                .push(Limited { life, at, limit });
        }
    }
    let excesses = by_endpoint.iter();
    excesses
        .filter_map(|((endpoint, _), all)| excess(scene, endpoint, all))
        .collect()
}

/// The first window in which a life of an endpoint got too much.
fn excess(scene: &Scene, endpoint: &str, all: &[Limited]) -> Option<Problem> {
    let first = all.first()?;
    let starts = all.iter().map(|it| it.at);
    let starts = starts.filter(|at| *at >= first.at + KNOWN_AFTER);
    let mut excesses = starts.filter_map(|start| {
        let end = start + WINDOW;
        if scene.was_path_faulty(endpoint, start, end) {
            return None;
        }
        let within = all.iter().filter(|it| it.at >= start && it.at < end);
        let is_bound = |it: &&Limited| {
            let mut own = all.iter().filter(|other| other.life == it.life);
            let is_told = own
                .next()
                .is_some_and(|first| first.at + TOLD_AFTER <= it.at);
            let since = start.checked_sub(KNOWN_AFTER).unwrap_or(start);
            is_told && scene.entries.was_sound(it.life, since, it.at)
        };
        let count = within.filter(is_bound).count();
        let allowed = TOLERANCE * first.limit * WINDOW.as_secs_f64() + SLACK;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = allowed as usize;
        (count > allowed).then(|| Problem::Limited(endpoint.to_owned(), count, allowed))
    });
    excesses.next()
}
