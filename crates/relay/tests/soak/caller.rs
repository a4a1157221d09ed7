//! Callers: they keep connections open, and check each answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_rt::task::JoinHandle;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_core::fingerprint::{self, Fingerprint};
use woodgap_core::relay::Work;
use woodgap_core::relay::work::Part;
use woodgap_relay::upstream::{Connection, Head, connection};

use crate::endpoint;
use crate::entries::Entries;
use crate::record::{End, Kind, Problem, Record, Sent};

/// The keys of the two workspaces; the second one is removed in some runs.
pub const KEYS: [&str; 2] = ["key-of-the-first", "key-of-the-second"];
/// How long a caller waits, as it tells.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long the routes of all but long streams let a request take.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a caller waits for a long stream at most, which is also what its route allows.
pub const LONG_PATIENCE: Duration = Duration::from_secs(12);
/// How long callers keep a list of entries at most, as callers of the service do.
pub const LIST_LIFE: Duration = Duration::from_secs(3);
/// Events of a usual stream, and of a long one: they last up to 0.2 s, and 1 to 6 s.
const EVENTS: usize = 12;
const LONG_EVENTS: std::ops::RangeInclusive<usize> = 66..=400;
/// Of so many streams one is long.
const ONE_LONG: u32 = 10;
/// What a caller may wait for a long stream above the time that its events take.
const SPARE: Duration = Duration::from_millis(1_500);
/// When callers come to a stopping entry, besides all others, in ms after the order.
const LATE: std::ops::Range<u64> = 2_500..4_800;
/// The part of these that want a long stream.
const LATE_LONG: f64 = 0.5;
/// How long the others wait, in ms: an entry can finish what is over so soon.
const LATE_PATIENCE: std::ops::Range<u64> = 200..1_200;
/// How long it waits in truth: an entry that stands still for that long has been
/// frozen, and its callers leave.
const GIVE_UP: Duration = Duration::from_secs(20);
/// The part of its requests for which a caller opens a new connection.
const NEW_CONNECTIONS: f64 = 0.2;
/// The part of its requests that a caller sends with the second key.
const SECOND_KEY: f64 = 0.3;
/// The pause between two sends of what ends endpoints, in ms.
const FATAL_PAUSE: std::ops::Range<u64> = 100..600;
/// The body of what ends endpoints.
const FATAL_BODY: &[u8] = b"the same each time";
/// Says what a request asks of an engine.
pub const WORK: &str = "x-woodgap-work";
/// A part that the prompts of all short streams hold, those that end endpoints among them.
const SHARED_PART: u64 = 0x5a;
/// The longest pause between two requests of a caller, in ms.
const LONGEST_PAUSE: u64 = 30;
/// The largest body that is read, in bytes.
const MOST_BYTES: usize = 64 * 1024;

/// Which entries a caller opens connections to.
#[derive(Clone, Copy, Debug)]
enum List {
    /// Those that are not stopping.
    Fresh,
    /// Those of a list that may be some seconds old.
    Held,
    /// All whose processes are still there.
    Stale,
}

impl List {
    /// Half of the callers have fresh lists.
    const ALL: [Self; 4] = [Self::Fresh, Self::Fresh, Self::Held, Self::Stale];

    fn age(self, random: &mut ChaCha8Rng) -> Duration {
        match self {
            Self::Fresh => Duration::ZERO,
            Self::Held => random.random_range(Duration::ZERO..=LIST_LIFE),
            Self::Stale => Duration::MAX,
        }
    }
}

/// What a caller wants.
#[derive(Clone, Copy, Debug)]
struct Order {
    kind: Kind,
    key: &'static str,
    /// How many events a stream is to have.
    events: usize,
    patience: Duration,
    /// Whether it ends the endpoint that runs it, and by what.
    fatal: Option<Fatal>,
}

/// What ends endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fatal {
    /// One request, sent again and again.
    Request,
    /// A part of the prompts of streams, no two alike.
    Part,
}

impl Order {
    fn short(kind: Kind, key: &'static str) -> Self {
        Self {
            kind,
            key,
            events: EVENTS,
            patience: PATIENCE,
            fatal: None,
        }
    }

