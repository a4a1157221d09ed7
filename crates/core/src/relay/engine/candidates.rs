//! Which engines are compared for one request.

use crate::name;
use crate::relay::division::Division;
use crate::relay::engine::Ask;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::tidings;

/// By how many entries' requests each engine is looked at, at a time: entries hear
/// of one another late, and all of them would send to the one that seems to have
/// the least to do.
const LOOKERS: usize = 8;
/// Of so many engines of either side the best is chosen, at least.
const LEAST_LOOKED_AT: usize = 3;

/// An engine, and whether it is for steady streams.
type Candidate<'e> = (&'e Endpoint, bool);

/// The engine that all entries choose first for a shared prompt of which they know
/// nothing else: rendezvous hashing over those that the request is meant for.
pub(super) fn favourite<'e>(
    division: &Division<'e>,
    is_for_steady: bool,
    ask: &Ask<'_>,
) -> Option<&'e name::Endpoint> {
    let chain = prefix::chains(ask.work?.shared_parts()).last()?;
    let score = |it: &&Endpoint| prefix::mix(chain, tidings::hash(it.name.as_str()));
    let meant = division
        .engines()
        .filter(|(_, is_steady)| *is_steady == is_for_steady);
    let best = meant.map(|(engine, _)| engine).max_by_key(score);
    best.map(|it| &it.name)
}

/// The favourite, and some engines of either side that are drawn anew for each
/// request: the more entries there are, the fewer.
pub(super) fn draw<'e>(
    division: &Division<'e>,
    favourite: Option<&name::Endpoint>,
    entries: usize,
    draw: u64,
) -> Vec<Candidate<'e>> {
    let (steady, others): (Vec<_>, Vec<_>) = division.engines().partition(|(_, it)| *it);
    let mut drawn = some_of(steady, entries, draw);
    drawn.extend(some_of(others, entries, draw));
    let is_drawn = |name: &name::Endpoint| drawn.iter().any(|(engine, _)| engine.name == *name);
    if let Some(missing) = favourite.filter(|name| !is_drawn(name)) {
        let mut all = division.engines();
        drawn.extend(all.find(|(engine, _)| engine.name == *missing));
    }
    drawn
}

fn some_of(mut engines: Vec<Candidate<'_>>, entries: usize, draw: u64) -> Vec<Candidate<'_>> {
    let count = (engines.len() * LOOKERS).div_ceil(entries);
    let count = count.max(LEAST_LOOKED_AT);
    if count < engines.len() {
        let score =
            |(engine, _): &Candidate<'_>| prefix::mix(draw, tidings::hash(engine.name.as_str()));
        engines.sort_by_cached_key(score);
        engines.truncate(count);
    }
    engines
}
