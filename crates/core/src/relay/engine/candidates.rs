//! Selection of the engines that are compared for one request.

use crate::name;
use crate::relay::RequestProfile;
use crate::relay::division::Partition;
use crate::relay::load_report;
use crate::relay::prefix;
use crate::relay::roster::Endpoint;
use crate::relay::work::Work;

/// How many entries evaluate each engine at a time. Entries learn of each other's load with a
/// delay; if all of them evaluated every engine, all would send to the one that seems least
/// loaded.
const EVALUATORS_PER_ENGINE: usize = 8;
/// The minimum number of engines sampled from each group.
const MIN_SAMPLE: usize = 3;

/// An engine, and whether it serves decode-heavy streams.
type Candidate<'e> = (&'e Endpoint, bool);

/// The engines that all entries expect to have shared parts of a prompt in their caches,
/// without any communication.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixOwners<'e> {
    /// The engine for all shared parts together: all entries prefer it for such prompts.
    pub shared_prefix: Option<&'e name::Life>,
    /// The engine for the first part, which prompts of many subjects have in common: all
    /// entries have the part fetched from it.
    pub first_part: Option<&'e name::Life>,
}

impl<'e> PrefixOwners<'e> {
    /// Finds the owners by rendezvous hashing over the engines of the request's group.
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
    let score = |it: &&Endpoint| prefix::mix(hash, load_report::life_hash(&it.life));
    let eligible = partition
        .engines()
        .filter(|(_, is_decode_engine)| *is_decode_engine == uses_decode_engines);
    let best = eligible.map(|(engine, _)| engine).max_by_key(score);
    best.map(|it| &it.life)
}

/// Returns the preferred engine and a random sample of each group. The sample is drawn anew
/// for each request, and is smaller the more entries there are.
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
            |(engine, _): &Candidate<'_>| prefix::mix(seed, load_report::life_hash(&engine.life));
        engines.sort_by_cached_key(score);
        engines.truncate(count);
    }
    engines
}
