//! News that is passed on with probes and answers.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom;

use crate::clock::Millis;
use crate::membership::detector::{Detector, Step};
use crate::membership::{Member, Message, Standing};
use crate::name;

/// Pieces of news in one message: with it a probe takes about 300 bytes.
const MAX_NEWS_PER_PROBE: usize = 4;
/// Pieces of news in a message that holds nothing else; it fits in a datagram
/// even with the longest names.
const MAX_NEWS_PER_TABLE_MESSAGE: usize = 4;
/// Each change is sent this many times the logarithm of the fleet's size, which
/// reaches every entry with a probability near one.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// Members that are told at once of a change that this entry found.
const ANNOUNCE_FANOUT: usize = 8;
/// Members that are told at once of a change that this entry heard of. Passed on
/// so, a change reaches nearly all of any fleet within a few round trips.
const FORWARD_FANOUT: usize = 3;

/// Changes that are still to be passed on.
#[derive(Debug, Default)]
pub struct Gossip {
    /// How often the news of each member was sent.
    sent: BTreeMap<name::Entry, u32>,
}

impl Gossip {
    /// There is news of a member.
    pub fn enqueue(&mut self, name: &name::Entry) {
        self.sent.insert(name.clone(), 0);
    }

    /// The members whose news was sent least, counted as sent once more.
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
    /// The news of the own entry, with the time.
    pub(super) fn own_news(&mut self, now: Millis) -> Member {
        let own = self.members.own_mut();
        own.heartbeat.updated_at = now;
        own.clone()
    }

    /// Sends changes and, where there is room, what is known of any other member.
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

    /// Whether what is known of a member is not what it says, or should not be.
    fn needs_refutation(&self, to: &Member) -> bool {
        self.members.get(&to.name).is_some_and(|known| {
            known.standing != Standing::Live
                || known.incarnation != to.incarnation
                || known.version > to.version
        })
    }

    /// Tells some members at once of a change that this entry found, and all by
    /// and by.
    pub(super) fn announce(&mut self, name: &name::Entry, step: &mut Step<'_>) {
        self.disseminate(name, ANNOUNCE_FANOUT, step);
    }

    /// Passes on a change that this entry heard of.
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

    /// Tells of a change of the own entry.
    pub(super) fn announce_own(&mut self, step: &mut Step<'_>) {
        let own = self.own_news(step.now).name;
        self.announce(&own, step);
    }

    /// Sends everything to a member.
    pub(super) fn send_table(&mut self, to: &Member, step: &mut Step<'_>) {
        self.own_news(step.now);
        let all: Vec<Member> = self.members.iter().cloned().collect();
        for news in all.chunks(MAX_NEWS_PER_TABLE_MESSAGE) {
            step.send(to, Message::News(news.to_vec()));
        }
    }
}
