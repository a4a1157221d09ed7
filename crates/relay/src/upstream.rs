//! HTTP/1.1 client for endpoints and the platform.
//!
//! The relay must know whether a response is complete, whether bytes arrived that
//! belong to no request, and whether any byte of a request was sent. `awc` hides all
//! three behind its connection pool and treats the end of a connection as the end of
//! a body. This module therefore reads responses itself, by [`woodgap_platform::response`].

pub mod call;
pub mod connection;
pub mod pool;
mod socket;

pub use connection::Connection;
pub use pool::Pool;
pub use woodgap_platform::response::{Framing, Head};

use std::io;

use thiserror::Error;
use woodgap_platform::response;

/// Why a complete response could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(#[source] io::Error),
    /// The connection was closed or failed before the response was complete.
    #[error("cut off: {0}")]
    Cut(#[source] io::Error),
    /// The bytes received are not a valid HTTP/1.1 response.
    #[error(transparent)]
    Malformed(#[from] response::Malformed),
    /// The response body exceeds the caller's size limit.
    #[error("the answer is too large")]
    TooLarge,
    /// The response was not complete before the timeout.
    #[error("no answer in time")]
    TimedOut,
}
