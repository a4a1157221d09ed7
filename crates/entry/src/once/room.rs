//! The memory that all recorded answers share.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, Weak};

use crate::once::Tape;

/// A bound on the bytes of all recorded answers; ended ones make room, oldest first.
#[derive(Debug)]
pub struct Room {
    most: usize,
    used: AtomicUsize,
    ended: Mutex<VecDeque<Weak<Tape>>>,
}

impl Room {
    /// Room for this many bytes.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            used: AtomicUsize::new(0),
            ended: Mutex::default(),
        }
    }

    /// Takes room, at the cost of answers that have ended; false if that is not enough.
    pub(super) fn take(&self, bytes: usize) -> bool {
        loop {
            if self.used.fetch_add(bytes, Ordering::AcqRel) + bytes <= self.most {
                return true;
            }
            self.give(bytes);
            let Some(oldest) = self.oldest() else {
                return false;
            };
            if let Some(tape) = oldest.upgrade() {
                tape.forget();
            }
        }
    }

    /// Takes room in any case, for the few items that a slow reader still needs.
    pub(super) fn force(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Gives room back.
    pub(super) fn give(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// An answer has ended, and may be forgotten when room is needed.
    pub(super) fn ended(&self, tape: Weak<Tape>) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.push_back(tape);
    }

    fn oldest(&self) -> Option<Weak<Tape>> {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.pop_front()
    }
}
