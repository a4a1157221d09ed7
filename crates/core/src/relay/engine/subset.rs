//! The subset of a service's engines that is in use.
//!
//! A service may have thousands of engines, of which a hundred could do all the work, while
//! each entry sees less than one request per second. Spread over all of them, no request would
//! find an engine with its shared prompt parts in the cache, nor an open connection, and each
//! choice would compare thousands of engines. All entries therefore use the first engines of
//! an order that they share without communication. Their number is a multiple of what the
//! demand needs and changes by factors of two, so that entries with different views of the
//! demand still use the same engines.

use crate::clock::Millis;
use crate::relay::RequestProfile;
use crate::relay::engine::LoadBalancer;
use crate::relay::load_report;
use crate::relay::roster::Endpoint;

/// Services with fewer engines use all of them: bursts begin before the demand is known.
const MIN_ENGINES: usize = 256;
/// The minimum ratio of engines in use to engines needed at the target load: a third may be
/// lost while demand doubles.
const HEADROOM: f64 = 3.0;
/// How long demand must be low before fewer engines are used: bursts come in series.
const SHRINK_DELAY: Millis = Millis(30_000);

/// The number of engines of a service that are in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveSubset {
    count: usize,
    /// The last time at which half as many engines would have been too few.
    last_needed: Millis,
}

impl ActiveSubset {
    /// Starts with the smallest subset, as of `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            count: MIN_ENGINES,
            last_needed: now,
        }
    }

    /// Adjusts the number of engines in use to the number needed at the target load, and
    /// returns it.
    pub fn resize(&mut self, needed: f64, now: Millis) -> usize {
        let target = needed * HEADROOM;
        while self.count as f64 <= target {
            self.count *= 2;
        }
        if self.count as f64 <= target * 2.0 {
            self.last_needed = now;
        }
        if self.count > MIN_ENGINES && now - self.last_needed >= SHRINK_DELAY {
            self.count /= 2;
            self.last_needed = now;
        }
        self.count
    }
}

impl LoadBalancer {
    /// Returns the engines in use among the usable ones of a service. Plain services use all
    /// their endpoints, as their demand is unknown. The demand is spread over `entries`
    /// entries.
    pub fn active_subset<'e>(
        &mut self,
        endpoints: Vec<&'e Endpoint>,
        profile: &RequestProfile<'_>,
        entries: usize,
        now: Millis,
    ) -> Vec<&'e Endpoint> {
        let Some(first) = endpoints.first().filter(|_| endpoints.len() > MIN_ENGINES) else {
            return endpoints;
        };
        if profile.engine.is_none() {
            return endpoints;
        }
        let service = first.service.clone();
        let needed = self.engines_needed(&service, entries, now);
        let subset = self
            .subsets
            .entry(service)
            .or_insert_with(|| ActiveSubset::new(now));
        let count = subset.resize(needed, now);
        if count >= endpoints.len() {
            return endpoints;
        }
        let ordered = endpoints.into_iter();
        let mut ordered: Vec<_> = ordered
            .map(|it| (load_report::life_hash(&it.life), it))
            .collect();
        ordered.select_nth_unstable_by_key(count, |(position, _)| *position);
        ordered.truncate(count);
        ordered.into_iter().map(|(_, engine)| engine).collect()
    }
}
