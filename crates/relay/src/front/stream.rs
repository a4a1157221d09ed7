//! A caller's connection, as the HTTP server reads and writes it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use woodgap_core::clock::Millis;

use crate::state::State;

/// A caller's connection. It counts itself among those that don't take what is to be written,
/// so that a process does not end while it holds bytes of answers.
pub struct Stream {
    inner: TcpStream,
    state: Rc<State>,
    connected: Millis,
    is_unwritten: bool,
}

impl Stream {
    /// A connection that was just taken.
    ///
    /// # Errors
    ///
    /// If it has ended meanwhile.
    pub fn new(inner: TcpStream, state: &Rc<State>) -> io::Result<Self> {
        // Events are small, and each is to go out at once. The server sets this for HTTP/2 only.
        inner.set_nodelay(true)?;
        Ok(Self {
            inner,
            connected: state.now(),
            state: Rc::clone(state),
            is_unwritten: false,
        })
    }

    /// When it was opened.
    pub fn connected_at(&self) -> Millis {
        self.connected
    }

    fn note(&mut self, is_unwritten: bool) {
        let unwritten = &self.state.unwritten;
        match (self.is_unwritten, is_unwritten) {
            (false, true) => unwritten.set(unwritten.get() + 1),
            (true, false) => unwritten.set(unwritten.get() - 1),
            _ => {}
        }
        self.is_unwritten = is_unwritten;
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
        self.note(written.is_pending());
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
        self.note(false);
    }
}
