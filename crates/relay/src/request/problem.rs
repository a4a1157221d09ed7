//! Error responses for callers.

use std::str::FromStr;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderName, HeaderValue};
use serde::Serialize;
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::verdict::Verdict;

use crate::dialect::Dialect;

/// `Retry-After` of a relay that has no current plan or is stopping: callers find another relay
/// within this time.
pub const OTHER_RELAY_RETRY_AFTER: Millis = Millis(100);

/// Stable error codes; `docs/INTERFACES.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The header exceeds the size limit.
    HeaderTooLarge,
    /// The body was not received in time.
    RequestTimeout,
    /// This entry holds as much for its callers as it may.
    EntryFull,
    /// No workspace has this key.
    UnknownKey,
    /// No route matches the request.
    UnknownRoute,
    /// This relay has no current plan.
    NotReady,
    /// This relay is about to stop.
    Stopping,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The endpoints cannot respond in time.
    Overloaded,
    /// The endpoint closed the connection or sent an invalid response.
    EndpointFailed,
    /// The response was not received in time.
    Timeout,
    /// The request is quarantined, as it crashes the endpoints that run it.
    Withheld,
    /// Which version began the stream is not known, and there are several.
    UnknownVersion,
    /// No endpoint of the version that began the stream serves.
    VersionGone,
}

impl Code {
    /// The code as written in response bodies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeaderTooLarge => "header_too_large",
            Self::EntryFull => "entry_full",
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
            Self::UnknownVersion => "unknown_version",
            Self::VersionGone => "version_gone",
        }
    }

    const ALL: [Self; 16] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::HeaderTooLarge,
        Self::EntryFull,
        Self::RequestTimeout,
        Self::UnknownKey,
        Self::UnknownRoute,
        Self::NotReady,
        Self::Stopping,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::EndpointFailed,
        Self::Timeout,
        Self::Withheld,
        Self::UnknownVersion,
        Self::VersionGone,
    ];

    const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::NotReady
            | Self::Stopping
            | Self::EntryFull
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::Withheld
            | Self::UnknownVersion
            | Self::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
            Self::EndpointFailed => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// No error code has this name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("unknown error code")]
pub struct UnknownCode;

impl FromStr for Code {
    type Err = UnknownCode;

    fn from_str(name: &str) -> Result<Self, UnknownCode> {
        let mut all = Self::ALL.into_iter();
        all.find(|code| code.as_str() == name).ok_or(UnknownCode)
    }
}

/// An error that is reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable description.
    pub message: String,
    /// When to retry; only with [`Verdict::NotRun`].
    pub retry_after: Option<Millis>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: &'a str,
    verdict: Verdict,
    message: &'a str,
}

impl Problem {
    /// An error for a request that has not run and never will.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// An error for a request that was sent to an endpoint and may have run.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(code, message)
        }
    }

    /// This entry stops too soon to finish the request, which has not run.
    pub fn stopping() -> Self {
        Self::not_run(Code::Stopping, "this entry is about to stop")
            .retry_after(OTHER_RELAY_RETRY_AFTER)
    }

    /// Whether the request has not run for a cause that concerns one entry, so that another one
    /// may serve it.
    pub fn is_of_entry(&self) -> bool {
        let concerns_entry = matches!(
            self.code,
            Code::NoEndpoint | Code::NotReady | Code::Stopping | Code::EntryFull
        );
        concerns_entry && self.verdict == Verdict::NotRun
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The HTTP status. A status that implies that the request has not run is used only if it has
    /// not.
    pub fn status(&self) -> StatusCode {
        let status = self.code.status();
        let promises_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promises_not_run && self.verdict != Verdict::NotRun {
            return StatusCode::BAD_GATEWAY;
        }
        status
    }

    /// Builds the error response for the request with this ID, which may be empty.
    pub fn to_response(&self, dialect: &dyn Dialect, id: &str) -> Response<BoxBody> {
        let body = Body {
            error: self.code.as_str(),
            verdict: self.verdict,
            message: &self.message,
        };
        // Strings and a plain enum always serialise.
        let body = serde_json::to_string(&body).unwrap_or_default();
        let mut response = Response::with_body(self.status(), BoxBody::new(body));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(span) = self.retry_after {
            dialect.retry_after(span, &mut |name, value| {
                headers.insert(name, value);
            });
        }
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(HeaderName::from_static(dialect.id_header()), id);
        }
        response
    }
}
