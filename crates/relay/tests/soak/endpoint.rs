//! A stand-in endpoint: it records each run, and answers well, badly or not at all.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use woodgap_core::relay::Work;
use woodgap_harness::until;

use crate::caller::WORK;
use crate::process::life_of;
use crate::proxy::reset;
use crate::record::{Arrival, Outcome, Record};
use crate::streams;

/// The longest time that it works on a request, in ms.
const LONGEST_WORK: u64 = 150;
/// The time between two events of a stream.
pub const GAP: Duration = Duration::from_millis(15);
/// Says how many events a stream is to have.
pub const EVENTS: &str = "x-soak-events";
/// Says that the request ends the endpoint that begins to run it.
pub const FATAL: &str = "x-soak-fatal";
/// A part of prompts that ends each endpoint that begins to answer, unless it is the last one.
pub const FATAL_PART: u64 = 0xfa7a;
/// The part of the streams that end with their connections, and of those that break off inside an
/// event, of those whose framing says that they are whole.
const CLOSED: f64 = 0.2;
const FALSELY_WHOLE: f64 = 0.5;
/// The back-off that an overloaded endpoint asks for.
pub const BACK_OFF: Duration = Duration::from_secs(2);
/// How many requests a brittle endpoint runs at once; each of them is listed so.
pub const SLOTS: u32 = 8;
/// How many requests a brittle endpoint says that it can turn away in a second.
pub const BORNE: usize = 6;
/// Of so many requests one meets a [`Mishap`].
const ONE_BAD: u32 = 6;

/// What may become of a request, other than a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mishap {
    /// It is declined and does not run.
    Declined,
    /// It runs, and an error is told.
    Failed,
    /// It runs, and its answer is lost with the connection.
    Lost,
    /// It runs, and its answer is cut off midway.
    Cut,
    /// It runs, and what comes is no answer.
    Garbled,
    /// It runs, and an answer to no request follows its own.
    Surplus,
}

impl Mishap {
    const ALL: [Self; 6] = [
        Self::Declined,
        Self::Failed,
        Self::Lost,
        Self::Cut,
        Self::Garbled,
        Self::Surplus,
    ];
}

/// An endpoint that may start again at its address, and runs until the test ends.
#[derive(Clone)]
pub struct Endpoint {
    name: String,
    /// Where it listens.
    pub address: SocketAddr,
    random: Rc<RefCell<ChaCha8Rng>>,
    /// For what was added later, so that the draws of the other one stay as they are.
    more: Rc<RefCell<ChaCha8Rng>>,
    record: Record,
    /// Which of its lives this is, from 0.
    life: Rc<watch::Sender<u64>>,
    /// Tells the name of the endpoint that a request has ended.
    ended: UnboundedSender<String>,
    /// How many requests per second it takes from all entries together.
    limit: Rc<Cell<Option<f64>>>,
    /// Whether its answers say that it is leaving.
    is_leaving: Rc<Cell<bool>>,
    /// Whether it turns every request away, and asks for a back-off.
    is_overloaded: Rc<Cell<bool>>,
    /// Whether it runs no more than its slots, and says that it fails if it turns many away.
    is_brittle: Rc<Cell<bool>>,
    /// The versions that its lives have in turn; none if its rows name none.
    versions: &'static [&'static str],
    running: Rc<Cell<u32>>,
}

/// A request that runs, until dropped.
struct Running(Rc<Cell<u32>>);

impl Running {
    fn begin(running: &Rc<Cell<u32>>) -> Self {
        running.set(running.get() + 1);
        Self(Rc::clone(running))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What an answer names besides its status and body.
struct Names<'a> {
    /// The request that it answers.
    id: &'a str,
    endpoint: &'a str,
    version: &'a str,
    /// Further headers, each with its end of line.
    headers: String,
}

impl Endpoint {
    /// Starts an endpoint.
    pub async fn start(
        name: String,
        seed: u64,
        record: Record,
        ended: UnboundedSender<String>,
        versions: &'static [&'static str],
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("loopback has a free port");
        let (life, _) = watch::channel(0);
        let mut more = ChaCha8Rng::seed_from_u64(seed);
        more.set_stream(1);
        let endpoint = Self {
            name,
            address: listener.local_addr().expect("it is bound"),
            random: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            more: Rc::new(RefCell::new(more)),
            record,
            life: Rc::new(life),
            ended,
            limit: Rc::default(),
            is_leaving: Rc::default(),
            is_overloaded: Rc::default(),
            is_brittle: Rc::default(),
            versions,
            running: Rc::default(),
        };
        actix_rt::spawn(endpoint.clone().accept(listener));
        endpoint
    }

