//! Messages by which entries see one another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::membership::Member;
use crate::name;

/// A message of the membership protocol.
///
/// News is ordered by life, version and standing, so that what is lost, repeated
/// or late does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Answer`] with the same number.
    Probe {
        /// Names the probe to its sender.
        number: u64,
        /// The sender.
        sender: Member,
    },
    /// Answers a probe.
    Answer {
        /// The probe's number.
        number: u64,
        /// The member that was probed.
        sender: Member,
    },
    /// Asks the receiver to probe another member and to pass on its answer.
    Relay {
        /// The number of the answer to pass on.
        number: u64,
        /// The member to probe.
        target: name::Incarnation,
        /// Its address.
        peer: SocketAddr,
    },
    /// What the sender knows of some members.
    News(Vec<Member>),
    /// Asks an address for everything: the sender does not know who is there.
    Greeting(Member),
    /// Follows everything that its sender knows, and asks for the same.
    Welcome(Member),
    /// An operator wants the receiver to take no new work.
    Drain(name::Incarnation),
}

impl Message {
    /// What a life says of itself in this message, if it sent it itself.
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
