//! The load reports that entries exchange: their load by endpoint and by service.

mod running;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::engine::ReportNotice;
use crate::relay::engine_speed;
use crate::relay::lateness::Lateness;
use crate::relay::prefix;
use crate::relay::scheduling;
use running::RunningSums;

/// How long another entry's report is used: the entry may have left since.
const REPORT_TTL: Millis = Millis(1_500);

/// One entry's in-flight load at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The [`life_key`] of the endpoint and its incarnation, so that a report about an earlier
    /// incarnation never counts for a later one.
    pub endpoint: u32,
    /// In-flight requests.
    pub running: u32,
    /// Prompt tokens of these requests that still await prefill.
    pub prefill_tokens: u32,
    /// KV-cache tokens that these requests use or will use.
    pub kv_tokens: u32,
    /// The current time per output token, in tenths of a ms; 0 if not measured recently.
    pub token_time: u16,
}

/// The engine throughput that requests require, in prompt tokens per ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequiredRate {
    /// For streams whose events must come in quick succession.
    pub steady: f64,
    /// For the prefill of other prompts.
    pub prefill: f64,
    /// The recent lateness of both kinds of streams.
    pub lateness: Lateness,
}

/// One entry's load for a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The [`name_key`] of the service.
    pub service: u32,
    /// The required engine throughput.
    pub required: RequiredRate,
    /// The engine speed that the entry has measured.
    pub pace: engine_speed::SpeedReport,
}

/// The load that an entry reports to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Its load by endpoint, heaviest first.
    pub endpoints: Vec<EndpointLoad>,
    /// Its load by service.
    pub services: Vec<ServiceLoad>,
    /// What it observes of the services that are scheduled.
    pub scheduling: Vec<scheduling::Report>,
    /// The most recent loads that endpoints of these services reported.
    pub reports: Vec<ReportNotice>,
}

/// The latest report of each other entry.
#[derive(Debug, Default)]
pub struct PeerReports {
    reports: HashMap<name::Entry, PeerReport>,
    running: RunningSums,
    last_recorded: Millis,
}

#[derive(Debug)]
struct PeerReport {
    endpoints: HashMap<u32, EndpointLoad>,
    services: Vec<ServiceLoad>,
    scheduling: Vec<scheduling::Report>,
    received_at: Millis,
}

/// The in-flight load of all other entries at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// In-flight requests.
    pub running: f64,
    /// Prompt tokens that still await prefill, less the estimated progress since the reports.
    pub prefill_tokens: f64,
    /// KV-cache tokens that the requests use or will use.
    pub kv_tokens: f64,
}

impl PeerReports {
    /// Records an entry's report, which replaces its previous one.
    pub fn record(&mut self, entry: &name::Entry, report: &LoadReport, now: Millis) {
        let endpoints = report.endpoints.iter().map(|load| (load.endpoint, *load));
        let report = PeerReport {
            endpoints: endpoints.collect(),
            services: report.services.clone(),
            scheduling: report.scheduling.clone(),
            received_at: now,
        };
        self.running.add(report.endpoints.values());
        if let Some(previous) = self.reports.insert(entry.clone(), report) {
            self.running.subtract(previous.endpoints.values());
        }
        let expired =
            |_: &name::Entry, report: &mut PeerReport| now - report.received_at >= REPORT_TTL;
        for (_, report) in self.reports.extract_if(expired) {
            self.running.subtract(report.endpoints.values());
        }
        self.last_recorded = now;
    }

    /// The requests of the other entries at an endpoint, by its [`life_key`], that are expected to
    /// be still there, if each stays for `holding` ms.
    pub(super) fn remaining_at(&self, endpoint: u32, holding: f64, now: Millis) -> f64 {
        let remaining = |report: &PeerReport| {
            let load = report.endpoints.get(&endpoint)?;
            let age = (now - report.received_at).0 as f64;
            Some(f64::from(load.running) * remaining_part(age, holding))
        };
        self.live(now).filter_map(remaining).sum()
    }

