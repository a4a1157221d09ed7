//! Membership changes that the failure detector reports to the rest of the state machine.

use crate::name::Incarnation;

/// A change in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An incarnation became active: either a new one, or one that had been declared gone. It must
    /// be sent all state from scratch.
    Joined(Incarnation),
    /// An incarnation is shutting down as planned. It keeps its current work and gets no new work.
    Leaving(Incarnation),
    /// An incarnation was declared gone.
    Gone(Incarnation),
    /// Other members had declared the local entry gone, so state that they kept for it may be lost.
    Refuted,
    /// A later incarnation of the local entry exists. This one must stop.
    Superseded,
}