    /// Which of its lives this is.
    pub fn life(&self) -> u64 {
        *self.life.borrow()
    }

    /// The software version of one of its lives; empty if its rows name none.
    pub fn version(&self, life: u64) -> &'static str {
        let count = self.versions.len().max(1) as u64;
        let at = usize::try_from(life % count).expect("versions are few");
        self.versions.get(at).copied().unwrap_or_default()
    }

    /// Has its answers name a rate limit, or none.
    pub fn name_limit(&self, per_second: Option<f64>) {
        self.limit.set(per_second);
    }

    /// Has its answers say that it is leaving.
    pub fn say_leaving(&self) {
        self.record.serves_no_more(&self.name);
        self.is_leaving.set(true);
    }

    /// Has it turn every request away, or serve again.
    pub fn overload(&self, is_overloaded: bool) {
        self.is_overloaded.set(is_overloaded);
    }

    /// Has it be brittle, or run any number of requests at once.
    pub fn set_brittle(&self, is_brittle: bool) {
        self.is_brittle.set(is_brittle);
    }

    /// The headers in which its answers say what it asks for.
    fn headers(&self) -> String {
        let limit = self.limit.get();
        let limit = limit.map(|limit| format!("X-Woodgap-Rate-Limit: {limit}\r\n"));
        let leaving = self.is_leaving.get().then_some("X-Woodgap-Leaving: 1\r\n");
        let brittle = self.is_brittle.get();
        let brittle = brittle.then(|| format!("X-Woodgap-Brittle: {BORNE}\r\n"));
        limit.unwrap_or_default() + leaving.unwrap_or_default() + &brittle.unwrap_or_default()
    }

    /// Ends its life: it listens no more, and all its connections are reset.
    pub fn stop(&self) {
        self.record.serves_no_more(&self.name);
        self.life.send_modify(|life| *life += 1);
    }

    /// Listens again, in the life that the last stop has begun.
    pub async fn resume(&self) {
        let listener = until("the address is free again", async || {
            TcpListener::bind(self.address).await.ok()
        });
        actix_rt::spawn(self.clone().accept(listener.await));
    }

    fn draw_framing(&self) -> Framing {
        let mut more = self.more.borrow_mut();
        if more.random_bool(CLOSED) {
            Framing::Close
        } else if more.random_bool(FALSELY_WHOLE) {
            Framing::FalselyWhole
        } else {
            Framing::Chunks
        }
    }

    async fn accept(self, listener: TcpListener) {
        let own = self.life();
        let mut life = self.life.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = life.wait_for(|life| *life != own) => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { return };
            actix_rt::spawn(self.clone().serve(stream, own));
        }
    }

    /// Serves a connection until either side ends it, or the life in which it was taken is
    /// over.
    async fn serve(self, mut stream: TcpStream, own: u64) {
        let Ok(way) = stream.peer_addr() else { return };
        let mut life = self.life.subscribe();
        let is_over = tokio::select! {
            biased;
            _ = life.wait_for(|life| *life != own) => true,
            () = self.answer_all(&mut stream, own) => false,
        };
        if is_over {
            // Noted before the other side can see it.
            self.record.reset(way);
            reset(&stream);
        }
    }

    async fn answer_all(&self, stream: &mut TcpStream, life: u64) {
        while let Some(head) = read(stream).await {
            if self.answer(stream, &head, life).await.is_none() {
                return;
            }
        }
    }

    async fn answer(&self, stream: &mut TcpStream, head: &str, life: u64) -> Option<()> {
        let id = header(head, "x-woodgap-request");
        let (mishap, work) = {
            let mut random = self.random.borrow_mut();
            let is_bad = random.random_ratio(1, ONE_BAD);
            let mishap = Mishap::ALL.choose(&mut *random).copied();
            let work = random.random_range(1..=LONGEST_WORK);
            (mishap.filter(|_| is_bad), work)
        };
        let version = self.version(life);
        let is_meant = header(head, "x-woodgap-endpoint") == self.name
            && header(head, "x-woodgap-version") == version;
        if !is_meant {
            return send(stream, &refusal(421, &id, "")).await;
        }
        let free_slots = SLOTS.saturating_sub(self.running.get());
        let free_slots = self.is_brittle.get().then_some(free_slots);
        let way = stream.peer_addr().ok()?;
        self.record.arrived(Arrival {
            request: id.clone(),
            sender: life_of(way.ip()).expect("processes have addresses of their own"),
            endpoint: (self.name.clone(), life),
            at: Instant::now(),
            limit: self.limit.get(),
            is_leaving: self.is_leaving.get(),
            is_turned_away: self.is_overloaded.get(),
            free_slots,
        });
        let names = Names {
            id: &id,
            endpoint: &self.name,
            version,
            headers: self.headers(),
        };
        if self.is_overloaded.get() {
            let headers = format!("{}Retry-After: {}\r\n", names.headers, BACK_OFF.as_secs());
            return send(stream, &refusal(503, &id, &headers)).await;
        }
        if mishap == Some(Mishap::Declined) || free_slots == Some(0) {
            return send(stream, &refusal(503, &id, &names.headers)).await;
        }
        let _running = Running::begin(&self.running);
        let run = self.record.runs(&id, &self.name, life, way);
        let framing = self.draw_framing();
        let has_fatal_part = has_fatal_part(head);
        if !header(head, FATAL).is_empty() || has_fatal_part {
            self.record.has_run(&id, run, Outcome::Badly);
            self.record.fatal(&id);
            if has_fatal_part {
                let answer = broken_off(&names, framing);
                // What is under way is lost with the endpoint.
                let _ = send(stream, &answer).await;
            }
            self.stop();
            // Nobody waits for it once the run is over.
            let _ = self.ended.send(self.name.clone());
            return None;
        }
        let is_bad = mishap.is_some_and(|mishap| mishap != Mishap::Surplus);
        let own = if is_bad {
            Outcome::Badly
        } else {
            Outcome::Well
        };
        let running = async {
            pause(stream, Duration::from_millis(work)).await?;
            carry_out(stream, head, &names, framing, mishap).await
        };
        let step = running.await;
        let outcome = step.map_or(Outcome::Left, |_| own);
        self.record.has_run(&id, run, outcome);
        match step? {
            After::Keep => Some(()),
            After::Close => None,
            After::Surplus => send(stream, &failure("nobody", &names.headers)).await,
        }
    }
}

