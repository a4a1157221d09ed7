//! What every part of one entry can reach.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use cadence::StatsdClient;
use tokio::sync::Notify;
use woodgap_core::burn;
use woodgap_core::membership::Member;
use woodgap_core::name;
use woodgap_platform::clock::Clock;
use woodgap_settings::entry::Entry as Settings;

use crate::configuration::InForce;
use crate::control::Handle;
use crate::deferred;
use crate::once::Once;
use crate::running::Running;

/// The state that threads share; what decides stands in the control thread.
pub struct Shared {
    /// The settings that the entry was started with.
    pub settings: Settings,
    /// This life of the entry.
    pub incarnation: name::Incarnation,
    /// The entry's clock.
    pub clock: Clock,
    /// The configuration in force.
    pub in_force: Arc<InForce>,
    /// All entries, as the control thread last showed them.
    pub members: ArcSwap<Vec<Member>>,
    /// Requests that were taken and have not ended.
    pub running: Running,
    /// Asks for places at endpoints.
    pub control: Handle,
    /// The background work on deferred requests.
    pub deferred: deferred::Handle,
    /// Requests that carry an identity.
    pub once: Once,
    /// Counts for the burn report.
    pub counts: Mutex<burn::Recorder>,
    /// Metrics.
    pub metrics: StatsdClient,
    stopping: AtomicBool,
    end: Notify,
    sequence: AtomicU64,
}

impl Shared {
    /// The state of an entry that has just started and takes requests at an address.
    pub fn new(
        settings: Settings,
        incarnation: name::Incarnation,
        control: Handle,
        clock: Clock,
        metrics: StatsdClient,
        address: SocketAddr,
    ) -> Self {
        let recorder = burn::Recorder::new(settings.name.clone(), incarnation);
        let once = Once::new(&settings, incarnation, address);
        Self {
            settings,
            incarnation,
            clock,
            in_force: Arc::default(),
            members: ArcSwap::default(),
            running: Running::default(),
            control,
            deferred: deferred::Handle::default(),
            once,
            counts: Mutex::new(recorder),
            metrics,
            stopping: AtomicBool::new(false),
            end: Notify::new(),
            sequence: AtomicU64::new(0),
        }
    }

    /// Names a new request.
    pub fn next_request(&self) -> name::Request {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        name::Request {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Whether the entry takes no new work.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Takes no new work from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.deferred.stop();
    }

    /// Has the process stop as planned.
    pub fn end(&self) {
        self.end.notify_one();
    }

    /// Waits until the process is to stop as planned.
    pub async fn ended(&self) {
        self.end.notified().await;
    }
}
