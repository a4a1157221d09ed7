//! Dissemination of membership updates, piggybacked on probes and answers.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::membership::detector::{Detector, Step};
use crate::membership::{Member, Message, Standing};
use crate::name;

/// The maximum number of updates piggybacked on a probe, which then takes about 300 bytes.
const MAX_NEWS_PER_PROBE: usize = 4;
/// The number of updates in a message that carries only updates. Four fit in a datagram even
/// with names of maximum length.
const MAX_NEWS_PER_TABLE_MESSAGE: usize = 4;
/// Each change is sent this many times the base-2 logarithm of the fleet size, which reaches
/// every entry with a probability close to one.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// The number of members that are immediately sent a change detected by the local entry.
const ANNOUNCE_FANOUT: usize = 8;
/// The number of members that are immediately sent a change received from another entry. With
/// this fanout a change reaches nearly all of a fleet of any size within a few round trips.
const FORWARD_FANOUT: usize = 3;

/// The queue of updates to disseminate.
#[derive(Debug, Default)]
pub struct Gossip {
    /// How often the update of each member has been sent.
    sent: BTreeMap<name::Entry, u32>,
}

impl Gossip {
    /// Queues the update of a member and resets its send count.
    pub fn enqueue(&mut self, name: &name::Entry) {
        self.sent.insert(name.clone(), 0);
    }

    /// Returns the members whose updates have been sent least often, and counts them as sent once
    /// more.
    fn next_batch(&mut self, members: usize) -> Vec<name::Entry> {
        let mut names: Vec<(u32, name::Entry)> = self
            .sent
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect();
        names.sort();
        names.truncate(MAX_NEWS_PER_PROBE);
        let most = RETRANSMIT_MULTIPLIER * (members + 1).ilog2();
        for (_, name) in &names {
            if let Some(sent) = self.sent.get_mut(name) {
                *sent += 1;
            }
        }
        self.sent.retain(|_, sent| *sent < most);
        names.into_iter().map(|(_, name)| name).collect()
    }
}

impl Detector {
    /// Returns the local entry's state with a current timestamp.
    pub(super) fn own_news(&mut self, now: Millis) -> Member {
        let own = self.members.own_mut();
        own.heartbeat.updated_at = now;
        own.clone()
    }

    /// Sends queued updates and fills the remaining space with the state of randomly chosen
    /// members.
    pub(super) fn send_news(&mut self, to: &Member, step: &mut Step<'_>) {
        let count = self.members.count();
        let mut names = self.gossip.next_batch(count);
        if self.needs_refutation(to) {
            names.retain(|name| *name != to.name);
            names.insert(0, to.name.clone());
        }
        let mut news: Vec<Member> = names
            .iter()
            .filter_map(|name| self.members.get(name))
            .cloned()
            .collect();
        let room = MAX_NEWS_PER_PROBE.saturating_sub(news.len());
        let others = self.members.others().filter(|member| {
            member.standing != Standing::Gone
                && member.name != to.name
                && !names.contains(&member.name)
        });
        news.extend(
            others
                .choose_multiple(step.random, room)
                .into_iter()
                .cloned(),
        );
        if !news.is_empty() {
            step.send(to, Message::News(news));
        }
    }

    /// Returns whether a member should be sent its own recorded state: it is recorded as not live,
    /// under another incarnation or with a higher version, so the member may have to refute it.
    fn needs_refutation(&self, to: &Member) -> bool {
        self.members.get(&to.name).is_some_and(|known| {
            known.standing != Standing::Live
                || known.incarnation != to.incarnation
                || known.version > to.version
        })
    }

    /// Sends a change that the local entry detected to some members immediately, and queues it for
    /// the others.
    pub(super) fn announce(&mut self, name: &name::Entry, step: &mut Step<'_>) {
        self.disseminate(name, ANNOUNCE_FANOUT, step);
    }

    /// Forwards a change received from another entry.
    pub(super) fn forward(&mut self, name: &name::Entry, step: &mut Step<'_>) {
        self.disseminate(name, FORWARD_FANOUT, step);
    }

    fn disseminate(&mut self, name: &name::Entry, count: usize, step: &mut Step<'_>) {
        let Some(news) = self.members.get(name).cloned() else {
            return;
        };
        self.gossip.enqueue(name);
        let others = self.members.others();
        let others =
            others.filter(|member| member.standing != Standing::Gone && member.name != *name);
        for member in others.choose_multiple(step.random, count) {
            step.send(member, Message::News(vec![news.clone()]));
        }
    }

    /// Announces a change in the local entry's state.
    pub(super) fn announce_own(&mut self, step: &mut Step<'_>) {
        let own = self.own_news(step.now).name;
        self.announce(&own, step);
    }

    /// Sends the full member table.
    pub(super) fn send_table(&mut self, to: &Member, step: &mut Step<'_>) {
        self.own_news(step.now);
        let all: Vec<Member> = self.members.iter().cloned().collect();
        for news in all.chunks(MAX_NEWS_PER_TABLE_MESSAGE) {
            step.send(to, Message::News(news.to_vec()));
        }
    }
}
