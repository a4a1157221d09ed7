//! Which part of a service's engines is in use.
//!
//! The load pattern: thousands of engines, of which some hundred would do all the work, before
//! entries that each see less than a request a second. Spread over all of them, no request
//! meets an engine that has read its prompt's shared parts, nor an open connection, and each
//! choice looks at thousands. So all entries use the first engines of one order that they
//! share without asking: some times as many as the demand needs, in steps of two, so that
//! entries that see the demand differently still use the same ones.

use crate::clock::Millis;
use crate::relay::Ask;
use crate::relay::engine::Loads;
use crate::relay::load_report;
use crate::relay::roster::Endpoint;

/// A smaller service uses all its engines: bursts begin before demand is known.
const LEAST: usize = 256;
/// How many times as many engines as are needed at ease are in use, at least: a third may be
/// lost while demand doubles.
const ROOM: f64 = 3.0;
/// For how long demand must be low before fewer engines are used: bursts come in series.
const MEMORY: Millis = Millis(30_000);

/// How many engines of a service are in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    count: usize,
    /// When half as many were too few last.
    full: Millis,
}

impl Part {
    /// As few as there ever are, from this moment on.
    pub fn new(now: Millis) -> Self {
        Self {
            count: LEAST,
            full: now,
        }
    }

    /// Takes in how many engines are needed at ease; gives back how many are in use.
    pub fn settle(&mut self, needed: f64, now: Millis) -> usize {
        let wanted = needed * ROOM;
        while self.count as f64 <= wanted {
            self.count *= 2;
        }
        if self.count as f64 <= wanted * 2.0 {
            self.full = now;
        }
        if self.count > LEAST && now - self.full >= MEMORY {
            self.count /= 2;
            self.full = now;
        }
        self.count
    }
}

impl Loads {
    /// The engines that are in use among those of a service that may be; all endpoints of a
    /// plain service, of which it is not known what it needs. So many entries share the demand.
    pub fn in_use<'e>(
        &mut self,
        endpoints: Vec<&'e Endpoint>,
        ask: &Ask<'_>,
        entries: usize,
        now: Millis,
    ) -> Vec<&'e Endpoint> {
        let Some(first) = endpoints.first().filter(|_| endpoints.len() > LEAST) else {
            return endpoints;
        };
        if ask.engine.is_none() {
            return endpoints;
        }
        let service = first.service.clone();
        let needed = self.engines_needed(&service, entries, now);
        let part = self.parts.entry(service).or_insert_with(|| Part::new(now));
        let count = part.settle(needed, now);
        if count >= endpoints.len() {
            return endpoints;
        }
        let placed = endpoints.into_iter();
        let mut placed: Vec<_> = placed
            .map(|it| (load_report::life_hash(&it.life), it))
            .collect();
        placed.select_nth_unstable_by_key(count, |(place, _)| *place);
        placed.truncate(count);
        placed.into_iter().map(|(_, engine)| engine).collect()
    }
}