    /// A long stream, half of the time with hardly more patience than it needs.
    fn long(key: &'static str, random: &mut ChaCha8Rng) -> Self {
        let events = random.random_range(LONG_EVENTS);
        let count = u32::try_from(events).expect("events are few");
        let is_hasty = random.random_bool(0.5);
        let hasty = (endpoint::GAP * count + SPARE).min(LONG_PATIENCE);
        Self {
            kind: Kind::Long,
            key,
            events,
            patience: if is_hasty { hasty } else { LONG_PATIENCE },
            fatal: None,
        }
    }

    /// How long it may take, by its caller and its route.
    fn allowed(&self) -> Duration {
        match self.kind {
            Kind::Long => self.patience.min(LONG_PATIENCE),
            _ => self.patience.min(ROUTE_TIMEOUT),
        }
    }
}

/// What a caller needs to send requests and to tell of their ends.
#[derive(Clone)]
struct Desk {
    record: Record,
    entries: Entries,
}

/// A caller.
pub struct Caller {
    name: String,
    random: ChaCha8Rng,
    /// For what was added later, so that the draws of the other one stay as they are.
    more: ChaCha8Rng,
    list: List,
    desk: Desk,
    kept: Option<(Connection, usize)>,
    /// Long streams, beside which the caller goes on.
    long: Vec<JoinHandle<()>>,
    next: u64,
}

impl Caller {
    /// A caller with a name of its own.
    pub fn new(name: String, seed: u64, record: Record, entries: Entries) -> Self {
        let mut more = ChaCha8Rng::seed_from_u64(seed);
        more.set_stream(1);
        let list = *List::ALL.choose(&mut more).expect("there are lists");
        Self {
            name,
            random: ChaCha8Rng::seed_from_u64(seed),
            more,
            list,
            desk: Desk { record, entries },
            kept: None,
            long: Vec::new(),
            next: 0,
        }
    }

    /// Sends requests until the run is over; leaves long streams that last even then.
    pub async fn run(mut self) {
        while !self.desk.entries.is_over() {
            let pause = self.random.random_range(0..=LONGEST_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.send_one().await;
        }
        for long in self.long {
            long.abort();
        }
    }

    async fn send_one(&mut self) {
        let Some((connection, life)) = self.connect().await else {
            return;
        };
        self.next += 1;
        let id = format!("{}-{}", self.name, self.next);
        let kind = *Kind::ALL.choose(&mut self.random).expect("there are kinds");
        let key = KEYS[usize::from(self.random.random_bool(SECOND_KEY))];
        if kind == Kind::Stream && self.more.random_ratio(1, ONE_LONG) {
            let order = Order::long(key, &mut self.more);
            let desk = self.desk.clone();
            let sending = actix_rt::spawn(async move {
                desk.send(connection, life, &id, order).await;
            });
            self.long.push(sending);
            return;
        }
        let order = Order::short(kind, key);
        let connection = self.desk.send(connection, life, &id, order).await;
        self.kept = connection.map(|connection| (connection, life));
    }

    /// A kept connection, also to an entry that is stopping, or a new one to an entry
    /// that takes callers.
    async fn connect(&mut self) -> Option<(Connection, usize)> {
        let wants_new = self.random.random_bool(NEW_CONNECTIONS);
        if let Some((connection, life)) = self.kept.take()
            && connection.is_reusable()
            && !wants_new
        {
            return Some((connection, life));
        }
        let age = self.list.age(&mut self.more);
        let listed = self.desk.entries.listed(age);
        let (address, life) = *listed.choose(&mut self.random)?;
        let connection = Connection::open(address).await.ok()?;
        Some((connection, life))
    }
}

impl Desk {
    /// Sends a request to a process and notes its end; gives back the connection if it can
    /// be used again.
    async fn send(
        &self,
        connection: Connection,
        life: usize,
        id: &str,
        order: Order,
    ) -> Option<Connection> {
        let was_refused = self.entries.has_refused(life, order.key);
        let sent = Sent {
            kind: order.kind,
            key: order.key,
            life,
            at: Instant::now(),
            patience: order.allowed(),
            end: None,
            ended: None,
        };
        self.record.sent(id, sent);
        let asking = ask(connection, order, id, &self.record);
        let (end, connection) = tokio::time::timeout(GIVE_UP, asking).await.ok()?;
        self.record.ended(id, end);
        match end {
            End::Answered(401) => self.entries.refused(life, order.key),
            End::Answered(200) if was_refused => {
                let problem = Problem::WentBack(id.to_owned(), life);
                self.record.broken(problem);
            }
            End::Nothing
                if self.record.count_runs(id) > 0 && self.must_answer(order.kind, life) =>
            {
                let problem = Problem::Dropped(id.to_owned(), life);
                self.record.broken(problem);
            }
            _ => {}
        }
        connection
    }

