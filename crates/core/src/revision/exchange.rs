//! Distributes configuration changes between entries, so that a revision spreads without the
//! table service and during its outages.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::revision::message::{Change, Message, Part};
use crate::revision::{PeerRevision, Tracker};

/// Number of changes kept to answer peers; a peer that lacks more gets a snapshot. At 12,000
/// changes a day this covers some minutes and takes under 300 KB.
const MAX_RECENT_CHANGES: usize = 256;
/// Maximum size of the changes in one response, in bytes; a peer that lacks more asks again.
const MAX_RESPONSE_BYTES: usize = 32 * 1024;
/// How long to wait for a response before asking again, the same peer or another.
const REQUEST_TIMEOUT: Millis = Millis(300);

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an entry.
    Send(name::Incarnation, Message),
    /// Sends a snapshot of the configuration in force to an entry.
    SendSnapshot(name::Incarnation),
    /// Puts changes in force, in order.
    Apply(Vec<Change>),
    /// Replaces the configuration by a newer snapshot.
    Replace {
        /// The revision of the snapshot.
        revision: u64,
        /// The documents, as JSON, templates before workspaces.
        documents: Vec<String>,
    },
}

/// One entry's state in the exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    tracker: Tracker,
    recent: VecDeque<Change>,
    parts: BTreeMap<u32, Part>,
    requested_at: Option<Millis>,
}

impl Exchange {
    /// Creates an exchange without a configuration; a confirmation is valid for `limit`.
    pub fn new(limit: Millis) -> Self {
        Self {
            tracker: Tracker::new(limit),
            recent: VecDeque::new(),
            parts: BTreeMap::new(),
            requested_at: None,
        }
    }

    /// Returns the tracker of the revision in force.
    pub fn tracker(&self) -> &Tracker {
        &self.tracker
    }

    /// Records that this entry put a revision in force, with the changes that led to it where
    /// they are known.
    pub fn in_force(&mut self, revision: u64, changes: &[Change]) {
        if !self.tracker.applied(revision) {
            return;
        }
        self.requested_at = None;
        for change in changes {
            let follows = self
                .recent
                .back()
                .is_none_or(|last| last.revision + 1 == change.revision);
            if !follows {
                self.recent.clear();
            }
            self.recent.push_back(change.clone());
        }
        if self
            .recent
            .back()
            .is_some_and(|last| last.revision != revision)
        {
            self.recent.clear();
        }
        while self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
    }

    /// Records that the change log was read to its end; the read was sent at `asked`.
    pub fn log_read(&mut self, asked: Millis) {
        self.tracker.log_read(asked);
    }

    /// Records the revision of a peer as reported by a third party.
    pub fn peer_reported(&mut self, now: Millis, holder: name::Incarnation, revision: u64) {
        self.tracker.peer_reported(now, holder, revision);
    }

    /// Records the revision that a peer reported itself.
    pub fn peer_heard(&mut self, now: Millis, from: name::Incarnation, revision: u64) {
        self.tracker.peer_heard(now, from, revision);
    }

    /// Removes a peer whose incarnation has ended.
    pub fn gone(&mut self, holder: name::Incarnation) {
        self.tracker.gone(holder);
    }

    /// Requests newer changes if a peer has any.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(PeerRevision { holder, .. }) = self.tracker.newer() else {
            return;
        };
        if self
            .requested_at
            .is_some_and(|requested_at| now - requested_at < REQUEST_TIMEOUT)
        {
            return;
        }
        self.requested_at = Some(now);
        let after = self.tracker.in_force().unwrap_or(0);
        out.push(Action::Send(holder, Message::Want(after)));
    }

    /// Processes a message from a peer.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: name::Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::InForce(revision) => {
                self.tracker.peer_heard(now, from, revision);
                self.tick(now, out);
            }
            Message::Want(after) => self.on_want(from, after, out),
            Message::Changes(changes) => self.on_changes(changes, out),
            Message::Part(part) => self.on_part(part, out),
        }
    }

    fn on_want(&self, from: name::Incarnation, after: u64, out: &mut Vec<Action>) {
        if self
            .tracker
            .in_force()
            .is_none_or(|in_force| in_force <= after)
        {
            return;
        }
        let next = self
            .recent
            .iter()
            .position(|change| change.revision == after + 1);
        match next {
            Some(next) if after > 0 => {
                let mut bytes = 0;
                let fits = |change: &&Change| {
                    bytes += change.document.len();
                    bytes <= MAX_RESPONSE_BYTES || change.revision == after + 1
                };
                let changes = self
                    .recent
                    .iter()
                    .skip(next)
                    .take_while(fits)
                    .cloned()
                    .collect();
                out.push(Action::Send(from, Message::Changes(changes)));
            }
            _ => out.push(Action::SendSnapshot(from)),
        }
    }

    fn on_changes(&mut self, mut changes: Vec<Change>, out: &mut Vec<Action>) {
        let Some(in_force) = self.tracker.in_force() else {
            return;
        };
        changes.retain(|change| change.revision > in_force);
        let whole = (in_force + 1..)
            .zip(&changes)
            .all(|(expected, change)| expected == change.revision);
        if whole && !changes.is_empty() {
            out.push(Action::Apply(changes));
        }
    }

    fn on_part(&mut self, part: Part, out: &mut Vec<Action>) {
        let in_force = self.tracker.in_force();
        if in_force.is_some_and(|in_force| part.revision <= in_force) {
            return;
        }
        let differs = |kept: &Part| (kept.revision, kept.of) != (part.revision, part.of);
        if self.parts.values().next().is_some_and(differs) {
            self.parts.clear();
        }
        let (revision, of) = (part.revision, part.of);
        self.parts.insert(part.index, part);
        if self.parts.len() < of as usize {
            return;
        }
        let parts = std::mem::take(&mut self.parts);
        let documents = parts
            .into_values()
            .flat_map(|part| part.documents)
            .collect();
        out.push(Action::Replace {
            revision,
            documents,
        });
    }
}

#[cfg(test)]
mod tests;
