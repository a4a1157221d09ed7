//! A failure detector in the style of SWIM. It probes a few members at a time, directly and
//! through other members, and piggybacks membership updates on its probes.
//!
//! The traffic per entry does not grow with the fleet: an entry starts one probe per period,
//! plus one to a suspected member if there is any, and each carries a bounded number of
//! updates.

mod gossip;
mod greetings;
mod merge;
mod probes;

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::action::Action;
use crate::instance::Instance;
use crate::membership::{Change, Heartbeat, Member, Members, Message, Standing};
use crate::message;
use crate::name;
use gossip::Gossip;
use greetings::Greetings;
use probes::{Expired, Probes};

/// The interval between probes. In a fleet of seven entries each entry probes every other one
/// within 1.2 s, and each is probed by some entry every 200 ms.
pub const PROBE_PERIOD: Millis = Millis(200);
/// How long a suspected member has to refute the suspicion. Together with the two probe
/// timeouts before it, a killed entry is declared gone within 2 to 3 s.
pub const SUSPICION_TIMEOUT: Millis = Millis(1_500);
/// A gap between ticks longer than this means that the local process was stalled. Members must
/// not be suspected because no answers were processed during it.
const STALL_THRESHOLD: Millis = Millis(500);
/// How long a gone member is remembered. This exceeds the longest partition planned for, so
/// that both sides rediscover each other afterwards.
const GONE_RETENTION: Millis = Millis::from_secs(2 * 60 * 60);
/// The maximum number of members, including gone ones; several times the largest planned fleet.
const MAX_MEMBERS: usize = 2_048;

/// The inputs and outputs of one step of the state machine.
pub struct Step<'a> {
    /// The current time.
    pub now: Millis,
    /// The random number generator.
    pub random: &'a mut ChaCha8Rng,
    /// Collects the actions to carry out.
    pub out: &'a mut Vec<Action>,
    /// Collects the membership changes.
    pub changes: &'a mut Vec<Change>,
}

impl Step<'_> {
    fn send(&mut self, member: &Member, message: Message) {
        let message = message::Message::Membership(message);
        self.out.push(Action::Send(member.peer, message));
    }
}

/// The failure detector of one entry.
#[derive(Debug)]
pub struct Detector {
    members: Members,
    gossip: Gossip,
    probes: Probes,
    greetings: Greetings,
    /// The time at which each suspected member is declared gone.
    suspects: BTreeMap<name::Entry, Millis>,
    /// Entries that an operator has drained, until they report that they are leaving.
    drained: BTreeMap<name::Entry, name::Incarnation>,
    ticked: Option<Millis>,
    superseded: bool,
}

impl Detector {
    /// Creates a detector that knows only the local entry.
    pub fn new(own: Member) -> Self {
        Self {
            members: Members::new(own),
            gossip: Gossip::default(),
            probes: Probes::default(),
            greetings: Greetings::default(),
            suspects: BTreeMap::new(),
            drained: BTreeMap::new(),
            ticked: None,
            superseded: false,
        }
    }

