//! What is sent to an endpoint.

use actix_web::http::Method;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The body of a request, with what it takes to send it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// A request to a model.
    Model(Model),
    /// A call to a plain service.
    Service(Service),
}

/// A request to a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Model {
    /// Which of the two forms it has.
    pub form: Form,
    /// The body as it goes to the engine, always asking for a stream.
    pub body: Bytes,
}

/// The forms of model requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl Form {
    /// The path at callers' and engines' side alike.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// A call to a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// The method.
    #[serde(with = "method")]
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The caller's identity of the request, passed on.
    pub identity: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A method as text.
mod method {
    use actix_web::http::Method;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        method: &Method,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(method.as_str())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Method, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