    /// In-flight requests of the other entries at an endpoint, by its [`life_key`]. It counts
    /// expired reports until the next one arrives, and takes the same time for any number of
    /// entries.
    pub(super) fn running_at(&self, endpoint: u32, now: Millis) -> u32 {
        if now - self.last_recorded >= REPORT_TTL {
            return 0;
        }
        self.running.at(endpoint)
    }

    /// The number of other entries with a recent report.
    pub fn count(&self, now: Millis) -> usize {
        self.live(now).count()
    }

    /// The load of the other entries at an endpoint that prefills `read_rate` tokens per ms.
    pub fn load_at(&self, endpoint: &name::Life, read_rate: f64, now: Millis) -> PeerLoad {
        let key = life_key(endpoint);
        let mut total = PeerLoad::default();
        let mut progress = 0.0;
        for report in self.live(now) {
            if let Some(load) = report.endpoints.get(&key) {
                total.running += f64::from(load.running);
                total.kv_tokens += f64::from(load.kv_tokens);
                total.prefill_tokens += f64::from(load.prefill_tokens);
                let age = (now - report.received_at).0 as f64;
                progress += f64::from(load.prefill_tokens) * age * read_rate;
            }
        }
        // The engine prefills the prompts of all entries in turn, so the progress is shared
        // among them.
        if total.prefill_tokens > 0.0 {
            let progress = progress / total.prefill_tokens;
            total.prefill_tokens = (total.prefill_tokens - progress).max(0.0);
        }
        total
    }

    /// The engine throughput that the other entries' requests to a service require.
    pub fn required_rate(&self, service: &str, now: Millis) -> RequiredRate {
        let key = name_key(service);
        let services = self.live(now).flat_map(|report| &report.services);
        let mut all = RequiredRate::default();
        for load in services.filter(|load| load.service == key) {
            all.steady += load.required.steady;
            all.prefill += load.required.prefill;
            all.lateness.add(&load.required.lateness);
        }
        all
    }

    /// What the other entries observe of a service.
    pub fn scheduling(
        &self,
        service: &str,
        now: Millis,
    ) -> impl Iterator<Item = &scheduling::Report> {
        let key = name_key(service);
        let reports = self.live(now).flat_map(|report| &report.scheduling);
        reports.filter(move |report| report.service == key)
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &PeerReport> {
        let reports = self.reports.values();
        reports.filter(move |report| now - report.received_at < REPORT_TTL)
    }
}

/// The part of what was seen at a random time of its `lifetime` that still is after `age`, both in
/// ms.
pub(super) fn remaining_part(age: f64, lifetime: f64) -> f64 {
    (1.0 - age / lifetime).max(0.0)
}

/// A 32-bit hash of a name. Two names collide with a probability of one in 2^32; their loads are
/// then summed.
pub fn name_key(name: &str) -> u32 {
    low_32_bits(name_hash(name))
}

/// A 32-bit hash of an endpoint's incarnation, see [`name_key`].
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name::{Endpoint, Life};
/// use woodgap_core::relay::load_report;
///
/// let unknown = Life::from(Endpoint::from("e-1"));
/// let known = Life { started_unix: Some(Millis(1_000)), ..unknown.clone() };
/// assert_eq!(load_report::life_key(&unknown), load_report::name_key("e-1"));
/// assert_ne!(load_report::life_key(&known), load_report::life_key(&unknown));
/// ```
pub fn life_key(life: &name::Life) -> u32 {
    low_32_bits(life_hash(life))
}

/// A hash of an endpoint's incarnation that is the same in all entries.
pub fn life_hash(life: &name::Life) -> u64 {
    let hash = name_hash(life.id.as_str());
    let started = life.started_unix;
    started.map_or(hash, |started| prefix::mix(hash, started.0))
}

/// The lower half of a uniformly distributed hash.
pub(super) fn low_32_bits(hash: u64) -> u32 {
    #[allow(clippy::cast_possible_truncation)]
    let low = hash as u32;
    low
}

/// A hash of a name that is the same in all entries.
pub fn name_hash(name: &str) -> u64 {
    let bytes = name.bytes();
    bytes.fold(0, |hash, byte| prefix::mix(hash, u64::from(byte)))
}
