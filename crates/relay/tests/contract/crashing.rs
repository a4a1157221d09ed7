//! An endpoint that a certain body ends: its connections break, nothing listens for a while, and
//! it comes back at its address with a later start.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use woodgap_core::clock::Millis;
use woodgap_core::relay::roster;

use crate::endpoint::header;
use crate::site;

/// Ends each endpoint that begins to run it.
pub const FATAL: &[u8] = b"a body that ends its endpoint";

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
/// Between two looks for new connections.
const LOOK: Duration = Duration::from_millis(2);

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
    down: Down,
    arrivals: Arrivals,
}

impl Crashing {
    /// One that notes fatal requests in `arrivals`, and is gone so after each.
    pub fn start(arrivals: &Arrivals, down: Down) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let life = Arc::new(Life {
            started: AtomicU64::new(1),
            connections: Mutex::default(),
            has_ended: Mutex::default(),
            down,
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

    /// Ends it, as if by itself.
    pub fn end(&self) {
        self.life.end();
    }
}

/// An address of the loopback that nothing else uses: while nothing listens there, its port may
/// not go to another test.
fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high.max(1), low, number)
}

impl Life {
    fn end(&self) {
        *self.has_ended.lock().unwrap() = true;
    }
}

fn live(life: &Arc<Life>, address: SocketAddr, mut listener: TcpListener) {
    loop {
        serve(life, &listener);
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
    while let Some((id, body)) = read(&mut stream) {
        if body == FATAL {
            life.arrivals.lock().unwrap().push(Instant::now());
            life.end();
            return;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Woodgap-Request: {id}\r\nX-Woodgap-Seal: s\r\n\
             Content-Length: 3\r\n\r\nyes"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The identity and the body of the next request.
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
    Some((header(&head, "x-woodgap-request"), body))
}