    /// Whether a process may leave no request of this kind without an answer at all. One
    /// that was hurt may, and a stopping one long streams; when, is judged with the other
    /// promises of a stop.
    fn must_answer(&self, kind: Kind, life: usize) -> bool {
        let is_bound = kind != Kind::Long || self.entries.told(life).is_none();
        is_bound && !self.entries.is_hurt(life)
    }
}

/// Comes late to a process that was just told to stop, on a connection of its own.
pub async fn come_late(
    (address, life): (SocketAddr, usize),
    id: String,
    seed: u64,
    record: Record,
    entries: Entries,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let after = random.random_range(LATE);
    let order = if random.random_bool(LATE_LONG) {
        Order::long(KEYS[0], &mut random)
    } else {
        let kind = *Kind::ALL.choose(&mut random).expect("there are kinds");
        let patience = random.random_range(LATE_PATIENCE);
        Order {
            patience: Duration::from_millis(patience),
            ..Order::short(kind, KEYS[0])
        }
    };
    tokio::time::sleep(Duration::from_millis(after)).await;
    let Ok(connection) = Connection::open(address).await else {
        return;
    };
    let desk = Desk { record, entries };
    desk.send(connection, life, &id, order).await;
}

/// Sends what ends the endpoints which run it, again and again, each time under a new identity and
/// at any entry that takes callers.
pub async fn send_fatal(name: String, seed: u64, fatal: Fatal, record: Record, entries: Entries) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let kind = *Kind::ALL.choose(&mut random).expect("there are kinds");
    let kind = match fatal {
        Fatal::Request => kind,
        Fatal::Part => Kind::Stream,
    };
    let order = Order {
        fatal: Some(fatal),
        ..Order::short(kind, KEYS[0])
    };
    let pause = Duration::from_millis(random.random_range(FATAL_PAUSE));
    let desk = Desk { record, entries };
    for number in 0.. {
        tokio::time::sleep(pause).await;
        if desk.entries.is_over() {
            return;
        }
        let Some((address, life)) = desk.entries.open().choose(&mut random).copied() else {
            continue;
        };
        if let Ok(connection) = Connection::open(address).await {
            let id = format!("{name}-{number}");
            desk.send(connection, life, &id, order).await;
        }
    }
}

/// Sends a request and checks its answer; gives back the connection if it can be
/// used again.
async fn ask(
    mut connection: Connection,
    order: Order,
    id: &str,
    record: &Record,
) -> (End, Option<Connection>) {
    let body = body(order, id);
    let head = request(order, id);
    let Ok(answer) = connection.exchange(&head, body).await else {
        return (End::Nothing, None);
    };
    let status = answer.status.as_u16();
    if answer.header_str("x-woodgap-request") != Some(id) {
        record.broken(Problem::Foreign(id.to_owned(), "identity".to_owned()));
    }
    let (got, is_whole) = read(&mut connection, &answer).await;
    if status == 200
        && let Some(wrong) = check(order, id, &answer, &got, is_whole)
    {
        record.broken(Problem::Foreign(id.to_owned(), wrong.to_owned()));
    }
    if !is_whole {
        return (End::Cut, None);
    }
    if status == 503 && !is_plain_refusal(&answer, &got) {
        record.broken(Problem::Unsaid(id.to_owned()));
    }
    if status != 200 && order.fatal.is_none() && is_withheld(&got) {
        record.broken(Problem::Withheld(id.to_owned()));
    }
    connection.release_buffer();
    let kept = connection.is_reusable().then_some(connection);
    (End::Answered(status), kept)
}

