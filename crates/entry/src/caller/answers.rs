//! Answers by their identity, of deferred requests and of others.

use actix_web::web::{Data, Path, Query};
use actix_web::{HttpRequest, HttpResponse};
use serde::Deserialize;
use woodgap_core::once::Key;

use crate::caller::{Authority, answer, deferred};
use crate::once::{self, Kind};
use crate::request::run::Worker;
use crate::request::sink::Source;
use crate::request::{Code, Problem};

/// How the caller wants the answer.
#[derive(Debug, Deserialize)]
pub(crate) struct Wanted {
    /// As events or whole; left out, as the first submission asked for it.
    stream: Option<bool>,
}

/// `GET /v1/answers/{identity}`.
pub(crate) async fn get(
    worker: Data<Worker>,
    request: HttpRequest,
    identity: Path<String>,
    wanted: Query<Wanted>,
) -> Result<HttpResponse, Problem> {
    let authority = Authority::of(&worker.shared, &request)?;
    let key = Key::new(&authority.workspace.name, &identity);
    match deferred::collect(&worker, &key).await {
        Ok(Some(response)) => return Ok(response),
        Ok(None) => {}
        // Whether it is deferred can't be told now; an entry may know it all the same.
        Err(problem) if problem.code == Code::PlatformOut => {}
        Err(problem) => return Err(problem),
    }
    let found = once::find(&worker, &key).await?;
    let id = found.reader.request();
    let kind = shown_as(found.kind, wanted.stream);
    let source = Source::Recorded(found.reader);
    answer::shown(source, kind, id, worker.shared.clone()).await
}

fn shown_as(kind: Kind, wanted: Option<bool>) -> Kind {
    match kind {
        Kind::Model {
            form,
            model,
            stream,
        } => Kind::Model {
            form,
            model,
            stream: wanted.unwrap_or(stream),
        },
        Kind::Service => Kind::Service,
    }
}
