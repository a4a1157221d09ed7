//! Probe scheduling, probes in flight and probe timeouts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::clock::Millis;
use crate::membership::detector::{Detector, PROBE_PERIOD, Step};
use crate::membership::{Member, Message, Standing};
use crate::name::{self, Incarnation};

/// The timeout of a direct probe: a hundred times the round trip between data centres, which
/// allows for instances that are briefly overloaded.
const DIRECT_TIMEOUT: Millis = Millis(300);
/// The timeout of an indirect probe.
const RELAYED_TIMEOUT: Millis = Millis(300);
/// The number of entries asked to probe a member indirectly, so that one bad network path is
/// not mistaken for a failed entry.
const INDIRECT_PROBES: usize = 3;
/// The maximum number of concurrent probes on behalf of other entries. Further requests are
/// ignored, so that an entry cannot be made to amplify traffic.
const MAX_ON_BEHALF: usize = 64;

/// The kind of a probe in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A direct probe of the scheduled round.
    Direct,
    /// The direct probe timed out, and other entries are probing the member.
    Relayed,
    /// A probe requested by another entry, with the number that entry uses for it.
    OnBehalf(Incarnation, u64),
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    target: Incarnation,
    deadline: Millis,
    stage: Stage,
}

/// A probe that timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// A direct probe: its number and its target.
    Direct(u64, Incarnation),
    /// The indirect probes of a target.
    Relayed(Incarnation),
}

/// The probe state of one entry.
#[derive(Debug, Default)]
pub struct Probes {
    next: Millis,
    number: u64,
    /// The members still to be probed in this round, in random order.
    round: Vec<name::Entry>,
    pending: BTreeMap<u64, Pending>,
}

impl Probes {
    /// Returns whether a probe is due, and if so schedules the next one.
    pub fn due(&mut self, now: Millis) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + PROBE_PERIOD;
        true
    }

    /// Removes and returns the probes that timed out. Direct probes stay in flight as indirect
    /// ones.
    pub fn expired(&mut self, now: Millis) -> Vec<Expired> {
        let is_overdue = |pending: &Pending| pending.deadline <= now;
        let mut expired = Vec::new();
        for (number, pending) in &mut self.pending {
            if !is_overdue(pending) {
                continue;
            }
            match pending.stage {
                Stage::Direct => {
                    pending.stage = Stage::Relayed;
                    pending.deadline = now + RELAYED_TIMEOUT;
                    expired.push(Expired::Direct(*number, pending.target));
                }
                Stage::Relayed => expired.push(Expired::Relayed(pending.target)),
                Stage::OnBehalf(..) => {}
            }
        }
        self.pending.retain(|_, pending| !is_overdue(pending));
        expired
    }

    /// Extends the deadlines of all probes.
    pub fn postpone(&mut self, span: Millis) {
        for pending in self.pending.values_mut() {
            pending.deadline = pending.deadline + span;
        }
    }

    fn start(&mut self, target: Incarnation, deadline: Millis, stage: Stage) -> u64 {
        self.number += 1;
        let pending = Pending {
            target,
            deadline,
            stage,
        };
        self.pending.insert(self.number, pending);
        self.number
    }

    fn on_behalf(&self) -> usize {
        self.pending
            .values()
            .filter(|pending| matches!(pending.stage, Stage::OnBehalf(..)))
            .count()
    }
}

impl Detector {
    /// Probes the next member of the round, and one suspected member so that it can refute the
    /// suspicion.
    pub(super) fn probe(&mut self, step: &mut Step<'_>) {
        let turn = self.next_in_round(step);
        let suspect = self
            .members
            .others()
            .filter(|member| member.standing == Standing::Suspect)
            .choose(step.random)
            .cloned();
        let also = suspect.filter(|suspect| {
            turn.as_ref()
                .is_none_or(|turn| turn.incarnation != suspect.incarnation)
        });
        for member in turn.into_iter().chain(also) {
            let deadline = step.now + DIRECT_TIMEOUT;
            let number = self
                .probes
                .start(member.incarnation, deadline, Stage::Direct);
            self.send_probe(number, &member, step);
        }
    }

