//! The connections of callers, what each of them holds, and which of them give way.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::intake::{Budget, Pace};

/// What an open connection needs besides the bodies of its requests: the buffers of the HTTP server,
/// heads, tasks and the connection to an endpoint, in bytes.
pub const CONNECTION_BYTES: usize = 64 * 1024;
/// The part of the machine's memory that is for open connections: a half.
const CONNECTIONS_DIVISOR: usize = 2;
/// A body that comes too slowly is given up only after so long while others need its room; with no
/// such need it has the longer time that the limits allow.
pub const SHORT_GRACE: Millis = Millis(500);
/// The longest time for which a caller takes nothing of its answer.
const UNREAD_TIMEOUT: Millis = Millis(30_000);

/// An open connection, in the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// Why a connection is closed, or its request given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It sends no request, and others need its place or the room of its head.
    Silent,
    /// Its body comes too slowly, and others need its room.
    Slow,
    /// Its caller takes nothing of its answer.
    Unread,
    /// It holds much that was sent ahead of time or not taken, and there is no room.
    HeldBack,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 4] = [Self::Silent, Self::Slow, Self::Unread, Self::HeldBack];

    /// The cause as written in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Slow => "slow",
            Self::Unread => "unread",
            Self::HeldBack => "held_back",
        }
    }
}

/// Which connection has to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closure {
    /// The connection.
    pub id: Id,
    /// Why.
    pub cause: Cause,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It awaits a request, or has sent a short part of a head.
    Idle,
    /// It has sent a long part of a head.
    Heading(Pace),
    /// The body of a request is being read.
    Reading(Pace),
    /// A request is being served.
    Serving,
}

/// An open connection.
#[derive(Clone, Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    since: Millis,
    /// Whether it has sent a whole head yet.
    has_spoken: bool,
    /// The room of its request.
    room: usize,
    /// Bytes that it has sent ahead of time.
    unread: usize,
    /// Bytes of answers that it does not take, and since when.
    untaken: usize,
    stalled: Option<Millis>,
    /// Whether it is to give way already.
    is_closing: bool,
}

impl Connection {
    fn new(now: Millis) -> Self {
        Self {
            phase: Phase::Idle,
            since: now,
            has_spoken: false,
            room: 0,
            unread: 0,
            untaken: 0,
            stalled: None,
            is_closing: false,
        }
    }

    fn held(&self) -> usize {
        self.room + self.unread + self.untaken
    }

    /// Whether it could be closed without loss.
    fn is_silent(&self) -> bool {
        let awaits_request = matches!(self.phase, Phase::Idle | Phase::Heading(_));
        awaits_request && self.untaken == 0 && !self.is_closing
    }

    /// By when more of its head or body should have come, if it is late.
    fn late_since(&self, now: Millis) -> Option<Millis> {
        let (Phase::Heading(pace) | Phase::Reading(pace)) = self.phase else {
            return None;
        };
        let due = pace.due(SHORT_GRACE);
        (due <= now && !self.is_closing).then_some(due)
    }
}

/// There is no room for the request, also if others gave way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// All connections of callers, and what is held for them.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::intake::Registry;
///
/// let mut registry = Registry::new(8_000_000, 100);
/// let (slow, _) = registry.open(Millis(0)).unwrap();
/// registry.begin(slow, Millis(0));
/// registry.read(slow, 1_200_000, Millis(0)).unwrap();
///
/// // A second later nothing has come, and somebody else needs the room.
/// let (other, _) = registry.open(Millis(1_000)).unwrap();
/// registry.begin(other, Millis(1_000));
/// let gives_way = registry.read(other, 1_000_000, Millis(1_000)).unwrap();
/// assert_eq!(gives_way[0].id, slow);
/// ```
#[derive(Clone, Debug)]
pub struct Registry {
    budget: Budget,
    connections: BTreeMap<Id, Connection>,
    max_connections: usize,
    next: u64,
}