    /// Returns the member table.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Sets the state that the local entry reports about itself.
    pub fn set_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.members.own_mut().heartbeat = heartbeat;
    }

    /// Announces that the local entry is shutting down and accepts no new work.
    pub fn leave(&mut self, step: &mut Step<'_>) {
        self.retire(Standing::Leaving, step);
    }

    /// Announces that the local entry is gone. This is its last message.
    pub fn end(&mut self, step: &mut Step<'_>) {
        self.retire(Standing::Gone, step);
    }

    fn retire(&mut self, standing: Standing, step: &mut Step<'_>) {
        let own = self.members.own_mut();
        if own.standing >= standing {
            return;
        }
        own.standing = standing;
        own.version += 1;
        let incarnation = own.incarnation;
        if standing == Standing::Leaving {
            step.changes.push(Change::Leaving(incarnation));
        }
        self.announce_own(step);
    }

    /// Drains an entry on behalf of an operator. Returns false if no entry has that name.
    pub fn drain(&mut self, name: &name::Entry, step: &mut Step<'_>) -> bool {
        let Some(member) = self.members.get(name).cloned() else {
            return false;
        };
        if member.incarnation == self.members.own().incarnation {
            self.leave(step);
        } else if member.active() {
            self.drained.insert(name.clone(), member.incarnation);
            step.send(&member, Message::Drain(member.incarnation));
        }
        true
    }

    /// Updates the entries to greet from the platform's instance list.
    pub fn update_listed(&mut self, instances: &[Instance], step: &mut Step<'_>) {
        let own = self.members.own().peer;
        self.greetings.update_listed(instances, own);
        if self.members.active_others().next().is_none() {
            self.greet(greetings::INITIAL_GREETINGS, step);
        }
    }

    /// Handles timeouts and starts the probes and greetings that are due.
    pub fn tick(&mut self, step: &mut Step<'_>) {
        self.extend_deadlines_after_stall(step.now);
        for expired in self.probes.expired(step.now) {
            match expired {
                Expired::Direct(number, target) => self.probe_indirectly(number, target, step),
                Expired::Relayed(target) => self.suspect(target, step),
            }
        }
        self.expire_suspects(step);
        if self.probes.due(step.now) {
            self.probe(step);
            self.remind_drained(step);
        }
        if self.greetings.due(step.now) {
            self.greet(1, step);
            self.purge_gone(step.now);
        }
    }

    /// Extends all deadlines by the time for which the local process was stalled.
    fn extend_deadlines_after_stall(&mut self, now: Millis) {
        let gap = self.ticked.map_or(Millis::ZERO, |ticked| now - ticked);
        self.ticked = Some(now);
        if gap <= STALL_THRESHOLD {
            return;
        }
        self.probes.postpone(gap);
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + gap;
        }
    }

    /// Declares suspected members gone when their suspicion timeout has passed.
    fn expire_suspects(&mut self, step: &mut Step<'_>) {
        let now = step.now;
        let due: Vec<name::Entry> = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.suspects.remove(&name);
            let Some(member) = self.members.get_mut(&name) else {
                continue;
            };
            member.standing = Standing::Gone;
            member.heard = now;
            step.changes.push(Change::Gone(member.incarnation));
            self.announce(&name, step);
        }
    }

    /// Suspects a member that answered neither direct nor indirect probes.
    fn suspect(&mut self, target: name::Incarnation, step: &mut Step<'_>) {
        let Some(name) = self
            .members
            .by_incarnation(target)
            .map(|member| member.name.clone())
        else {
            return;
        };
        let Some(member) = self.members.get_mut(&name) else {
            return;
        };
        match member.standing {
            Standing::Live => {
                member.standing = Standing::Suspect;
                self.suspects
                    .insert(name.clone(), step.now + SUSPICION_TIMEOUT);
                self.announce(&name, step);
            }
            // The standing stays `Leaving`, as `Suspect` would hide that the member is leaving.
            // Only the local entry tracks this suspicion.
            Standing::Leaving => {
                self.suspects
                    .entry(name)
                    .or_insert(step.now + SUSPICION_TIMEOUT);
            }
            Standing::Suspect | Standing::Gone => {}
        }
    }

    /// Resends drain messages to entries that have not yet reported that they are leaving.
    fn remind_drained(&mut self, step: &mut Step<'_>) {
        let members = &self.members;
        self.drained.retain(|name, incarnation| {
            members
                .get(name)
                .is_some_and(|member| member.incarnation == *incarnation && member.active())
        });
        for name in self.drained.keys() {
            if let Some(member) = members.get(name) {
                step.send(member, Message::Drain(member.incarnation));
            }
        }
    }

    /// Removes members that have been gone for longer than the retention period.
    fn purge_gone(&mut self, now: Millis) {
        let old: Vec<name::Entry> = self
            .members
            .others()
            .filter(|member| {
                member.standing == Standing::Gone && member.heard + GONE_RETENTION <= now
            })
            .map(|member| member.name.clone())
            .collect();
        for name in old {
            self.members.remove(&name);
        }
    }

    /// Handles a message from another entry.
    pub fn receive(&mut self, from: name::Incarnation, message: Message, step: &mut Step<'_>) {
        match message {
            Message::Probe { number, sender } => {
                if sender.incarnation == from {
                    self.answer(number, &sender, step);
                    self.merge(sender, step);
                }
            }
            Message::Answer { number, sender } => {
                self.handle_answer(number, &sender, step);
                self.merge(sender, step);
            }
            Message::Relay {
                number,
                target,
                peer,
            } => self.probe_on_behalf(from, number, target, peer, step),
            Message::News(news) => {
                for member in news {
                    self.merge(member, step);
                }
            }
            Message::Greeting(sender) => {
                if sender.incarnation == from {
                    self.welcome(&sender, step);
                    self.merge(sender, step);
                }
            }
            Message::Welcome(sender) => {
                if sender.incarnation == from {
                    self.send_table(&sender, step);
                    self.merge(sender, step);
                }
            }
            Message::Drain(incarnation) => {
                if incarnation == self.members.own().incarnation {
                    self.leave(step);
                }
            }
        }
        self.update_last_heard(from, step.now);
    }

    /// Records when a member was last heard from.
    fn update_last_heard(&mut self, from: name::Incarnation, now: Millis) {
        let name = self
            .members
            .by_incarnation(from)
            .map(|member| member.name.clone());
        if let Some(member) = name.and_then(|name| self.members.get_mut(&name))
            && member.standing != Standing::Gone
        {
            member.heard = now;
        }
    }
}
