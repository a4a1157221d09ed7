//! Calls to plain services.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};

use crate::caller::{self, Authority, Body};
use crate::once::Kind;
use crate::request::call::Service;
use crate::request::run::Worker;
use crate::request::{Call, Head, Problem};

/// `ANY /v1/services/{name}/{path}`.
pub(crate) async fn call(
    worker: Data<Worker>,
    request: HttpRequest,
    path: Path<(String, String)>,
    body: Body,
) -> Result<HttpResponse, Problem> {
    let (target, path) = path.into_inner();
    let authority = Authority::of(&worker.shared, &request)?;
    let class = authority.class(&target)?;
    authority.check_identity(class.1)?;
    let content_type = request.headers().get("content-type");
    let call = Call::Service(Service {
        method: request.method().clone(),
        path: with_query(path, request.query_string()),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        identity: authority.identity.clone(),
        body: body.0,
    });
    let target = target.as_str().into();
    let head = Head::new(&worker.shared, &authority.workspace, class, target, call);
    caller::carry_out(&worker, &authority, head, Kind::Service).await
}

fn with_query(path: String, query: &str) -> String {
    if query.is_empty() {
        path
    } else {
        format!("{path}?{query}")
    }
}
