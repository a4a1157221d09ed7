//! Operators' changes of the configuration.

use actix_web::HttpRequest;
use actix_web::web::{Data, Json, Path, Query};
use serde::Deserialize;
use woodgap_core::admin::{Applied, Apply, Change, Kept};
use woodgap_core::config::Catalog;
use woodgap_platform::http::Platform;

use crate::admin::authority::{Failure, operator};
use crate::configuration::Store;
use crate::request::run::Worker;

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
    let applied = store
        .apply(&mut catalog, &body, operator, shared.clock.unix())
        .await?;
    log::info!(
        operator = operator,
        document = body.document.key(),
        revision = applied.revision,
        already = applied.already;
        "change accepted"
    );
    Ok(Json(applied))
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
