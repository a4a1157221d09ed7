//! Read-only inputs of one step of the permit protocol.

use crate::clock::Millis;
use crate::control::Directory;
use crate::membership::{Members, Standing};
use crate::name;
use crate::permit::Topology;

/// The state outside the protocol that one step may read.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Millis,
    /// The entries of the fleet, as membership sees them.
    pub members: &'a Members,
    /// The endpoints and their state.
    pub directory: &'a Directory,
    /// The pools and their homes.
    pub topology: &'a Topology,
}

impl Context<'_> {
    /// Whether an incarnation of an entry may still hold permits. False once
    /// membership has declared it gone.
    pub fn is_alive(&self, entry: name::Incarnation) -> bool {
        let member = self.members.by_incarnation(entry);
        member.is_some_and(|member| member.standing != Standing::Gone)
    }
}
