//! The sockets of a relay, opened before anything else so that a taken port is
//! told at once.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};

use woodgap_settings::relay::Relay as Settings;

use crate::start::Error;

/// How often another port is tried where the system may choose one that must be
/// free for both TCP and UDP.
const TRIES: u32 = 16;

/// The sockets of a relay.
#[derive(Debug)]
pub struct Sockets {
    /// For callers' requests.
    pub requests: TcpListener,
    /// For callers who ask which entries to use.
    pub directory: TcpListener,
    /// For whoever checks that the relay takes requests.
    pub ready: TcpListener,
    /// For metrics.
    pub metrics: Option<TcpListener>,
    /// For other entries that fetch something.
    pub fetch: TcpListener,
    /// For messages of other entries.
    pub messages: UdpSocket,
}

impl Sockets {
    /// Opens all sockets, and puts the addresses that the system chose into the
    /// settings.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] with the option at fault.
    pub fn open(settings: &mut Settings) -> Result<Self, Error> {
        let requests = listen("listen", &mut settings.listen)?;
        let directory = listen("directory_listen", &mut settings.directory_listen)?;
        let ready = listen("ready_listen", &mut settings.ready_listen)?;
        let metrics = settings.metrics_listen.as_mut();
        let metrics = metrics.map(|address| listen("metrics_listen", address));
        let (fetch, messages) = both("peer_listen", &mut settings.peer_listen)?;
        if let Some(source) = settings.connect_from {
            check_source("connect_from", source)?;
        }
        Ok(Self {
            requests,
            directory,
            ready,
            metrics: metrics.transpose()?,
            fetch,
            messages,
        })
    }
}

fn listen(option: &'static str, address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Socket { option, source };
    let listener = TcpListener::bind(*address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// Checks that connections can be opened from an address: that it is one of this instance.
fn check_source(option: &'static str, source: IpAddr) -> Result<(), Error> {
    let bound = TcpListener::bind(SocketAddr::new(source, 0));
    bound
        .map(drop)
        .map_err(|source| Error::Socket { option, source })
}

/// One port for both TCP and UDP.
fn both(option: &'static str, address: &mut SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    let is_chosen = address.port() == 0;
    let mut tries = if is_chosen { TRIES } else { 1 };
    loop {
        let mut bound = *address;
        let listener = listen(option, &mut bound)?;
        tries -= 1;
        match datagrams(bound) {
            Ok(socket) => {
                *address = bound;
                return Ok((listener, socket));
            }
            Err(source) if tries == 0 => return Err(Error::Socket { option, source }),
            // The port is free for TCP only: another one is tried.
            Err(_) => {}
        }
    }
}

fn datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
