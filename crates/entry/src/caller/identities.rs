//! Issues identities that are bound to this entry.

use actix_web::HttpRequest;
use actix_web::web::{Data, Json};
use serde::Serialize;
use woodgap_core::once::Issued;

use crate::caller::Authority;
use crate::request::Problem;
use crate::request::run::Worker;

/// The answer to `POST /v1/identities`.
#[derive(Debug, Serialize)]
pub(crate) struct Identity {
    identity: String,
    url: String,
}

/// `POST /v1/identities`. Nothing is kept until the identity is used.
pub(crate) async fn issue(
    worker: Data<Worker>,
    request: HttpRequest,
) -> Result<Json<Identity>, Problem> {
    let shared = &worker.shared;
    let authority = Authority::of(shared, &request)?;
    let issued = Issued {
        issuer: shared.incarnation,
        sequence: shared.next_request().sequence,
        at: shared.clock.now(),
        address: shared.once.address,
    };
    Ok(Json(Identity {
        identity: shared
            .once
            .issuer
            .encode(&issued, &authority.workspace.name),
        url: format!("http://{}", issued.address),
    }))
}
