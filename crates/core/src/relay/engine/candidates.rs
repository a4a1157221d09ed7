//! Which engines are compared for one request.

use crate::name;
use crate::relay::RequestProfile;
use crate::relay::partition::Partition;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::tidings;
use crate::relay::work::Work;

/// By how many entries' requests each engine is looked at, at a time: entries hear
/// of one another late, and all of them would send to the one that seems to have
/// the least to do.
const EVALUATORS_PER_ENGINE: usize = 8;
/// Of so many engines of either side the best is chosen, at least.
const MIN_SAMPLE: usize = 3;

/// An engine, and whether it is for steady streams.
type Candidate<'e> = (&'e Endpoint, bool);

/// The engines that all entries expect to keep shared parts of a prompt, without knowing
/// anything else of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixOwners<'e> {
    /// Of all shared parts: the engine that all entries choose first for such prompts.
    pub shared_prefix: Option<&'e name::Life>,
    /// Of the first part, which the prompts of many subjects have in common: the engine
    /// from which all entries have it taken.
    pub first_part: Option<&'e name::Life>,
}

impl<'e> PrefixOwners<'e> {
    /// Rendezvous hashing over the engines that the request is meant for.
    pub fn find(
        partition: &Partition<'e>,
        uses_decode_engines: bool,
        profile: &RequestProfile<'_>,
    ) -> Self {
        let shared = profile.work.map_or(&[][..], Work::shared_parts);
        let mut hashes = prefix::prefix_hashes(shared);
        let first = hashes.next();
        let last = hashes.last().or(first);
        let owner = |hash: u64| owner(partition, uses_decode_engines, hash);
        Self {
            shared_prefix: last.and_then(owner),
            first_part: first.and_then(owner),
        }
    }
}

fn owner<'e>(
    partition: &Partition<'e>,
    uses_decode_engines: bool,
    hash: u64,
) -> Option<&'e name::Life> {
    let score = |it: &&Endpoint| prefix::mix(hash, tidings::life_hash(&it.life));
    let eligible = partition
        .engines()
        .filter(|(_, is_decode_engine)| *is_decode_engine == uses_decode_engines);
    let best = eligible.map(|(engine, _)| engine).max_by_key(score);
    best.map(|it| &it.life)
}

/// The favourite, and some engines of either side that are drawn anew for each
/// request: the more entries there are, the fewer.
pub(super) fn sample<'e>(
    partition: &Partition<'e>,
    preferred: Option<&name::Life>,
    entries: usize,
    seed: u64,
) -> Vec<Candidate<'e>> {
    let (decode, prefill): (Vec<_>, Vec<_>) = partition.engines().partition(|(_, it)| *it);
    let mut sampled = sample_engines(decode, entries, seed);
    sampled.extend(sample_engines(prefill, entries, seed));
    let is_sampled = |life: &name::Life| sampled.iter().any(|(engine, _)| engine.life == *life);
    if let Some(missing) = preferred.filter(|life| !is_sampled(life)) {
        let mut all = partition.engines();
        sampled.extend(all.find(|(engine, _)| engine.life == *missing));
    }
    sampled
}

fn sample_engines(
    mut engines: Vec<Candidate<'_>>,
    entries: usize,
    seed: u64,
) -> Vec<Candidate<'_>> {
    let count = (engines.len() * EVALUATORS_PER_ENGINE).div_ceil(entries);
    let count = count.max(MIN_SAMPLE);
    if count < engines.len() {
        let score =
            |(engine, _): &Candidate<'_>| prefix::mix(seed, tidings::life_hash(&engine.life));
        engines.sort_by_cached_key(score);
        engines.truncate(count);
    }
    engines
}