impl Registry {
    /// The registry of a process with this much memory, in bytes, and so many descriptors for
    /// callers.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR;
        Self {
            budget: Budget::of_machine(memory_bytes),
            connections: BTreeMap::new(),
            max_connections: descriptors.min(by_memory / CONNECTION_BYTES).max(1),
            next: 0,
        }
    }

    /// The budget, as it stands.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// How many connections may be open.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Takes a new connection, and returns which one has to give way to it. `None` if all places
    /// are taken by requests that are being served.
    pub fn open(&mut self, now: Millis) -> Option<(Id, Option<Closure>)> {
        let mut gives_way = None;
        if self.is_at_limit() {
            gives_way = Some(self.close_silent()?);
        }
        let id = Id(self.next);
        self.next += 1;
        self.connections.insert(id, Connection::new(now));
        Some((id, gives_way))
    }

    fn is_at_limit(&self) -> bool {
        if self.connections.len() < self.max_connections {
            return false;
        }
        let open = self.connections.values().filter(|it| !it.is_closing);
        open.count() >= self.max_connections
    }

    /// Has a connection give way that says nothing, if there is one: first those that never said
    /// anything, then those that have rested the longest.
    pub fn close_silent(&mut self) -> Option<Closure> {
        let silent = self.connections.iter().filter(|(_, it)| it.is_silent());
        let first = silent.min_by_key(|(id, it)| (it.has_spoken, it.since, **id));
        let id = *first?.0;
        self.give_way(id, Cause::Silent)
    }

    /// Forgets a connection that has ended.
    pub fn close(&mut self, id: Id) {
        if let Some(connection) = self.connections.remove(&id) {
            self.budget.give(connection.held());
        }
    }

    /// Takes room for `more` bytes of a head that goes on, and returns who has to give way.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room.
    pub fn extend_head(&mut self, id: Id, more: usize, now: Millis) -> Result<Vec<Closure>, Full> {
        let gives_way = self.take(id, more, now)?;
        if let Some(connection) = self.connections.get_mut(&id) {
            let pace = match connection.phase {
                Phase::Heading(mut pace) => {
                    pace.receive(more, now);
                    pace
                }
                Phase::Idle | Phase::Reading(_) | Phase::Serving => Pace::start(now),
            };
            connection.phase = Phase::Heading(pace);
        }
        Ok(gives_way)
    }

    /// A request's head is complete.
    pub fn begin(&mut self, id: Id, now: Millis) {
        self.set_phase(id, Phase::Serving, now);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_spoken = true;
        }
    }

    /// The body of the request is read from now on. Takes room for so many bytes, and returns who
    /// has to give way.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room.
    pub fn read(&mut self, id: Id, bytes: usize, now: Millis) -> Result<Vec<Closure>, Full> {
        let gives_way = self.take(id, bytes, now)?;
        self.set_phase(id, Phase::Reading(Pace::start(now)), now);
        Ok(gives_way)
    }

    /// Takes room for more of a body than was expected, and returns who has to give way.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room.
    pub fn grow(&mut self, id: Id, more: usize, now: Millis) -> Result<Vec<Closure>, Full> {
        self.take(id, more, now)
    }

    /// Counts bytes of the body that is being read. Returns by when more must come, if a body may
    /// come later by `grace`.
    pub fn receive(&mut self, id: Id, bytes: usize, grace: Millis, now: Millis) -> Option<Millis> {
        match &mut self.connections.get_mut(&id)?.phase {
            Phase::Reading(pace) => {
                pace.receive(bytes, now);
                Some(pace.due(grace))
            }
            Phase::Idle | Phase::Heading(_) | Phase::Serving => None,
        }
    }

    /// The body is complete, or no more of it is read.
    pub fn end_reading(&mut self, id: Id, now: Millis) {
        self.set_phase(id, Phase::Serving, now);
    }

    /// The request is not needed any more: its room is free.
    pub fn release(&mut self, id: Id) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.budget.give(connection.room);
            connection.room = 0;
        }
    }

    /// The response is complete, and the next request may come.
    pub fn finish(&mut self, id: Id, now: Millis) {
        self.release(id);
        self.set_phase(id, Phase::Idle, now);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_closing = false;
        }
    }

    /// Counts what a connection has sent ahead of time. Returns who has to give way.
    pub fn set_unread(&mut self, id: Id, bytes: usize) -> Option<Closure> {
        let connection = self.connections.get_mut(&id)?;
        let before = std::mem::replace(&mut connection.unread, bytes);
        self.exchange(before, bytes)
    }

    /// Counts what a connection does not take of its answers. Returns who has to give way.
    pub fn set_untaken(&mut self, id: Id, bytes: usize, now: Millis) -> Option<Closure> {
        let connection = self.connections.get_mut(&id)?;
        let before = std::mem::replace(&mut connection.untaken, bytes);
        // Less of it shows that something was taken.
        let is_stalled = bytes > 0 && before > 0 && bytes >= before;
        if !is_stalled {
            connection.stalled = (bytes > 0).then_some(now);
        }
        self.exchange(before, bytes)
    }

    /// Those whose callers have taken nothing for too long.
    pub fn close_overdue(&mut self, now: Millis) -> Vec<Closure> {
        let is_overdue = |it: &Connection| {
            let stalled = it.stalled.filter(|_| !it.is_closing);
            stalled.is_some_and(|stalled| now - stalled > UNREAD_TIMEOUT)
        };
        let overdue = self.connections.iter().filter(|(_, it)| is_overdue(it));
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        let closed = overdue
            .into_iter()
            .filter_map(|id| self.give_way(id, Cause::Unread));
        closed.collect()
    }

    fn set_phase(&mut self, id: Id, phase: Phase, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Takes room. Bodies that come too slowly give way, if that is enough.
    fn take(&mut self, id: Id, more: usize, now: Millis) -> Result<Vec<Closure>, Full> {
        let connection = self.connections.get(&id).filter(|it| !it.is_closing);
        let room = connection.ok_or(Full)?.room;
        let whole = room.saturating_add(more);
        let shortage = self.budget.shortage(more, whole);
        let gives_way = self.slowest(id, shortage, now).ok_or(Full)?;
        let gives_way = gives_way.into_iter();
        let closed: Vec<_> = gives_way
            .filter_map(|slow| self.give_up_slow(slow))
            .collect();
        if !self.budget.take(more, whole) {
            return Err(Full);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.room = whole;
        }
        Ok(closed)
    }

    /// Has a head or a body give way that comes too slowly.
    fn give_up_slow(&mut self, id: Id) -> Option<Closure> {
        let cause = match self.connections.get(&id)?.phase {
            Phase::Idle | Phase::Heading(_) => Cause::Silent,
            Phase::Reading(_) | Phase::Serving => Cause::Slow,
        };
        self.give_way(id, cause)
    }

    /// The heads and bodies that are the latest, as many as it takes for so many bytes; `None` if all of them
    /// do not hold as much.
    fn slowest(&self, but: Id, bytes: usize, now: Millis) -> Option<Vec<Id>> {
        if bytes == 0 {
            return Some(Vec::new());
        }
        let others = self.connections.iter().filter(|(id, _)| **id != but);
        let mut late: Vec<_> = others
            .filter_map(|(id, it)| Some((it.late_since(now)?, *id, it.held())))
            .collect();
        late.sort_unstable();
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (_, id, held) in late {
            if freed >= bytes {
                break;
            }
            freed += held;
            chosen.push(id);
        }
        (freed >= bytes).then_some(chosen)
    }

    /// Counts bytes in place of others that are held already. If there is no room for them, those
    /// give way that hold the most of what is unread or not taken.
    fn exchange(&mut self, before: usize, bytes: usize) -> Option<Closure> {
        self.budget.give(before);
        if self.budget.force(bytes) || bytes <= before {
            return None;
        }
        let held_back = self.connections.iter().filter(|(_, it)| !it.is_closing);
        let (id, _) = held_back.max_by_key(|(id, it)| (it.unread + it.untaken, Reverse(**id)))?;
        let id = *id;
        self.give_way(id, Cause::HeldBack)
    }

    /// Marks a connection as closing. Its room is free from now on: it ends before anything else is
    /// read.
    fn give_way(&mut self, id: Id, cause: Cause) -> Option<Closure> {
        let connection = self.connections.get_mut(&id)?;
        connection.is_closing = true;
        self.budget.give(connection.held());
        (connection.room, connection.unread, connection.untaken) = (0, 0, 0);
        Some(Closure { id, cause })
    }
}
