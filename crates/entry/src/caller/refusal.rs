//! Errors as callers see them.

use actix_web::body::BoxBody;
use actix_web::http::header::{ALLOW, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpResponse, ResponseError};
use serde::Serialize;
use woodgap_core::name;
use woodgap_core::verdict::Verdict;

use crate::request::{Code, Problem};

/// Header with the verdict of an error.
pub const VERDICT_HEADER: &str = "x-woodgap-verdict";
/// Header with the request's name.
pub const REQUEST_HEADER: &str = "x-woodgap-request";
/// Header with the entry's name.
pub const ENTRY_HEADER: &str = "x-woodgap-entry";
/// The `type` of every error.
const TYPE: &str = "woodgap";

/// An error body.
#[derive(Debug, Serialize)]
pub struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Debug, Serialize)]
struct Detail<'a> {
    message: &'a str,
    r#type: &'a str,
    code: Code,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

impl<'a> Body<'a> {
    /// The body that tells of a problem.
    pub fn new(problem: &'a Problem, request: Option<name::Request>) -> Self {
        Self {
            error: Detail {
                message: &problem.message,
                r#type: TYPE,
                code: problem.code,
                verdict: problem.verdict,
                request: request.map(|request| request.to_string()),
            },
        }
    }
}

/// The response that tells of a problem.
pub fn response(problem: &Problem, request: Option<name::Request>) -> HttpResponse {
    let mut builder = HttpResponse::build(problem.code.status());
    builder.insert_header((VERDICT_HEADER, problem.verdict.as_str()));
    if let Some(request) = request {
        builder.insert_header((REQUEST_HEADER, request.to_string()));
    }
    if let Some(span) = problem.retry_after {
        builder.insert_header(("retry-after", span.0.div_ceil(1_000).max(1).to_string()));
    }
    builder.json(Body::new(problem, request))
}

/// The response to a call with another method than this one.
pub fn wrong_method(method: &Method) -> HttpResponse {
    let message = format!("this call has the method {method}");
    let mut response = response(&Problem::not_run(Code::MethodNotAllowed, message), None);
    // A method's name is visible ASCII.
    if let Ok(value) = HeaderValue::from_str(method.as_str()) {
        response.headers_mut().insert(ALLOW, value);
    }
    response
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        self.code.status()
    }

    fn error_response(&self) -> HttpResponse<BoxBody> {
        response(self, None)
    }
}
