//! Discovery of unknown entries from the platform's instance list, and of gone entries that may
//! be on the other side of a partition.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::control::action::Action;
use crate::instance::{Instance, Role};
use crate::membership::detector::{Detector, Step};
use crate::membership::{Member, Message, Standing};
use crate::message;
use crate::name;

/// The interval between greetings; each goes to one unknown or gone entry.
const PERIOD: Millis = Millis(1_000);
/// The number of entries that a new entry greets at once. With three, it is very likely that at
/// least one answers.
pub const INITIAL_GREETINGS: usize = 3;

/// The entries in the platform's instance list.
#[derive(Debug, Default)]
pub struct Greetings {
    listed: BTreeMap<name::Entry, SocketAddr>,
    next: Millis,
}

impl Greetings {
    /// Updates the entries from the platform's instance list.
    pub fn update_listed(&mut self, instances: &[Instance], own: SocketAddr) {
        let entries = instances
            .iter()
            .filter(|instance| instance.role == Role::Entry)
            .filter_map(|instance| Some((instance, instance.peer_address?)))
            .filter(|(_, peer)| *peer != own);
        self.listed = entries
            .map(|(instance, peer)| (name::Entry::from(instance.name.as_str()), peer))
            .collect();
    }

    /// Returns whether a greeting is due, and if so schedules the next one.
    pub fn due(&mut self, now: Millis) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + PERIOD;
        true
    }
}

impl Detector {
    /// Greets some of the entries that are gone, or listed and unknown.
    pub(super) fn greet(&mut self, count: usize, step: &mut Step<'_>) {
        let unknown_or_gone = self.unknown_or_gone();
        for peer in unknown_or_gone
            .into_values()
            .choose_multiple(step.random, count)
        {
            let greeting = Message::Greeting(self.own_news(step.now));
            let greeting = message::Message::Membership(greeting);
            step.out.push(Action::Send(peer, greeting));
        }
    }

    fn unknown_or_gone(&self) -> BTreeMap<name::Entry, SocketAddr> {
        let members = &self.members;
        let gone = members
            .others()
            .filter(|member| member.standing == Standing::Gone)
            .map(|member| (member.name.clone(), member.peer));
        let unknown = self
            .greetings
            .listed
            .iter()
            .filter(|(name, _)| {
                let known = members.get(name);
                known.is_none_or(|known| known.standing == Standing::Gone)
            })
            .map(|(name, peer)| (name.clone(), *peer));
        // The platform's list overrides remembered addresses, as it is more recent.
        gone.chain(unknown).collect()
    }

    /// Answers a greeting with the full member table.
    pub(super) fn welcome(&mut self, sender: &Member, step: &mut Step<'_>) {
        self.send_table(sender, step);
        let own = self.own_news(step.now);
        step.send(sender, Message::Welcome(own));
    }
}
