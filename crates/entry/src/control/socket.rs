//! The sockets to the other entries. They outlive the control actor, since the
//! replay windows and the counting of frames belong to the process's life.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};

use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;
use woodgap_wire::frame::DATAGRAM_BYTES;
use woodgap_wire::{Error, Frame, Key, Receiver, Sender};

use crate::control::Meter;

/// How often a port that the system chose for UDP may be taken for TCP.
const BIND_ATTEMPTS: usize = 20;
/// Datagrams that are read in one go before anything else has its turn.
const READ_AT_ONCE: usize = 64;

/// The bound sockets, before anything is sent.
#[derive(Debug)]
pub struct Bound {
    udp: UdpSocket,
    tcp: TcpListener,
}

impl Bound {
    /// Binds UDP and TCP to the same address; port 0 has the system choose.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let mut attempts = 0;
        loop {
            let udp = UdpSocket::bind(address)?;
            let bound = udp.local_addr()?;
            match TcpListener::bind(bound) {
                Ok(tcp) => {
                    udp.set_nonblocking(true)?;
                    tcp.set_nonblocking(true)?;
                    return Ok(Self { udp, tcp });
                }
                Err(_) if address.port() == 0 && attempts < BIND_ATTEMPTS => attempts += 1,
                Err(error) => return Err(error),
            }
        }
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// If the system can't tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

/// The sockets and the codec of this life of the entry.
#[derive(Debug)]
pub struct Socket {
    bound: Bound,
    key: Key,
    own: Incarnation,
    sender: Mutex<Sender>,
    receiver: Mutex<Receiver>,
    meter: Meter,
}

impl Socket {
    /// Sockets that are ready to use.
    pub fn new(bound: Bound, key: Key, own: Incarnation) -> Self {
        Self {
            bound,
            own,
            sender: Mutex::new(Sender::new(key.clone(), own)),
            receiver: Mutex::new(Receiver::new(key.clone(), own)),
            key,
            meter: Meter::default(),
        }
    }

    /// The counts of bytes and messages.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// The fleet's key.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// This life of the entry.
    pub fn own(&self) -> Incarnation {
        self.own
    }

    /// The UDP socket for the running reactor.
    ///
    /// # Errors
    ///
    /// If the socket can't be shared with it.
    pub fn datagrams(&self) -> io::Result<tokio::net::UdpSocket> {
        tokio::net::UdpSocket::from_std(self.bound.udp.try_clone()?)
    }

    /// The TCP listener for the running reactor.
    ///
    /// # Errors
    ///
    /// If the socket can't be shared with it.
    pub fn listener(&self) -> io::Result<tokio::net::TcpListener> {
        tokio::net::TcpListener::from_std(self.bound.tcp.try_clone()?)
    }

    /// Sends messages to one life of an entry; returns those too large for a
    /// datagram. A datagram that the system has no room for is lost, as it
    /// might be on the way: every protocol above repeats what matters.
    pub fn send(&self, to: Incarnation, address: SocketAddr, messages: &[Message]) -> Vec<Message> {
        let parcel = match lock(&self.sender).pack(to, messages) {
            Ok(parcel) => parcel,
            Err(error) => {
                log::error!(error = error.to_string(); "can't put messages into bytes");
                return Vec::new();
            }
        };
        self.meter.messages_sent(messages.len());
        for datagram in &parcel.datagrams {
            if self.bound.udp.send_to(datagram, address).is_ok() {
                self.meter.sent(datagram.len());
            }
        }
        parcel.large
    }

    /// Waits for datagrams and reads those that are there.
    ///
    /// # Errors
    ///
    /// If the socket fails.
    pub async fn receive(&self, udp: &tokio::net::UdpSocket) -> io::Result<Vec<Frame>> {
        udp.readable().await?;
        let mut frames = Vec::new();
        let mut buffer = [0; DATAGRAM_BYTES + 1];
        for _ in 0..READ_AT_ONCE {
            match udp.try_recv_from(&mut buffer) {
                Ok((length, from)) => {
                    self.meter.received(length);
                    match lock(&self.receiver).open(&buffer[..length]) {
                        Ok(frame) => frames.push(self.count(frame)),
                        Err(error) => self.refuse(from, error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // An earlier datagram was not delivered; that is no fault of ours.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => return Err(error),
            }
        }
        Ok(frames)
    }

    fn count(&self, frame: Frame) -> Frame {
        self.meter.messages_received(frame.messages.len());
        frame
    }

    fn refuse(&self, from: SocketAddr, error: Error) {
        self.meter.refused();
        log::debug!(from = from.to_string(), error = error.to_string(); "datagram refused");
    }
}

/// The codec's state is whole after every call, so that a panic elsewhere in the
/// actor does not spoil it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
