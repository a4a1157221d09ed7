//! Counters and histograms, served as text for whoever asks.

pub mod intake;

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use woodgap_core::relay::scheduling::room::Snapshot;

pub use intake::Intake;

/// Bounds of the histograms' buckets, in ms: from a plain service's answer to
/// the longest that callers wait.
const BUCKETS: &[f64] = &[
    5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0,
];

/// All metrics of a relay.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: IntCounterVec,
    /// Time from a request's arrival to the first byte of its answer, in ms, by service.
    pub first_byte: HistogramVec,
    /// Time from a request's arrival to its end, in ms, by service.
    pub whole: HistogramVec,
    /// Requests sent to endpoints, by how the attempt ended.
    pub attempts: IntCounterVec,
    /// Requests handed to other entries, and taken from them, by outcome.
    pub handovers: IntCounterVec,
    /// What is held for callers, and what gave way.
    pub intake: Intake,
    /// Streams that callers take up, by how the version that began them is known.
    pub resumptions: IntCounterVec,
    /// Batches of streams written to the platform, by outcome.
    pub stream_batches: IntCounterVec,
    /// Responses that ended with their connections, by what the check of their ends found.
    pub unframed_ends: IntCounterVec,
    /// Connections opened to endpoints.
    pub connects: IntCounter,
    /// Calls to the platform, by outcome.
    pub platform_calls: IntCounterVec,
    /// Rows of the platform that have become unusable, by what they are to name.
    pub unusable_rows: IntCounterVec,
    /// How often the platform's store was found to have come back from an older copy.
    pub store_restores: IntCounter,
    /// Version of the plan in force.
    pub plan_version: IntGauge,
    /// Age of the plan's last confirmation, in ms.
    pub plan_age: IntGauge,
    /// Endpoints that are listed.
    pub endpoints: IntGauge,
    /// Age of the list's last confirmation, in ms.
    pub endpoints_age: IntGauge,
    /// Lists that were read at the platform and not taken, as later changes were known.
    pub stale_lists: IntCounter,
    /// Listed endpoints that can't be connected to.
    pub unreachable_endpoints: IntGauge,
    /// Whether this entry has lost its links to all endpoints: 1 or 0.
    pub isolated: IntGauge,
    /// How often it has lost them.
    pub isolations: IntCounter,
    /// Other entries that answer.
    pub entries: IntGauge,
    /// Requests that are being served.
    pub running: IntGauge,
    /// Endpoints that were found to have crashed with requests.
    pub crashes: IntCounter,
    /// Requests that were not sent, since they crash the endpoints that run them.
    pub withheld: IntCounter,
    /// Different requests that are withheld.
    pub quarantined: IntGauge,
    /// Parts of prompts that are withheld.
    pub quarantined_parts: IntGauge,
    /// Endpoints that are limited by the rate limit that they name or have named.
    pub limited_endpoints: IntGauge,
    /// Endpoints that have asked this entry for a back-off, and have taken no request since.
    pub back_offs: IntGauge,
    /// Requests that were not sent, since all endpoints had asked for a back-off.
    pub backed_off: IntCounter,
    /// Requests that were not sent, since all endpoints were at their rate limits.
    pub rate_limited: IntCounter,
    /// Services whose endpoints are brittle.
    pub brittle_services: IntGauge,
    /// Requests that were not sent, since this entry's part of brittle endpoints was in use.
    pub brittle_refusals: IntCounter,
    /// Whether this entry has the duties of one entry at a time: 1 or 0.
    pub has_duties: IntGauge,
    /// Windows of use, by what became of them.
    pub windows: IntCounterVec,
    /// Orders of endpoints, by outcome.
    pub orders: IntCounterVec,
    /// Requests to scheduled services that were refused, by reason.
    pub scheduling_refusals: IntCounterVec,
    /// Claims to a promise that their owner did not answer in time.
    pub unanswered_claims: IntCounter,
    /// The state of each scheduled service, by service and figure; costs are per second.
    pub scheduling: GaugeVec,
    /// Lines of the log that were not written, since there were too many.
    pub dropped_lines: IntCounter,
}

