//! Messages that fit in no datagram, over TCP: a connection for each batch, as
//! they are rare.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;
use woodgap_wire::stream::{Acceptor, CHALLENGE_BYTES, HELLO_BYTES, connect};

use crate::control::Socket;

/// How long each step of a stream may take.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Why a stream failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The other side is not of this fleet, or sent what it should not.
    #[error(transparent)]
    Wire(#[from] woodgap_wire::Error),
    /// The other side took too long.
    #[error("the other side took too long")]
    Slow(#[from] tokio::time::error::Elapsed),
}

/// Sends messages to one life of an entry.
///
/// # Errors
///
/// Any [`Error`]; the messages may have arrived nevertheless.
pub async fn send(
    socket: Arc<Socket>,
    to: Incarnation,
    address: SocketAddr,
    messages: Vec<Message>,
) -> Result<(), Error> {
    let mut stream = timeout(STEP_TIMEOUT, TcpStream::connect(address)).await??;
    let mut challenge = [0; CHALLENGE_BYTES];
    timeout(STEP_TIMEOUT, stream.read_exact(&mut challenge)).await??;
    let (hello, mut encoder) = connect(socket.key(), socket.own(), to, &challenge, rand::random())?;
    timeout(STEP_TIMEOUT, stream.write_all(&hello)).await??;
    for message in messages {
        let frame = encoder.encode(&[message])?;
        timeout(STEP_TIMEOUT, stream.write_all(&frame)).await??;
        socket.meter().sent(frame.len());
    }
    timeout(STEP_TIMEOUT, stream.shutdown()).await??;
    Ok(())
}

/// Reads the messages of an accepted connection, and hands each frame's on.
///
/// # Errors
///
/// Any [`Error`].
pub async fn receive(
    socket: Arc<Socket>,
    mut stream: TcpStream,
    mut hand_on: impl FnMut(Incarnation, Vec<Message>),
) -> Result<(), Error> {
    let acceptor = Acceptor::new(socket.key().clone(), socket.own(), rand::random());
    timeout(STEP_TIMEOUT, stream.write_all(&acceptor.challenge())).await??;
    let mut hello = [0; HELLO_BYTES];
    timeout(STEP_TIMEOUT, stream.read_exact(&mut hello)).await??;
    let (from, mut decoder) = acceptor.accept(&hello)?;
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = timeout(STEP_TIMEOUT, stream.read(&mut buffer)).await??;
        if length == 0 {
            return Ok(());
        }
        socket.meter().received(length);
        decoder.push(&buffer[..length]);
        while let Some(messages) = decoder.next()? {
            socket.meter().messages_received(messages.len());
            hand_on(from, messages);
        }
    }
}
