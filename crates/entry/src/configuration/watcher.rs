//! Keeps the configuration and the instance list up to date.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join;
use woodgap_core::clock::Millis;
use woodgap_core::control::Event;
use woodgap_platform::http::Platform;
use woodgap_platform::instance::List;
use woodgap_platform::table::Scan;

use crate::configuration::in_force::Step;
use crate::configuration::record::Change;
use crate::configuration::store::Refusal;
use crate::configuration::{Pace, Store};
use crate::shared::Shared;

/// Reads the platform at the period of the settings, without end.
pub async fn watch(shared: Arc<Shared>) {
    join(
        watch_configuration(Arc::clone(&shared)),
        watch_instances(shared),
    )
    .await;
}

/// A client of the platform for this thread.
pub fn platform(shared: &Shared) -> Platform {
    let settings = &shared.settings.platform;
    Platform::new(&settings.url, Duration::from_millis(settings.timeout.0))
}

async fn watch_configuration(shared: Arc<Shared>) {
    let store = Store::new(platform(&shared));
    loop {
        let asked = shared.clock.now();
        match catch_up(&shared, &store).await {
            Ok(()) => shared.control.tell(Event::LogRead(asked)),
            Err(error) => log::warn!(error = error.to_string(); "can't read the configuration"),
        }
        pause(&shared).await;
    }
}

/// Puts in force what the table service has, if it is newer.
///
/// # Errors
///
/// If the platform failed, or a row can't be read.
pub async fn catch_up(shared: &Shared, store: &Store<Platform>) -> Result<(), Refusal> {
    loop {
        let Some(known) = shared.in_force.catalog() else {
            tell(shared, shared.in_force.replace(store.everything().await?));
            return Ok(());
        };
        let changes = store.after(known.revision()).await?;
        let Some(first) = changes.first() else {
            return Ok(());
        };
        if first.revision > known.revision() + 1 {
            // Who was away for very long finds the start of the log deleted.
            tell(shared, shared.in_force.replace(store.everything().await?));
            return Ok(());
        }
        let passed_on: Result<Vec<_>, _> = changes.iter().map(Change::pass_on).collect();
        let step = shared.in_force.apply(&passed_on?);
        let last = step.is_none() || changes.len() < Scan::MOST;
        tell(shared, step);
        if last {
            return Ok(());
        }
    }
}

/// Tells the control machine of a step, so that other entries can follow.
pub fn tell(shared: &Shared, step: Option<Step>) {
    if let Some(step) = step {
        shared.control.tell(step.event());
    }
}

async fn watch_instances(shared: Arc<Shared>) {
    let platform = platform(&shared);
    loop {
        match platform.list().await {
            Ok(instances) => {
                shared.control.listed(instances);
            }
            Err(error) => log::warn!(error = error.to_string(); "can't read the instance list"),
        }
        pause(&shared).await;
    }
}

/// Waits for the next read's turn.
async fn pause(shared: &Shared) {
    let settings = &shared.settings;
    let pace = Pace {
        poll: settings.platform.poll,
        // The jitter's tenth is kept free as well.
        longest: Millis(
            (settings.dispatch.unconfirmed_limit - settings.platform.timeout).0 * 9 / 10,
        ),
    };
    let entries = shared.members.load().len() as u64;
    let wait = pace.wait(entries, rand::random());
    tokio::time::sleep(Duration::from_millis(wait.0)).await;
}