impl Metrics {
    /// All metrics, at zero.
    ///
    /// # Errors
    ///
    /// If two metrics had one name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            HistogramVec::new(options, &["service"])
        };
        let metrics = Self {
            requests: counters("requests", "Requests by how they ended", "outcome")?,
            first_byte: histogram("first_byte_ms", "Arrival to first byte of the answer")?,
            whole: histogram("whole_ms", "Arrival to end")?,
            attempts: counters("attempts", "Attempts at endpoints by outcome", "outcome")?,
            handovers: counters(
                "handovers",
                "Requests handed to other entries, and taken from them",
                "outcome",
            )?,
            intake: Intake::new(&registry)?,
            resumptions: counters("resumptions", "Streams taken up", "version")?,
            unframed_ends: counters("unframed_ends", "Responses without a length", "outcome")?,
            stream_batches: counters("stream_batches", "Streams stored, in batches", "outcome")?,
            connects: IntCounter::new("connects", "Connections opened to endpoints")?,
            platform_calls: counters("platform_calls", "Calls to the platform", "outcome")?,
            unusable_rows: counters("unusable_rows", "Rows that have become unusable", "what")?,
            store_restores: IntCounter::new("store_restores", "Restores of the store seen")?,
            plan_version: IntGauge::new("plan_version", "Version of the plan in force")?,
            plan_age: IntGauge::new("plan_age_ms", "Age of the plan's last confirmation")?,
            endpoints: IntGauge::new("endpoints", "Endpoints that are listed")?,
            endpoints_age: IntGauge::new("endpoints_age_ms", "Age of the list's confirmation")?,
            stale_lists: IntCounter::new("stale_lists", "Lists read too early to be taken")?,
            unreachable_endpoints: IntGauge::new(
                "unreachable_endpoints",
                "Listed endpoints that can't be connected to",
            )?,
            isolated: IntGauge::new(
                "isolated",
                "Whether this entry has lost its links to all endpoints",
            )?,
            isolations: IntCounter::new("isolations", "Losses of all links to endpoints")?,
            entries: IntGauge::new("entries", "Other entries that answer")?,
            running: IntGauge::new("running", "Requests that are being served")?,
            crashes: IntCounter::new("crashes", "Endpoints that have crashed with requests")?,
            withheld: IntCounter::new(
                "withheld",
                "Requests that were not sent: they crash endpoints",
            )?,
            quarantined: IntGauge::new("quarantined", "Different requests that are withheld")?,
            quarantined_parts: IntGauge::new("quarantined_parts", "Parts of prompts withheld")?,
            limited_endpoints: IntGauge::new(
                "limited_endpoints",
                "Endpoints that name a rate limit, or did so lately",
            )?,
            back_offs: IntGauge::new(
                "back_offs",
                "Endpoints that have asked for a back-off, and taken no request since",
            )?,
            backed_off: IntCounter::new(
                "backed_off",
                "Requests that were not sent: all endpoints had asked for a back-off",
            )?,
            rate_limited: IntCounter::new(
                "rate_limited",
                "Requests that were not sent: all endpoints were at their rate limits",
            )?,
            brittle_services: IntGauge::new(
                "brittle_services",
                "Services whose endpoints fail if they have to refuse many requests",
            )?,
            brittle_refusals: IntCounter::new(
                "brittle_refusals",
                "Requests that were not sent: this entry's part of brittle endpoints was in use",
            )?,
            has_duties: IntGauge::new("has_duties", "Whether this entry has the duties")?,
            windows: counters("windows", "Windows of use by their ends", "outcome")?,
            orders: counters("orders", "Orders of endpoints by outcome", "outcome")?,
            scheduling_refusals: counters(
                "scheduling_refusals",
                "Requests to scheduled services that were refused, by reason",
                "reason",
            )?,
            unanswered_claims: IntCounter::new(
                "unanswered_claims",
                "Claims to a promised retry that were not answered in time",
            )?,
            scheduling: GaugeVec::new(
                Opts::new(
                    "scheduling",
                    "Scheduled services: cost per second and counts",
                ),
                &["service", "figure"],
            )?,
            dropped_lines: IntCounter::new("dropped_lines", "Lines of the log not written")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.first_byte.clone()))?;
        registry.register(Box::new(self.whole.clone()))?;
        registry.register(Box::new(self.attempts.clone()))?;
        registry.register(Box::new(self.handovers.clone()))?;
        registry.register(Box::new(self.resumptions.clone()))?;
        registry.register(Box::new(self.stream_batches.clone()))?;
        registry.register(Box::new(self.unframed_ends.clone()))?;
        registry.register(Box::new(self.connects.clone()))?;
        registry.register(Box::new(self.platform_calls.clone()))?;
        registry.register(Box::new(self.unusable_rows.clone()))?;
        registry.register(Box::new(self.store_restores.clone()))?;
        registry.register(Box::new(self.plan_version.clone()))?;
        registry.register(Box::new(self.plan_age.clone()))?;
        registry.register(Box::new(self.endpoints.clone()))?;
        registry.register(Box::new(self.endpoints_age.clone()))?;
        registry.register(Box::new(self.stale_lists.clone()))?;
        registry.register(Box::new(self.unreachable_endpoints.clone()))?;
        registry.register(Box::new(self.isolated.clone()))?;
        registry.register(Box::new(self.isolations.clone()))?;
        registry.register(Box::new(self.entries.clone()))?;
        registry.register(Box::new(self.running.clone()))?;
        registry.register(Box::new(self.crashes.clone()))?;
        registry.register(Box::new(self.withheld.clone()))?;
        registry.register(Box::new(self.quarantined.clone()))?;
        registry.register(Box::new(self.quarantined_parts.clone()))?;
        registry.register(Box::new(self.limited_endpoints.clone()))?;
        registry.register(Box::new(self.back_offs.clone()))?;
        registry.register(Box::new(self.backed_off.clone()))?;
        registry.register(Box::new(self.rate_limited.clone()))?;
        registry.register(Box::new(self.brittle_services.clone()))?;
        registry.register(Box::new(self.brittle_refusals.clone()))?;
        registry.register(Box::new(self.has_duties.clone()))?;
        registry.register(Box::new(self.windows.clone()))?;
        registry.register(Box::new(self.orders.clone()))?;
        registry.register(Box::new(self.scheduling_refusals.clone()))?;
        registry.register(Box::new(self.unanswered_claims.clone()))?;
        registry.register(Box::new(self.scheduling.clone()))?;
        registry.register(Box::new(self.dropped_lines.clone()))
    }

    /// Sets the figures of a scheduled service; a level of 0 stands for none.
    pub fn set_scheduling(&self, service: &str, snapshot: &Snapshot, backlog: f64) {
        let set = |figure: &str, value: f64| {
            self.scheduling
                .with_label_values(&[service, figure])
                .set(value);
        };
        set("level", snapshot.level.unwrap_or_default());
        set("offered", snapshot.offered);
        set("served", snapshot.served);
        set("late", snapshot.late);
        set("waiting", backlog);
        set("workspaces_over_share", snapshot.over_share as f64);
        for (priority, fraction) in &snapshot.fractions {
            set(&format!("admitted_fraction_{priority}"), *fraction);
        }
    }

    /// All metrics as text.
    ///
    /// ```
    /// let metrics = woodgap_relay::metrics::Metrics::new().unwrap();
    /// metrics.connects.inc();
    /// assert!(metrics.text().contains("connects 1"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error = error.to_string(); "metrics can't be written as text");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
