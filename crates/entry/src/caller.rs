//! The side that callers see: HTTP in the OpenAI-compatible form.

pub mod answer;
pub mod answers;
pub mod authority;
pub mod body;
pub mod deferred;
pub mod entries;
pub mod guard;
pub mod identities;
pub mod model;
pub mod presence;
pub mod refusal;
pub mod service;

use actix_web::http::Method;
use actix_web::{HttpResponse, Resource, Route, rt, web};
use woodgap_core::once::Key;

pub use authority::Authority;
pub use body::Body;

use crate::once::{self, Kind};
use crate::request::call::Form;
use crate::request::run::{self, Worker};
use crate::request::sink::Source;
use crate::request::{Head, Problem, Received, Request, Sink};

/// Adds the callers' routes.
pub fn routes(config: &mut web::ServiceConfig) {
    let chat = web::post().to(model::chat);
    let completion = web::post().to(model::completion);
    let defer_chat = web::post().to(deferred::chat);
    let defer_completion = web::post().to(deferred::completion);
    config
        .service(only(Form::Chat.path(), Method::POST, chat))
        .service(only(Form::Completion.path(), Method::POST, completion))
        .service(only("/v1/models", Method::GET, web::get().to(model::list)))
        .service(only(
            "/v1/entries",
            Method::GET,
            web::get().to(entries::list),
        ))
        .service(only(
            "/v1/identities",
            Method::POST,
            web::post().to(identities::issue),
        ))
        .service(only(
            "/v1/answers/{identity:.*}",
            Method::GET,
            web::get().to(answers::get),
        ))
        .service(only(deferred::CHAT_PATH, Method::POST, defer_chat))
        .service(only(
            deferred::COMPLETION_PATH,
            Method::POST,
            defer_completion,
        ))
        .service(only(
            deferred::ANSWER_PATH,
            Method::GET,
            web::get().to(deferred::get),
        ))
        .route("/v1/services/{name}/{path:.*}", web::to(service::call));
}

/// A path with one method; a caller that uses another is told so.
fn only(path: &str, method: Method, route: Route) -> Resource {
    let refuse = move || std::future::ready(refusal::wrong_method(&method));
    web::resource(path)
        .route(route)
        .default_service(web::to(refuse))
}

/// Carries out a caller's request and answers it; one that carries an identity is
/// recorded, and may turn out to be known already.
async fn carry_out(
    worker: &Worker,
    authority: &Authority,
    mut head: Head,
    kind: Kind,
) -> Result<HttpResponse, Problem> {
    let id = head.id;
    let source = if let Some(identity) = &authority.identity {
        let key = Key::new(&authority.workspace.name, identity);
        head.identity = key.hash();
        let reader = once::submit(worker, head, key, kind.clone()).await?;
        Source::Recorded(reader)
    } else {
        let (sink, source) = Sink::new(worker.caller_timeout());
        let request = Request::<Received>::new(head);
        rt::spawn(run::run(worker.clone(), request, sink));
        source
    };
    answer::shown(source, kind, id, worker.shared.clone()).await
}
