//! Which part of a service's engines is in use.
//!
//! The load pattern: thousands of engines, of which some hundred would do all the work, before
//! entries that each see less than a request a second. Spread over all of them, no request
//! meets an engine that has read its prompt's shared parts, nor an open connection, and each
//! choice looks at thousands. So all entries use the first engines of one order that they
//! share without asking: some times as many as the demand needs, in steps of two, so that
//! entries that see the demand differently still use the same ones.

use crate::clock::Millis;
use crate::relay::RequestProfile;
use crate::relay::engine::LoadBalancer;
use crate::relay::roster::Endpoint;
use crate::relay::tidings;

/// A smaller service uses all its engines: bursts begin before demand is known.
const MIN_ENGINES: usize = 256;
/// How many times as many engines as are needed at ease are in use, at least: a third may be
/// lost while demand doubles.
const HEADROOM: f64 = 3.0;
/// For how long demand must be low before fewer engines are used: bursts come in series.
const SHRINK_DELAY: Millis = Millis(30_000);

/// How many engines of a service are in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveSubset {
    count: usize,
    /// When half as many were too few last.
    last_needed: Millis,
}

impl ActiveSubset {
    /// As few as there ever are, from this moment on.
    pub fn new(now: Millis) -> Self {
        Self {
            count: MIN_ENGINES,
            last_needed: now,
        }
    }

    /// Takes in how many engines are needed at ease; gives back how many are in use.
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
    /// The engines that are in use among those of a service that may be; all endpoints of a
    /// plain service, of which it is not known what it needs. So many entries share the demand.
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
            .map(|it| (tidings::life_hash(&it.life), it))
            .collect();
        ordered.select_nth_unstable_by_key(count, |(position, _)| *position);
        ordered.truncate(count);
        ordered.into_iter().map(|(_, engine)| engine).collect()
    }
}
