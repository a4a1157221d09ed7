//! The side that callers see: HTTP in the OpenAI-compatible form.

pub mod answer;
pub mod authority;
pub mod deferred;
pub mod entries;
pub mod model;
pub mod presence;
pub mod refusal;
pub mod service;

use actix_web::web;

pub use authority::Authority;
pub use presence::Presence;

use crate::request::call::Form;

/// Adds the callers' routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(Form::Chat.path(), web::post().to(model::chat))
        .route(Form::Completion.path(), web::post().to(model::completion))
        .route("/v1/models", web::get().to(model::list))
        .route(deferred::CHAT_PATH, web::post().to(deferred::chat))
        .route(
            deferred::COMPLETION_PATH,
            web::post().to(deferred::completion),
        )
        .route(deferred::ANSWER_PATH, web::get().to(deferred::get))
        .route("/v1/entries", web::get().to(entries::list))
        .route("/v1/services/{name}/{path:.*}", web::to(service::call));
}
