//! An HTTP/1.1 connection that carries one request at a time, without pipelining.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use actix_http::Method;
use bytes::{Bytes, BytesMut};
use woodgap_core::clock::Millis;
use woodgap_platform::response::Malformed;
use woodgap_platform::response::body::Decoded;
use woodgap_platform::response::head::MAX_HEAD_BYTES;

use crate::upstream::socket::{Reader, Socket, Writer};
use crate::upstream::{Error, Framing, Head};

/// How long opening a connection may take: many round trips between regions, but less than
/// the second after which TCP retransmits a SYN.
pub const CONNECT_TIMEOUT: Millis = Millis(300);

/// A connection to an endpoint, with its read buffer.
#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    buffer: BytesMut,
    /// Whether the last request had gone out completely when its response began, its response
    /// allows keep-alive, and the connection did not end while the body was read. Unread body
    /// bytes do not clear it.
    allows_reuse: bool,
    /// Whether a request was sent, perhaps in part, whose response has not ended.
    is_awaiting: bool,
    request_count: u32,
}

/// A connection whose request is given up is reset: the kernel would go on sending what has not
/// arrived yet, long after the request's caller was told its end.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_awaiting {
            self.socket.reset_on_close();
        }
    }
}

impl Connection {
    /// Connects and sets the socket options.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`], whatever the cause.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        Self::open_from(None, address).await
    }

    /// As [`Self::open`], from this local address.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`], also if the local address is none of this instance.
    pub async fn open_from(source: Option<IpAddr>, address: SocketAddr) -> Result<Self, Error> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT.0);
        let connecting = tokio::time::timeout(limit, Socket::connect(source, address));
        let timed_out = |_| Error::Unsent(io::ErrorKind::TimedOut.into());
        let socket = connecting
            .await
            .map_err(timed_out)?
            .map_err(Error::Unsent)?;
        Ok(Self {
            socket,
            buffer: BytesMut::new(),
            allows_reuse: true,
            is_awaiting: false,
            request_count: 0,
        })
    }

    /// Whether another request can be sent: the last exchange allows reuse, no unexpected bytes
    /// have arrived, and the peer has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        self.allows_reuse && self.buffer.is_empty() && self.socket.is_quiet()
    }

    /// Whether the peer closes a new connection, or sends what nobody asked for, within this time.
    pub async fn closes_within(&self, span: Millis) -> bool {
        let limit = Duration::from_millis(span.0);
        let readable = tokio::time::timeout(limit, self.socket.readable()).await;
        readable.is_ok() && !self.is_reusable()
    }

    /// The number of requests started on this connection.
    pub fn requests_sent(&self) -> u32 {
        self.request_count
    }

    /// Sends a request and reads the head of its response.
    ///
    /// A response may arrive before the request is sent completely; the rest of the request
    /// is then not sent, and the connection can't be reused. Neither can it where the rest
    /// waits in the kernel: the endpoint may never read it, nor what would come after it.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] only if no byte was sent.
    pub async fn exchange(&mut self, head: &[u8], body: &[u8]) -> Result<Head, Error> {
        self.request_count += 1;
        self.allows_reuse = false;
        self.is_awaiting = true;
        let (is_sent, response) = self.send_and_receive(head, body).await?;
        self.allows_reuse = is_sent && response.keeps_alive && self.socket.has_sent_all();
        Ok(response)
    }

    /// Returns whether the request was written completely before the head arrived, and the head.
    async fn send_and_receive(&mut self, head: &[u8], body: &[u8]) -> Result<(bool, Head), Error> {
        let (mut reader, mut writer) = self.socket.split();
        let sending = send(&mut writer, head, body);
        let reading = read_head(&mut reader, &mut self.buffer);
        tokio::pin!(sending, reading);
        let (sent, received) = tokio::select! {
            biased;
            sent = &mut sending => (Some(sent), None),
            received = &mut reading => (None, Some(received)),
        };
        let is_sent = matches!(sent, Some(Ok(())));
        if let Some(Err(error @ Error::Unsent(_))) = sent {
            self.is_awaiting = false;
            return Err(error);
        }
        let received = match received {
            Some(received) => received,
            // Sending may fail because the endpoint responded early and closed the
            // connection. Its response is still valid; if it ends with the connection, the
            // socket reports the failure again in place of its end.
            None => reading.await,
        };
        Ok((is_sent, received?))
    }

    /// Reads the head of the next response after one that belonged to no request.
    ///
    /// # Errors
    ///
    /// As for [`Self::exchange`], except [`Error::Unsent`].
    pub async fn next_head(&mut self) -> Result<Head, Error> {
        let (mut reader, _) = self.socket.split();
        let head = read_head(&mut reader, &mut self.buffer).await?;
        self.allows_reuse &= head.keeps_alive;
        Ok(head)
    }

    /// Reads the next data of the response body; `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// [`Error::Cut`] or [`Error::Malformed`].
    pub async fn next_data(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, Error> {
        loop {
            match framing.take(&mut self.buffer)? {
                Decoded::Bytes(bytes) => return Ok(Some(bytes)),
                Decoded::End => {
                    self.is_awaiting = false;
                    return Ok(None);
                }
                Decoded::NeedMore => {}
            }
            let (mut reader, _) = self.socket.split();
            let count = reader.read(&mut self.buffer).await;
            if count.map_err(Error::Cut)? > 0 {
                continue;
            }
            self.allows_reuse = false;
            if framing.is_close_delimited() {
                self.is_awaiting = false;
                return Ok(None);
            }
            return Err(Error::Cut(io::ErrorKind::UnexpectedEof.into()));
        }
    }

    /// Reads the complete response body, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// As for [`Self::next_data`], and [`Error::TooLarge`] above the limit.
    pub async fn read_body(
        &mut self,
        mut framing: Framing,
        max_bytes: usize,
    ) -> Result<Bytes, Error> {
        match self.read_part(&mut framing, max_bytes).await? {
            (body, true) => Ok(body),
            (_, false) => Err(Error::TooLarge),
        }
    }

    /// Reads the response body up to its end, or until more than `max_bytes` have come. Returns
    /// whether it is complete; if not, [`Self::next_data`] reads on.
    ///
    /// # Errors
    ///
    /// As for [`Self::next_data`].
    pub async fn read_part(
        &mut self,
        framing: &mut Framing,
        max_bytes: usize,
    ) -> Result<(Bytes, bool), Error> {
        let mut read = BytesMut::new();
        while let Some(piece) = self.next_data(framing).await? {
            read.extend_from_slice(&piece);
            if read.len() > max_bytes {
                return Ok((read.freeze(), false));
            }
        }
        Ok((read.freeze(), true))
    }

    /// Frees the read buffer's memory while the connection is idle.
    pub fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
    }
}

