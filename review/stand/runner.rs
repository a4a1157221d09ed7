//! A runner as a process of its own, so that it can crash: `stand runner ADDRESS ID`.
//!
//! Its answers have neither a length nor chunks and end with their connections. It prints a line
//! when it begins and ends a request. Told to leave by a line on its standard input, it says so in
//! all its answers from then on, serves on for a while, and ends. Told `end`, it says nothing.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use crate::base::{Reader, answer, note_process, serve, sleep};

/// The pieces of each answer, and the time between two of them.
pub const PIECES: usize = 40;
pub const PIECE_MS: u64 = 100;
/// How long it serves on once it leaves: `DrainMs`, and a little longer.
pub const LEAVE_MS: u64 = 2_250;

static IS_LEAVING: AtomicBool = AtomicBool::new(false);

pub fn run(address: &str, id: &str) -> ! {
    let listener = TcpListener::bind(address).expect("a runner's address is free");
    let own = id.to_owned();
    serve(listener, move |stream| {
        let _ = connection(&stream, &own);
    });
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
    IS_LEAVING.store(line.trim() != "end", Ordering::Relaxed);
    sleep(LEAVE_MS);
    println!("{id} ends");
    std::process::exit(0);
}

/// A piece of the body of an answer: an event of a stream, or a line.
pub fn piece(is_stream: bool, id: &str, index: usize) -> String {
    if is_stream {
        format!("id: {index}\ndata: {id} {index}\n\n")
    } else {
        format!("{id} {index}\n")
    }
}

pub fn whole_body(is_stream: bool, id: &str) -> String {
    (0..PIECES)
        .map(|index| piece(is_stream, id, index))
        .collect()
}

fn connection(stream: &TcpStream, own: &str) -> std::io::Result<()> {
    let mut reader = Reader::new(stream);
    let mut out = stream;
    while let Some(request) = reader.message(false)? {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.word(1) == "/health" {
            let status = if IS_LEAVING.load(Ordering::Relaxed) {
                503
            } else {
                200
            };
            out.write_all(&answer(status, &[("Instance-Id", own)], b""))?;
            continue;
        }
        if request
            .header("expect-instance")
            .is_some_and(|it| it != own)
        {
            out.write_all(&answer(
                421,
                &[("Request-Id", &id), ("Instance-Id", own)],
                b"",
            ))?;
            continue;
        }
        println!("{own} begins {id}");
        let is_stream = request.word(1).starts_with("/s/");
        let kind = if is_stream {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let leaving = if IS_LEAVING.load(Ordering::Relaxed) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\n{leaving}Connection: close\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for index in 0..PIECES {
            sleep(PIECE_MS);
            out.write_all(piece(is_stream, &id, index).as_bytes())?;
        }
        println!("{own} ends {id}");
        return Ok(());
    }
    Ok(())
}

/// A runner that a driver has started.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl Runner {
    pub fn start(ip: &str, id: &str, log: std::fs::File) -> Self {
        let address = format!("{ip}:8120");
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["runner", &address, id])
            .stdin(Stdio::piped())
            .stdout(Stdio::from(log))
            .spawn()
            .expect("a runner can be started");
        note_process(child.id());
        Self {
            id: id.to_owned(),
            address: address.parse().unwrap(),
            child,
        }
    }

    /// Tells it to leave, or to end without a word.
    pub fn leave(&mut self, is_said: bool) {
        if let Some(input) = self.child.stdin.as_mut() {
            let _ = input.write_all(if is_said { b"leave\n" } else { b"end\n" });
        }
    }

    /// SIGKILL.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
