//! The metrics of what is held for callers.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// What is held for callers, and what gave way.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Connections and requests that were refused or closed so that all others are served, by
    /// reason.
    pub events: IntCounterVec,
    /// Connections of callers and other entries that are open.
    pub connections: IntGauge,
    /// Bytes that are held for them.
    pub held_bytes: IntGauge,
}

impl Intake {
    /// All metrics, at zero, registered here.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let events = Opts::new(
            "intake_events",
            "Connections and requests that gave way to others",
        );
        let metrics = Self {
            events: IntCounterVec::new(events, &["reason"])?,
            connections: IntGauge::new("connections", "Connections of callers and entries")?,
            held_bytes: IntGauge::new("held_bytes", "Bytes that are held for them")?,
        };
        registry.register(Box::new(metrics.events.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.held_bytes.clone()))?;
        Ok(metrics)
    }
}
