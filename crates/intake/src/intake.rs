//! What all connections of a process share.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use woodgap_core::clock::Millis;
use woodgap_core::intake::Registry;
use woodgap_core::intake::registry::{Cause, Closure, Full, Id};
use woodgap_platform::clock::Clock;

use crate::Connection;

/// Why something was refused or closed for the sake of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection gave way.
    Closed(Cause),
    /// A connection was not taken, since all places are in use.
    NotTaken,
    /// A request was refused for want of room.
    Full,
    /// A head was longer than its limit.
    HeadTooLarge,
}

impl Event {
    /// All events.
    pub const ALL: [Self; 7] = [
        Self::Closed(Cause::ALL[0]),
        Self::Closed(Cause::ALL[1]),
        Self::Closed(Cause::ALL[2]),
        Self::Closed(Cause::ALL[3]),
        Self::NotTaken,
        Self::Full,
        Self::HeadTooLarge,
    ];

    /// The event as written in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Closed(cause) => cause.as_str(),
            Self::NotTaken => "not_taken",
            Self::Full => "full",
            Self::HeadTooLarge => "head_too_large",
        }
    }

    fn index(self) -> usize {
        let mut all = Self::ALL.into_iter();
        all.position(|event| event == self).unwrap_or_default()
    }
}

/// Tells a connection what is decided about it.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    /// It is to end at once.
    pub(crate) end: Notify,
    /// Its request is to be refused, as its body comes too slowly.
    pub(crate) give_up: Notify,
}

/// How much is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Open connections.
    pub connections: usize,
    /// The bytes that are held for them.
    pub bytes: usize,
}

/// What all connections of a process share.
#[derive(Debug)]
pub struct Intake {
    registry: Mutex<Registry>,
    signals: Mutex<HashMap<Id, Arc<Signal>>>,
    events: [AtomicU64; Event::ALL.len()],
    clock: Clock,
}

impl Intake {
    /// The intake of a process with this much memory, in bytes, and so many descriptors for
    /// callers.
    ///
    /// ```
    /// use woodgap_intake::Intake;
    ///
    /// let intake = Intake::new(110_000_000, 1_000);
    /// assert_eq!(intake.level().connections, 0);
    /// assert_eq!(intake.largest_request(), 20_625_000);
    /// ```
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        Self {
            registry: Mutex::new(Registry::new(memory_bytes, descriptors)),
            signals: Mutex::default(),
            events: Default::default(),
            clock: Clock::start(),
        }
    }

    /// Takes a new connection whose heads may have so many bytes; another one may have to give way.
    /// `None` if all places are taken by requests that are being served: it must be closed.
    pub fn open(self: &Arc<Self>, header_bytes: usize) -> Option<Rc<Connection>> {
        let opened = self.registry().open(self.now());
        let Some((id, gives_way)) = opened else {
            self.count(Event::NotTaken);
            return None;
        };
        self.carry_out(gives_way);
        let signal = Arc::new(Signal::default());
        self.signals().insert(id, Arc::clone(&signal));
        let connection = Connection::new(Arc::clone(self), id, signal, header_bytes);
        Some(Rc::new(connection))
    }

    /// Has a connection give way that says nothing, if there is one: the process can open no more
    /// files.
    pub fn close_silent(&self) {
        let gives_way = self.registry().close_silent();
        self.carry_out(gives_way);
    }

    /// Closes connections whose callers have taken nothing for too long.
    pub fn close_overdue(&self) {
        let overdue = self.registry().close_overdue(self.now());
        self.carry_out(overdue);
    }

    /// How much is held now.
    pub fn level(&self) -> Level {
        let registry = self.registry();
        Level {
            connections: registry.open_connections(),
            bytes: registry.budget().held(),
        }
    }

    /// The bytes of the largest request for which there can ever be room.
    pub fn largest_request(&self) -> usize {
        self.registry().budget().largest()
    }

    /// How often an event has happened.
    pub fn count_of(&self, event: Event) -> u64 {
        self.events[event.index()].load(Ordering::Relaxed)
    }

    pub(crate) fn count(&self, event: Event) {
        self.events[event.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Changes the registry; those that have to give way are told.
    pub(crate) fn change<C>(&self, change: impl FnOnce(&mut Registry, Millis) -> C) -> C::Output
    where
        C: Change,
    {
        let now = self.now();
        let changed = change(&mut self.registry(), now);
        let (gives_way, output) = changed.split();
        self.carry_out(gives_way);
        output
    }

    pub(crate) fn forget(&self, id: Id) {
        self.registry().close(id);
        self.signals().remove(&id);
    }

    fn carry_out(&self, closures: impl IntoIterator<Item = Closure>) {
        for closure in closures {
            self.count(Event::Closed(closure.cause));
            let signal = self.signals().get(&closure.id).map(Arc::clone);
            let Some(signal) = signal else { continue };
            match closure.cause {
                Cause::Slow => signal.give_up.notify_one(),
                Cause::Silent | Cause::Unread | Cause::HeldBack => signal.end.notify_one(),
            }
        }
    }

    // Nothing panics while it holds a lock, and the contents would be sound all the same.
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn signals(&self) -> MutexGuard<'_, HashMap<Id, Arc<Signal>>> {
        self.signals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The result of a change of the registry: who has to give way, and what else came of it.
pub(crate) trait Change {
    /// What else came of it.
    type Output;

    /// Takes the two apart.
    fn split(self) -> (Vec<Closure>, Self::Output);
}

impl Change for () {
    type Output = ();

    fn split(self) -> (Vec<Closure>, ()) {
        (Vec::new(), ())
    }
}

impl Change for Option<Millis> {
    type Output = Self;

    fn split(self) -> (Vec<Closure>, Self) {
        (Vec::new(), self)
    }
}

impl Change for Option<Closure> {
    type Output = ();

    fn split(self) -> (Vec<Closure>, ()) {
        (self.into_iter().collect(), ())
    }
}

impl Change for Result<Vec<Closure>, Full> {
    type Output = Result<(), Full>;

    fn split(self) -> (Vec<Closure>, Result<(), Full>) {
        match self {
            Ok(gives_way) => (gives_way, Ok(())),
            Err(full) => (Vec::new(), Err(full)),
        }
    }
}
