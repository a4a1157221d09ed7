//! Messages by which entries see one another.

use serde::{Deserialize, Serialize};

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Answer`] with the same number.
    Probe(u64),
    /// Answers a probe.
    Answer(u64),
}
