//! How requests end, and what their callers are told.

use actix_web::http::StatusCode;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::control::Refusal;
use woodgap_core::verdict::Verdict;

/// Stable codes of errors; `docs/INTERFACES.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// No workspace has this key.
    UnknownKey,
    /// The request is malformed.
    BadRequest,
    /// The body is above the limit.
    BodyTooLarge,
    /// The header is above the limit.
    HeaderTooLarge,
    /// The request did not come in time.
    RequestTimeout,
    /// There is no such call.
    UnknownPath,
    /// The call has another method.
    MethodNotAllowed,
    /// No class of the workspace may use the target.
    UnknownTarget,
    /// The workspace does not have the class.
    ClassNotBought,
    /// The class may not be repeated, and the request has no identity.
    IdentityRequired,
    /// The identity was used with another body.
    IdentityReused,
    /// The class may not be deferred.
    NotDeferrable,
    /// The workspace has too much recorded that waits.
    QueueFull,
    /// Shed.
    Overloaded,
    /// Nothing serves the target now.
    NoEndpoint,
    /// The claim of the identity can't be recorded.
    PlatformOut,
    /// This entry takes no new work.
    Stopping,
    /// This entry has no confirmed configuration.
    NotReady,
    /// The entry itself failed.
    EntryFailed,
    /// The endpoint failed.
    EndpointFailed,
    /// The endpoint's answer can't be relayed.
    BadAnswer,
    /// No request has this identity.
    UnknownIdentity,
    /// The entry that ran this identity is gone.
    UnknownOutcome,
    /// The request ran, and its answer is no longer kept.
    AnswerGone,
}

impl Code {
    /// The code as it stands in bodies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeaderTooLarge => "header_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::UnknownPath => "unknown_path",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::UnknownTarget => "unknown_target",
            Self::ClassNotBought => "class_not_bought",
            Self::IdentityRequired => "identity_required",
            Self::IdentityReused => "identity_reused",
            Self::NotDeferrable => "not_deferrable",
            Self::QueueFull => "queue_full",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::PlatformOut => "platform_out",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::EntryFailed => "entry_failed",
            Self::EndpointFailed => "endpoint_failed",
            Self::BadAnswer => "bad_answer",
            Self::UnknownIdentity => "unknown_identity",
            Self::UnknownOutcome => "unknown_outcome",
            Self::AnswerGone => "answer_gone",
        }
    }

    /// The HTTP status that goes with the code.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadRequest | Self::IdentityRequired => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownPath | Self::UnknownTarget | Self::UnknownIdentity => {
                StatusCode::NOT_FOUND
            }
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::ClassNotBought | Self::NotDeferrable => StatusCode::FORBIDDEN,
            Self::IdentityReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Overloaded | Self::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Self::NoEndpoint | Self::PlatformOut | Self::Stopping | Self::NotReady => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::EntryFailed => StatusCode::INTERNAL_SERVER_ERROR,
            Self::EndpointFailed | Self::BadAnswer => StatusCode::BAD_GATEWAY,
            Self::UnknownOutcome => StatusCode::CONFLICT,
            Self::AnswerGone => StatusCode::GONE,
        }
    }
}

/// Why a request got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{message}")]
pub struct Problem {
    /// The stable code.
    pub code: Code,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// For people.
    pub message: String,
    /// When coming back helps.
    pub retry_after: Option<Millis>,
}

impl Problem {
    /// A problem of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A problem with a verdict.
    pub fn new(code: Code, verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same problem, with a time to come back.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }
}

/// When callers should come back while no endpoint serves their target.
const NO_ENDPOINT_RETRY: Millis = Millis(2_000);

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Overloaded(span) => {
                Self::not_run(Code::Overloaded, "shed: too many requests wait").retry_after(span)
            }
            Refusal::NoEndpoint => {
                Self::not_run(Code::NoEndpoint, "no endpoint serves the target now")
                    .retry_after(NO_ENDPOINT_RETRY)
            }
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The caller has the whole answer.
    Complete,
    /// The caller was told why there is none.
    Failed(Problem),
    /// The caller went away first.
    Abandoned,
}
