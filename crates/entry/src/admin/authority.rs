//! Which operator calls, and how operators' calls fail.

use actix_web::body::BoxBody;
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, ResponseError};
use subtle::ConstantTimeEq;
use thiserror::Error;
use woodgap_core::admin;

use crate::caller::authority::digest;
use crate::configuration::store::Refusal;
use crate::orders::store as orders;
use crate::shared::Shared;

/// Why an operator's call failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// No operator has this key.
    #[error("no operator has this key")]
    UnknownKey,
    /// There is no such thing.
    #[error("there is no {0}")]
    NotFound(String),
    /// The control side is just starting.
    #[error("the control side of this entry is restarting, try again")]
    Restarting,
    /// The store refused.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The store of orders refused.
    #[error(transparent)]
    Order(#[from] orders::Refusal),
}

/// The name of the operator that calls.
///
/// # Errors
///
/// [`Failure::UnknownKey`] if no operator of the settings has the key.
pub fn operator<'a>(shared: &'a Shared, request: &HttpRequest) -> Result<&'a str, Failure> {
    let header = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = header
        .and_then(|header| header.strip_prefix("Bearer "))
        .ok_or(Failure::UnknownKey)?;
    let digest = digest(key);
    // Every operator is compared, so that the time taken tells nothing.
    let mut found = None;
    for operator in &shared.settings.operators {
        let known = operator.key_sha256.to_ascii_lowercase();
        if bool::from(known.as_bytes().ct_eq(digest.as_bytes())) {
            found = Some(operator.name.as_str());
        }
    }
    found.ok_or(Failure::UnknownKey)
}

impl Failure {
    fn code(&self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::NotFound(_) => "not_found",
            Self::Refused(Refusal::Conflict { .. }) => admin::CONFLICT,
            Self::Refused(Refusal::Invalid(_)) => "invalid",
            Self::Refused(Refusal::IdentityReused(_)) => "identity_reused",
            Self::Restarting | Self::Refused(Refusal::Busy) => "busy",
            Self::Refused(Refusal::Platform(_)) => "platform_out",
            Self::Refused(Refusal::Row(..)) => "unreadable_row",
            Self::Order(refusal) => refusal.code(),
        }
    }

    fn fault(&self) -> admin::Fault {
        admin::Fault {
            code: self.code().to_owned(),
            message: self.to_string(),
        }
    }
}

impl ResponseError for Failure {
    fn status_code(&self) -> StatusCode {
        match self.code() {
            "unknown_key" => StatusCode::UNAUTHORIZED,
            "not_found" => StatusCode::NOT_FOUND,
            admin::CONFLICT => StatusCode::CONFLICT,
            "invalid" | "identity_reused" => StatusCode::UNPROCESSABLE_ENTITY,
            "busy" | "platform_out" => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    fn error_response(&self) -> HttpResponse<BoxBody> {
        let mut builder = HttpResponse::build(self.status_code());
        match self {
            Self::Refused(Refusal::Conflict { current, version }) => {
                builder.json(admin::Conflict {
                    error: self.fault(),
                    current: current.as_deref().cloned(),
                    version: *version,
                })
            }
            Self::Refused(Refusal::Invalid(problems)) => builder.json(admin::Refused {
                problems: problems.iter().map(ToString::to_string).collect(),
            }),
            Self::Order(orders::Refusal::Conflict { current, version }) => {
                builder.json(admin::OrderConflict {
                    error: self.fault(),
                    current: current.as_deref().cloned(),
                    version: *version,
                })
            }
            Self::Order(orders::Refusal::Invalid(problems)) => builder.json(admin::Refused {
                problems: problems.clone(),
            }),
            _ => builder.json(admin::Failure {
                error: self.fault(),
            }),
        }
    }
}
