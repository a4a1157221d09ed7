//! The load that entries report to each other.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::engine::{LoadBalancer, MAX_NOTICES, ReportNotice};
use crate::relay::load_report::{self, EndpointLoad, LoadReport, ServiceLoad};

/// The most services whose demand one message reports: it has to fit into a datagram together
/// with the load of endpoints.
const MAX_WORKS: usize = 10;
/// The number of endpoint records that take as much space as the record of one service.
const SHARES_PER_WORK: usize = 4;
/// Reports of endpoints take 11 bytes each, endpoint records 15: four of the former displace
/// three of the latter.
const NOTICES_PER_SHARES: (usize, usize) = (4, 3);

impl LoadBalancer {
    /// This entry's load for the others, with at most `max_shares` endpoints.
    pub fn gossip(&self, max_shares: usize, now: Millis) -> LoadReport {
        let all = self.endpoints.iter();
        let busy = all.filter(|(_, load)| load.running() > 0);
        let endpoints = busy.map(|(life, load)| EndpointLoad {
            endpoint: load_report::life_key(life),
            running: u32::try_from(load.running()).unwrap_or(u32::MAX),
            prefill_tokens: load.pending_prefill(),
            kv_tokens: load.reserved_tokens(),
            token_time: load.token_timing.recent(now).map_or(0, tenths),
        });
        let services = self.works(now);
        let max_shares =
            max_shares.saturating_sub(SHARES_PER_WORK * services.len().saturating_sub(1));
        let reports = self.notices(max_shares, now);
        let displaced = reports.len() * NOTICES_PER_SHARES.1;
        let max_shares = max_shares.saturating_sub(displaced.div_ceil(NOTICES_PER_SHARES.0));
        let mut endpoints: Vec<_> = endpoints.collect();
        endpoints.sort_unstable_by_key(|share| Reverse((share.prefill_tokens, share.running)));
        endpoints.truncate(max_shares);
        LoadReport {
            endpoints,
            services,
            reports,
            ..LoadReport::default()
        }
    }

    /// The most recent reports of endpoints, in at most half of the space for endpoint records.
    fn notices(&self, max_shares: usize, now: Millis) -> Vec<ReportNotice> {
        let space = max_shares / 2 * NOTICES_PER_SHARES.0 / NOTICES_PER_SHARES.1;
        self.reports.notices(space.min(MAX_NOTICES), now)
    }

    /// The demand for each service, the largest first.
    fn works(&self, now: Millis) -> Vec<ServiceLoad> {
        let services = self
            .demand_by_service
            .iter()
            .map(|(service, demand)| ServiceLoad {
                service: load_report::name_key(service),
                required: demand.needed(now),
                pace: self.speed(service).report(),
            });
        let mut services: Vec<_> = services.collect();
        let weight = |work: &ServiceLoad| work.required.steady + work.required.prefill;
        services.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
        services.truncate(MAX_WORKS);
        services
    }

    /// Takes in the load that another entry reports.
    pub fn apply_gossip(&mut self, entry: &name::Entry, tidings: &LoadReport, now: Millis) {
        self.peers.record(entry, tidings, now);
        self.reports.record_notices(&tidings.reports, now);
        for (service, speed) in &mut self.speeds {
            let key = load_report::name_key(service);
            let mut services = tidings.services.iter();
            if let Some(work) = services.find(|work| work.service == key) {
                speed.adopt(&work.pace);
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
                load.token_timing.record(f64::from(*tenths) / 10.0, now);
            }
        }
    }
}

/// Converts a duration in ms to tenths of a ms.
fn tenths(span: f64) -> u16 {
    // Clamped to the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tenths = (span * 10.0).round().clamp(0.0, f64::from(u16::MAX)) as u16;
    tenths
}
