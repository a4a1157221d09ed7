//! A TCP connection that tells its failure to each call.
//!
//! The kernel reports the failure of a connection once, to the call that comes first. A read after
//! it returns what had arrived and then 0, as if the peer had ended the connection in order: a part
//! of a body that ends with its connection would be taken for the whole.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use rustix::event::{self, PollFd, PollFlags, Timespec};
use rustix::net::sockopt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use woodgap_core::clock::Millis;

/// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the connection is
/// aborted. It allows for several retransmissions.
const USER_TIMEOUT: Millis = Millis(2_500);
/// TCP keepalive: the idle time before the first probe, the interval between probes, and the
/// number of unanswered probes after which the connection is dropped. Linux ignores the number
/// where `TCP_USER_TIMEOUT` is set, and drops it at the first probe after that time.
const KEEPALIVE: (Duration, Duration, u32) = (Duration::from_secs(1), Duration::from_secs(1), 2);
/// The buffer space reserved for a read, in bytes; it fits an event or a short response.
const READ_BYTES: usize = 4 * 1024;

/// A connected socket.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    failure: Failure,
}

/// The failure of a connection, once a call has reported it.
#[derive(Debug, Default)]
struct Failure(Cell<Option<io::ErrorKind>>);

/// The half of a socket that reads.
#[derive(Debug)]
pub struct Reader<'s> {
    half: ReadHalf<'s>,
    failure: &'s Failure,
}

/// The half of a socket that writes.
#[derive(Debug)]
pub struct Writer<'s> {
    half: WriteHalf<'s>,
    failure: &'s Failure,
}

impl Socket {
    /// Connects, from this local address if there is one, and sets the socket options.
    ///
    /// # Errors
    ///
    /// If the connection can't be opened or the local address is none of this instance.
    pub async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<Self> {
        let stream = connect(source, address).await?;
        set_options(&stream)?;
        Ok(Self {
            stream,
            failure: Failure::default(),
        })
    }

    /// The halves, which may wait at the same time.
    pub fn split(&mut self) -> (Reader<'_>, Writer<'_>) {
        let failure = &self.failure;
        let (reader, writer) = self.stream.split();
        let reader = Reader {
            half: reader,
            failure,
        };
        let writer = Writer {
            half: writer,
            failure,
        };
        (reader, writer)
    }

    /// Whether the connection is open and nothing has arrived on it. Takes a byte if there is one.
    pub fn is_quiet(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        let read = self.failure.record(read);
        read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether all that was written has gone out. Else a part waits in the kernel until the peer,
    /// which may not be reading, has room for it.
    pub fn has_sent_all(&self) -> bool {
        self.ask_whether_sent().unwrap_or(false)
    }

    /// With `TCP_NOTSENT_LOWAT` at 1 byte a socket is writable only while nothing is unsent; 0 is
    /// the system's default, and not set again on a socket that fails.
    fn ask_whether_sent(&self) -> io::Result<bool> {
        let socket = SockRef::from(&self.stream);
        socket.set_tcp_notsent_lowat(1)?;
        let mut polled = [PollFd::new(&self.stream, PollFlags::OUT)];
        event::poll(&mut polled, Some(&Timespec::default()))?;
        socket.set_tcp_notsent_lowat(0)?;
        Ok(polled[0].revents().contains(PollFlags::OUT))
    }

    /// Waits until something has arrived, or the connection has ended.
    ///
    /// # Errors
    ///
    /// If the runtime is shutting down.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Has the connection reset, not ended in order, when it is closed.
    pub fn reset_on_close(&self) {
        // Fails only for a socket that is gone.
        let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
    }
}

impl Reader<'_> {
    /// Reads what has arrived into the buffer; 0 once the peer has ended the connection in order.
    ///
    /// # Errors
    ///
    /// If the connection has failed, also where another call has reported it.
    pub async fn read(&mut self, buffer: &mut BytesMut) -> io::Result<usize> {
        buffer.reserve(READ_BYTES);
        let read = self.half.read_buf(buffer).await;
        match self.failure.record(read)? {
            0 => self.failure.check().map(|()| 0),
            count => Ok(count),
        }
    }
}

impl Writer<'_> {
    /// Writes a part of the slices and returns its length.
    ///
    /// # Errors
    ///
    /// If the connection has failed, or the peer has ended it and takes nothing more.
    pub async fn write_vectored(&mut self, slices: &[io::IoSlice<'_>]) -> io::Result<usize> {
        let written = self.half.write_vectored(slices).await;
        self.failure.record(written)
    }
}

impl Failure {
    /// Keeps the failure that a call reports, and hands on what it returns.
    fn record<T>(&self, returned: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &returned
            && is_failure(error.kind())
        {
            self.0.set(Some(error.kind()));
        }
        returned
    }

    /// The failure, if a call has reported one.
    fn check(&self) -> io::Result<()> {
        self.0.get().map_or(Ok(()), |kind| Err(kind.into()))
    }
}

/// Whether bytes from the peer may be missing after this error. A broken pipe is a reset after the
/// peer has ended the connection in order: all that it sent before has arrived.
fn is_failure(kind: io::ErrorKind) -> bool {
    !matches!(
        kind,
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted | io::ErrorKind::BrokenPipe
    )
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if source.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (idle, interval, count) = KEEPALIVE;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, idle)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, count)?;
    let timeout = u32::try_from(USER_TIMEOUT.0).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, timeout)?;
    Ok(())
}
