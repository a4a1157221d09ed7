//! An entry that the test plays: it tells a relay that it knows something newer, and gives it that.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

use serde::Serialize;
use woodgap_core::clock::Millis;
use woodgap_relay::gossip::message::{
    self, FORM, FetchResponse, Knowledge, Listed, MAX_DATAGRAM_BYTES, Message,
};

use crate::peer;

/// The revision at which the endpoint leaves; the relay's own source tells of an earlier one.
pub const REVISION: u64 = 10;

/// In so many pieces, so far apart, a list comes over a slow link.
const PIECES: usize = 12;
const PAUSE: Duration = Duration::from_millis(250);

/// What the tellers know.
pub const KNOWLEDGE: Knowledge = Knowledge {
    plan: 1,
    plan_age: Millis(0),
    endpoints: REVISION,
    endpoints_age: Millis(0),
    evacuation: 0,
    withheld: true,
};

/// Another entry, with one port for its messages and for what is fetched from it.
pub struct Other {
    name: String,
    socket: UdpSocket,
    listener: TcpListener,
    /// What the relay was last heard to know of the endpoints.
    pub heard: Cell<u64>,
}

impl Other {
    pub fn start(name: &str) -> Self {
        let (socket, listener) = loop {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            if let Ok(socket) = UdpSocket::bind(address) {
                break (socket, listener);
            }
        };
        socket.set_nonblocking(true).unwrap();
        listener.set_nonblocking(true).unwrap();
        Self {
            name: name.to_owned(),
            socket,
            listener,
            heard: Cell::new(0),
        }
    }

    fn message(&self, number: u64, is_answer: bool) -> Message {
        let address = self.socket.local_addr().unwrap();
        Message {
            number,
            is_answer,
            ..peer::question(&self.name, address, KNOWLEDGE)
        }
    }

    fn send(&self, message: &Message, to: SocketAddr) {
        let bytes = message::encode(message).unwrap();
        self.socket.send_to(&bytes, to).unwrap();
    }

    /// Tells the relay of the newer revision.
    pub fn tell(&self, to: SocketAddr) {
        self.send(&self.message(1, false), to);
    }

    /// Tells the relay that it knows nothing.
    pub fn greet(&self, to: SocketAddr) {
        let address = self.socket.local_addr().unwrap();
        self.send(&peer::question(&self.name, address, peer::IGNORANT), to);
    }

    /// Takes in what the relay says, and answers its questions if it is to.
    pub fn hear(&self, relay: SocketAddr, answers: bool) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Ok(length) = self.socket.recv(&mut bytes) {
            let Some(heard) = message::decode(&bytes[..length]) else {
                continue;
            };
            self.heard
                .set(self.heard.get().max(heard.knowledge.endpoints));
            if answers && !heard.is_answer {
                self.send(&self.message(heard.number, true), relay);
            }
        }
    }

    /// A connection on which the relay fetches, if it has opened one.
    pub fn asked(&self) -> Option<TcpStream> {
        self.listener.accept().ok().map(|(stream, _)| stream)
    }

    /// Gives the relay what it asks for, if it does.
    pub fn serve(&self, fetched: &FetchResponse) {
        if let Some(mut stream) = self.question() {
            write(&mut stream, fetched);
        }
    }

    /// The same over a link on which it takes for long, but never stands still.
    pub fn serve_slowly(&self, fetched: &FetchResponse) {
        let Some(mut stream) = self.question() else {
            return;
        };
        let framed = framed(fetched);
        for piece in framed.chunks(framed.len().div_ceil(PIECES)) {
            // The relay may have given up.
            if stream.write_all(piece).is_err() {
                return;
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// A connection on which the relay has asked.
    fn question(&self) -> Option<TcpStream> {
        let mut stream = self.asked()?;
        stream.set_nonblocking(false).unwrap();
        let mut head = [0; 5];
        stream.read_exact(&mut head).unwrap();
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
        let mut question = vec![0; usize::try_from(length).unwrap()];
        stream.read_exact(&mut question).unwrap();
        Some(stream)
    }
}

pub fn write(stream: &mut TcpStream, message: &impl Serialize) {
    stream.write_all(&framed(message)).unwrap();
}

fn framed(message: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_stdvec(message).unwrap();
    let length = u32::try_from(bytes.len()).unwrap();
    [&[FORM][..], &length.to_be_bytes(), &bytes].concat()
}

/// What an entry gives that knows these endpoints and nothing else.
pub fn fetched(endpoints: Listed) -> FetchResponse {
    FetchResponse {
        knowledge: KNOWLEDGE,
        plan: None,
        endpoints: Some(endpoints),
        absences: Vec::new(),
        evacuation: None,
    }
}
