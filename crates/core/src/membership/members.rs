//! A table of the members, indexed by name and by incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::membership::{Member, Standing};
use crate::name;

/// All known members, including the local entry.
#[derive(Clone, Debug)]
pub struct Members {
    own: name::Entry,
    by_name: BTreeMap<name::Entry, Member>,
    names_by_incarnation: BTreeMap<name::Incarnation, name::Entry>,
}

impl Members {
    /// Creates a table that contains only the local entry.
    pub fn new(own: Member) -> Self {
        let name = own.name.clone();
        Self {
            names_by_incarnation: BTreeMap::from([(own.incarnation, name.clone())]),
            by_name: BTreeMap::from([(name.clone(), own)]),
            own: name,
        }
    }

    /// Returns the local entry.
    ///
    /// # Panics
    ///
    /// Never: the local entry is never removed.
    pub fn own(&self) -> &Member {
        &self.by_name[&self.own]
    }

    /// Iterates over all members, in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// Iterates over all members except the local entry, in order of name.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.name != self.own)
    }

    /// Returns the number of known members, including those that are gone.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// Looks up a member by name.
    pub fn get(&self, name: &name::Entry) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Looks up a member by incarnation.
    pub fn by_incarnation(&self, incarnation: name::Incarnation) -> Option<&Member> {
        self.by_name
            .get(self.names_by_incarnation.get(&incarnation)?)
    }

    /// Looks up the member that receives messages at an address and is not gone.
    pub fn by_peer(&self, peer: SocketAddr) -> Option<&Member> {
        self.by_name
            .values()
            .find(|member| member.peer == peer && member.standing != Standing::Gone)
    }

    /// Iterates over the active members: live ones, and those that are only suspected.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values().filter(|member| member.active())
    }

    /// Iterates over the active members except the local entry.
    pub fn active_others(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|member| member.active())
    }

    /// Inserts a member, replacing the known member of the same name.
    pub fn put(&mut self, member: Member) {
        let name = member.name.clone();
        let incarnation = member.incarnation;
        if let Some(old) = self.by_name.insert(name.clone(), member) {
            self.names_by_incarnation.remove(&old.incarnation);
        }
        self.names_by_incarnation.insert(incarnation, name);
    }

    /// Returns a member for modification. The caller must not change its name or incarnation.
    pub(crate) fn get_mut(&mut self, name: &name::Entry) -> Option<&mut Member> {
        self.by_name.get_mut(name)
    }

    /// Returns the local entry for modification.
    pub(crate) fn own_mut(&mut self) -> &mut Member {
        let own = self.own.clone();
        self.by_name
            .get_mut(&own)
            .expect("the own entry is never removed")
    }

    /// Removes a member. The local entry is never removed.
    pub(crate) fn remove(&mut self, name: &name::Entry) {
        if *name == self.own {
            return;
        }
        if let Some(old) = self.by_name.remove(name) {
            self.names_by_incarnation.remove(&old.incarnation);
        }
    }
}
