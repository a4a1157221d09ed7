//! Callers that wait for 1.5 s, and come back once as they are told.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::System;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at};

use super::fleet::{Fleet, key, prefix};
use super::load::{Load, Request, Source};

/// How long a caller waits, with its retry.
pub const PATIENCE: Duration = Duration::from_millis(1_500);
/// The latency target.
pub const TARGET: Duration = Duration::from_millis(400);
/// Callers retry if the announced time is within this part of what they have left.
const RETURN_PART: u32 = 3;
/// The pause before the next entry is tried where one breaks the connection.
const NEXT_ENTRY: Duration = Duration::from_millis(1);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Answered(Times),
    /// Refused, with no time to retry or once more.
    Refused,
    /// Neither answered nor refused while the caller waited, or failed.
    Lost,
}

/// The times of an answer's first byte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// From the beginning of the load on.
    pub at: Duration,
    /// From the first time on that the caller sent the request.
    pub since_first: Duration,
    /// From the time on that the caller sent the request that was answered.
    pub since_last: Duration,
}

/// What became of a request, and whether its caller came back.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub request: Request,
    pub has_returned: bool,
    pub end: End,
}

/// Answers as callers see them.
struct Answer {
    status: u16,
    retry_after: Option<Duration>,
    first_byte: Instant,
}

/// What all callers know.
struct Scene {
    entries: Vec<SocketAddr>,
    began: Instant,
}

/// Sends all requests of a load; the first entry may be killed on the way.
pub fn play(load: &Load, fleet: Fleet, killed: Option<Duration>) -> Vec<Outcome> {
    System::new().block_on(async {
        let entries = fleet.entries.iter().map(|entry| entry.requests).collect();
        let scene = Rc::new(Scene {
            entries,
            began: Instant::now(),
        });
        let killing = actix_rt::spawn(kill(fleet, scene.began, killed));
        let mut calls = Vec::new();
        for request in &load.0 {
            sleep_until((scene.began + request.at).into()).await;
            let call = Rc::clone(&scene).call(*request);
            calls.push(actix_rt::spawn(call));
        }
        let mut outcomes = Vec::new();
        for call in calls {
            outcomes.push(call.await.unwrap());
        }
        drop(killing.await.unwrap());
        outcomes
    })
}

/// Kills one entry, if that is asked for, and keeps the others.
async fn kill(mut fleet: Fleet, began: Instant, killed: Option<Duration>) -> Fleet {
    if let Some(killed) = killed {
        sleep_until((began + killed).into()).await;
        fleet.entries[0].kill();
    }
    fleet
}

impl Scene {
    async fn call(self: Rc<Self>, request: Request) -> Outcome {
        let first = Instant::now();
        let deadline = first + PATIENCE;
        let has_returned = Cell::new(false);
        let calling = self.send_and_return(&request, first, &has_returned);
        let end = timeout_at(deadline.into(), calling).await;
        Outcome {
            request,
            has_returned: has_returned.get(),
            end: end.unwrap_or(End::Lost),
        }
    }

    async fn send_and_return(
        &self,
        request: &Request,
        first: Instant,
        has_returned: &Cell<bool>,
    ) -> End {
        let deadline = first + PATIENCE;
        let (mut sent, mut answer) = self.send(request, request.entries[0], deadline).await;
        if let Some(after) = answer.time_to_return(deadline) {
            sleep(after).await;
            has_returned.set(true);
            (sent, answer) = self.send(request, request.entries[1], deadline).await;
        }
        match answer.status {
            200 => End::Answered(Times {
                at: answer.first_byte - self.began,
                since_first: answer.first_byte - first,
                since_last: answer.first_byte - sent,
            }),
            503 => End::Refused,
            _ => End::Lost,
        }
    }

    /// Sends a request to an entry, and to the next ones where that has been killed. Returns also
    /// when it was first sent.
    async fn send(&self, request: &Request, entry: usize, deadline: Instant) -> (Instant, Answer) {
        let sent = Instant::now();
        for attempt in entry.. {
            let address = self.entries[attempt % self.entries.len()];
            if let Ok(answer) = exchange(address, request, attempt, deadline).await {
                return (sent, answer);
            }
            sleep(NEXT_ENTRY).await;
        }
        unreachable!("the caller leaves before")
    }
}

impl Answer {
    /// After which time a refused caller comes back, if it does.
    fn time_to_return(&self, deadline: Instant) -> Option<Duration> {
        let left = deadline.saturating_duration_since(Instant::now());
        let after = self.retry_after.filter(|_| self.status == 503)?;
        (after <= left / RETURN_PART).then_some(after)
    }
}

/// The head of a request, without the length of its body.
pub fn head(source: Source, id: &str, left: Duration) -> String {
    let (path, key) = (prefix(source.priority), key(source.workspace));
    format!(
        "POST {path} HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: {id}\r\n\
         Authorization: Bearer {key}\r\nConnection: close\r\nX-Woodgap-Patience-Ms: {}\r\n",
        left.as_millis()
    )
}

/// One request and its answer, on a connection of its own. A caller retry has the same body.
async fn exchange(
    entry: SocketAddr,
    request: &Request,
    attempt: usize,
    deadline: Instant,
) -> io::Result<Answer> {
    let left = deadline.saturating_duration_since(Instant::now());
    let id = format!("r{}-{attempt}", request.number);
    let body = format!("body {}", request.number);
    let head = head(request.source, &id, left);
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(text.as_bytes()).await?;
    let mut bytes = vec![0; 4_096];
    let count = stream.read(&mut bytes).await?;
    let first_byte = Instant::now();
    bytes.truncate(count);
    stream.read_to_end(&mut bytes).await?;
    parse(&bytes, first_byte).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn parse(bytes: &[u8], first_byte: Instant) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let millis = crate::endpoint::header(head, "retry-after-ms").parse().ok();
    Some(Answer {
        status,
        retry_after: millis.map(Duration::from_millis),
        first_byte,
    })
}
