//! Slots, and who waits for one: by priority, then by arrival.

use std::collections::BTreeMap;

use tokio::sync::oneshot::{self, Receiver, Sender};

/// A place in the queue: priority, 0 first, then order of arrival.
pub type Key = (u8, u64);

/// Slots and the requests that wait for one. Nothing that runs is preempted.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<Key, Sender<()>>,
}

impl Queue {
    /// A queue for this many slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Enters; the receiver hears when a slot is free.
    pub fn enter(&mut self, priority: u8) -> (Key, Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let key = (priority, self.arrivals);
        self.arrivals += 1;
        self.waiting.insert(key, sender);
        self.admit();
        (key, receiver)
    }

    /// Leaves the waiting list or gives the slot back.
    pub fn leave(&mut self, key: Key) {
        if self.waiting.remove(&key).is_none() {
            self.running -= 1;
        }
        self.admit();
    }

    /// How many run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn admit(&mut self) {
        while self.running < self.slots {
            let Some((_, sender)) = self.waiting.pop_first() else {
                return;
            };
            self.running += 1;
            // A receiver that has gone gives the slot back by `leave`.
            let _ = sender.send(());
        }
    }
}

#[cfg(test)]
mod tests;
