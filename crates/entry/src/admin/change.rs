//! Operators' changes of the configuration.

use actix_web::HttpRequest;
use actix_web::web::{Data, Json, Path, Query};
use serde::Deserialize;
use woodgap_core::admin::{Applied, Apply, Change, Kept};
use woodgap_core::config::Catalog;
use woodgap_platform::http::Platform;

use crate::admin::authority::{Failure, operator};
use crate::configuration::Store;
use crate::configuration::{record, watcher};
use crate::request::run::Worker;
use crate::shared::Shared;

/// `POST /admin/v1/apply`.
pub(crate) async fn apply(
    worker: Data<Worker>,
    platform: Data<Platform>,
    request: HttpRequest,
    body: Json<Apply>,
) -> Result<Json<Applied>, Failure> {
    let shared = &worker.shared;
    let operator = operator(shared, &request)?;
    let store = Store::new(Platform::clone(&platform));
    let mut catalog = match shared.in_force.catalog() {
        Some(known) => Catalog::clone(&known),
        None => store.everything().await?,
    };
    let accepted = store
        .apply(&mut catalog, &body, operator, shared.clock.unix())
        .await?;
    take_hold(shared, &store, &accepted.change).await;
    let applied = accepted.applied();
    log::info!(
        operator = operator,
        document = body.document.key(),
        revision = applied.revision,
        already = applied.already;
        "change accepted"
    );
    Ok(Json(applied))
}

/// Puts an accepted change in force here, so that callers of this entry see it at
/// once and the other entries hear of it.
///
/// If changes before it are missing, the log is read; if that fails, the watcher
/// does it a moment later.
async fn take_hold(shared: &Shared, store: &Store<Platform>, change: &record::Change) {
    let step = change
        .pass_on()
        .ok()
        .and_then(|change| shared.in_force.apply(&[change]));
    if step.is_some() {
        watcher::tell(shared, step);
    } else if let Err(error) = watcher::catch_up(shared, store).await {
        log::warn!(error = error.to_string(); "an accepted change is not in force here yet");
    }
}

/// `GET /admin/v1/documents/{key}`.
pub(crate) async fn get(
    worker: Data<Worker>,
    platform: Data<Platform>,
    request: HttpRequest,
    key: Path<String>,
) -> Result<Json<Kept>, Failure> {
    operator(&worker.shared, &request)?;
    let store = Store::new(Platform::clone(&platform));
    let change = store
        .get(&key)
        .await?
        .ok_or_else(|| Failure::NotFound(key.into_inner()))?;
    Ok(Json(Kept {
        document: change.document,
        version: change.version,
        revision: change.revision,
    }))
}

/// Which changes are wanted.
#[derive(Debug, Deserialize)]
pub(crate) struct Wanted {
    /// Only those of this document.
    key: Option<String>,
}

/// `GET /admin/v1/history`, newest first.
pub(crate) async fn history(
    worker: Data<Worker>,
    platform: Data<Platform>,
    request: HttpRequest,
    wanted: Query<Wanted>,
) -> Result<Json<Vec<Change>>, Failure> {
    operator(&worker.shared, &request)?;
    let store = Store::new(Platform::clone(&platform));
    let mut changes = Vec::new();
    let mut revision = 0;
    loop {
        let page = store.after(revision).await?;
        let Some(last) = page.last() else { break };
        revision = last.revision;
        let listed = page.into_iter().map(|change| Change {
            revision: change.revision,
            key: change.document.key(),
            operator: change.operator,
            change: change.change,
            at: change.at,
        });
        changes.extend(
            listed.filter(|change| wanted.key.as_ref().is_none_or(|key| *key == change.key)),
        );
    }
    changes.reverse();
    Ok(Json(changes))
}
