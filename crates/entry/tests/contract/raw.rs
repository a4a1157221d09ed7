//! An endpoint that answers with bytes written by hand.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::net::sockopt;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use woodgap_harness::documents;

/// Answers to load reports.
const LOAD: &str =
    r#"{"age":0,"running":0,"queued":0,"slots":8,"tokens_per_second":0.0,"state":"live"}"#;
/// Stands in an answer for the identity of the request.
const IDENTITY: &str = "{id}";
/// What follows in an answer is sent as one chunk and the last one.
const CHUNKED: &str = "{chunked}";

/// The endpoint.
pub struct Raw {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Keeps the port of an endpoint that is gone, so that no other test gets it.
    _port: Option<TcpSocket>,
}

#[derive(Default)]
struct State {
    answers: VecDeque<&'static str>,
    closing: bool,
    /// How long after its answer a connection is reset, without anything having been read meanwhile.
    resetting: Option<Duration>,
    heads: Vec<String>,
}

impl Raw {
    /// Gives these answers in turn, the last one again and again. The connection
    /// is closed after each that does not ask to keep it.
    pub async fn new(answers: &[&'static str]) -> Self {
        Self::with(answers, false).await
    }

    /// Gives this answer to the first request of each connection, and closes the
    /// connection without an answer when a second one comes.
    pub async fn closing(answer: &'static str) -> Self {
        Self::with(&[answer], true).await
    }

    /// Gives these answers in turn before it has read the body of the request, and resets the
    /// connection this long after each.
    pub async fn resetting(pause: Duration, answers: &[&'static str]) -> Self {
        let raw = Self::with(answers, false).await;
        raw.state.lock().unwrap().resetting = Some(pause);
        raw
    }

    /// An endpoint that is listed, and no longer there.
    pub fn gone() -> Self {
        let port = TcpSocket::new_v4().unwrap();
        port.bind(([127, 0, 0, 1], 0).into()).unwrap();
        Self {
            address: port.local_addr().unwrap(),
            state: Arc::default(),
            _port: Some(port),
        }
    }

    async fn with(answers: &[&'static str], closing: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            answers: answers.iter().copied().collect(),
            closing,
            resetting: None,
            heads: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self {
            address,
            state,
            _port: None,
        }
    }

    /// The endpoint as the instance list shows it.
    pub fn instance(&self) -> Value {
        json!({
            "name": format!("raw-{}", self.address.port()), "role": "engine",
            "address": self.address, "data_centre": "dub-a", "state": "live",
            "targets": [documents::MODEL, documents::SERVICE], "slots": 8,
        })
    }

    /// The heads of the requests that came.
    pub fn heads(&self) -> Heads {
        Heads(Arc::clone(&self.state))
    }
}

/// The heads of the requests that came to an endpoint.
pub struct Heads(Arc<Mutex<State>>);

impl Heads {
    /// First lines, such as `GET / HTTP/1.1`.
    pub fn lines(&self) -> Vec<String> {
        let heads = &self.0.lock().unwrap().heads;
        let lines = heads.iter().filter_map(|head| head.lines().next());
        lines.map(str::to_owned).collect()
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    let mut buffer = Vec::new();
    let mut served = 0;
    let resetting = state.lock().unwrap().resetting;
    while let Some(head) = request(&mut stream, &mut buffer, resetting.is_none()).await {
        if head.starts_with("GET /control/load ") {
            let length = LOAD.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{LOAD}");
            stream.write_all(answer.as_bytes()).await.unwrap();
            continue;
        }
        if served > 0 && state.lock().unwrap().closing {
            return;
        }
        served += 1;
        let identity = header(&head, "x-woodgap-request").unwrap_or_default();
        let answer = state.lock().unwrap().take(head);
        let answer = encoded(&answer.replace(IDENTITY, &identity));
        let written = stream.write_all(answer.as_bytes()).await;
        if let Some(pause) = resetting {
            tokio::time::sleep(pause).await;
            sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
            return;
        }
        if written.is_err() || !answer.contains("keep-alive") {
            return;
        }
    }
}

impl State {
    fn take(&mut self, head: String) -> &'static str {
        self.heads.push(head);
        if self.answers.len() > 1 {
            self.answers.pop_front().unwrap()
        } else {
            self.answers[0]
        }
    }
}

fn encoded(answer: &str) -> String {
    let Some((head, body)) = answer.split_once(CHUNKED) else {
        return answer.to_owned();
    };
    format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// Reads one request, with or without its body; returns its head.
async fn request(stream: &mut TcpStream, buffer: &mut Vec<u8>, reads_body: bool) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(buffer[..end].to_vec()).unwrap();
            let length = header(&head, "content-length").filter(|_| reads_body);
            let length = length.map_or(0, |text| text.parse().unwrap());
            if buffer.len() >= end + 4 + length {
                buffer.drain(..end + 4 + length);
                return Some(head);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        let named = field.eq_ignore_ascii_case(name);
        named.then(|| value.trim().to_owned())
    })
}
