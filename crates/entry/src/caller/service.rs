//! Calls to plain services.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};

use crate::caller::{self, Authority, Body};
use crate::once::Kind;
use crate::request::call::Service;
use crate::request::run::Worker;
use crate::request::{Call, Code, Head, Problem};

/// `ANY /v1/services/{name}/{path}`.
pub(crate) async fn call(
    worker: Data<Worker>,
    request: HttpRequest,
    path: Path<(String, String)>,
    body: Body,
) -> Result<HttpResponse, Problem> {
    let (target, decoded) = path.into_inner();
    if is_control(&decoded) {
        let message = "an endpoint's control calls are not for callers";
        return Err(Problem::not_run(Code::UnknownPath, message));
    }
    let path = raw_path(&request);
    let authority = Authority::of(&worker.shared, &request)?;
    let class = authority.class(&target)?;
    authority.check_identity(class.1)?;
    let content_type = request.headers().get("content-type");
    let call = Call::Service(Service {
        method: request.method().clone(),
        path,
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

/// Slashes before the service's own path, in `/v1/services/{name}/{path}`.
const SLASHES: usize = 4;

/// Path and query below the service, byte for byte as the caller wrote them.
fn raw_path(request: &HttpRequest) -> String {
    let whole = request
        .uri()
        .path_and_query()
        .map_or("", |path| path.as_str());
    let below = whole.splitn(SLASHES + 1, '/').nth(SLASHES);
    below.unwrap_or_default().to_owned()
}

/// Whether an endpoint could take a decoded path for one of its control calls.
fn is_control(path: &str) -> bool {
    let path = path.to_ascii_lowercase().replace("%2f", "/");
    let mut segments = Vec::new();
    for segment in path.split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment),
        }
    }
    segments.first() == Some(&"control")
}
