//! An endpoint that a certain body, or a certain part of prompts, ends: its connections break,
//! nothing listens for a while, and it comes back at its address with a later start.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use woodgap_core::clock::Millis;
use woodgap_core::relay::{Work, roster};

use crate::endpoint::header;
use crate::loopback::own_ip;
use crate::site;

/// Ends each endpoint that begins to run it.
pub const FATAL: &[u8] = b"a body that ends its endpoint";
/// The part of prompts that ends each endpoint that begins to answer, unless it is the last one.
pub const FATAL_PART: u64 = 0xfa7a;

/// How an endpoint is gone after an end.
#[derive(Clone, Copy, Debug)]
pub enum Down {
    /// Nothing listens for so long.
    Refuses(Duration),
    /// Something before it takes connections for so long, and closes them.
    Fronted(Duration),
}

/// How an endpoint is gone usually.
pub const DOWN: Down = Down::Refuses(Duration::from_millis(800));
/// How answers say where they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framed {
    Length,
    Chunks,
    /// They end with their connection.
    Close,
}

/// What comes of the answer on which an endpoint ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    Nothing,
    /// A part of an event; where it has a length or chunks these say that it is whole.
    PartOfEvent,
    /// A whole event, and the end of the connection.
    Event,
}

/// How an endpoint answers.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    pub framed: Framed,
    pub rest: Rest,
    /// Whether every second fatal body gets an error, and ends nothing.
    pub has_errors: bool,
    /// Whether it says in its answers that it is leaving.
    pub is_leaving: bool,
}

/// How an endpoint answers usually.
pub const PLAIN: Manner = Manner {
    framed: Framed::Length,
    rest: Rest::Nothing,
    has_errors: false,
    is_leaving: false,
};
/// The events of a whole stream.
pub const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
/// Between two looks for new connections.
const LOOK: Duration = Duration::from_millis(2);

/// How long an endpoint takes from the beginning of an answer to its end by a part of the prompt.
const TIME_TO_END: Duration = Duration::from_millis(30);

/// When fatal requests reached the endpoints that share this.
pub type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Such an endpoint.
pub struct Crashing {
    pub address: SocketAddr,
    life: Arc<Life>,
}

struct Life {
    started: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    has_ended: Mutex<bool>,
    /// Whether it has begun an answer on which it ends.
    is_ending: AtomicBool,
    /// Whether the test is over: its threads would else go on beside other tests.
    is_over: AtomicBool,
    down: Down,
    manner: Manner,
    arrivals: Arrivals,
}

impl Crashing {
    /// One that notes fatal requests in `arrivals`, is gone so after each, and answers so.
    pub fn with(arrivals: &Arrivals, down: Down, manner: Manner) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let life = Arc::new(Life {
            started: AtomicU64::new(1),
            connections: Mutex::default(),
            has_ended: Mutex::default(),
            is_ending: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            down,
            manner,
            arrivals: Arc::clone(arrivals),
        });
        let living = Arc::clone(&life);
        std::thread::spawn(move || live(&living, address, listener));
        Self { address, life }
    }

    /// Its row as it is now.
    pub fn row(&self, at: usize) -> roster::Endpoint {
        let mut row = site::endpoint(at, self.address);
        row.life.started_unix = Some(Millis(self.life.started.load(Ordering::Relaxed)));
        row
    }

    /// Whether it has begun an answer on which it ends.
    pub fn is_ending(&self) -> bool {
        self.life.is_ending.load(Ordering::Relaxed)
    }

    /// Ends it, as if by itself.
    pub fn end(&self) {
        self.life.end();
    }
}

impl Drop for Crashing {
    fn drop(&mut self) {
        self.life.is_over.store(true, Ordering::Relaxed);
        self.end();
    }
}

impl Life {
    fn end(&self) {
        *self.has_ended.lock().unwrap() = true;
    }
}

