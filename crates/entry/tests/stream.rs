//! Messages that fit in no datagram, between two sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use woodgap_core::membership::{Heartbeat, Member, Message, Standing};
use woodgap_core::name::Incarnation;
use woodgap_core::{clock::Millis, message};
use woodgap_entry::control::socket::Bound;
use woodgap_entry::control::{Socket, stream};
use woodgap_wire::Key;

const OURS: Incarnation = Incarnation(5);
const THEIRS: Incarnation = Incarnation(9);

fn socket(own: Incarnation) -> (Arc<Socket>, SocketAddr) {
    let bound = Bound::new(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = bound.address().unwrap();
    (
        Arc::new(Socket::new(bound, Key::new(&[7; 32]), own)),
        address,
    )
}

/// News of a thousand members: some 60 KB.
fn large() -> message::Message {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |number: u64| Member {
        name: format!("entry-{number}").into(),
        incarnation: Incarnation(number << 40),
        data_centre: "dub-a".into(),
        peer: address,
        http: address,
        standing: Standing::Live,
        version: 0,
        heartbeat: Heartbeat::default(),
        heard: Millis::ZERO,
    };
    message::Message::Membership(Message::News((0..1_000).map(member).collect()))
}

#[actix_rt::test]
async fn what_fits_in_no_datagram_goes_by_stream() {
    let (ours, _) = socket(OURS);
    let (theirs, address) = socket(THEIRS);
    let left = ours.send(THEIRS, address, &[large()]);
    assert_eq!(left, [large()]);
    let listener = theirs.listener().unwrap();
    let sending = actix_rt::spawn(stream::send(ours, THEIRS, address, left));
    let (connection, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    stream::receive(theirs, connection, |from, messages| {
        received.push((from, messages));
    })
    .await
    .unwrap();
    sending.await.unwrap().unwrap();
    assert_eq!(received, [(OURS, vec![large()])]);
}

#[actix_rt::test]
async fn whoever_lacks_the_fleets_key_is_refused() {
    let (theirs, address) = socket(THEIRS);
    let listener = theirs.listener().unwrap();
    let stranger = async {
        let mut connection = tokio::net::TcpStream::connect(address).await.unwrap();
        connection.write_all(&[1; 200]).await.unwrap();
        connection
    };
    let (_stranger, accepted) = tokio::join!(stranger, listener.accept());
    let error = stream::receive(theirs, accepted.unwrap().0, |_, _| {
        panic!("a stranger's word")
    })
    .await
    .unwrap_err();
    assert!(
        matches!(error, stream::Error::Wire(woodgap_wire::Error::Mac)),
        "{error}"
    );
}
