//! Which engines are compared for one request.

use crate::name;
use crate::relay::Ask;
use crate::relay::division::Division;
use crate::relay::load_report;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::work::Work;

/// By how many entries' requests each engine is looked at, at a time: entries hear
/// of one another late, and all of them would send to the one that seems to have
/// the least to do.
const LOOKERS: usize = 8;
/// Of so many engines of either side the best is chosen, at least.
const LEAST_LOOKED_AT: usize = 3;

/// An engine, and whether it is for steady streams.
type Candidate<'e> = (&'e Endpoint, bool);

/// The engines that all entries expect to keep shared parts of a prompt, without knowing
/// anything else of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Keepers<'e> {
    /// Of all shared parts: the engine that all entries choose first for such prompts.
    pub all: Option<&'e name::Life>,
    /// Of the first part, which the prompts of many subjects have in common: the engine
    /// from which all entries have it taken.
    pub first: Option<&'e name::Life>,
}

impl<'e> Keepers<'e> {
    /// Rendezvous hashing over the engines that the request is meant for.
    pub fn find(division: &Division<'e>, is_for_steady: bool, ask: &Ask<'_>) -> Self {
        let shared = ask.work.map_or(&[][..], Work::shared_parts);
        let mut chains = prefix::chains(shared);
        let first = chains.next();
        let last = chains.last().or(first);
        let keeper = |chain: u64| keeper(division, is_for_steady, chain);
        Self {
            all: last.and_then(keeper),
            first: first.and_then(keeper),
        }
    }
}

fn keeper<'e>(division: &Division<'e>, is_for_steady: bool, chain: u64) -> Option<&'e name::Life> {
    let score = |it: &&Endpoint| prefix::mix(chain, load_report::life_hash(&it.life));
    let meant = division
        .engines()
        .filter(|(_, is_steady)| *is_steady == is_for_steady);
    let best = meant.map(|(engine, _)| engine).max_by_key(score);
    best.map(|it| &it.life)
}

/// The favourite, and some engines of either side that are drawn anew for each
/// request: the more entries there are, the fewer.
pub(super) fn draw<'e>(
    division: &Division<'e>,
    favourite: Option<&name::Life>,
    entries: usize,
    draw: u64,
) -> Vec<Candidate<'e>> {
    let (steady, others): (Vec<_>, Vec<_>) = division.engines().partition(|(_, it)| *it);
    let mut drawn = some_of(steady, entries, draw);
    drawn.extend(some_of(others, entries, draw));
    let is_drawn = |life: &name::Life| drawn.iter().any(|(engine, _)| engine.life == *life);
    if let Some(missing) = favourite.filter(|life| !is_drawn(life)) {
        let mut all = division.engines();
        drawn.extend(all.find(|(engine, _)| engine.life == *missing));
    }
    drawn
}

fn some_of(mut engines: Vec<Candidate<'_>>, entries: usize, draw: u64) -> Vec<Candidate<'_>> {
    let count = (engines.len() * LOOKERS).div_ceil(entries);
    let count = count.max(LEAST_LOOKED_AT);
    if count < engines.len() {
        let score =
            |(engine, _): &Candidate<'_>| prefix::mix(draw, load_report::life_hash(&engine.life));
        engines.sort_by_cached_key(score);
        engines.truncate(count);
    }
    engines
}
