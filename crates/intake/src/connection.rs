//! A caller's connection, as its gate and its requests share it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Waker;

use woodgap_core::intake::registry::{Full, Id};

use crate::Intake;
use crate::intake::{Event, Signal};

/// What is passed on at once, in bytes. Decoded chunks may need several times their size, and short
/// heads that follow one another even more; the bytes of a body of known length need no more.
const HEAD_TURN_BYTES: usize = 1024;
const CHUNKED_TURN_BYTES: usize = 4 * 1024;
const ANNOUNCED_TURN_BYTES: usize = 16 * 1024;
/// What may come ahead of time while a request is served, in bytes: enough to see that its caller
/// has left.
const AHEAD_BYTES: usize = 16;
/// The bytes of a head that need no room of their own: they fit the HTTP server's first buffer.
const FREE_HEAD_BYTES: usize = 4 * 1024;
/// The room of a byte of a head: while it is incomplete, and again once it is parsed.
const HEAD_ROOM: usize = 2;

/// What a connection may send now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    /// A head: so many bytes have come, and so many may.
    Head { read: usize, left: usize },
    /// The body that is being read, so many bytes at a time.
    Body { turn: usize },
    /// So many bytes ahead of time.
    Ahead { left: usize },
    /// No request can follow, as a part of a body was not read.
    Over,
}

/// What may be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Allowance {
    /// At most so many bytes.
    Bytes(usize),
    /// Nothing until the request that is being served is over.
    Nothing,
    /// Nothing more: the head is too long.
    HeadTooLarge,
    /// Nothing more: what is left of a body is no request.
    Over,
}

/// A caller's connection. It takes its place until dropped.
#[derive(Debug)]
pub struct Connection {
    intake: Arc<Intake>,
    id: Id,
    signal: Arc<Signal>,
    header_bytes: usize,
    flow: Cell<Flow>,
    /// Whether it has to give way.
    is_over: Cell<bool>,
    /// Whether a part of the current request's body is unread.
    has_rest: Cell<bool>,
    /// The reader that waits until more may be read.
    waiting: RefCell<Option<Waker>>,
}

impl Connection {
    pub(crate) fn new(
        intake: Arc<Intake>,
        id: Id,
        signal: Arc<Signal>,
        header_bytes: usize,
    ) -> Self {
        Self {
            intake,
            id,
            signal,
            header_bytes,
            flow: Cell::new(Flow::Head {
                read: 0,
                left: header_bytes,
            }),
            is_over: Cell::new(false),
            has_rest: Cell::new(false),
            waiting: RefCell::default(),
        }
    }

    /// Waits until the connection has to give way to others. It must be dropped then.
    pub async fn ended(&self) {
        self.signal.end.notified().await;
        self.is_over.set(true);
    }

    /// A request's head is complete; it is served until the value is dropped.
    pub fn begin(self: &Rc<Self>, has_body: bool) -> Serving {
        self.intake
            .change(|registry, now| registry.begin(self.id, now));
        self.has_rest.set(has_body);
        self.set_flow(Flow::Ahead { left: AHEAD_BYTES });
        Serving {
            connection: Rc::clone(self),
        }
    }

    pub(crate) fn id(&self) -> Id {
        self.id
    }

    pub(crate) fn intake(&self) -> &Intake {
        &self.intake
    }

    pub(crate) fn signal(&self) -> &Signal {
        &self.signal
    }

    /// Whether it has to give way: what its socket holds is to be freed at once.
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Whether a part of a body is left that must not be taken for a request.
    pub(crate) fn has_rest(&self) -> bool {
        self.has_rest.get()
    }

    /// What may be read now.
    pub(crate) fn allowance(&self) -> Allowance {
        match self.flow.get() {
            Flow::Head { left: 0, .. } => Allowance::HeadTooLarge,
            Flow::Body { .. } => Allowance::Bytes(usize::MAX),
            Flow::Ahead { left: 0 } => Allowance::Nothing,
            Flow::Over => Allowance::Over,
            Flow::Head { left, .. } | Flow::Ahead { left } => Allowance::Bytes(left),
        }
    }

