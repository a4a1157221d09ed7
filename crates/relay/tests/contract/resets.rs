//! Connections that are reset while a request is still being written on them.
//!
//! The kernel tells a reset to one call, here to the one that writes. What is read after it looks as if
//! the endpoint had ended the connection in order.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::time::Duration;

use actix_http::Method;
use bytes::{Bytes, BytesMut};
use futures_util::poll;
use rstest::rstest;
use rustix::net::sockopt;
use woodgap_core::clock::Millis;
use woodgap_relay::upstream::call::Client;
use woodgap_relay::upstream::{Connection, Error, connection};

/// More than the buffers of a connection take, so that the request is still being written.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;
/// Above all bodies of these tests, in bytes.
const MAX_BODY_BYTES: usize = 1024;
/// The time for an upload and its answer: far longer than it takes on one machine.
const ANSWER_LIMIT: Millis = Millis(10_000);
/// Ends a test that waits for what never comes.
const STUCK: Millis = Millis(60_000);

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Woodgap-Request: r1\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How an endpoint ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// Breaks it.
    Reset,
    /// Closes it with bytes unread, which breaks it as well.
    CloseUnread,
    /// Says that nothing more comes, and goes on reading.
    Finish,
    /// Says that nothing more comes, and then breaks it.
    FinishAndReset,
    /// Reads the whole request, then closes it.
    ReadAll,
}

/// An endpoint that takes one request and answers before it has read it.
struct Endpoint {
    listener: TcpListener,
}

impl Endpoint {
    fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        Self { listener }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Runs a call until its request is being written, then answers and ends the connection in one go,
    /// of which the call learns nothing before all has happened.
    async fn answer<T>(&self, call: impl Future<Output = T>, answer: &str, ending: Ending) -> T {
        let mut call = pin!(call);
        let mut stream = loop {
            assert!(poll!(call.as_mut()).is_pending());
            if let Ok((stream, _)) = self.listener.accept() {
                break stream;
            }
            tokio::task::yield_now().await;
        };
        stream.set_nonblocking(true).unwrap();
        while stream.peek(&mut [0]).is_err() {
            assert!(poll!(call.as_mut()).is_pending());
            tokio::task::yield_now().await;
        }
        stream.write_all(answer.as_bytes()).unwrap();
        let _open = end(stream, ending);
        call.await
    }
}

/// Ends a connection; it is given back where it stays open for reading.
fn end(stream: TcpStream, ending: Ending) -> Option<TcpStream> {
    if matches!(ending, Ending::Finish | Ending::FinishAndReset) {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    match ending {
        Ending::Finish => return Some(stream),
        Ending::Reset | Ending::FinishAndReset => {
            sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        }
        Ending::CloseUnread => {}
        Ending::ReadAll => {
            std::thread::spawn(move || read_upload(stream));
        }
    }
    None
}

fn read_upload(mut stream: TcpStream) {
    stream.set_nonblocking(false).unwrap();
    let mut piece = vec![0; 64 * 1024];
    let mut left = upload_head().len() + UPLOAD_BYTES;
    while left > 0 {
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => left = left.saturating_sub(count),
            _ => return,
        }
    }
}

fn upload_head() -> BytesMut {
    let length = UPLOAD_BYTES.to_string();
    connection::request_head(&Method::POST, "/", [("Content-Length", length.as_bytes())])
}

/// Uploads over a connection, and reads the whole answer.
async fn upload(address: SocketAddr) -> Result<Bytes, Error> {
    let mut connection = Connection::open(address).await?;
    let body = vec![b'u'; UPLOAD_BYTES];
    let response = connection.exchange(&upload_head(), &body).await?;
    let framing = response.framing(&Method::POST)?;
    connection.read_body(framing, MAX_BODY_BYTES).await
}

