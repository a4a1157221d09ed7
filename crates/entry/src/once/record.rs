//! What an entry knows of one identity.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use woodgap_core::name;
use woodgap_core::once::sightings::Knowledge;
use woodgap_core::once::{Digest, Key};

use crate::once::Tape;
use crate::request::Item;
use crate::request::call::Form;

/// How an answer is shown to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A model's.
    Model {
        /// Chat or completion.
        form: Form,
        /// The model asked for.
        model: String,
        /// Whether the first submission asked for a stream.
        stream: bool,
    },
    /// A plain service's.
    Service,
}

/// How far a submission has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is not known whether this entry may send it.
    Waiting,
    /// This entry may send it, or has.
    Own,
    /// This entry never sends it.
    GivenUp,
    /// Another entry has it; the answer is passed on.
    Elsewhere,
}

/// One identity at this entry.
#[derive(Debug)]
pub struct Record {
    /// The identity.
    pub key: Key,
    /// This entry's submission of it.
    pub request: name::Request,
    /// What is asked for.
    pub body: Digest,
    /// How the answer is shown.
    pub kind: Kind,
    /// Whether forgetting the record could let the request run again.
    pub binding: bool,
    /// The answer.
    pub tape: Arc<Tape>,
    phase: Mutex<Phase>,
}

impl Record {
    /// A record of a submission that has just come.
    pub fn new(
        key: Key,
        request: name::Request,
        body: Digest,
        kind: Kind,
        binding: bool,
        tape: Tape,
    ) -> Self {
        Self {
            key,
            request,
            body,
            kind,
            binding,
            tape: Arc::new(tape),
            phase: Mutex::new(Phase::Waiting),
        }
    }

    /// How far the submission has come.
    pub fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn enter(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    /// What this entry can say of the identity.
    pub fn knowledge(&self) -> Knowledge {
        match self.phase() {
            Phase::Waiting => Knowledge::Unsure,
            Phase::Own => Knowledge::Has,
            Phase::Elsewhere if self.tape.end() == Some(Item::Complete) => Knowledge::Has,
            // The entry that has it is asked too, or is missed.
            Phase::GivenUp | Phase::Elsewhere => Knowledge::None,
        }
    }
}
