//! Which entry a caller should use.

use actix_web::web::{Data, Json, Query};
use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::request::run::Worker;

/// How long callers may keep the answer.
const LIFETIME: Millis = Millis(5_000);

/// What the caller says of itself.
#[derive(Debug, Deserialize)]
pub(crate) struct Question {
    /// Entries of this data centre come first.
    data_centre: Option<String>,
}

/// The answer to `GET /v1/entries`.
#[derive(Debug, Serialize)]
pub(crate) struct Entries {
    entries: Vec<Listed>,
    lifetime_ms: Millis,
}

#[derive(Clone, Debug, Serialize)]
struct Listed {
    url: String,
    name: String,
    data_centre: name::DataCentre,
}

/// `GET /v1/entries`.
pub(crate) async fn list(worker: Data<Worker>, question: Query<Question>) -> Json<Entries> {
    let shared = &worker.shared;
    let instances = shared.entries.load_full();
    let mut entries: Vec<Listed> = instances
        .iter()
        .map(|instance| Listed {
            url: format!("http://{}", instance.address),
            name: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
        })
        .collect();
    let near = question
        .data_centre
        .as_deref()
        .unwrap_or(shared.settings.data_centre.as_str());
    entries.sort_by_key(|entry| entry.data_centre.as_str() != near);
    Json(Entries {
        entries,
        lifetime_ms: LIFETIME,
    })
}
