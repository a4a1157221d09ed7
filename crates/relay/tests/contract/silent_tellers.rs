//! Entries that tell of something newer and then can't be asked for it.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};

use serde::Serialize;
use woodgap_core::clock::Millis;
use woodgap_core::relay::roster::{self, Change};
use woodgap_relay::gossip::message::{self, FORM, Fetched, Knowledge, Listed, MOST_BYTES, Message};

use crate::endpoint::{Endpoint, whole};
use crate::peer;
use crate::site::{Site, endpoint, source, until};

/// The revision at which the endpoint leaves; the relay's own source tells of an earlier one.
const REVISION: u64 = 10;

/// What the tellers know.
const KNOWLEDGE: Knowledge = Knowledge {
    plan: 1,
    plan_age: Millis(0),
    endpoints: REVISION,
    endpoints_age: Millis(0),
    evacuation: 0,
    withheld: true,
};

/// Another entry, with one port for its messages and for what is fetched from it.
struct Other {
    name: String,
    socket: UdpSocket,
    listener: TcpListener,
    /// What the relay was last heard to know of the endpoints.
    heard: Cell<u64>,
}

impl Other {
    fn start(name: &str) -> Self {
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
    fn tell(&self, to: SocketAddr) {
        self.send(&self.message(1, false), to);
    }

    /// Takes in what the relay says, and answers its questions if it is to.
    fn hear(&self, relay: SocketAddr, answers: bool) {
        let mut bytes = [0; MOST_BYTES];
        while let Ok(length) = self.socket.recv(&mut bytes) {
            let Some(heard) = message::decode(&bytes[..length]) else {
                continue;
            };
            self.heard.set(self.heard.get().max(heard.knows.endpoints));
            if answers && !heard.is_answer {
                self.send(&self.message(heard.number, true), relay);
            }
        }
    }

    /// A connection on which the relay fetches, if it has opened one.
    fn asked(&self) -> Option<TcpStream> {
        self.listener.accept().ok().map(|(stream, _)| stream)
    }

    /// Gives the relay what it asks for, if it does.
    fn serve(&self, fetched: &Fetched) {
        let Some(mut stream) = self.asked() else {
            return;
        };
        stream.set_nonblocking(false).unwrap();
        let mut head = [0; 5];
        stream.read_exact(&mut head).unwrap();
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
        let mut question = vec![0; usize::try_from(length).unwrap()];
        stream.read_exact(&mut question).unwrap();
        write(&mut stream, fetched);
    }
}

fn write(stream: &mut TcpStream, message: &impl Serialize) {
    let bytes = postcard::to_stdvec(message).unwrap();
    let length = u32::try_from(bytes.len()).unwrap();
    let framed = [&[FORM][..], &length.to_be_bytes(), &bytes].concat();
    stream.write_all(&framed).unwrap();
}

/// Whether the relay has given up on a connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let mut bytes = [0; 64];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// A relay that knows an endpoint and that its platform has left, and what another entry
/// has to tell of that endpoint.
fn scene() -> (Site, Endpoint, Fetched) {
    let server = Endpoint::always(vec![whole("yes")]);
    let site = Site::with_trust("dub-a-1", "\"revoke_ms\": 30000", source(&[server.address]));
    site.until_ready();
    site.source.0.lock().unwrap().is_down = true;
    let leaving = roster::Endpoint {
        leaving: true,
        ..endpoint(0, server.address)
    };
    let changes = vec![(REVISION, Change::Listed(leaving))];
    let fetched = Fetched {
        knows: KNOWLEDGE,
        plan: None,
        endpoints: Some(Listed::Changes(changes)),
        evacuation: None,
    };
    (site, server, fetched)
}

/// An entry that can't be asked for its news does not keep those of another one away: they
/// are there before the silent one is given up.
#[test]
fn news_come_from_another_while_one_is_silent() {
    let (site, _server, fetched) = scene();
    let silent = Other::start("silent");
    let live = Other::start("live");
    let mut asked = None;
    until(|| {
        silent.tell(site.peer);
        asked = silent.asked();
        asked.is_some()
    });
    let mut stream = asked.unwrap();
    until(|| {
        live.tell(site.peer);
        live.hear(site.peer, true);
        live.serve(&fetched);
        let knows = live.heard.get() >= REVISION;
        assert!(
            knows || !is_closed(&mut stream),
            "nothing was fetched elsewhere while one was silent"
        );
        knows
    });
}
