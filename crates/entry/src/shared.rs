//! What every part of one entry can reach.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use cadence::StatsdClient;
use tokio::sync::{Notify, watch};
use woodgap_core::burn;
use woodgap_core::clock::Millis;
use woodgap_core::membership::Member;
use woodgap_core::name;
use woodgap_core::relay::shutdown::Shutdown;
use woodgap_platform::clock::Clock;
use woodgap_settings::entry::Entry as Settings;

use crate::configuration::InForce;
use crate::control::Handle;
use crate::deferred;
use crate::once::Once;
use crate::running::Running;
use crate::stop;

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
    /// The work on orders, until its leases are given back.
    pub ordering: Running,
    /// Requests that carry an identity.
    pub once: Once,
    /// Counts for the burn report.
    pub counts: Mutex<burn::Recorder>,
    /// Metrics.
    pub metrics: StatsdClient,
    shutdown: watch::Sender<Option<Shutdown>>,
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
            ordering: Running::default(),
            once,
            counts: Mutex::new(recorder),
            metrics,
            shutdown: watch::Sender::new(None),
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
        self.shutdown().is_some()
    }

    /// The planned stop, once it has begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Waits until the planned stop begins.
    pub async fn stopped(&self) -> Shutdown {
        let mut news = self.shutdown.subscribe();
        let begun = news.wait_for(Option::is_some).await;
        let shutdown = begun.ok().and_then(|shutdown| *shutdown);
        match shutdown {
            Some(shutdown) => shutdown,
            // The sender is a part of this state: it is there.
            None => std::future::pending().await,
        }
    }

    /// Takes no new work from now on; the entry was told to stop at this moment.
    pub fn stop(&self, told: Millis) {
        let shutdown = stop::shutdown(self.settings.grace, told);
        self.shutdown
            .send_modify(|begun| *begun = begun.or(Some(shutdown)));
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