/// How a stream says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunks,
    /// It ends with its connection.
    Close,
    /// As chunks, and one that breaks off inside an event has a last chunk.
    FalselyWhole,
}

impl Framing {
    fn headers(self) -> &'static str {
        match self {
            Self::Chunks | Self::FalselyWhole => "Transfer-Encoding: chunked\r\n",
            Self::Close => "",
        }
    }

    fn frame(self, event: &str) -> String {
        match self {
            Self::Chunks | Self::FalselyWhole => format!("{:x}\r\n{event}\r\n", event.len()),
            Self::Close => event.to_owned(),
        }
    }
}

/// Whether the prompt holds the part that ends endpoints, other than as its last one.
fn has_fatal_part(head: &str) -> bool {
    let work: Option<Work> = serde_json::from_str(&header(head, WORK)).ok();
    let work = work.unwrap_or_default();
    let mut parts = work.shared_parts().iter();
    parts.any(|part| part.id == FATAL_PART)
}

fn head_of_events(names: &Names<'_>, framing: Framing) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Woodgap-Request: {}\r\nX-Woodgap-Seal: s\r\n{}\
         Content-Type: text/event-stream\r\n{}\r\n",
        names.id,
        names.headers,
        framing.headers()
    )
}

/// A stream that breaks off inside its first event.
fn broken_off(names: &Names<'_>, framing: Framing) -> String {
    let half = framing.frame(half_of(&event(names.id, 0)));
    let end = if framing == Framing::FalselyWhole {
        LAST_CHUNK
    } else {
        ""
    };
    head_of_events(names, framing) + &half + end
}

fn half_of(event: &str) -> &str {
    &event[..event.len() / 2]
}

const LAST_CHUNK: &str = "0\r\n\r\n";

/// What an answer to a request must hold, whichever endpoint gave it.
pub fn body(id: &str, endpoint: &str) -> String {
    format!("{id} by {endpoint} {}", "x".repeat(id.len() * 37 % 900))
}

