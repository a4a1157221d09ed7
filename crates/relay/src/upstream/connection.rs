//! One connection to an endpoint, with one request on it at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use bytes::{Bytes, BytesMut};
use rustix::net::sockopt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use woodgap_core::clock::Millis;

use crate::upstream::body::Piece;
use crate::upstream::{Error, Framing, Head};

/// How long a connection may take to come about: many round trips between
/// regions, and less than the second after which TCP sends its first packet again.
pub const CONNECT_TIMEOUT: Millis = Millis(300);
/// How long sent bytes may stay without a sign from the other machine before the
/// connection is given up: several retransmissions.
const ACKNOWLEDGE_TIMEOUT: Millis = Millis(2_500);
/// How long a silent connection is left alone before the other machine is asked
/// whether it is still there, how often it is, and how many answers may be missing.
const PROBE: (Duration, Duration, u32) = (Duration::from_secs(1), Duration::from_secs(1), 2);
/// How much is read at once, in bytes: an event or a short answer.
const READ: usize = 4 * 1024;

/// One connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether all of the last request was sent and all of its answer was read.
    is_clean: bool,
    served: u32,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] in any case.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT.0);
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let late = |_| Error::Unsent(io::ErrorKind::TimedOut.into());
        let stream = connecting.await.map_err(late)?.map_err(Error::Unsent)?;
        prepare(&stream).map_err(Error::Unsent)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            is_clean: true,
            served: 0,
        })
    }

    /// Whether another request can be sent: all is done, nothing came unasked,
    /// and the other side has not closed.
    pub fn is_reusable(&self) -> bool {
        if !self.is_clean || !self.buffer.is_empty() {
            return false;
        }
        let unasked = self.stream.try_read(&mut [0]);
        unasked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// How many requests were sent on it.
    pub fn requests_sent(&self) -> u32 {
        self.served
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// An answer may come before the request is sent as a whole; what is left of
    /// the request is then not sent, and the connection can't be used again.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] only if no byte was sent.
    pub async fn exchange(&mut self, head: &[u8], body: &[u8]) -> Result<Head, Error> {
        self.served += 1;
        self.is_clean = false;
        let (mut reader, mut writer) = self.stream.split();
        let sending = send(&mut writer, head, body);
        let reading = read_head(&mut reader, &mut self.buffer);
        tokio::pin!(sending, reading);
        let (sent, answered) = tokio::select! {
            biased;
            sent = &mut sending => (Some(sent), None),
            answered = &mut reading => (None, Some(answered)),
        };
        let is_sent = matches!(sent, Some(Ok(())));
        if let Some(Err(error @ Error::Unsent(_))) = sent {
            return Err(error);
        }
        let answered = match answered {
            Some(answered) => answered,
            // An endpoint may answer early and close: its answer counts.
            None => reading.await,
        };
        let answer = answered?;
        self.is_clean = is_sent && answer.keeps_alive;
        Ok(answer)
    }

    /// Reads the head of the answer after one that belonged to no request.
    ///
    /// # Errors
    ///
    /// As [`Self::exchange`], but never [`Error::Unsent`].
    pub async fn next_head(&mut self) -> Result<Head, Error> {
        let (mut reader, _) = self.stream.split();
        let head = read_head(&mut reader, &mut self.buffer).await?;
        self.is_clean &= head.keeps_alive;
        Ok(head)
    }

    /// The next piece of the answer's body; none once it is whole.
    ///
    /// # Errors
    ///
    /// [`Error::Cut`] or [`Error::Malformed`].
    pub async fn next_data(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, Error> {
        loop {
            match framing.take(&mut self.buffer)? {
                Piece::Bytes(bytes) => return Ok(Some(bytes)),
                Piece::End => return Ok(None),
                Piece::More => {}
            }
            self.buffer.reserve(READ);
            let count = self.stream.read_buf(&mut self.buffer).await;
            if count.map_err(Error::Cut)? > 0 {
                continue;
            }
            self.is_clean = false;
            if framing.is_close_delimited() {
                return Ok(None);
            }
            return Err(Error::Cut(io::ErrorKind::UnexpectedEof.into()));
        }
    }

    /// Reads the answer's body as a whole, up to a bound in bytes.
    ///
    /// # Errors
    ///
    /// As [`Self::next_data`], and [`Error::Malformed`] above the bound.
    pub async fn read_body(&mut self, mut framing: Framing, most: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next_data(&mut framing).await? {
            whole.extend_from_slice(&piece);
            if whole.len() > most {
                return Err(Error::TooLarge);
            }
        }
        Ok(whole.freeze())
    }

    /// Gives back the read buffer's memory while the connection rests.
    pub fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (idle, period, count) = PROBE;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, idle)?;
    sockopt::set_tcp_keepintvl(stream, period)?;
    sockopt::set_tcp_keepcnt(stream, count)?;
    let timeout = u32::try_from(ACKNOWLEDGE_TIMEOUT.0).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, timeout)?;
    Ok(())
}

/// Sends head and body; with one call of the system where both are short.
async fn send(writer: &mut WriteHalf<'_>, head: &[u8], body: &[u8]) -> Result<(), Error> {
    let mut is_begun = false;
    let mut parts = [head, body];
    while parts.iter().any(|part| !part.is_empty()) {
        let slices = parts.map(io::IoSlice::new);
        let sent = writer.write_vectored(&slices).await.map_err(|error| {
            if is_begun {
                Error::Cut(error)
            } else {
                Error::Unsent(error)
            }
        })?;
        is_begun = true;
        let from_head = sent.min(parts[0].len());
        parts = [&parts[0][from_head..], &parts[1][sent - from_head..]];
    }
    Ok(())
}

async fn read_head(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Result<Head, Error> {
    loop {
        if let Some(head) = Head::take(buffer)? {
            return Ok(head);
        }
        buffer.reserve(READ);
        let count = reader.read_buf(buffer).await.map_err(Error::Cut)?;
        if count == 0 {
            return Err(Error::Cut(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

/// The first line and the headers of a request, ready to be sent.
///
/// ```
/// use actix_http::Method;
/// use woodgap_relay::upstream::connection;
///
/// let headers = [("Host", "10.0.0.1:80".as_bytes())];
/// let head = connection::request_head(&Method::GET, "/load", headers);
/// assert_eq!(&head[..], b"GET /load HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n");
/// ```
pub fn request_head<'h>(
    method: &Method,
    target: &str,
    headers: impl IntoIterator<Item = (&'h str, &'h [u8])>,
) -> BytesMut {
    let mut head = BytesMut::with_capacity(512);
    for part in [method.as_str(), " ", target, " HTTP/1.1\r\n"] {
        head.extend_from_slice(part.as_bytes());
    }
    for (name, value) in headers {
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head
}
