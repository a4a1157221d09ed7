//! What goes between this entry and the others: counts, and what is to be sent.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{Call, Message, Reply, Stamp};

/// Sendings that are remembered by time: enough for a second of a busy pair.
const REMEMBERED: usize = 256;
/// Items in one message: a message of asks then fits in one datagram.
const ITEMS: usize = 12;
/// How long an entry that owes an answer may be silent before it counts as
/// unreachable. Answers come within some ticks; taking a busy instance for
/// unreachable costs a few places above an endpoint's slots, and waiting longer
/// for a dead one fills the waiting lists.
const SILENCE: Millis = Millis(500);

/// When something is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// At the end of this event.
    Now,
    /// With the next message to that entry, at the next tick at the latest.
    Tick,
    /// With the next message to that entry, at the first tick from then on at
    /// the latest.
    By(Millis),
}

/// One message's worth of the pair's history.
#[derive(Debug, Default)]
struct Peer {
    sent: u32,
    times: VecDeque<(u32, Millis)>,
    seen: Stamp,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    urgent: bool,
    /// When what waits is to go at the latest.
    due: Option<Millis>,
    /// The oldest and the newest message that want an answer and got none.
    owed: Option<(Owed, Owed)>,
    silent: bool,
    round_trip: Option<Millis>,
}

/// A message that wants an answer.
#[derive(Clone, Copy, Debug)]
struct Owed {
    number: u32,
    since: Millis,
}

/// What became known from the head of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// The number of the message.
    pub number: u32,
    /// The newest own message that the sender has seen; 0 for none.
    pub seen: u32,
    /// When that own message was sent, if that is remembered.
    pub seen_sent: Option<Millis>,
    /// Whether no newer message came before.
    pub newest: bool,
    /// Whether the sender was taken for unreachable until now.
    pub back: bool,
}

impl Receipt {
    /// The receipt of what an entry says to itself.
    pub const OWN: Self = Self {
        number: 0,
        seen: u32::MAX,
        seen_sent: None,
        newest: true,
        back: false,
    };

    /// Whether the sender has seen something that was said within a span.
    pub fn fresh(&self, now: Millis, span: Millis) -> bool {
        let recent = |sent: Millis| now < sent + span;
        *self == Self::OWN || self.seen_sent.is_some_and(recent)
    }
}

/// Something that this entry says to itself, being asker and home at once.
#[derive(Debug)]
pub enum Local {
    /// To its home side.
    Call(Call),
    /// To its asking side.
    Reply(Reply),
}

/// All pairs of this entry with another.
#[derive(Debug)]
pub struct Post {
    own: Incarnation,
    generation: u32,
    peers: BTreeMap<Incarnation, Peer>,
    local: VecDeque<Local>,
    /// The largest number that a forgotten pair had reached. New pairs go on
    /// from it, since a life that was forgotten may turn out to be alive.
    reached: u32,
}

impl Post {
    /// No messages yet. The generation counts the restarts of the control branch.
    pub fn new(own: Incarnation, generation: u32) -> Self {
        Self {
            own,
            generation,
            peers: BTreeMap::new(),
            local: VecDeque::new(),
            reached: 0,
        }
    }

    /// This life of the own entry.
    pub fn own(&self) -> Incarnation {
        self.own
    }

    /// Says something to a pool's home. The number is that of the message.
    pub fn call(&mut self, now: Millis, to: Incarnation, urgency: Urgency, call: Call) -> u32 {
        if to == self.own {
            self.local.push_back(Local::Call(call));
            return 0;
        }
        let peer = self.peer(to);
        if matches!(call, Call::Ask(_) | Call::Digest(_)) {
            peer.owe(now);
        }
        peer.calls.push(call);
        peer.hurry(urgency);
        peer.sent + 1
    }

    /// Says something to a request's entry. The number is that of the message.
    pub fn reply(&mut self, to: Incarnation, urgency: Urgency, reply: Reply) -> u32 {
        if to == self.own {
            self.local.push_back(Local::Reply(reply));
            return 0;
        }
        let peer = self.peer(to);
        peer.replies.push(reply);
        peer.hurry(urgency);
        peer.sent + 1
    }

    /// The next thing that this entry said to itself.
    pub fn next_local(&mut self) -> Option<Local> {
        self.local.pop_front()
    }

