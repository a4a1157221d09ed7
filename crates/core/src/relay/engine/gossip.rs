//! The load that entries report to each other.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::engine::LoadBalancer;
use crate::relay::tidings::{self, Share, Tidings, Work};

/// The most services whose demand one message reports: it has to fit into a datagram together
/// with the load of endpoints.
const MAX_WORKS: usize = 10;
/// The number of endpoint records that take as much space as the record of one service.
const SHARES_PER_WORK: usize = 4;

impl LoadBalancer {
    /// This entry's load for the others, with at most `max_shares` endpoints.
    pub fn gossip(&self, max_shares: usize, now: Millis) -> Tidings {
        let all = self.endpoints.iter();
        let busy = all.filter(|(_, load)| load.running() > 0);
        let shares = busy.map(|(life, load)| Share {
            endpoint: tidings::life_key(life),
            running: u32::try_from(load.running()).unwrap_or(u32::MAX),
            unread: load.pending_prefill(),
            held: load.reserved_tokens(),
            token_time: load.token_timing.recent(now).map_or(0, tenths),
        });
        let works = self.works(now);
        let max_shares = max_shares.saturating_sub(SHARES_PER_WORK * works.len().saturating_sub(1));
        let mut shares: Vec<_> = shares.collect();
        shares.sort_unstable_by_key(|share| Reverse((share.unread, share.running)));
        shares.truncate(max_shares);
        Tidings { shares, works }
    }

    /// The demand for each service, the largest first.
    fn works(&self, now: Millis) -> Vec<Work> {
        let works = self.demand_by_service.iter().map(|(service, demand)| Work {
            service: tidings::key(service),
            needed: demand.needed(now),
            pace: self.speed(service).report(),
        });
        let mut works: Vec<_> = works.collect();
        let weight = |work: &Work| work.needed.steady + work.needed.reading;
        works.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
        works.truncate(MAX_WORKS);
        works
    }

    /// Takes in the load that another entry reports.
    pub fn apply_gossip(&mut self, entry: &name::Entry, tidings: &Tidings, now: Millis) {
        self.peers.tell(entry, tidings, now);
        for (service, speed) in &mut self.speeds {
            let key = tidings::key(service);
            let mut works = tidings.works.iter();
            if let Some(work) = works.find(|work| work.service == key) {
                speed.adopt(&work.pace);
            }
        }
        let seen = tidings.shares.iter().filter(|share| share.token_time > 0);
        let times: HashMap<_, _> = seen.map(|it| (it.endpoint, it.token_time)).collect();
        if times.is_empty() {
            return;
        }
        for (life, load) in &mut self.endpoints {
            if let Some(tenths) = times.get(&tidings::life_key(life)) {
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