/// The events of a stream.
pub fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

/// The events of a stream that may be taken up; `first` is its first attempt.
pub fn versioned_event(first: &str, number: usize, version: &str) -> String {
    format!("id: {number}\ndata: {first}-{number} {version}\n\n")
}

/// What becomes of the connection after a run that went to its end.
#[derive(Clone, Copy)]
enum After {
    Keep,
    Close,
    Surplus,
}

/// Answers a request that runs; none if the other side left meanwhile.
async fn carry_out(
    stream: &mut TcpStream,
    head: &str,
    names: &Names<'_>,
    framing: Framing,
    mishap: Option<Mishap>,
) -> Option<After> {
    let Names {
        id,
        endpoint,
        headers,
        ..
    } = names;
    match mishap {
        Some(Mishap::Failed) => {
            send(stream, &failure(id, headers)).await?;
            return Some(After::Keep);
        }
        Some(Mishap::Lost) => return Some(After::Close),
        Some(Mishap::Garbled) => {
            send(stream, "these bytes are no answer\r\n\r\n").await?;
            return Some(After::Close);
        }
        _ => {}
    }
    if let Ok(count) = header(head, EVENTS).parse() {
        return events(stream, head, names, framing, count, mishap).await;
    }
    let body = body(id, endpoint);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Woodgap-Request: {id}\r\nX-Woodgap-Seal: {endpoint}\r\n{headers}\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    if mishap == Some(Mishap::Cut) {
        send(stream, &(head + &body[..body.len() / 2])).await?;
        return Some(After::Close);
    }
    send(stream, &(head + &body)).await?;
    let is_surplus = mishap == Some(Mishap::Surplus);
    Some(if is_surplus {
        After::Surplus
    } else {
        After::Keep
    })
}

async fn events(
    stream: &mut TcpStream,
    request: &str,
    names: &Names<'_>,
    framing: Framing,
    count: usize,
    mishap: Option<Mishap>,
) -> Option<After> {
    let Names { id, version, .. } = names;
    let last: Option<usize> = header(request, "last-event-id").parse().ok();
    let first = Some(header(request, "x-woodgap-resumes")).filter(|it| !it.is_empty());
    let first = first.as_deref().unwrap_or(id);
    let is_versioned = request.starts_with(&format!("GET {} ", streams::PATH));
    send(stream, &head_of_events(names, framing)).await?;
    for number in last.map_or(0, |last| last + 1)..count {
        let event = if is_versioned {
            versioned_event(first, number, version)
        } else {
            event(id, number)
        };
        if mishap == Some(Mishap::Cut) && number == count / 2 {
            // One that ends with its connection would look whole between two events.
            if framing != Framing::Chunks {
                send(stream, &framing.frame(half_of(&event))).await?;
            }
            if framing == Framing::FalselyWhole {
                send(stream, LAST_CHUNK).await?;
            }
            return Some(After::Close);
        }
        send(stream, &framing.frame(&event)).await?;
        pause(stream, GAP).await?;
    }
    if framing == Framing::Close {
        return Some(After::Close);
    }
    send(stream, LAST_CHUNK).await?;
    Some(After::Keep)
}

/// Waits, unless the other side leaves meanwhile.
async fn pause(stream: &TcpStream, span: Duration) -> Option<()> {
    let waiting = tokio::time::sleep(span);
    tokio::pin!(waiting);
    let mut unasked = [0];
    tokio::select! {
        () = &mut waiting => return Some(()),
        seen = stream.peek(&mut unasked) => {
            if !seen.is_ok_and(|count| count > 0) {
                return None;
            }
        }
    }
    waiting.await;
    Some(())
}

fn failure(id: &str, headers: &str) -> String {
    format!("HTTP/1.1 500 X\r\nX-Woodgap-Request: {id}\r\n{headers}Content-Length: 0\r\n\r\n")
}

fn refusal(status: u16, id: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nX-Woodgap-Request: {id}\r\nX-Woodgap-Verdict: not_run\r\n\
         {headers}Content-Length: 0\r\n\r\n"
    )
}

async fn send(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// Reads a request to its end; gives back its head.
async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    loop {
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header(&head, "content-length").parse().unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                return Some(head);
            }
        }
        let count = stream.read(&mut piece).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&piece[..count]);
    }
}

fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values
        .next()
        .map_or_else(String::new, |(_, value)| value.to_owned())
}
