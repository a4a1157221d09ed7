//! What a caller is told when there is no whole answer.

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderName, HeaderValue};
use serde::Serialize;
use woodgap_core::clock::Millis;
use woodgap_core::verdict::Verdict;

use crate::dialect::Dialect;

/// When callers should come back to a relay that has no fresh plan, or is about
/// to stop: they find another one by then.
pub const ELSEWHERE: Millis = Millis(100);

/// Stable codes of errors; `docs/INTERFACES.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body is above the limit.
    BodyTooLarge,
    /// The body did not come in time.
    RequestTimeout,
    /// No workspace has this key.
    UnknownKey,
    /// No route takes the request.
    UnknownRoute,
    /// This relay knows no plan that is fresh enough.
    NotReady,
    /// This relay is about to stop.
    Stopping,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The endpoints can't answer in time.
    Overloaded,
    /// The endpoint broke off, or answered something else.
    EndpointFailed,
    /// There was no answer in time.
    Timeout,
    /// The request crashes the endpoints that run it, and is not sent for a while.
    Withheld,
}

impl Code {
    /// The code as it stands in bodies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::EndpointFailed => "endpoint_failed",
            Self::Timeout => "timeout",
            Self::Withheld => "withheld",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::NotReady
            | Self::Stopping
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::Withheld => StatusCode::SERVICE_UNAVAILABLE,
            Self::EndpointFailed => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// For people.
    pub message: String,
    /// When coming back helps; only with [`Verdict::NotRun`].
    pub retry_after: Option<Millis>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: &'a str,
    verdict: Verdict,
    message: &'a str,
}

impl Problem {
    /// A problem of a request that has not run and never will.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A problem of a request that was sent to an endpoint.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(code, message)
        }
    }

    /// This entry ends too soon to finish the request, which has not run.
    pub fn stopping() -> Self {
        Self::not_run(Code::Stopping, "this entry is about to stop").retry_after(ELSEWHERE)
    }

    /// The same problem, with a time to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The status that goes with the problem. One that promises that the request
    /// has not run is given only where that is so.
    pub fn status(&self) -> StatusCode {
        let status = self.code.status();
        let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promises && self.verdict != Verdict::NotRun {
            return StatusCode::BAD_GATEWAY;
        }
        status
    }

    /// The answer for the caller of the request with this identity, if it has one.
    pub fn answer(&self, dialect: &dyn Dialect, id: &str) -> Response<BoxBody> {
        let body = Body {
            error: self.code.as_str(),
            verdict: self.verdict,
            message: &self.message,
        };
        // Two texts and a word always serialise.
        let body = serde_json::to_string(&body).unwrap_or_default();
        let mut response = Response::with_body(self.status(), BoxBody::new(body));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(span) = self.retry_after {
            headers.insert(header::RETRY_AFTER, dialect.retry_after(span));
        }
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(HeaderName::from_static(dialect.id_header()), id);
        }
        response
    }
}
