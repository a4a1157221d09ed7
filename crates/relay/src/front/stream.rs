//! The transport of a caller's connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use woodgap_core::clock::Millis;
use woodgap_intake::{Connection, Gate};

use crate::state::State;

/// The response to a head that is not read to its end, as it is above the limit.
const HEADER_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    Content-Type: application/json\r\nContent-Length: 84\r\nConnection: close\r\n\r\n\
    {\"error\":\"header_too_large\",\"verdict\":\"not_run\",\"message\":\"the header is too large\"}";

/// A caller's connection. It is counted in `State::unwritten` while a write is pending, so that
/// the process does not exit while it still holds response bytes.
pub struct Stream {
    inner: Gate<TcpStream>,
    state: Rc<State>,
    connected: Millis,
    is_write_pending: bool,
}

impl Stream {
    /// Wraps a connection that was just accepted.
    ///
    /// # Errors
    ///
    /// If the connection has ended in the meantime.
    pub fn new(
        inner: TcpStream,
        connection: &Rc<Connection>,
        state: &Rc<State>,
    ) -> io::Result<Self> {
        // Events are small and must be sent without delay. `actix-http` sets this option for
        // HTTP/2 only.
        inner.set_nodelay(true)?;
        Ok(Self {
            inner: Gate::new(inner, Rc::clone(connection), HEADER_TOO_LARGE)?,
            connected: state.now(),
            state: Rc::clone(state),
            is_write_pending: false,
        })
    }

    /// When the connection was accepted.
    pub fn connected_at(&self) -> Millis {
        self.connected
    }

    /// The connection, for its requests.
    pub fn connection(&self) -> &Rc<Connection> {
        self.inner.connection()
    }

    fn set_write_pending(&mut self, is_write_pending: bool) {
        let unwritten = &self.state.unwritten;
        match (self.is_write_pending, is_write_pending) {
            (false, true) => unwritten.set(unwritten.get() + 1),
            (true, false) => unwritten.set(unwritten.get() - 1),
            _ => {}
        }
        self.is_write_pending = is_write_pending;
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.set_write_pending(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.set_write_pending(false);
    }
}
