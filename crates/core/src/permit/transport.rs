//! Message exchange with other entries: batching, sequence numbers,
//! acknowledgements and detection of unresponsive peers.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{Call, Message, MessageId, Reply};

/// Number of send times kept for each peer: enough for one second between a busy
/// pair of entries.
const MAX_SEND_TIMES: usize = 256;
/// Maximum number of calls, and of replies, in one message, so that a message
/// full of permit requests fits into one datagram.
const MAX_ITEMS: usize = 12;
/// How long a peer may leave a message unanswered before it counts as
/// unresponsive. Answers normally arrive within a few ticks. Treating a busy
/// instance as unresponsive costs a few requests above an endpoint's slots;
/// waiting longer for a dead one fills the queues.
const UNRESPONSIVE_AFTER: Millis = Millis(500);

/// When a call or reply is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// At the end of the current event.
    Now,
    /// With the next message to that entry, at the next tick at the latest.
    Tick,
    /// With the next message to that entry, at the latest at the first tick
    /// after the given time.
    By(Millis),
}

/// The state of the exchange with one other entry.
#[derive(Debug, Default)]
struct Peer {
    last_sent: u32,
    send_times: VecDeque<(u32, Millis)>,
    last_received: MessageId,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    urgent: bool,
    /// The latest time at which the queued calls and replies are sent.
    due: Option<Millis>,
    /// The oldest and the newest message that require an answer and have not
    /// been acknowledged.
    owed: Option<(Owed, Owed)>,
    unresponsive: bool,
    round_trip: Option<Millis>,
}

/// A sent message that requires an answer.
#[derive(Clone, Copy, Debug)]
struct Owed {
    number: u32,
    since: Millis,
}

/// Information derived from the header of a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// The sequence number of the message.
    pub number: u32,
    /// The newest message of this entry that the sender has received; 0 if none.
    pub acked: u32,
    /// When that message was sent, if its send time is still kept.
    pub acked_sent_at: Option<Millis>,
    /// Whether no newer message was received before.
    pub newest: bool,
    /// Whether the sender counted as unresponsive until now.
    pub reconnected: bool,
}

impl Receipt {
    /// The receipt of a message from this entry to itself.
    pub const OWN: Self = Self {
        number: 0,
        acked: u32::MAX,
        acked_sent_at: None,
        newest: true,
        reconnected: false,
    };

    /// Whether the sender has received a message that was sent less than `span`
    /// ago.
    pub fn acked_within(&self, now: Millis, span: Millis) -> bool {
        let recent = |sent: Millis| now < sent + span;
        *self == Self::OWN || self.acked_sent_at.is_some_and(recent)
    }
}

/// A message from this entry to itself, when it is both the requesting entry and
/// the home.
#[derive(Debug)]
pub enum Loopback {
    /// From the broker to the home side.
    Call(Call),
    /// From the home side to the broker.
    Reply(Reply),
}

/// Message exchange with all other entries.
#[derive(Debug)]
pub struct Transport {
    own: Incarnation,
    generation: u32,
    peers: BTreeMap<Incarnation, Peer>,
    loopback: VecDeque<Loopback>,
    /// The highest sequence number reached with any peer that was removed. New
    /// peers continue from it, because a removed incarnation may turn out to be
    /// alive.
    max_sent: u32,
}

impl Transport {
    /// Creates a transport without peers. The generation counts the restarts of
    /// the control branch.
    pub fn new(own: Incarnation, generation: u32) -> Self {
        Self {
            own,
            generation,
            peers: BTreeMap::new(),
            loopback: VecDeque::new(),
            max_sent: 0,
        }
    }

    /// Returns this entry's own incarnation.
    pub fn own(&self) -> Incarnation {
        self.own
    }

    /// Queues a call to a pool's home and returns the sequence number of the
    /// message that will carry it; 0 for this entry itself.
    pub fn send_call(&mut self, now: Millis, to: Incarnation, urgency: Urgency, call: Call) -> u32 {
        if to == self.own {
            self.loopback.push_back(Loopback::Call(call));
            return 0;
        }
        let peer = self.peer(to);
        if matches!(call, Call::Acquire(_) | Call::Digest(_)) {
            peer.expect_reply(now);
        }
        peer.calls.push(call);
        peer.schedule(urgency);
        peer.last_sent + 1
    }

    /// Queues a reply to a requesting entry and returns the sequence number of
    /// the message that will carry it; 0 for this entry itself.
    pub fn send_reply(&mut self, to: Incarnation, urgency: Urgency, reply: Reply) -> u32 {
        if to == self.own {
            self.loopback.push_back(Loopback::Reply(reply));
            return 0;
        }
        let peer = self.peer(to);
        peer.replies.push(reply);
        peer.schedule(urgency);
        peer.last_sent + 1
    }

