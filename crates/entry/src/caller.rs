//! The side that callers see: HTTP in the OpenAI-compatible form.

pub mod answer;
pub mod authority;
pub mod body;
pub mod entries;
pub mod guard;
pub mod model;
pub mod presence;
pub mod refusal;
pub mod service;

use actix_web::http::Method;
use actix_web::{Resource, Route, web};

pub use authority::Authority;
pub use body::Body;

use crate::request::call::Form;

/// Adds the callers' routes.
pub fn routes(config: &mut web::ServiceConfig) {
    let chat = web::post().to(model::chat);
    let completion = web::post().to(model::completion);
    config
        .service(only(Form::Chat.path(), Method::POST, chat))
        .service(only(Form::Completion.path(), Method::POST, completion))
        .service(only("/v1/models", Method::GET, web::get().to(model::list)))
        .service(only(
            "/v1/entries",
            Method::GET,
            web::get().to(entries::list),
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
