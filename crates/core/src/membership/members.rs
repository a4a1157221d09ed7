//! The members, by name, by life and by address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::membership::{Member, Standing};
use crate::name;

/// All members, the own entry included.
#[derive(Clone, Debug)]
pub struct Members {
    own: name::Entry,
    by_name: BTreeMap<name::Entry, Member>,
    names_by_incarnation: BTreeMap<name::Incarnation, name::Entry>,
}

impl Members {
    /// Only the own entry is known.
    pub fn new(own: Member) -> Self {
        let name = own.name.clone();
        Self {
            names_by_incarnation: BTreeMap::from([(own.incarnation, name.clone())]),
            by_name: BTreeMap::from([(name.clone(), own)]),
            own: name,
        }
    }

    /// The own entry.
    ///
    /// # Panics
    ///
    /// Never: the own entry is never removed.
    pub fn own(&self) -> &Member {
        &self.by_name[&self.own]
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// All members but the own entry, by name.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.name != self.own)
    }

    /// How many members are known, gone ones included.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// A member by its name.
    pub fn get(&self, name: &name::Entry) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// A member by its life.
    pub fn by_incarnation(&self, incarnation: name::Incarnation) -> Option<&Member> {
        self.by_name
            .get(self.names_by_incarnation.get(&incarnation)?)
    }

    /// The life that takes messages at an address, if it is known and not gone.
    pub fn by_peer(&self, peer: SocketAddr) -> Option<&Member> {
        self.by_name
            .values()
            .find(|member| member.peer == peer && member.standing != Standing::Gone)
    }

    /// The members that take part: live, and those that are only suspected.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values().filter(|member| member.active())
    }

    /// The members that take part, but for the own entry.
    pub fn active_others(&self) -> impl Iterator<Item = &Member> {
        self.others().filter(|member| member.active())
    }

    /// Puts a member in place of what was known of its name.
    pub fn put(&mut self, member: Member) {
        let name = member.name.clone();
        let incarnation = member.incarnation;
        if let Some(old) = self.by_name.insert(name.clone(), member) {
            self.names_by_incarnation.remove(&old.incarnation);
        }
        self.names_by_incarnation.insert(incarnation, name);
    }

    /// Changes a member in place; its name and life must stay.
    pub(crate) fn get_mut(&mut self, name: &name::Entry) -> Option<&mut Member> {
        self.by_name.get_mut(name)
    }

    /// Changes the own entry in place.
    pub(crate) fn own_mut(&mut self) -> &mut Member {
        let own = self.own.clone();
        self.by_name
            .get_mut(&own)
            .expect("the own entry is never removed")
    }

    /// Forgets a member; the own entry stays.
    pub(crate) fn remove(&mut self, name: &name::Entry) {
        if *name == self.own {
            return;
        }
        if let Some(old) = self.by_name.remove(name) {
            self.names_by_incarnation.remove(&old.incarnation);
        }
    }
}