    /// Takes the next message from this entry to itself.
    pub fn next_loopback(&mut self) -> Option<Loopback> {
        self.loopback.pop_front()
    }

    /// Processes the header of a message. Returns `None` for a message that was
    /// sent before the sender's control branch restarted.
    pub fn receive(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: &Message,
    ) -> Option<Receipt> {
        let generation = self.generation;
        let peer = self.peer(from);
        if message.id.generation < peer.last_received.generation {
            return None;
        }
        let newest = message.id > peer.last_received;
        if newest {
            peer.last_received = message.id;
        }
        let acked = if message.acked.generation == generation {
            message.acked.number
        } else {
            0
        };
        let acked_sent_at = peer.sent_at(acked);
        if let Some(sent) = acked_sent_at {
            peer.measure(now - sent);
        }
        let answered = peer.record_ack(now, acked);
        Some(Receipt {
            number: message.id.number,
            acked,
            acked_sent_at,
            newest,
            reconnected: answered && std::mem::take(&mut peer.unresponsive),
        })
    }

    /// Whether an entry has left messages unanswered for too long.
    pub fn is_unresponsive(&self, entry: Incarnation) -> bool {
        self.peers.get(&entry).is_some_and(|peer| peer.unresponsive)
    }

    /// Marks peers as unresponsive whose answer is overdue, and returns those
    /// newly marked.
    pub fn newly_unresponsive(&mut self, now: Millis) -> Vec<Incarnation> {
        let mut found = Vec::new();
        for (entry, peer) in &mut self.peers {
            let overdue = peer
                .owed
                .is_some_and(|(oldest, _)| now >= oldest.since + UNRESPONSIVE_AFTER);
            if overdue && !peer.unresponsive {
                peer.unresponsive = true;
                found.push(*entry);
            }
        }
        found
    }

    /// Returns the shortest time measured between sending a message and
    /// receiving its acknowledgement; zero if none was measured.
    pub fn round_trip(&self, entry: Incarnation) -> Millis {
        let peer = self.peers.get(&entry);
        peer.and_then(|peer| peer.round_trip)
            .unwrap_or(Millis::ZERO)
    }

    /// Removes the peers for which the predicate is false.
    pub fn retain_peers(&mut self, keep: impl Fn(Incarnation) -> bool) {
        let max_sent = &mut self.max_sent;
        self.peers.retain(|entry, peer| {
            *max_sent = peer.last_sent.max(*max_sent);
            keep(*entry)
        });
    }

    fn peer(&mut self, entry: Incarnation) -> &mut Peer {
        let last_sent = self.max_sent;
        self.peers.entry(entry).or_insert_with(|| Peer {
            last_sent,
            ..Peer::default()
        })
    }

    /// Returns the messages to send now, in order. Those that are not urgent are
    /// only sent at a tick.
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
                out.push((*entry, peer.next_message(now, self.generation)));
            }
        }
        out
    }
}

impl Peer {
    fn schedule(&mut self, urgency: Urgency) {
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

    fn next_message(&mut self, now: Millis, generation: u32) -> Message {
        self.last_sent += 1;
        self.send_times.push_back((self.last_sent, now));
        if self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
        let calls = self.calls.len().min(MAX_ITEMS);
        let replies = self.replies.len().min(MAX_ITEMS);
        Message {
            id: MessageId {
                generation,
                number: self.last_sent,
            },
            acked: self.last_received,
            calls: self.calls.drain(..calls).collect(),
            replies: self.replies.drain(..replies).collect(),
        }
    }

    /// Records that the next message requires an answer.
    fn expect_reply(&mut self, now: Millis) {
        let newest = Owed {
            number: self.last_sent + 1,
            since: now,
        };
        let oldest = self.owed.map_or(newest, |(oldest, _)| oldest);
        self.owed = Some((oldest, newest));
    }

    /// Processes an acknowledgement up to a sequence number. Returns false if
    /// the oldest message that requires an answer is not covered: receiving
    /// other messages from a peer does not count, because it may send without
    /// processing what it receives.
    fn record_ack(&mut self, now: Millis, acked: u32) -> bool {
        let Some((oldest, newest)) = self.owed else {
            return true;
        };
        if acked < oldest.number {
            return false;
        }
        let rest = Owed {
            since: now,
            ..newest
        };
        self.owed = (acked < newest.number).then_some((rest, newest));
        true
    }

    fn sent_at(&self, number: u32) -> Option<Millis> {
        let (first, _) = self.send_times.front()?;
        let index = usize::try_from(number.checked_sub(*first)?).ok()?;
        self.send_times.get(index).map(|(_, at)| *at)
    }

    fn measure(&mut self, sample: Millis) {
        let best = self.round_trip.map_or(sample, |best| best.min(sample));
        self.round_trip = Some(best);
    }
}
