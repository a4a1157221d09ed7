//! HTTP/1.1 towards endpoints and the platform, with nothing hidden.
//!
//! A relay must know whether an answer is whole, whether bytes came that belong
//! to no request, and whether any byte of a request was sent. `awc` hides all
//! three behind its pool and takes the end of a connection for the end of a
//! body, so this goes one floor down: `httparse` for heads, the framing here.

pub mod body;
pub mod call;
pub mod connection;
pub mod head;
pub mod pool;

pub use body::Framing;
pub use connection::Connection;
pub use head::Head;
pub use pool::Pool;

use std::io;

use thiserror::Error;

/// Why there is no whole answer.
#[derive(Debug, Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(#[source] io::Error),
    /// The connection ended or broke before the answer was whole.
    #[error("cut off: {0}")]
    Cut(#[source] io::Error),
    /// What came is no answer in the protocol.
    #[error("not an answer: {0}")]
    Malformed(&'static str),
    /// The answer is longer than the asker takes.
    #[error("the answer is too large")]
    TooLarge,
    /// Nothing more came in time.
    #[error("no answer in time")]
    TimedOut,
}
