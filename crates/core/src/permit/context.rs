//! What a step of the permit protocol can see.

use crate::clock::Millis;
use crate::control::Directory;
use crate::membership::{Members, Standing};
use crate::name;
use crate::permit::Topology;

/// The surroundings of one step.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The time.
    pub now: Millis,
    /// The entries.
    pub members: &'a Members,
    /// The endpoints.
    pub directory: &'a Directory,
    /// The pools and their homes.
    pub topology: &'a Topology,
}

impl Context<'_> {
    /// Whether a life of an entry may still hold something.
    pub fn alive(&self, entry: name::Incarnation) -> bool {
        let member = self.members.by_incarnation(entry);
        member.is_some_and(|member| member.standing != Standing::Gone)
    }
}
