//! Stands around every call: bounds its head, gives every error the same form,
//! and turns a panic into the end of that one call.

use std::panic::AssertUnwindSafe;

use actix_web::Error;
use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use actix_web::middleware::Next;
use actix_web::web::Data;
use futures_util::FutureExt;
use woodgap_core::verdict::Verdict;

use crate::caller::refusal::{self, ENTRY_HEADER, REQUEST_HEADER, VERDICT_HEADER};
use crate::request::run::Worker;
use crate::request::{Code, Problem};

/// Bytes of a header beside its name and value: colon, blank, end of line.
const HEADER_MARKS: usize = 4;

/// The middleware.
///
/// # Errors
///
/// A problem of the entry itself, as after a panic.
pub async fn guard(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let worker = request.app_data::<Data<Worker>>().cloned();
    let Some(worker) = worker else {
        return Ok(next.call(request).await?.map_into_boxed_body());
    };
    let settings = &worker.shared.settings;
    let limit = settings.limits.header_bytes;
    let response = if head_bytes(&request) > limit {
        let message = format!("the header is above {limit} bytes");
        let problem = Problem::not_run(Code::HeaderTooLarge, message);
        request.into_response(refusal::response(&problem, None))
    } else {
        let call = AssertUnwindSafe(next.call(request)).catch_unwind();
        let response = call.await.map_err(|_| panicked())??;
        formed(response.map_into_boxed_body())
    };
    Ok(named(response, settings.name.as_str()))
}

fn head_bytes(request: &ServiceRequest) -> usize {
    let headers = request.headers().iter();
    let bytes = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_MARKS);
    request.method().as_str().len() + request.uri().to_string().len() + bytes.sum::<usize>()
}

/// What is left to say after a panic: the request may have been sent before it.
pub fn panicked() -> Problem {
    Problem::new(
        Code::EntryFailed,
        Verdict::MayHaveRun,
        "the entry failed while it served this request",
    )
}

/// Gives an error that the library made the form that ours have.
fn formed(response: ServiceResponse) -> ServiceResponse {
    if !is_bare(&response) {
        return response;
    }
    let status = response.status();
    let message = response.response().error().map(ToString::to_string);
    let problem = match code(status) {
        Code::EntryFailed => panicked(),
        Code::UnknownPath => Problem::not_run(Code::UnknownPath, "there is no such call"),
        code => Problem::not_run(code, message.unwrap_or_else(|| status.to_string())),
    };
    response.into_response(refusal::response(&problem, None))
}

/// Ours have a verdict, an endpoint's own error has the request's name, and
/// operators' errors are JSON.
fn is_bare(response: &ServiceResponse) -> bool {
    let status = response.status();
    let headers = response.headers();
    let is_json = headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"application/json"));
    let is_error = status.is_client_error() || status.is_server_error();
    let is_ours = headers.contains_key(VERDICT_HEADER) || headers.contains_key(REQUEST_HEADER);
    is_error && !is_ours && !is_json
}

fn code(status: StatusCode) -> Code {
    match status {
        StatusCode::NOT_FOUND => Code::UnknownPath,
        StatusCode::METHOD_NOT_ALLOWED => Code::MethodNotAllowed,
        StatusCode::PAYLOAD_TOO_LARGE => Code::BodyTooLarge,
        StatusCode::REQUEST_TIMEOUT => Code::RequestTimeout,
        status if status.is_client_error() => Code::BadRequest,
        _ => Code::EntryFailed,
    }
}

fn named(mut response: ServiceResponse, entry: &str) -> ServiceResponse {
    // A name of the settings is visible ASCII.
    if let Ok(value) = HeaderValue::from_str(entry) {
        let name = HeaderName::from_static(ENTRY_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}
