//! What a step of the detector changed for the rest of the machine.

use crate::name::Incarnation;

/// A change among the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A life takes part: a new one, or one that was held to be gone and is not.
    /// Whatever it is to know, it must be told anew.
    Joined(Incarnation),
    /// A life stops as planned: it keeps what it has and gets nothing new.
    Leaving(Incarnation),
    /// A life is held to be gone.
    Gone(Incarnation),
    /// Others held the own life to be gone: what they kept for it may be lost.
    Refuted,
    /// A later life of the own entry exists: this one must stop.
    Superseded,
}
