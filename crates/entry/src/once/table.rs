//! Changes and reads of claims, gathered into few calls to the table service.

use std::sync::Arc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use tokio::sync::oneshot;
use tokio::time::Instant;
use woodgap_core::once::Written;
use woodgap_platform::Error;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Outcome, Place, Row, Table as _};

use crate::configuration::watcher;
use crate::once::batch::{self, Change, Fate};
use crate::shared::Shared;
use crate::supervisor::{Branch, Guard};

/// The time between two calls of one kind at a busy entry, which so makes at most
/// forty transactions a second: seven entries leave the platform's few hundred
/// writes a second their room.
const SPACING: Duration = Duration::from_millis(25);
/// How far calls may run ahead of that: ten calls after a pause go at once.
const AHEAD: Duration = Duration::from_millis(250);
/// How long a change that nobody waits for may wait for others.
const LAZY: Duration = Duration::from_millis(200);
/// The most rows of one call.
const MOST_ROWS: usize = 100;
/// The most calls of one kind at once, so that a slow platform is not buried.
const MOST_CALLS: usize = 4;

/// How often old records are looked for.
const TICK: Duration = Duration::from_secs(1);

/// The table could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// Reaches the actor, whichever life of it is running.
#[derive(Clone, Default)]
pub struct Handle {
    /// The supervised actor.
    pub branch: Branch<Table>,
}

impl Handle {
    /// Makes a change; one that nobody waits for is not urgent.
    pub async fn write(&self, change: Change, urgent: bool) -> Written {
        let Some(address) = self.branch.address() else {
            return Written::Unavailable;
        };
        let (reply, written) = oneshot::channel();
        address.do_send(Write {
            change,
            urgent,
            reply,
        });
        // The actor ended with the call under way.
        written.await.unwrap_or(Written::Unknown)
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] if the platform failed.
    pub async fn read(&self, place: Place) -> Result<Option<Row>, Unreadable> {
        let address = self.branch.address().ok_or(Unreadable)?;
        let (reply, row) = oneshot::channel();
        address.do_send(Read { place, reply });
        row.await.unwrap_or(Err(Unreadable))
    }
}

/// Makes a change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Write {
    change: Change,
    urgent: bool,
    reply: oneshot::Sender<Written>,
}

/// Reads a row.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Read {
    place: Place,
    reply: oneshot::Sender<Result<Option<Row>, Unreadable>>,
}

/// What waits for its call.
#[derive(Debug)]
struct Queue<T> {
    waiting: Vec<T>,
    calls: usize,
    /// When the next call would go if all went at their spacing.
    next: Instant,
    due: Option<Instant>,
}

impl<T> Queue<T> {
    fn new() -> Self {
        Self {
            waiting: Vec::new(),
            calls: 0,
            next: Instant::now(),
            due: None,
        }
    }

    /// When the next call may go.
    fn when(&self) -> Option<Instant> {
        let may_go = !self.waiting.is_empty() && self.calls < MOST_CALLS;
        may_go.then(|| self.next.checked_sub(AHEAD).unwrap_or(self.next))
    }

    /// Whether a look at the queue is to be had at this time and not before.
    fn look_at(&mut self, at: Instant) -> bool {
        if self.due.is_some_and(|due| due <= at) {
            return false;
        }
        self.due = Some(at);
        true
    }

    fn called(&mut self) {
        self.calls += 1;
        self.next = self.next.max(Instant::now()) + SPACING;
    }
}

/// Gathers calls.
pub struct Table {
    shared: Arc<Shared>,
    platform: Platform,
    writes: Queue<Write>,
    reads: Queue<Read>,
    _guard: Guard,
}

impl Table {
    /// An actor that calls the platform of the settings.
    pub fn new(shared: Arc<Shared>, guard: Guard) -> Self {
        Self {
            platform: watcher::platform(&shared),
            shared,
            writes: Queue::new(),
            reads: Queue::new(),
            _guard: guard,
        }
    }

