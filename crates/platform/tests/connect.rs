//! Answers that were cut off, over plain and strict connections.

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
