//! Calls to plain services.

use actix_web::web::{Data, Path};
use actix_web::{HttpRequest, HttpResponse};

use crate::caller::{Authority, Body, answer};
use crate::request::call::Service;
use crate::request::run::{self, Worker};
use crate::request::{Call, Head, Problem, Received, Request, Sink};

/// `ANY /v1/services/{name}/{path}`.
pub(crate) async fn call(
    worker: Data<Worker>,
    request: HttpRequest,
    path: Path<(String, String)>,
    body: Body,
) -> Result<HttpResponse, Problem> {
    let (target, path) = path.into_inner();
    let authority = Authority::of(&worker.shared, &request)?;
    let (name, class) = authority.class(&target)?;
    authority.check_identity(class)?;
    let content_type = request.headers().get("content-type");
    let head = Head {
        id: worker.shared.next_request(),
        workspace: authority.workspace.name.clone(),
        tier: authority.workspace.tier,
        class: name.clone(),
        weight: class.weight,
        target: target.as_str().into(),
        arrived: worker.shared.clock.now(),
        latency: class.target,
        measure: class.measure,
        repeatable: class.repeatable,
        prefix: 0,
        identity: 0,
        call: Call::Service(Service {
            method: request.method().clone(),
            path: with_query(path, request.query_string()),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            identity: authority.identity.clone(),
            body: body.0,
        }),
    };
    let id = head.id;
    let (sink, source) = Sink::new(worker.caller_timeout());
    actix_web::rt::spawn(run::run(
        worker.get_ref().clone(),
        Request::<Received>::new(head),
        sink,
    ));
    answer::relayed(source, id, &worker.shared).await
}

fn with_query(path: String, query: &str) -> String {
    if query.is_empty() {
        path
    } else {
        format!("{path}?{query}")
    }
}
