//! Connections on which an answer that was cut off, or has an invalid head, is an error.
//!
//! awc takes the end of the connection for the end of a body, also where its
//! announced length or its last chunk is missing, and reports a connection
//! that closed before the answer's head as one that never came about. Here the
//! end of the connection is an error of its own, so both are told apart.
//!
//! It also takes an answer that names no length for one without a body, an interim answer for the
//! final one, and blanks at the end of a header's name for none. Here each head is checked first.

mod gate;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{self as tcp, ConnectInfo, Connection, Resolver};
use awc::Connector;
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connect::gate::Gate;

/// How much is read at a time while a head is held back, in bytes.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// A connector for [`awc::Client`] whose connections are [`Strict`].
///
/// ```
/// use woodgap_platform::connect;
///
/// let client = awc::Client::builder().connector(connect::strict()).finish();
/// # drop(client);
/// ```
pub fn strict() -> Connector<
    impl Service<
        ConnectInfo<Uri>,
        Response = Connection<Uri, Strict>,
        Error = tcp::ConnectError,
        Future: 'static,
    > + Clone
    + 'static,
> {
    let connector = tcp::Connector::new(Resolver::default()).service();
    let connector = ServiceExt::<ConnectInfo<Uri>>::map(connector, |connection| {
        let (stream, uri) = Connection::into_parts(connection);
        Connection::new(uri, Strict::new(stream))
    });
    Connector::new().connector(connector)
}

/// A TCP stream whose end is an error, and on which only valid heads of answers come.
///
/// A body that ends with its connection, as HTTP/1.0 has it, can't be read
/// over it; none of our interfaces has such bodies.
#[derive(Debug)]
pub struct Strict {
    stream: TcpStream,
    gate: Gate,
}

impl Strict {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            gate: Gate::new(),
        }
    }

    /// Reads bytes into the buffer; the end of the connection is an error.
    fn poll_some(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() == before && buffer.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Strict {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while buffer.remaining() > 0 {
            if self.gate.is_open() {
                return self.poll_some(context, buffer);
            }
            let checked = self.gate.take(buffer.remaining());
            if !checked.is_empty() {
                buffer.put_slice(&checked);
                break;
            }
            let mut piece = [0; HEAD_READ_BYTES];
            let mut piece = ReadBuf::new(&mut piece);
            ready!(self.poll_some(context, &mut piece))?;
            let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
            self.gate.receive(piece.filled()).map_err(invalid)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Strict {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.record_sent(bytes);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first) = slices.iter().find(|slice| !slice.is_empty()) {
            self.gate.record_sent(first);
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for Strict {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
