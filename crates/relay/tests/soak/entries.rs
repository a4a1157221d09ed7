//! The entries of a run: which processes there are, and what became of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::process::Process;

/// An entry's place in the fleet: one process after the other.
struct Slot {
    process: Option<Process>,
    life: usize,
    /// Since when callers with a fresh list open no connections to it.
    closed: Option<Instant>,
}

/// What is known of one process's life.
struct Life {
    started: Instant,
    /// When it was first frozen or killed.
    hurt: Option<Instant>,
    /// When it was first told to stop.
    told: Option<Instant>,
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
        self.listed(Duration::ZERO)
    }

    /// As [`Self::open`], by a list of such an age: with entries that have since been
    /// told to stop, for as long as their processes are there.
    pub fn listed(&self, age: Duration) -> Vec<(SocketAddr, usize)> {
        let slots = self.0.slots.borrow();
        let open = slots.iter().filter(|slot| {
            let closed = slot.closed;
            closed.is_none_or(|closed| closed.elapsed() < age)
        });
        open.filter_map(|slot| Some((slot.process.as_ref()?.requests, slot.life)))
            .collect()
    }

    /// Whether a process was frozen or killed.
    pub fn is_hurt(&self, life: usize) -> bool {
        self.0.lives.borrow()[life].hurt.is_some()
    }

    /// Whether nothing befell a process throughout a span: it had been started before, and was
    /// neither frozen nor killed nor told to stop.
    pub fn was_sound(&self, life: usize, from: Instant, until: Instant) -> bool {
        let life = &self.0.lives.borrow()[life];
        let is_later = |at: Option<Instant>| at.is_none_or(|at| at > until);
        life.started <= from && is_later(life.hurt) && is_later(life.told)
    }

    /// Whether a process was frozen or killed until a moment.
    pub fn was_hurt(&self, life: usize, until: Instant) -> bool {
        let hurt = self.0.lives.borrow()[life].hurt;
        hurt.is_some_and(|hurt| hurt <= until)
    }

    /// When a process was first told to stop, if it was.
    pub fn told(&self, life: usize) -> Option<Instant> {
        self.0.lives.borrow()[life].told
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
        let mut lives = self.0.lives.borrow_mut();
        let process = Process::start(&format!("entry-{slot}"), lives.len(), platform);
        lives.push(Life {
            started: Instant::now(),
            hurt: None,
            told: None,
            refused: BTreeSet::new(),
        });
        let started = Slot {
            process: Some(process),
            life: lives.len() - 1,
            closed: None,
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
            let mut lives = self.0.lives.borrow_mut();
            let life = &mut lives[slots[slot].life];
            if hurts {
                life.hurt.get_or_insert_with(Instant::now);
            }
            if signal == Signal::TERM {
                life.told.get_or_insert_with(Instant::now);
            }
            process.signal(signal);
        }
    }

    /// Keeps callers with a fresh list from opening connections; false if that was so before.
    pub fn close(&self, slot: usize) -> bool {
        let mut slots = self.0.slots.borrow_mut();
        let closed = &mut slots[slot].closed;
        let is_first = closed.is_none();
        closed.get_or_insert_with(Instant::now);
        is_first
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

    /// Where the process of a slot takes requests.
    pub fn address(&self, slot: usize) -> Option<SocketAddr> {
        let slots = self.0.slots.borrow();
        slots[slot].process.as_ref().map(|it| it.requests)
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
