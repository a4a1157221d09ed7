//! HTTP/1.1 responses as they come from a connection: heads, and the framing of their bodies.

pub mod body;
pub mod head;

pub use body::Framing;
pub use head::Head;

use thiserror::Error;

/// What was received is not a valid HTTP/1.1 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an answer: {0}")]
pub struct Malformed(pub &'static str);
