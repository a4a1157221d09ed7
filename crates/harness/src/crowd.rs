//! A crowd of clients that don't behave.
//!
//! Each sends what its script says, byte for byte, stays open, and comes back a few times when its
//! connection is closed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How often a client comes back after its connection was closed.
const RETURNS: usize = 2;
/// A crowd in which nobody has got anything through for so long has done what it can.
const QUIET: Duration = Duration::from_secs(2);
/// The longest wait for a crowd that goes on.
const LONGEST: Duration = Duration::from_secs(30);
/// How often the crowd is looked at.
const PERIOD: Duration = Duration::from_millis(20);

/// What a client sends on each of its connections, in this order.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// What it begins with.
    pub first: Vec<u8>,
    /// What it goes on with, a piece at a time.
    pub piece: Vec<u8>,
    /// How many of these pieces.
    pub pieces: usize,
    /// What comes last; it stays open after that.
    pub last: Vec<u8>,
    /// Whether it leaves all answers unread.
    pub is_deaf: bool,
}

/// Counts of what a crowd has met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Connections that were opened.
    pub opened: usize,
    /// Scripts that were sent to their end.
    pub sent: usize,
    /// Connections that the other side has ended.
    pub closed: usize,
}

#[derive(Debug, Default)]
struct Progress {
    latest: Cell<Option<Instant>>,
    over: Cell<usize>,
    summary: RefCell<Summary>,
}

impl Progress {
    fn mark(&self) {
        self.latest.set(Some(Instant::now()));
    }
}

/// A crowd that stays until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    progress: Rc<Progress>,
    members: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Sends so many clients to this address.
    pub fn send(address: SocketAddr, count: usize, script: &Script) -> Self {
        let progress = Rc::new(Progress::default());
        progress.mark();
        let script = Rc::new(script.clone());
        let members = (0..count).map(|_| {
            let (script, progress) = (Rc::clone(&script), Rc::clone(&progress));
            actix_rt::spawn(async move { come(address, &script, &progress).await })
        });
        Self {
            members: members.collect(),
            progress,
        }
    }

    /// Waits until nobody in the crowd gets any further.
    pub async fn settled(&self) {
        let begun = Instant::now();
        while self.progress.over.get() < self.members.len() && begun.elapsed() < LONGEST {
            let latest = self.progress.latest.get();
            if latest.is_none_or(|latest| latest.elapsed() > QUIET) {
                break;
            }
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// What it has met so far.
    pub fn summary(&self) -> Summary {
        *self.progress.summary.borrow()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for member in &self.members {
            member.abort();
        }
    }
}

async fn come(address: SocketAddr, script: &Script, progress: &Progress) {
    for _ in 0..=RETURNS {
        let Ok(stream) = TcpStream::connect(address).await else {
            continue;
        };
        progress.mark();
        progress.summary.borrow_mut().opened += 1;
        play(stream, script, progress).await;
        progress.mark();
        progress.summary.borrow_mut().closed += 1;
    }
    progress.over.set(progress.over.get() + 1);
}

/// Plays the script, and stays until the other side has ended the connection.
async fn play(mut stream: TcpStream, script: &Script, progress: &Progress) {
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        if send(&mut writer, script, progress).await.is_some() {
            progress.summary.borrow_mut().sent += 1;
            std::future::pending::<()>().await;
        }
    };
    let reading = async {
        if script.is_deaf {
            std::future::pending::<()>().await;
        }
        let mut bytes = [0; 4096];
        while reader.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
    };
    tokio::select! {
        () = sending => {}
        () = reading => {}
    }
}

/// Sends the script; `None` if the connection ends before.
async fn send(
    writer: &mut (impl AsyncWriteExt + Unpin),
    script: &Script,
    progress: &Progress,
) -> Option<()> {
    let pieces = std::iter::repeat_n(&script.piece, script.pieces);
    for piece in [&script.first]
        .into_iter()
        .chain(pieces)
        .chain([&script.last])
    {
        let mut left = piece.as_slice();
        while !left.is_empty() {
            let count = writer.write(left).await.ok().filter(|count| *count > 0)?;
            progress.mark();
            left = &left[count..];
        }
        tokio::task::yield_now().await;
    }
    Some(())
}