    /// Counts bytes that were read.
    pub(crate) fn read(&self, bytes: usize) -> Result<(), Full> {
        match self.flow.get() {
            Flow::Head { read, left } => {
                self.flow.set(Flow::Head {
                    read: read + bytes,
                    left: left.saturating_sub(bytes),
                });
                let charged = |read: usize| read.saturating_sub(FREE_HEAD_BYTES) * HEAD_ROOM;
                let more = charged(read + bytes) - charged(read);
                self.take_for_head(more)
            }
            Flow::Body { .. } | Flow::Over => Ok(()),
            Flow::Ahead { left } => {
                let left = left.saturating_sub(bytes);
                self.flow.set(Flow::Ahead { left });
                Ok(())
            }
        }
    }

    fn take_for_head(&self, more: usize) -> Result<(), Full> {
        if more == 0 {
            return Ok(());
        }
        let taken = self
            .intake
            .change(|registry, now| registry.extend_head(self.id, more, now));
        if taken.is_err() {
            self.intake.count(Event::Full);
        }
        taken
    }

    /// Counts what the connection has sent ahead of time and nobody reads yet.
    pub(crate) fn set_unread(&self, bytes: usize) {
        self.intake
            .change(|registry, _| registry.set_unread(self.id, bytes));
    }

    /// Counts what its caller does not take of an answer.
    pub(crate) fn set_untaken(&self, bytes: usize) {
        self.intake
            .change(|registry, now| registry.set_untaken(self.id, bytes, now));
    }

    /// Wakes this reader when more may be read.
    pub(crate) fn wait(&self, waker: &Waker) {
        *self.waiting.borrow_mut() = Some(waker.clone());
    }

    /// What is passed on before the HTTP server gets to decode it, in bytes.
    pub(crate) fn turn_bytes(&self) -> usize {
        match self.flow.get() {
            Flow::Body { turn } => turn,
            Flow::Head { .. } | Flow::Ahead { .. } | Flow::Over => HEAD_TURN_BYTES,
        }
    }

    /// The body is read from now on.
    pub(crate) fn read_body(&self, is_announced: bool) {
        let turn = if is_announced {
            ANNOUNCED_TURN_BYTES
        } else {
            CHUNKED_TURN_BYTES
        };
        self.set_flow(Flow::Body { turn });
    }

    /// No more of the body is read.
    pub(crate) fn end_body(&self, is_complete: bool) {
        self.intake
            .change(|registry, now| registry.end_reading(self.id, now));
        self.has_rest.set(!is_complete);
        self.set_flow(Flow::Ahead { left: AHEAD_BYTES });
    }

    fn finish(&self) {
        self.intake
            .change(|registry, now| registry.finish(self.id, now));
        let next = if self.has_rest.get() {
            Flow::Over
        } else {
            Flow::Head {
                read: 0,
                left: self.header_bytes,
            }
        };
        self.set_flow(next);
    }

    fn set_flow(&self, flow: Flow) {
        self.flow.set(flow);
        if let Some(waker) = self.waiting.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.intake.forget(self.id);
    }
}

/// A request that is being served on a connection; it must live until its response is complete.
#[derive(Debug)]
pub struct Serving {
    pub(crate) connection: Rc<Connection>,
}

impl Serving {
    /// Whether a part of the body was not read. The connection must be closed after the response
    /// then: what follows is no request.
    pub fn has_rest(&self) -> bool {
        self.connection.has_rest()
    }

    /// Takes room for a response of so many bytes, until the end of the request.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is none.
    pub fn hold(&self, bytes: usize) -> Result<(), Full> {
        let connection = &self.connection;
        let taken = connection
            .intake
            .change(|registry, now| registry.grow(connection.id, bytes, now));
        if taken.is_err() {
            connection.intake.count(Event::Full);
        }
        taken
    }

    /// The request is not needed any more: its room is free, though its response goes on.
    pub fn release(&self) {
        let connection = &self.connection;
        connection
            .intake
            .change(|registry, _| registry.release(connection.id));
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.connection.finish();
    }
}