    fn look_at_writes(&mut self, at: Instant, context: &mut Context<Self>) {
        if self.writes.look_at(at) {
            let wait = at.saturating_duration_since(Instant::now());
            context.run_later(wait, move |actor, context| {
                actor.writes.due = actor.writes.due.filter(|due| *due != at);
                actor.write(context);
            });
        }
    }

    fn write(&mut self, context: &mut Context<Self>) {
        let Some(when) = self.writes.when() else {
            return;
        };
        if when > Instant::now() {
            return self.look_at_writes(when, context);
        }
        // What is waited for goes first.
        self.writes.waiting.sort_by_key(|write| !write.urgent);
        let taken = batch::take(&mut self.writes.waiting, MOST_ROWS, |write| {
            &write.change.place
        });
        self.writes.called();
        let transaction = batch::transaction(taken.iter().map(|write| &write.change));
        let platform = self.platform.clone();
        let call = async move { platform.transact(&transaction).await };
        let settled = call.into_actor(self).map(move |result, actor, context| {
            actor.written(taken, &result, context);
        });
        context.spawn(settled);
        self.write(context);
    }

    fn written(
        &mut self,
        taken: Vec<Write>,
        result: &Result<Outcome, Error>,
        context: &mut Context<Self>,
    ) {
        if let Err(error) = result {
            log::warn!(rows = taken.len(), error = error.to_string(); "claims not written");
        }
        self.writes.calls -= 1;
        let fates = batch::fates(taken.len(), result);
        let mut again = Vec::new();
        for (write, fate) in taken.into_iter().zip(fates) {
            match fate {
                // A caller that waits no more has given up, or is gone.
                Fate::Settled(written) => _ = write.reply.send(written),
                Fate::Again => again.push(write),
            }
        }
        again.append(&mut self.writes.waiting);
        self.writes.waiting = again;
        self.write(context);
    }

    fn read(&mut self, context: &mut Context<Self>) {
        let Some(when) = self.reads.when() else {
            return;
        };
        if when > Instant::now() {
            if self.reads.look_at(when) {
                let wait = when.saturating_duration_since(Instant::now());
                context.run_later(wait, |actor, context| {
                    actor.reads.due = None;
                    actor.read(context);
                });
            }
            return;
        }
        let count = self.reads.waiting.len().min(MOST_ROWS);
        let taken: Vec<Read> = self.reads.waiting.drain(..count).collect();
        self.reads.called();
        let places: Vec<Place> = taken.iter().map(|read| read.place.clone()).collect();
        let platform = self.platform.clone();
        let call = async move { platform.read(&places).await };
        let settled = call.into_actor(self).map(move |rows, actor, context| {
            actor.reads.calls -= 1;
            answer(taken, rows);
            actor.read(context);
        });
        context.spawn(settled);
        self.read(context);
    }
}

fn answer(taken: Vec<Read>, rows: Result<Vec<Option<Row>>, Error>) {
    let rows = match rows {
        Ok(rows) if rows.len() == taken.len() => rows,
        Ok(_) => return,
        Err(error) => {
            log::warn!(rows = taken.len(), error = error.to_string(); "claims not read");
            return;
        }
    };
    for (read, row) in taken.into_iter().zip(rows) {
        // A caller that waits no more has given up, or is gone.
        let _ = read.reply.send(Ok(row));
    }
}

impl actix::Actor for Table {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK, |actor, _| super::tick(&actor.shared));
    }
}

impl Handler<Write> for Table {
    type Result = ();

    fn handle(&mut self, message: Write, context: &mut Self::Context) {
        let urgent = message.urgent;
        self.writes.waiting.push(message);
        if urgent {
            self.write(context);
        } else {
            self.look_at_writes(Instant::now() + LAZY, context);
        }
    }
}

impl Handler<Read> for Table {
    type Result = ();

    fn handle(&mut self, message: Read, context: &mut Self::Context) {
        self.reads.waiting.push(message);
        self.read(context);
    }
}
