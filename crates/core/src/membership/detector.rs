//! The failure detector: probes a few members at a time, directly and through
//! others, and passes news on with its probes (the SWIM family of protocols).
//!
//! What one entry sends does not grow with the fleet: one probe a period, and a
//! bounded number of pieces of news with each.

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

/// How often a member is probed. At seven entries each sees every other within
/// 1.2 s, and each is probed by someone every 200 ms.
pub const PROBE_PERIOD: Millis = Millis(200);
/// How long a suspected member has to say that it lives. With two missed
/// timeouts before it, a killed entry is held to be gone within 2 to 3 s.
pub const SUSPICION_TIMEOUT: Millis = Millis(1_500);
/// A longer pause between ticks means that this entry itself did not run: it
/// must not hold others' silence during it against them.
const STALL_THRESHOLD: Millis = Millis(500);
/// How long a gone member is remembered: longer than the longest partition that
/// is planned for, so that both sides find one another after it.
const GONE_RETENTION: Millis = Millis::from_secs(2 * 60 * 60);
/// The most members that are kept, gone ones included: several times the
/// largest fleet planned for.
const MAX_MEMBERS: usize = 2_048;

/// What one step works with.
pub struct Step<'a> {
    /// The time.
    pub now: Millis,
    /// Random numbers.
    pub random: &'a mut ChaCha8Rng,
    /// Takes what is to be sent.
    pub out: &'a mut Vec<Action>,
    /// Takes what changed.
    pub changes: &'a mut Vec<Change>,
}

impl Step<'_> {
    fn send(&mut self, member: &Member, message: Message) {
        let message = message::Message::Membership(message);
        self.out.push(Action::Send(member.peer, message));
    }
}

/// One entry's view of the fleet.
#[derive(Debug)]
pub struct Detector {
    members: Members,
    gossip: Gossip,
    probes: Probes,
    greetings: Greetings,
    /// When each suspected member is held to be gone.
    suspects: BTreeMap<name::Entry, Millis>,
    /// Entries that an operator wants to take no new work, until they say so.
    drained: BTreeMap<name::Entry, name::Incarnation>,
    ticked: Option<Millis>,
    superseded: bool,
}

impl Detector {
    /// Only the own entry is known.
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

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What the own entry says of itself from now on.
    pub fn set_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.members.own_mut().heartbeat = heartbeat;
    }

    /// The own entry stops as planned: it takes no new work from now on.
    pub fn leave(&mut self, step: &mut Step<'_>) {
        self.retire(Standing::Leaving, step);
    }

    /// The own entry's last word.
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

    /// An operator wants an entry to take no new work; false if there is none of
    /// that name.
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

    /// Takes in the platform's list: whom to greet.
    pub fn update_listed(&mut self, instances: &[Instance], step: &mut Step<'_>) {
        let own = self.members.own().peer;
        self.greetings.update_listed(instances, own);
        if self.members.active_others().next().is_none() {
            self.greet(greetings::INITIAL_GREETINGS, step);
        }
    }

    /// Time has passed.
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

    /// Moves all deadlines by the time in which this entry did not run.
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

    /// Holds suspects whose time has run out to be gone.
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

    /// A member missed its probes.
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
            // A suspicion must not hide that it is leaving, so that each entry
            // keeps this one to itself.
            Standing::Leaving => {
                self.suspects
                    .entry(name)
                    .or_insert(step.now + SUSPICION_TIMEOUT);
            }
            Standing::Suspect | Standing::Gone => {}
        }
    }

    /// Tells drained entries again, until they are seen to leave.
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

    /// Forgets members that have been gone for long.
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

    /// Takes in a message of another entry.
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

    /// Notes that a member spoke.
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