fn live(life: &Arc<Life>, address: SocketAddr, mut listener: TcpListener) {
    loop {
        serve(life, &listener);
        if life.is_over.load(Ordering::Relaxed) {
            return;
        }
        let is_fronted = matches!(life.down, Down::Fronted(_));
        let front = is_fronted.then_some(listener);
        for connection in life.connections.lock().unwrap().drain(..) {
            // It may be gone already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        match life.down {
            Down::Refuses(span) => sleep(span),
            Down::Fronted(span) => close_all(front.as_ref().expect("it listens"), span),
        }
        drop(front);
        life.started.fetch_add(1, Ordering::Relaxed);
        *life.has_ended.lock().unwrap() = false;
        listener = TcpListener::bind(address).unwrap();
    }
}

/// Takes connections and closes them, for so long.
fn close_all(listener: &TcpListener, span: Duration) {
    let until = Instant::now() + span;
    while Instant::now() < until {
        if listener.accept().is_err() {
            sleep(LOOK);
        }
    }
}

/// Takes connections until the end of this life.
fn serve(life: &Arc<Life>, listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    while !*life.has_ended.lock().unwrap() {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                let kept = stream.try_clone().unwrap();
                life.connections.lock().unwrap().push(kept);
                let life = Arc::clone(life);
                std::thread::spawn(move || answer(&life, stream));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(LOOK),
            Err(error) => panic!("{error}"),
        }
    }
}

fn answer(life: &Life, mut stream: TcpStream) {
    while let Some((head, body)) = read(&mut stream) {
        let id = header(&head, "x-woodgap-request");
        let is_odd = id.ends_with(['1', '3', '5', '7', '9']);
        if body == FATAL && life.manner.has_errors && is_odd {
            let answer = framed(&id, "", "no", Framed::Length).replace("200 OK", "404 X");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if body == FATAL {
            life.arrivals.lock().unwrap().push(Instant::now());
            life.end();
            return;
        }
        let parts = parts(&head);
        let is_fatal = parts
            .split_last()
            .is_some_and(|(_, shared)| shared.contains(&FATAL_PART));
        if is_fatal {
            life.is_ending.store(true, Ordering::Relaxed);
            life.arrivals.lock().unwrap().push(Instant::now());
            sleep(TIME_TO_END);
            // What is under way is lost with the endpoint.
            let _ = stream.write_all(last_answer(&id, life.manner).as_bytes());
            life.end();
            return;
        }
        let answer = match life.manner.framed {
            _ if parts.is_empty() => framed(&id, "", "yes", Framed::Length),
            framing => framed(&id, life.manner.headers(), EVENTS, framing),
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        if life.manner.framed == Framed::Close && !parts.is_empty() {
            // Its life still holds the connection. The caller may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

const STREAM: &str = "Content-Type: text/event-stream\r\n";
const LEAVING_STREAM: &str = "Content-Type: text/event-stream\r\nX-Woodgap-Leaving: 1\r\n";

impl Manner {
    /// The headers of its streams.
    const fn headers(self) -> &'static str {
        if self.is_leaving {
            LEAVING_STREAM
        } else {
            STREAM
        }
    }
}

/// A whole answer.
fn framed(id: &str, headers: &str, body: &str, framing: Framed) -> String {
    let head =
        format!("HTTP/1.1 200 OK\r\nX-Woodgap-Request: {id}\r\nX-Woodgap-Seal: s\r\n{headers}");
    let length = body.len();
    match framing {
        Framed::Length => format!("{head}Content-Length: {length}\r\n\r\n{body}"),
        Framed::Chunks => {
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
        }
        Framed::Close => format!("{head}\r\n{body}"),
    }
}

/// What an endpoint sends of the answer on which it ends.
fn last_answer(id: &str, manner: Manner) -> String {
    let length = match manner.rest {
        Rest::Nothing => return String::new(),
        Rest::PartOfEvent => EVENTS.len() / 2 + 3,
        Rest::Event => EVENTS.len() / 2,
    };
    framed(id, manner.headers(), &EVENTS[..length], manner.framed)
}

/// The IDs of the parts of a request's prompt.
fn parts(head: &str) -> Vec<u64> {
    let work: Option<Work> = serde_json::from_str(&header(head, "x-woodgap-work")).ok();
    let parts = work.map(|work| work.parts).unwrap_or_default();
    parts.into_iter().map(|part| part.id).collect()
}

/// The head and the body of the next request.
fn read(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = header(&head, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}
