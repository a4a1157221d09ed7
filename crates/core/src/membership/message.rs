//! Messages of the membership protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::membership::Member;
use crate::name;

/// A message of the membership protocol.
///
/// Updates are ordered by incarnation, version and standing, so lost, duplicated and delayed
/// messages are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Answer`] with the same number.
    Probe {
        /// Identifies the probe to its sender.
        number: u64,
        /// The sender.
        sender: Member,
    },
    /// Acknowledges a probe.
    Answer {
        /// The number of the probe.
        number: u64,
        /// The member that was probed.
        sender: Member,
    },
    /// Requests an indirect probe: the receiver probes the target and forwards its answer.
    Relay {
        /// The number to use in the forwarded answer.
        number: u64,
        /// The incarnation to probe.
        target: name::Incarnation,
        /// The address of the target.
        peer: SocketAddr,
    },
    /// The sender's state of some members.
    News(Vec<Member>),
    /// Requests the full member table. Sent to an address whose incarnation the sender does not
    /// know.
    Greeting(Member),
    /// Ends a full member table and requests the receiver's table in return.
    Welcome(Member),
    /// Tells the receiver to stop accepting new work, on behalf of an operator.
    Drain(name::Incarnation),
}

impl Message {
    /// Returns the sender's state if this message carries it and `from` is that sender.
    pub fn first_hand(&self, from: name::Incarnation) -> Option<&Member> {
        match self {
            Self::Probe { sender, .. }
            | Self::Answer { sender, .. }
            | Self::Greeting(sender)
            | Self::Welcome(sender) => Some(sender).filter(|sender| sender.incarnation == from),
            Self::Relay { .. } | Self::News(_) | Self::Drain(_) => None,
        }
    }
}