/// The part was read as a whole body.
#[rstest]
#[case::in_the_body("part", Ending::Reset)]
#[case::right_after_the_head("", Ending::Reset)]
#[case::in_the_body_with_bytes_unread("part", Ending::CloseUnread)]
#[case::right_after_the_head_with_bytes_unread("", Ending::CloseUnread)]
#[actix_rt::test]
async fn a_body_without_a_length_that_is_reset_is_cut(#[case] part: &str, #[case] ending: Ending) {
    let endpoint = Endpoint::new();
    let answer = format!("{UNFRAMED}{part}");
    let call = upload(endpoint.address());
    let error = endpoint.answer(call, &answer, ending).await.unwrap_err();
    let Error::Cut(cause) = error else {
        panic!("{error}");
    };
    assert_eq!(cause.kind(), ErrorKind::ConnectionReset);
}

/// An endpoint need not read what it has no use for: what it sends is whole, also if the connection is
/// broken after it. Without a length, it must have said before that nothing more comes.
#[rstest]
#[case::length(LENGTH, "abc", Ending::Reset)]
#[case::length_with_bytes_unread(LENGTH, "abc", Ending::CloseUnread)]
#[case::chunks(CHUNKED, "3\r\nabc\r\n0\r\n\r\n", Ending::Reset)]
#[case::no_length(UNFRAMED, "abc", Ending::Finish)]
#[case::no_length_and_reset_after_its_end(UNFRAMED, "abc", Ending::FinishAndReset)]
#[actix_rt::test]
async fn an_early_answer_that_has_ended_is_whole(
    #[case] head: &str,
    #[case] rest: &str,
    #[case] ending: Ending,
) {
    let endpoint = Endpoint::new();
    let call = upload(endpoint.address());
    let body = endpoint
        .answer(call, &format!("{head}{rest}"), ending)
        .await;
    assert_eq!(&body.unwrap()[..], b"abc");
}

/// An endpoint may go on reading, and end its answer once it has read everything.
#[actix_rt::test]
async fn an_early_answer_without_a_length_ends_once_the_upload_was_read() {
    let endpoint = Endpoint::new();
    let limit = Duration::from_millis(ANSWER_LIMIT.0);
    let call = tokio::time::timeout(limit, upload(endpoint.address()));
    let answer = format!("{UNFRAMED}abc");
    let body = endpoint.answer(call, &answer, Ending::ReadAll).await;
    assert_eq!(&body.expect("an answer in time").unwrap()[..], b"abc");
}

#[rstest]
#[case::length(LENGTH, "a")]
#[case::chunks(CHUNKED, "3\r\nabc\r\n")]
#[case::no_head("HTTP/1.1 200 OK\r\nX-Wood", "")]
#[actix_rt::test]
async fn an_early_answer_that_has_not_ended_is_cut(#[case] head: &str, #[case] rest: &str) {
    let endpoint = Endpoint::new();
    let call = upload(endpoint.address());
    let read = endpoint
        .answer(call, &format!("{head}{rest}"), Ending::Reset)
        .await;
    assert!(matches!(read, Err(Error::Cut(_))), "{read:?}");
}

/// Calls of the platform go over the same connections.
#[rstest]
#[case::in_the_body(UNFRAMED, "part", false)]
#[case::right_after_the_head(UNFRAMED, "", false)]
#[case::whole(LENGTH, "abc", true)]
#[actix_rt::test]
async fn a_call_with_a_long_body_gets_its_answer_or_an_error(
    #[case] head: &str,
    #[case] rest: &str,
    #[case] is_whole: bool,
) {
    let endpoint = Endpoint::new();
    let mut client = Client::new(endpoint.address());
    let upload = vec![b'u'; UPLOAD_BYTES];
    let call = client.call(&Method::POST, "/", Some(&upload), STUCK);
    let called = endpoint
        .answer(call, &format!("{head}{rest}"), Ending::Reset)
        .await;
    assert_eq!(called.is_ok(), is_whole, "{called:?}");
}