    /// Takes in the head of a message. None: it is of a time before the sender's
    /// control branch restarted.
    pub fn receive(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: &Message,
    ) -> Option<Receipt> {
        let generation = self.generation;
        let peer = self.peer(from);
        if message.sent.generation < peer.seen.generation {
            return None;
        }
        let newest = message.sent > peer.seen;
        if newest {
            peer.seen = message.sent;
        }
        let seen = if message.seen.generation == generation {
            message.seen.number
        } else {
            0
        };
        let seen_sent = peer.sent_at(seen);
        if let Some(sent) = seen_sent {
            peer.measure(now - sent);
        }
        let answered = peer.answered(now, seen);
        Some(Receipt {
            number: message.sent.number,
            seen,
            seen_sent,
            newest,
            back: answered && std::mem::take(&mut peer.silent),
        })
    }

    /// Whether an entry owes answers and has long said nothing.
    pub fn silent(&self, entry: Incarnation) -> bool {
        self.peers.get(&entry).is_some_and(|peer| peer.silent)
    }

    /// Entries that have become silent since the last call.
    pub fn newly_silent(&mut self, now: Millis) -> Vec<Incarnation> {
        let mut found = Vec::new();
        for (entry, peer) in &mut self.peers {
            let overdue = peer
                .owed
                .is_some_and(|(oldest, _)| now >= oldest.since + SILENCE);
            if overdue && !peer.silent {
                peer.silent = true;
                found.push(*entry);
            }
        }
        found
    }

    /// The shortest time seen between a message to an entry and one that had
    /// seen it; zero if not measured.
    pub fn round_trip(&self, entry: Incarnation) -> Millis {
        let peer = self.peers.get(&entry);
        peer.and_then(|peer| peer.round_trip)
            .unwrap_or(Millis::ZERO)
    }

    /// Forgets the lives of entries that do not fulfil a condition.
    pub fn forget_all_but(&mut self, alive: impl Fn(Incarnation) -> bool) {
        let reached = &mut self.reached;
        self.peers.retain(|entry, peer| {
            *reached = peer.sent.max(*reached);
            alive(*entry)
        });
    }

    fn peer(&mut self, entry: Incarnation) -> &mut Peer {
        let sent = self.reached;
        self.peers.entry(entry).or_insert_with(|| Peer {
            sent,
            ..Peer::default()
        })
    }

    /// The messages that are due, in order; some only at a tick.
    pub fn flush(&mut self, now: Millis, tick: bool) -> Vec<(Incarnation, Message)> {
        let mut out = Vec::new();
        for (entry, peer) in &mut self.peers {
            let due = peer.due.is_some_and(|due| tick && now >= due);
            if !(peer.urgent || due) {
                continue;
            }
            peer.urgent = false;
            peer.due = None;
            while !(peer.calls.is_empty() && peer.replies.is_empty()) {
                out.push((*entry, peer.next(now, self.generation)));
            }
        }
        out
    }
}

impl Peer {
    fn hurry(&mut self, urgency: Urgency) {
        let due = match urgency {
            Urgency::Now => {
                self.urgent = true;
                return;
            }
            Urgency::Tick => Millis::ZERO,
            Urgency::By(due) => due,
        };
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    fn next(&mut self, now: Millis, generation: u32) -> Message {
        self.sent += 1;
        self.times.push_back((self.sent, now));
        if self.times.len() > REMEMBERED {
            self.times.pop_front();
        }
        let calls = self.calls.len().min(ITEMS);
        let replies = self.replies.len().min(ITEMS);
        Message {
            sent: Stamp {
                generation,
                number: self.sent,
            },
            seen: self.seen,
            calls: self.calls.drain(..calls).collect(),
            replies: self.replies.drain(..replies).collect(),
        }
    }

    /// The message that is about to be sent wants an answer.
    fn owe(&mut self, now: Millis) {
        let newest = Owed {
            number: self.sent + 1,
            since: now,
        };
        let oldest = self.owed.map_or(newest, |(oldest, _)| oldest);
        self.owed = Some((oldest, newest));
    }

    /// The other entry has seen messages up to a number. False: it did not see
    /// the oldest that wants an answer. Hearing of it alone is no answer: it may
    /// speak, but ignore what it is told.
    fn answered(&mut self, now: Millis, seen: u32) -> bool {
        let Some((oldest, newest)) = self.owed else {
            return true;
        };
        if seen < oldest.number {
            return false;
        }
        let rest = Owed {
            since: now,
            ..newest
        };
        self.owed = (seen < newest.number).then_some((rest, newest));
        true
    }

    fn sent_at(&self, number: u32) -> Option<Millis> {
        let (first, _) = self.times.front()?;
        let index = usize::try_from(number.checked_sub(*first)?).ok()?;
        self.times.get(index).map(|(_, at)| *at)
    }

    fn measure(&mut self, sample: Millis) {
        let best = self.round_trip.map_or(sample, |best| best.min(sample));
        self.round_trip = Some(best);
    }
}
