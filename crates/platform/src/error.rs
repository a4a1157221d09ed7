//! What can go wrong with a call to the platform.

use thiserror::Error;

/// A failed call, told apart by whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The platform was not reached, or said that it did nothing.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The call was sent and no answer came: a write may have taken effect.
    #[error("no answer from the platform, a write may have taken effect: {0}")]
    Unknown(String),
    /// The answer is longer than is read: a write may have taken effect.
    #[error("the answer is too large, a write may have taken effect")]
    TooLarge,
    /// The platform refused the call as malformed; repeating it will not help.
    #[error("the platform refused the call: {0}")]
    Rejected(String),
}

impl Error {
    /// Whether a write may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::TooLarge)
    }
}
