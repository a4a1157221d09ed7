//! What operators see of the fleet, and how they take instances out of it.

use actix_web::HttpRequest;
use actix_web::web::{Data, Json};
use woodgap_core::admin::{Drain, Entry, EntryState, Status};
use woodgap_core::clock::Millis;
use woodgap_core::control::Event;

use crate::admin::authority::{Failure, operator};
use crate::request::run::Worker;

/// `GET /admin/v1/status`.
///
/// TODO: list the other entries, once entries know of one another.
pub(crate) async fn status(
    worker: Data<Worker>,
    request: HttpRequest,
) -> Result<Json<Status>, Failure> {
    let shared = &worker.shared;
    operator(shared, &request)?;
    let catalog = shared.in_force.confirmed(shared.clock.now());
    let revision = catalog.as_ref().map_or(0, |catalog| catalog.revision());
    let state = match (catalog, shared.stopping()) {
        (_, true) => EntryState::Leaving,
        (None, _) => EntryState::NotReady,
        (Some(_), _) => EntryState::Live,
    };
    let own = Entry {
        name: shared.settings.name.clone(),
        data_centre: shared.settings.data_centre.clone(),
        incarnation: shared.incarnation,
        revision,
        state,
        age: Millis::ZERO,
    };
    Ok(Json(Status {
        revision,
        entries: vec![own],
        endpoints: Vec::new(),
    }))
}

/// `POST /admin/v1/drain`.
pub(crate) async fn drain(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Json<Drain>,
) -> Result<Json<Drain>, Failure> {
    operator(&worker.shared, &request)?;
    worker
        .shared
        .control
        .tell(Event::Drain(body.instance.clone()));
    Ok(body)
}
