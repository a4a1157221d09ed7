//! The link between one entry and one endpoint, which a test can cut.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rustix::net::sockopt;

use crate::loopback::own_ip;

/// How often a connection looks at how it is to behave.
const LOOK: Duration = Duration::from_millis(2);

/// What the link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Resets open connections and refuses new ones.
    Reset,
    /// Refuses new connections, and resets open ones once something is sent on them.
    ResetLater,
    /// Passes nothing on, and says nothing to new connections.
    Silent,
    /// Loses what is sent on open connections, and says nothing to new ones. Once it passes again, the
    /// senders send that anew, but for what they have reset.
    Lossy,
    /// Open connections live on, new ones are refused.
    OldOnly,
}

struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
}

struct State {
    mode: Mode,
    listener: Option<TcpListener>,
    /// Connections that fill the queue of a silent listener.
    fillers: Vec<TcpStream>,
    connections: usize,
    /// How many connections hold bytes that were lost.
    held: usize,
}

/// A link, which passes everything on at first.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Self {
        let listener = listen((own_ip(), 0).into());
        let address = listener.local_addr().unwrap();
        let state = Mutex::new(State {
            mode: Mode::Pass,
            listener: Some(listener),
            fillers: Vec::new(),
            connections: 0,
            held: 0,
        });
        let shared = Arc::new(Shared { target, state });
        let link = Self { address, shared };
        let accepting = link.clone();
        std::thread::spawn(move || accepting.accept());
        link
    }

    pub fn set(&self, mode: Mode) {
        let mut state = self.shared.lock();
        state.mode = mode;
        state.fillers.clear();
        match mode {
            Mode::Pass => {
                state.held = 0;
                let closed = state.listener.take();
                drop(closed);
                state.listener = Some(listen(self.address));
            }
            Mode::Reset | Mode::ResetLater | Mode::OldOnly => state.listener = None,
            Mode::Silent | Mode::Lossy => {
                let listener = state.listener.as_ref().expect("the link passed before");
                // A queue of one connection, which is then full: what else comes is dropped.
                rustix::net::listen(listener, 0).unwrap();
                let filler =
                    || TcpStream::connect_timeout(&self.address, Duration::from_millis(50));
                state.fillers = (0..3).filter_map(|_| filler().ok()).collect();
            }
        }
    }

    /// How many connections were made by way of the link.
    pub fn connections(&self) -> usize {
        self.shared.lock().connections
    }

    /// On how many connections bytes were lost since the link passed last.
    pub fn held(&self) -> usize {
        self.shared.lock().held
    }

    fn accept(&self) {
        loop {
            std::thread::sleep(LOOK);
            let mut state = self.shared.lock();
            if state.mode != Mode::Pass {
                continue;
            }
            let accepted = state.listener.as_ref().map(TcpListener::accept);
            let Some(Ok((stream, _))) = accepted else {
                continue;
            };
            state.connections += 1;
            drop(state);
            let shared = Arc::clone(&self.shared);
            std::thread::spawn(move || carry(&shared, stream));
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn carry(shared: &Shared, mut entry: TcpStream) {
    let Ok(mut endpoint) = TcpStream::connect(shared.target) else {
        return;
    };
    for stream in [&entry, &endpoint] {
        stream.set_nodelay(true).unwrap();
        stream.set_nonblocking(true).unwrap();
    }
    let mut has_lost = false;
    loop {
        let mode = shared.lock().mode;
        match mode {
            Mode::Lossy => {
                if !has_lost && entry.peek(&mut [0]).is_ok_and(|count| count > 0) {
                    has_lost = true;
                    shared.lock().held += 1;
                }
                std::thread::sleep(LOOK);
            }
            // What was lost is not sent again on a connection that was reset, nor does it end in order.
            Mode::Pass if has_lost && sockopt::socket_error(&entry).is_ok_and(|it| it.is_err()) => {
                return;
            }
            Mode::Reset => {
                let linger = Some(Duration::ZERO);
                sockopt::set_socket_linger(&entry, linger).unwrap();
                return;
            }
            Mode::ResetLater => match entry.peek(&mut [0]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    std::thread::sleep(LOOK);
                }
                _ => {
                    let linger = Some(Duration::ZERO);
                    sockopt::set_socket_linger(&entry, linger).unwrap();
                    return;
                }
            },
            Mode::Silent => std::thread::sleep(LOOK),
            Mode::Pass | Mode::OldOnly => {
                has_lost = false;
                let to_endpoint = pass(&mut entry, &mut endpoint);
                let to_entry = pass(&mut endpoint, &mut entry);
                match (to_endpoint, to_entry) {
                    (Err(()), _) | (_, Err(())) => return,
                    (Ok(false), Ok(false)) => std::thread::sleep(LOOK),
                    _ => {}
                }
            }
        }
    }
}

/// Passes on what has come. Returns whether something had; an error once either side has ended.
fn pass(from: &mut TcpStream, to: &mut TcpStream) -> Result<bool, ()> {
    let mut bytes = [0; 4096];
    match from.read(&mut bytes) {
        Ok(0) => Err(()),
        Ok(count) => to.write_all(&bytes[..count]).map(|()| true).map_err(|_| ()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(_) => Err(()),
    }
}
