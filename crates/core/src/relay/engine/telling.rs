//! What an entry tells others of its engines, and takes from them.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::engine::Loads;
use crate::relay::load_report::{self, EndpointLoad, LoadReport, ServiceLoad};

/// The most services whose work one message tells of: so that it fits into a datagram
/// beside what is told of endpoints.
const MOST_WORKS: usize = 10;
/// In the room of one service's work, so many endpoints could be told of.
const SHARES_FOR_WORK: usize = 4;

impl Loads {
    /// This entry's load, for the others; of at most so many endpoints.
    pub fn tidings(&self, most: usize, now: Millis) -> LoadReport {
        let all = self.endpoints.iter();
        let busy = all.filter(|(_, load)| load.running() > 0);
        let endpoints = busy.map(|(life, load)| EndpointLoad {
            endpoint: load_report::life_key(life),
            running: u32::try_from(load.running()).unwrap_or(u32::MAX),
            prefill_tokens: load.unread(),
            kv_tokens: load.held(),
            token_time: load.beat.seen(now).map_or(0, tenths),
        });
        let services = self.works(now);
        let most = most.saturating_sub(SHARES_FOR_WORK * services.len().saturating_sub(1));
        let mut endpoints: Vec<_> = endpoints.collect();
        endpoints.sort_unstable_by_key(|share| Reverse((share.prefill_tokens, share.running)));
        endpoints.truncate(most);
        LoadReport {
            endpoints,
            services,
        }
    }

    /// The work for each service, the heaviest first.
    fn works(&self, now: Millis) -> Vec<ServiceLoad> {
        let services = self.demands.iter().map(|(service, demand)| ServiceLoad {
            service: load_report::name_key(service),
            required: demand.needed(now),
            pace: self.pace(service).tell(),
        });
        let mut services: Vec<_> = services.collect();
        let weight = |work: &ServiceLoad| work.required.steady + work.required.prefill;
        services.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
        services.truncate(MOST_WORKS);
        services
    }

    /// Takes what another entry tells of its load.
    pub fn tell(&mut self, entry: &name::Entry, tidings: &LoadReport, now: Millis) {
        self.others.record(entry, tidings, now);
        for (service, pace) in &mut self.paces {
            let key = load_report::name_key(service);
            let mut services = tidings.services.iter();
            if let Some(work) = services.find(|work| work.service == key) {
                pace.told(&work.pace);
            }
        }
        let seen = tidings
            .endpoints
            .iter()
            .filter(|share| share.token_time > 0);
        let times: HashMap<_, _> = seen.map(|it| (it.endpoint, it.token_time)).collect();
        if times.is_empty() {
            return;
        }
        for (life, load) in &mut self.endpoints {
            if let Some(tenths) = times.get(&load_report::life_key(life)) {
                load.beat.learn(f64::from(*tenths) / 10.0, now);
            }
        }
    }
}

/// A span in ms as a whole number of tenths.
fn tenths(span: f64) -> u16 {
    // Clamped to what fits.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tenths = (span * 10.0).round().clamp(0.0, f64::from(u16::MAX)) as u16;
    tenths
}
