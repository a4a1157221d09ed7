//! What entries ask one another about identities, and how they answer.

use serde::{Deserialize, Serialize};
use woodgap_core::name;
use woodgap_core::once::sightings::Reply;
use woodgap_core::once::{Digest, Key};

use crate::once::record::Kind;
use crate::request::{Call, Item, Problem};

/// What one entry asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Does this life know of the identity?
    Know(Key),
    /// The answer to an identity.
    Follow {
        /// The identity.
        key: Key,
        /// The submission that its claim names, if there is a claim.
        request: Option<name::Request>,
        /// What is asked for; none accepts any.
        body: Option<Digest>,
    },
    /// Run a request whose identity the asked entry issued, and answer it.
    Submit(Submission),
}

/// A request, as the entry that it came to passes it on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// The identity.
    pub key: Key,
    /// The class.
    pub class: name::Class,
    /// The model or service.
    pub target: name::Target,
    /// Hash of the prompt's start.
    pub prefix: u64,
    /// How the answer is shown.
    pub kind: Kind,
    /// What goes to the endpoint.
    pub call: Call,
}

/// One part of the answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// What the life knows.
    Knows(Reply),
    /// The items of the answer follow.
    Following {
        /// The request that is answered.
        request: name::Request,
        /// How the answer is shown.
        kind: Kind,
    },
    /// The submission was given up unsent, and its claim is taken back: claim anew.
    Released,
    /// This life does not have the identity.
    Missing,
    /// The answer can't be followed.
    Refused(Problem),
    /// A part of the answer.
    Item(Item),
    /// The entry is there, and there is nothing to pass on yet.
    Waiting,
}