/// Sends head and body, with a single system call if the socket takes both at once.
async fn send(writer: &mut Writer<'_>, head: &[u8], body: &[u8]) -> Result<(), Error> {
    let mut is_partly_sent = false;
    let mut parts = [head, body];
    while parts.iter().any(|part| !part.is_empty()) {
        let slices = parts.map(io::IoSlice::new);
        let sent = writer.write_vectored(&slices).await.map_err(|error| {
            if is_partly_sent {
                Error::Cut(error)
            } else {
                Error::Unsent(error)
            }
        })?;
        is_partly_sent = true;
        let from_head = sent.min(parts[0].len());
        parts = [&parts[0][from_head..], &parts[1][sent - from_head..]];
    }
    Ok(())
}

async fn read_head(reader: &mut Reader<'_>, buffer: &mut BytesMut) -> Result<Head, Error> {
    let mut received = 0;
    loop {
        if let Some(head) = Head::take(buffer)? {
            return Ok(head);
        }
        // Interim responses may come without end, each of them short.
        if received > MAX_HEAD_BYTES {
            return Err(Malformed("the head is too large").into());
        }
        let count = reader.read(buffer).await.map_err(Error::Cut)?;
        if count == 0 {
            return Err(Error::Cut(io::ErrorKind::UnexpectedEof.into()));
        }
        received += count;
    }
}

/// Encodes the request line and the headers.
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