/// Whether a refusal says that the request has not run, and when to come back.
fn is_plain_refusal(answer: &Head, got: &[u8]) -> bool {
    let body: Option<serde_json::Value> = serde_json::from_slice(got).ok();
    let says_so = body.is_some_and(|body| body["verdict"] == "not_run");
    says_so && answer.header_str("retry-after").is_some()
}

fn is_withheld(got: &[u8]) -> bool {
    let body: Option<serde_json::Value> = serde_json::from_slice(got).ok();
    body.is_some_and(|body| body["error"] == "withheld")
}

fn body(order: Order, id: &str) -> &[u8] {
    if order.fatal == Some(Fatal::Request) {
        FATAL_BODY
    } else {
        id.as_bytes()
    }
}

fn request(order: Order, id: &str) -> bytes::BytesMut {
    let length = body(order, id).len().to_string();
    let key = format!("Bearer {}", order.key);
    let patience = order.patience.as_millis().to_string();
    let events = order.events.to_string();
    let mut headers = vec![
        ("Host", b"album.example".as_slice()),
        ("X-Woodgap-Request", id.as_bytes()),
        ("X-Woodgap-Patience-Ms", patience.as_bytes()),
        ("Authorization", key.as_bytes()),
        ("Content-Length", length.as_bytes()),
    ];
    // Plain requests have no events.
    if matches!(order.kind, Kind::Stream | Kind::Long) {
        headers.push((endpoint::EVENTS, events.as_bytes()));
    }
    if order.fatal == Some(Fatal::Request) {
        headers.push((endpoint::FATAL, b"1"));
    }
    let work = work(order, id);
    if order.kind == Kind::Stream {
        headers.push((WORK, work.as_bytes()));
    }
    connection::request_head(&Method::POST, order.kind.path(), headers)
}

/// The prompt of a stream, as it tells: a part that others share, perhaps one that ends endpoints,
/// and its own.
fn work(order: Order, id: &str) -> String {
    let own = Fingerprint::of(&fingerprint::Request {
        caller: "",
        method: "",
        host: "",
        target: "",
        body: id.as_bytes(),
    });
    let mut parts = vec![SHARED_PART, own.key()];
    if order.fatal == Some(Fatal::Part) {
        parts.insert(
            usize::from(own.key().is_multiple_of(2)),
            endpoint::FATAL_PART,
        );
    }
    let parts = parts.into_iter().map(|id| Part { id, tokens: 100 });
    let work = Work {
        prompt_tokens: 200,
        output_limit: 12,
        output_hint: None,
        parts: parts.collect(),
    };
    serde_json::to_string(&work).expect("work is JSON")
}

/// The body as far as it came, and whether that is all of it.
async fn read(connection: &mut Connection, answer: &Head) -> (Vec<u8>, bool) {
    let Ok(mut framing) = answer.framing(&Method::POST) else {
        return (Vec::new(), false);
    };
    let mut got = Vec::new();
    loop {
        match connection.next_data(&mut framing).await {
            Ok(Some(bytes)) if got.len() < MOST_BYTES => got.extend_from_slice(&bytes),
            Ok(None) => return (got, true),
            Ok(Some(_)) | Err(_) => return (got, false),
        }
    }
}

/// What is wrong with an answer that says that all went well.
fn check(
    order: Order,
    id: &str,
    answer: &Head,
    got: &[u8],
    is_whole: bool,
) -> Option<&'static str> {
    if matches!(order.kind, Kind::Stream | Kind::Long) {
        let events: String = (0..order.events)
            .map(|number| endpoint::event(id, number))
            .collect();
        let is_right = events.as_bytes().starts_with(got);
        let is_short = is_whole && got.len() < events.len();
        return (!is_right || is_short).then_some("events");
    }
    let Some(seal) = answer.header_str("x-woodgap-seal") else {
        return Some("seal");
    };
    let whole = endpoint::body(id, seal);
    let is_right = whole.as_bytes().starts_with(got) && (!is_whole || got.len() == whole.len());
    (!is_right).then_some("body")
}

/// Whether an entry serves this kind of request now.
pub async fn is_served(address: SocketAddr, kind: Kind, id: &str, record: &Record) -> bool {
    let Ok(connection) = Connection::open(address).await else {
        return false;
    };
    let (end, _) = ask(connection, Order::short(kind, KEYS[0]), id, record).await;
    end == End::Answered(200)
}
