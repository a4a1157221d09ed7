//! A loopback proxy whose connections misbehave as they are told.

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::record::Record;

/// How connections behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes go through at once.
    #[default]
    Pass,
    /// Bytes go through late.
    Delay(Duration),
    /// Connections are reset on both sides, open ones and new ones.
    Reset,
    /// What is sent to the target is held until the mode changes.
    HoldRequests,
    /// What the target sends is held until the mode changes.
    HoldAnswers,
    /// Both are held, and new connections do not reach the target.
    Silent,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToTarget,
    FromTarget,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::HoldRequests => way == Way::ToTarget,
            Self::HoldAnswers => way == Way::FromTarget,
            Self::Pass | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A proxy before one target.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Rc<watch::Sender<Mode>>,
    /// Faults that are in force: the last one to end lets all pass again.
    faults: Rc<Cell<u32>>,
}

impl Proxy {
    /// Starts a proxy, which notes each connection to its target that it resets.
    pub async fn start(target: SocketAddr, record: Record) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let (mode, _) = watch::channel(Mode::Pass);
        let proxy = Self {
            address,
            mode: Rc::new(mode),
            faults: Rc::default(),
        };
        actix_rt::spawn(accept(listener, target, Rc::clone(&proxy.mode), record));
        proxy
    }

    /// Begins a fault; one that begins later goes before it.
    pub fn begin(&self, mode: Mode) {
        self.faults.set(self.faults.get() + 1);
        self.mode.send_replace(mode);
    }

    /// Ends a fault.
    pub fn end(&self) {
        self.faults.set(self.faults.get() - 1);
        if self.faults.get() == 0 {
            self.mode.send_replace(Mode::Pass);
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: Rc<watch::Sender<Mode>>,
    record: Record,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let carrying = carry(stream, target, mode.subscribe(), record.clone());
        actix_rt::spawn(carrying);
    }
}

async fn carry(
    mut caller: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    record: Record,
) {
    let unsilenced = mode.wait_for(|mode| *mode != Mode::Silent).await;
    let first = unsilenced.map_or(Mode::Reset, |mode| *mode);
    if first == Mode::Reset {
        reset(&caller);
        return;
    }
    let Ok(mut target) = connect(&caller, target).await else {
        reset(&caller);
        return;
    };
    // Small messages are not to be held back by the proxy itself.
    if caller.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
        return;
    }
    let (from_caller, to_caller) = caller.split();
    let (from_target, to_target) = target.split();
    let requests = pump(mode.clone(), Way::ToTarget, from_caller, to_target);
    let answers = pump(mode.clone(), Way::FromTarget, from_target, to_caller);
    let end = tokio::select! {
        end = requests => end,
        end = answers => end,
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {
            // Noted before the target can see it.
            if let Ok(way) = target.local_addr() {
                record.reset(way);
            }
            End::Reset
        }
    };
    if end == End::Reset {
        reset(&caller);
        reset(&target);
    }
}

/// Connects from the address that the caller has, so that the target knows it by that.
async fn connect(caller: &TcpStream, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(caller.peer_addr()?.ip(), 0))?;
    socket.connect(target).await
}

/// How a connection ends: what one side sees, the other one is to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// Passes bytes on until either side ends; the connection then ends as a whole.
async fn pump(
    mut mode: watch::Receiver<Mode>,
    way: Way,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
) -> End {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return End::Reset;
        };
        let held = mode.wait_for(|mode| !mode.holds(way)).await;
        let Ok(now) = held.map(|mode| *mode) else {
            return End::Closed;
        };
        if let Mode::Delay(span) = now {
            tokio::time::sleep(span).await;
        }
        if count == 0 {
            return End::Closed;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return End::Reset;
        }
    }
}

/// Has a stream reset where it is dropped.
pub fn reset(stream: &TcpStream) {
    // A stream that can't be reset is closed, which callers take as well.
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
