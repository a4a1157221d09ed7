//! Answers that were cut off or have a corrupt head, over strict connections.

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use woodgap_platform::connect;

/// Answers one request with these bytes, then closes the connection.
async fn served(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let length = stream.read(&mut request).await.unwrap();
        assert!(length > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    url
}

fn client() -> Client {
    Client::builder().connector(connect::strict()).finish()
}

#[rstest]
#[case::whole("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", true)]
#[case::whole_chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    true
)]
#[case::empty("HTTP/1.1 204 No Content\r\n\r\n", true)]
#[case::shorter_than_announced("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc", false)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    false
)]
#[case::within_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabc", false)]
#[actix_rt::test]
async fn a_cut_body_is_an_error(#[case] answer: &'static str, #[case] whole: bool) {
    let url = served(answer).await;
    let mut response = client().get(url).send().await.unwrap();
    assert_eq!(response.body().await.is_ok(), whole);
}

/// awc takes each of these for a whole answer, some of them without their body.
#[rstest]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\nabc")]
#[case::blank_after_the_name_of_the_length("HTTP/1.1 200 OK\r\ncontent-length : 3\r\n\r\nabc")]
#[case::blank_after_a_name("HTTP/1.1 200 OK\r\nx-a : b\r\ncontent-length: 3\r\n\r\nabc")]
#[case::corrupt_name_of_the_coding(
    "HTTP/1.1 200 OK\r\ntransfer-encodinq: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)]
#[case::no_coding("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nabc")]
#[case::length_and_coding(
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)]
#[case::status_above_all("HTTP/1.1 600 OK\r\ncontent-length: 3\r\n\r\nabc")]
#[case::interim_with_a_body("HTTP/1.1 100 OK\r\ncontent-length: 3\r\n\r\nabc")]
#[case::another_protocol("HTTP/1.1 101 OK\r\n\r\nabc")]
#[case::no_content_with_a_body("HTTP/1.1 204 OK\r\ncontent-length: 3\r\n\r\nabc")]
#[actix_rt::test]
async fn a_corrupt_head_is_an_error(#[case] answer: &'static str) {
    let url = served(answer).await;
    let error = client().get(url).send().await.unwrap_err();
    assert!(!matches!(error, SendRequestError::Connect(_)), "{error}");
}

#[actix_rt::test]
async fn an_interim_answer_is_not_the_answer() {
    let url = served(
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    )
    .await;
    let mut response = client().get(url).send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(&response.body().await.unwrap()[..], b"abc");
}

/// It names the length of the body that another method would get.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\n")]
#[actix_rt::test]
async fn an_answer_to_head_has_no_body(#[case] answer: &'static str) {
    let url = served(answer).await;
    let response = client().head(url).send().await.unwrap();
    assert_eq!(response.status(), 200);
}

/// Each byte comes by itself, and three requests go over one connection.
#[actix_rt::test]
async fn heads_that_come_in_pieces_are_read_on_kept_connections() {
    const ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        while stream.read(&mut [0; 1024]).await.unwrap() > 0 {
            for byte in ANSWER {
                stream.write_all(&[*byte]).await.unwrap();
                tokio::task::yield_now().await;
            }
        }
    });
    let client = client();
    for _ in 0..3 {
        let mut response = client.get(&url).send().await.unwrap();
        assert_eq!(&response.body().await.unwrap()[..], b"abc");
    }
}

#[actix_rt::test]
async fn no_answer_at_all_differs_from_no_connection() {
    let url = served("").await;
    let error = client().get(url).send().await.unwrap_err();
    assert!(!matches!(error, SendRequestError::Connect(_)), "{error}");

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    drop(listener);
    let error = client().get(url).send().await.unwrap_err();
    assert!(
        matches!(error, SendRequestError::Connect(ConnectError::Io(_))),
        "{error}"
    );
}
