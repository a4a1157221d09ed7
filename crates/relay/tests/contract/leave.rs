//! What the other entries hear of a stop.

use std::net::{Ipv4Addr, UdpSocket};

use woodgap_relay::gossip::message::{self, MAX_DATAGRAM_BYTES, Message};

use crate::peer::{self, IGNORANT};
use crate::site::{Site, until};

/// More than are asked in the two rounds for which the entry below lives on.
const OTHERS: usize = 40;

/// All entries of a data centre hear of a stop, though most are not asked any more before
/// the entry ends.
#[test]
fn all_nearby_hear_of_a_stop() {
    let site = Site::with_grace(1.0, &[]);
    let others: Vec<_> = (0..OTHERS).map(|_| other()).collect();
    for (at, socket) in others.iter().enumerate() {
        let question = {
            let address = socket.local_addr().unwrap();
            let question = peer::question(&format!("other-{at}"), address, IGNORANT);
            message::encode(&question).unwrap()
        };
        // The answer tells that the question has come.
        until(|| {
            socket.send_to(&question, site.peer).unwrap();
            !received(socket).is_empty()
        });
    }
    site.stop();
    until(|| site.has_ended());
    let has_heard = |socket: &UdpSocket| received(socket).iter().any(|it| it.from.stopping);
    let heard = others.iter().filter(|it| has_heard(it)).count();
    assert_eq!(heard, OTHERS);
}

fn other() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

fn received(socket: &UdpSocket) -> Vec<Message> {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    std::iter::from_fn(|| {
        socket
            .recv(&mut bytes)
            .ok()
            .map(|length| bytes[..length].to_vec())
    })
    .filter_map(|bytes| message::decode(&bytes))
    .collect()
}
