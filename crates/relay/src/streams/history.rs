//! What the platform stores of the versions of services that have several.
//!
//! Entries tell one another which versions there have been. The platform is for those that start
//! when all others are gone: else a stream that a version began whose last endpoint has just gone
//! would go on at another one.

use std::rc::Rc;
use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::relay::resumption::ServiceVersions;

use crate::follow::usable;
use crate::source::Error;
use crate::source::row::UnusableRows;
use crate::state::State;

/// The time between two looks at what is to be stored.
const CHECK_INTERVAL: Millis = Millis(500);

/// What is to be done at the platform.
enum Change {
    Save(ServiceVersions),
    /// The service has one version again.
    Delete(String),
}

/// Has the platform store the versions of services that have several, for as long as the process
/// runs.
pub async fn run(state: Rc<State>) {
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL.0)).await;
        for change in changes(&state) {
            if let Err(error) = apply(&state, change).await {
                log::info!(error = error.to_string(); "the versions of a service are not stored yet");
            }
        }
    }
}

/// Takes in what the platform stores. A few entries do so, which tell the others.
///
/// # Errors
///
/// If the platform gives no usable answer.
pub async fn restore(state: &State, faults: &mut UnusableRows) -> Result<(), Error> {
    let rows = state.source.list_versions().await?;
    faults.replace(&rows, &state.metrics);
    let now = state.now();
    for stored in rows.into_iter().filter_map(usable) {
        state.streams.registry.borrow_mut().restore(&stored, now);
        let mut known = state.streams.stored.borrow_mut();
        known.insert(stored.service.clone(), stored);
    }
    let peers: Vec<_> = state.fleet.borrow().known().map(|it| it.peer).collect();
    for peer in peers {
        super::tell_past(state, peer);
    }
    Ok(())
}

/// One entry stores the versions of a service; whoever has stored or read them deletes them.
fn changes(state: &State) -> Vec<Change> {
    if !state.has_read_kept.get() {
        return Vec::new();
    }
    let to_store = state.streams.registry.borrow().to_store();
    let stored = state.streams.stored.borrow();
    let outdated = stored.keys().filter(|service| {
        let mut wanted = to_store.iter();
        !wanted.any(|it| it.service == **service)
    });
    let outdated: Vec<_> = outdated.cloned().map(Change::Delete).collect();
    let new = to_store
        .into_iter()
        .filter(|it| stored.get(&it.service) != Some(it) && is_owner(state, &it.service));
    new.map(Change::Save).chain(outdated).collect()
}

fn is_owner(state: &State, service: &str) -> bool {
    let ring = state.fleet.borrow().ring();
    *ring.owner(ServiceVersions::key(service)) == state.settings.name
}

async fn apply(state: &State, change: Change) -> Result<(), Error> {
    match change {
        Change::Save(versions) => {
            state.source.save_versions(&versions).await?;
            log::info!(
                service = versions.service, versions = versions.versions.join(" ");
                "a service has several versions"
            );
            let mut stored = state.streams.stored.borrow_mut();
            stored.insert(versions.service.clone(), versions);
        }
        Change::Delete(service) => {
            state.source.delete_versions(&service).await?;
            log::info!(service = service; "a service has one version again");
            state.streams.stored.borrow_mut().remove(&service);
        }
    }
    Ok(())
}
