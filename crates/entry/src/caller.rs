//! The side that callers see: HTTP in the OpenAI-compatible form.

pub mod answer;
pub mod answers;
pub mod authority;
pub mod entries;
pub mod identities;
pub mod model;
pub mod presence;
pub mod refusal;
pub mod service;

use actix_web::{HttpRequest, HttpResponse, rt, web};
use woodgap_core::once::Key;

pub use authority::Authority;
pub use presence::Presence;

use crate::once::{self, Kind};
use crate::request::call::Form;
use crate::request::run::{self, Worker};
use crate::request::sink::Source;
use crate::request::{Head, Problem, Received, Request, Sink};

/// Adds the callers' routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(Form::Chat.path(), web::post().to(model::chat))
        .route(Form::Completion.path(), web::post().to(model::completion))
        .route("/v1/models", web::get().to(model::list))
        .route("/v1/entries", web::get().to(entries::list))
        .route("/v1/identities", web::post().to(identities::issue))
        .route("/v1/answers/{identity:.*}", web::get().to(answers::get))
        .route("/v1/services/{name}/{path:.*}", web::to(service::call));
}

/// Carries out a caller's request and answers it; one that carries an identity is
/// recorded, and may turn out to be known already.
async fn carry_out(
    worker: &Worker,
    request: &HttpRequest,
    authority: &Authority,
    mut head: Head,
    kind: Kind,
) -> Result<HttpResponse, Problem> {
    let id = head.id;
    let presence = Presence::of(request);
    let source = if let Some(identity) = &authority.identity {
        let key = Key::new(&authority.workspace.name, identity);
        head.identity = key.hash();
        let reader = once::submit(worker, head, key, kind.clone(), presence).await?;
        Source::Recorded(reader)
    } else {
        let (sink, source) = Sink::new(presence);
        let request = Request::<Received>::new(head);
        rt::spawn(run::run(worker.clone(), request, sink));
        source
    };
    answer::shown(source, kind, id, worker.shared.clone()).await
}
