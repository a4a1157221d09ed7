//! Keeps the configuration and the instance list up to date.

use std::sync::Arc;
use std::time::Duration;

use actix::{AsyncContext, Context, WrapFuture};
use woodgap_core::config::Catalog;
use woodgap_core::control::Event;
use woodgap_platform::http::Platform;
use woodgap_platform::instance::List;

use crate::configuration::Store;
use crate::shared::Shared;
use crate::supervisor::Guard;

/// Reads the platform at the period of the settings.
pub struct Watcher {
    shared: Arc<Shared>,
    _guard: Guard,
}

impl Watcher {
    /// A watcher for this entry.
    pub fn new(shared: Arc<Shared>, guard: Guard) -> Self {
        Self {
            shared,
            _guard: guard,
        }
    }
}

impl actix::Actor for Watcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let shared = Arc::clone(&self.shared);
        context.spawn(watch_configuration(shared).into_actor(self));
        let shared = Arc::clone(&self.shared);
        context.spawn(watch_instances(shared).into_actor(self));
    }
}

/// A client of the platform for this thread.
pub fn platform(shared: &Shared) -> Platform {
    let settings = &shared.settings.platform;
    Platform::new(&settings.url, Duration::from_millis(settings.timeout.0))
}

async fn watch_configuration(shared: Arc<Shared>) {
    let store = Store::new(platform(&shared));
    loop {
        let mut catalog = shared
            .catalog
            .load_full()
            .map_or_else(Catalog::default, |catalog| Catalog::clone(&catalog));
        let before = catalog.revision();
        match store.catch_up(&mut catalog).await {
            Ok(()) => {
                if catalog.revision() > before || shared.catalog.load().is_none() {
                    log::info!(revision = catalog.revision(); "configuration in force");
                    shared.catalog.store(Some(Arc::new(catalog)));
                }
            }
            Err(error) => log::warn!(error = error.to_string(); "can't read the configuration"),
        }
        pause(&shared).await;
    }
}

async fn watch_instances(shared: Arc<Shared>) {
    let platform = platform(&shared);
    loop {
        match platform.list().await {
            Ok(instances) => {
                shared.control.tell(Event::Instances(instances));
            }
            Err(error) => log::warn!(error = error.to_string(); "can't read the instance list"),
        }
        pause(&shared).await;
    }
}

async fn pause(shared: &Shared) {
    tokio::time::sleep(Duration::from_millis(shared.settings.platform.poll.0)).await;
}
