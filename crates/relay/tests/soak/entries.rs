//! The entries of a run: which processes there are, and what became of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::rc::Rc;

use rustix::process::Signal;

use crate::process::Process;

/// An entry's place in the fleet: one process after the other.
struct Slot {
    process: Option<Process>,
    life: usize,
    /// Whether callers may open connections to it.
    is_open: bool,
}

/// What is known of one process's life.
#[derive(Default)]
struct Life {
    /// It was frozen or killed.
    is_hurt: bool,
    /// Keys that it has refused.
    refused: BTreeSet<&'static str>,
}

/// The entries, shared by all tasks.
#[derive(Clone, Default)]
pub struct Entries(Rc<Shared>);

#[derive(Default)]
struct Shared {
    slots: RefCell<Vec<Slot>>,
    lives: RefCell<Vec<Life>>,
    is_over: Cell<bool>,
}

impl Entries {
    /// Whether callers are to end.
    pub fn is_over(&self) -> bool {
        self.0.is_over.get()
    }

    /// Where callers may connect to, with the life that answers there.
    pub fn open(&self) -> Vec<(SocketAddr, usize)> {
        let slots = self.0.slots.borrow();
        let open = slots.iter().filter(|slot| slot.is_open);
        open.filter_map(|slot| Some((slot.process.as_ref()?.requests, slot.life)))
            .collect()
    }

    /// Whether a process was frozen or killed.
    pub fn is_hurt(&self, life: usize) -> bool {
        self.0.lives.borrow()[life].is_hurt
    }

    /// Notes that a process has refused a key.
    pub fn refused(&self, life: usize, key: &'static str) {
        self.0.lives.borrow_mut()[life].refused.insert(key);
    }

    /// Whether a process has refused a key.
    pub fn has_refused(&self, life: usize, key: &str) -> bool {
        self.0.lives.borrow()[life].refused.contains(key)
    }

    /// Starts the process of a slot, which the one before has left.
    pub fn start(&self, slot: usize, platform: SocketAddr) {
        let process = Process::start(&format!("entry-{slot}"), platform);
        let mut lives = self.0.lives.borrow_mut();
        lives.push(Life::default());
        let started = Slot {
            process: Some(process),
            life: lives.len() - 1,
            is_open: true,
        };
        let mut slots = self.0.slots.borrow_mut();
        if slot < slots.len() {
            slots[slot] = started;
        } else {
            slots.push(started);
        }
    }

    /// Sends a signal to the process of a slot, if it has one.
    pub fn signal(&self, slot: usize, signal: Signal, hurts: bool) {
        let slots = self.0.slots.borrow();
        if let Some(process) = &slots[slot].process {
            if hurts {
                self.0.lives.borrow_mut()[slots[slot].life].is_hurt = true;
            }
            process.signal(signal);
        }
    }

    /// Keeps callers from opening connections; false if that was so before.
    pub fn close(&self, slot: usize) -> bool {
        let mut slots = self.0.slots.borrow_mut();
        std::mem::take(&mut slots[slot].is_open)
    }

    /// How the process of a slot has ended, if it has.
    pub fn ended(&self, slot: usize) -> Option<ExitStatus> {
        let mut slots = self.0.slots.borrow_mut();
        slots[slot].process.as_mut()?.ended()
    }

    /// The life of the process of a slot.
    pub fn life(&self, slot: usize) -> usize {
        self.0.slots.borrow()[slot].life
    }

    /// How many processes there have been.
    pub fn lives(&self) -> usize {
        self.0.lives.borrow().len()
    }

    /// Tells callers to end.
    pub fn finish(&self) {
        self.0.is_over.set(true);
    }
}