    /// Returns the next member of the round. Each round covers all members that are not gone.
    fn next_in_round(&mut self, step: &mut Step<'_>) -> Option<Member> {
        for _ in 0..2 {
            while let Some(name) = self.probes.round.pop() {
                let member = self.members.get(&name);
                if let Some(member) = member.filter(|member| member.standing != Standing::Gone) {
                    return Some(member.clone());
                }
            }
            let mut round: Vec<name::Entry> = self
                .members
                .others()
                .filter(|member| member.standing != Standing::Gone)
                .map(|member| member.name.clone())
                .collect();
            shuffle(&mut round, step);
            self.probes.round = round;
        }
        None
    }

    fn send_probe(&mut self, number: u64, member: &Member, step: &mut Step<'_>) {
        // Updates are sent first, so that a suspected member learns of the suspicion and refutes it
        // in its answer.
        self.send_news(member, step);
        let sender = self.own_news(step.now);
        step.send(member, Message::Probe { number, sender });
    }

    /// Answers a probe.
    pub(super) fn answer(&mut self, number: u64, to: &Member, step: &mut Step<'_>) {
        self.send_news(to, step);
        let sender = self.own_news(step.now);
        step.send(to, Message::Answer { number, sender });
    }

    /// Asks other members to probe a member that did not answer a direct probe.
    pub(super) fn probe_indirectly(
        &mut self,
        number: u64,
        target: Incarnation,
        step: &mut Step<'_>,
    ) {
        let Some(member) = self.members.by_incarnation(target) else {
            return;
        };
        let relay = Message::Relay {
            number,
            target,
            peer: member.peer,
        };
        let others: Vec<&Member> = self
            .members
            .active_others()
            .filter(|other| other.incarnation != target)
            .collect();
        for other in others.choose_multiple(step.random, INDIRECT_PROBES) {
            step.send(other, relay.clone());
        }
    }

    /// Probes a member on behalf of another entry.
    pub(super) fn probe_on_behalf(
        &mut self,
        from: Incarnation,
        number: u64,
        target: Incarnation,
        peer: SocketAddr,
        step: &mut Step<'_>,
    ) {
        let known = self.members.by_incarnation(target);
        let Some(member) = known.filter(|member| member.peer == peer).cloned() else {
            return;
        };
        if self.probes.on_behalf() >= MAX_ON_BEHALF {
            return;
        }
        let deadline = step.now + RELAYED_TIMEOUT;
        let stage = Stage::OnBehalf(from, number);
        let own = self.probes.start(target, deadline, stage);
        self.send_probe(own, &member, step);
    }

    /// Handles an answer to a probe, and forwards it if the probe was sent on behalf of another
    /// entry.
    pub(super) fn handle_answer(&mut self, number: u64, sender: &Member, step: &mut Step<'_>) {
        let matches = |pending: &&Pending| pending.target == sender.incarnation;
        let Some(pending) = self.probes.pending.get(&number).filter(matches).copied() else {
            return;
        };
        self.probes.pending.remove(&number);
        if let Stage::OnBehalf(from, number) = pending.stage
            && let Some(requester) = self.members.by_incarnation(from)
        {
            let sender = sender.clone();
            step.send(requester, Message::Answer { number, sender });
        }
        let leaving = |member: &Member| member.standing == Standing::Leaving;
        if self.members.get(&sender.name).is_some_and(leaving) {
            self.suspects.remove(&sender.name);
        }
    }
}

/// Shuffles the names (Fisher-Yates), so that no member is always last in a round.
fn shuffle(names: &mut [name::Entry], step: &mut Step<'_>) {
    for last in (1..names.len()).rev() {
        names.swap(last, step.random.random_range(0..=last));
    }
}
