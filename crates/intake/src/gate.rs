//! The transport of a caller's connection, which passes on only what may come now.

use std::future::Future;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use crate::Connection;
use crate::connection::Allowance;
use crate::intake::Event;

/// What a socket is taken to hold in one direction when it is full, in bytes.
const SOCKET_BYTES: usize = 128 * 1024;
/// The send buffer of a caller's socket, in bytes. The system takes twice as much, and fills it by
/// up to 64 KB too far.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// The most of a refused body that is read and dropped, so that its caller gets to read the
/// refusal, in bytes.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;
/// How long that may take.
const LINGER: Duration = Duration::from_secs(1);
/// The bytes that are dropped at once.
const DROPPED_BYTES: usize = 4 * 1024;

/// A connection that is read only as far as its [`Connection`] allows.
#[derive(Debug)]
pub struct Gate<S: AsFd> {
    inner: S,
    connection: Rc<Connection>,
    /// What was passed on in this turn.
    turn: usize,
    /// Whether nothing may be read now.
    is_held_back: bool,
    /// What the caller does not take.
    untaken: usize,
    /// What was read and dropped at the end, and how long that may still go on.
    dropped: usize,
    linger: Option<Pin<Box<Sleep>>>,
    /// The response to a head that is too large.
    too_large: &'static [u8],
}

impl<S: AsFd> Gate<S> {
    /// A gate in front of a transport. A head that is too large is answered with these bytes.
    ///
    /// # Errors
    ///
    /// If the connection has ended in the meantime.
    pub fn new(inner: S, connection: Rc<Connection>, too_large: &'static [u8]) -> io::Result<Self> {
        sockopt::set_socket_send_buffer_size(&inner, SEND_BUFFER_BYTES)?;
        Ok(Self {
            inner,
            connection,
            turn: 0,
            is_held_back: false,
            untaken: 0,
            dropped: 0,
            linger: None,
            too_large,
        })
    }

    /// The connection, for its requests.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl<S: AsyncRead + AsyncWrite + AsFd + Unpin> Gate<S> {
    /// Reads at most so many bytes.
    fn poll_read_part(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        let max_bytes = max_bytes.min(self.connection.turn_bytes() - self.turn);
        let max_bytes = max_bytes.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let read = Pin::new(&mut self.inner).poll_read(context, &mut part);
        let count = part.filled().len();
        if read.is_pending() {
            self.turn = 0;
        }
        ready!(read)?;
        buffer.advance(count);
        self.turn += count;
        let counted = self.connection.read(count);
        Poll::Ready(counted.map_err(|_| io::Error::other("there is no room for a longer head")))
    }

    /// Waits until more may be read. As much as the socket takes may come meanwhile.
    fn hold_back(&mut self, context: &mut Context<'_>) {
        self.connection.wait(context.waker());
        if !self.is_held_back {
            self.is_held_back = true;
            self.connection.set_unread(SOCKET_BYTES);
        }
    }

    fn end_hold(&mut self) {
        if self.is_held_back {
            self.is_held_back = false;
            self.connection.set_unread(0);
        }
    }

    /// Counts what the caller does not take: these bytes, and what the socket holds.
    fn set_untaken(&mut self, bytes: usize) {
        if bytes == self.untaken {
            return;
        }
        self.untaken = bytes;
        let socket = if bytes > 0 { SOCKET_BYTES } else { 0 };
        self.connection.set_untaken(bytes + socket);
    }

    /// Answers a head that is too large, if the caller takes that at once.
    fn refuse_head(&mut self, context: &mut Context<'_>) -> io::Error {
        self.connection.intake().count(Event::HeadTooLarge);
        // The connection ends in any case.
        let _ = Pin::new(&mut self.inner).poll_write(context, self.too_large);
        io::Error::other("the head is too large")
    }

    /// Ends the connection after a refusal. What is left of the body is read and dropped for a
    /// while: closing a connection with unread bytes would reset it, and its caller might not get
    /// to read the refusal.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.untaken > 0 {
            // The refusal goes first; the task is woken when it can be written.
            return Poll::Pending;
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        if linger.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        if ready!(Pin::new(&mut self.inner).poll_shutdown(context)).is_err() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DROPPED_BYTES];
        while self.dropped < MAX_DROPPED_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer));
            let count = buffer.filled().len();
            if read.is_err() || count == 0 {
                break;
            }
            self.dropped += count;
        }
        Poll::Ready(())
    }
}

impl<S: AsFd> Drop for Gate<S> {
    /// A socket that is closed as usual goes on to hold what its caller does not take.
    fn drop(&mut self) {
        if self.connection.is_over()
            && let Err(error) = sockopt::set_socket_linger(&self.inner, Some(Duration::ZERO))
        {
            log::debug!("a connection is not reset: {error}");
        }
    }
}

impl<S: AsyncRead + AsyncWrite + AsFd + Unpin> AsyncRead for Gate<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= self.connection.turn_bytes() {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let allowance = self.connection.allowance();
        if allowance != Allowance::Nothing {
            self.end_hold();
        }
        match allowance {
            Allowance::Bytes(bytes) => self.poll_read_part(context, buffer, bytes),
            // The server has yet to decode what it was given.
            Allowance::HeadTooLarge if self.turn > 0 => {
                self.turn = 0;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            // The end of the stream, for the HTTP server.
            Allowance::Over => self.poll_end(context).map(Ok),
            Allowance::HeadTooLarge => Poll::Ready(Err(self.refuse_head(context))),
            Allowance::Nothing => {
                self.turn = 0;
                self.hold_back(context);
                Poll::Pending
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + AsFd + Unpin> AsyncWrite for Gate<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.set_untaken(if written.is_pending() { bytes.len() } else { 0 });
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
        if self.connection.has_rest() {
            ready!(self.poll_end(context));
        }
        Poll::Ready(Ok(()))
    }
}
