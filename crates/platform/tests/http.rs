//! Answers of the platform that are none.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use woodgap_platform::Error;
use woodgap_platform::http::Platform;
use woodgap_platform::object::Store;

/// Ends a test that waits for what never comes.
const STUCK: Duration = Duration::from_mins(1);

/// A platform that gives this answer to one call and closes the connection.
async fn platform(answer: &'static str) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    Platform::new(&url, STUCK)
}

/// Such an object was read as an empty one, or as a part of itself.
#[rstest]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\nabc")]
#[case::name_of_the_length("HTTP/1.1 200 OK\r\ncontemt-length: 3\r\n\r\nabc")]
#[case::no_last_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")]
#[case::shorter_than_announced("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabc")]
#[case::two_framings(
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)]
#[case::interim("HTTP/1.1 100 Continue\r\ncontent-length: 3\r\n\r\nabc")]
#[actix_rt::test]
async fn a_corrupt_or_cut_answer_is_no_object(#[case] answer: &'static str) {
    let object = platform(answer).await.get("a").await;
    assert!(matches!(object, Err(Error::Unknown(_))), "{object:?}");
}

#[actix_rt::test]
async fn a_sound_answer_is_an_object() {
    let answer = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 3\r\n\r\nabc";
    let object = platform(answer).await.get("a").await.unwrap().unwrap();
    assert_eq!((&object.body[..], object.tag.as_str()), (&b"abc"[..], "1"));
}
