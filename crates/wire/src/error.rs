//! Why bytes could not be sealed or opened.

use thiserror::Error;

/// Why bytes could not be sealed or opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// Shorter than any frame.
    #[error("the frame is cut short")]
    Short,
    /// Longer than the bound.
    #[error("{0} bytes are above the bound")]
    Long(usize),
    /// Another version of the protocol.
    #[error("version {0} of the protocol is not known")]
    Version(u8),
    /// Not sealed with this fleet's key, or changed on the way.
    #[error("the authentication code is wrong")]
    Mac,
    /// Meant for another life of this entry, or for another entry.
    #[error("the frame is meant for another entry or an earlier life")]
    Destination,
    /// Seen before, or too old to tell.
    #[error("the frame was received before")]
    Replay,
    /// Not a message.
    #[error("the frame holds what is no message")]
    Message,
}
