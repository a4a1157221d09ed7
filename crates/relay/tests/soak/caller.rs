//! Callers: they keep connections open, and check each answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodgap_relay::upstream::{Connection, Head, connection};

use crate::endpoint::{self, EVENTS};
use crate::entries::Entries;
use crate::record::{End, Kind, Problem, Record, Sent};

/// The keys of the two workspaces; the second one is removed in some runs.
pub const KEYS: [&str; 2] = ["key-of-the-first", "key-of-the-second"];
/// How long a caller waits, in ms, as it tells.
const PATIENCE: u64 = 3_000;
/// How long it waits in truth: an entry that stands still for that long has been
/// frozen, and its callers leave.
const GIVE_UP: Duration = Duration::from_secs(20);
/// The part of its requests for which a caller opens a new connection.
const NEW_CONNECTIONS: f64 = 0.2;
/// The part of its requests that a caller sends with the second key.
const SECOND_KEY: f64 = 0.3;
/// The longest pause between two requests of a caller, in ms.
const LONGEST_PAUSE: u64 = 30;
/// The largest body that is read, in bytes.
const MOST_BYTES: usize = 64 * 1024;

/// A caller.
pub struct Caller {
    name: String,
    random: ChaCha8Rng,
    record: Record,
    entries: Entries,
    kept: Option<(Connection, usize)>,
    next: u64,
}

impl Caller {
    /// A caller with a name of its own.
    pub fn new(name: String, seed: u64, record: Record, entries: Entries) -> Self {
        Self {
            name,
            random: ChaCha8Rng::seed_from_u64(seed),
            record,
            entries,
            kept: None,
            next: 0,
        }
    }

    /// Sends requests until the run is over.
    pub async fn run(mut self) {
        while !self.entries.is_over() {
            let pause = self.random.random_range(0..=LONGEST_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.send_one().await;
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
        let was_refused = self.entries.has_refused(life, key);
        let sent = Sent {
            kind,
            key,
            life,
            at: Instant::now(),
            end: None,
        };
        self.record.sent(&id, sent);
        let asking = ask(connection, kind, &id, key, &self.record);
        let Ok((end, connection)) = tokio::time::timeout(GIVE_UP, asking).await else {
            return;
        };
        match end {
            End::Answered(401) => self.entries.refused(life, key),
            End::Answered(200) if was_refused => {
                self.record.broken(Problem::WentBack(id.clone(), life));
            }
            End::Nothing if self.record.count_runs(&id) > 0 && !self.entries.is_hurt(life) => {
                self.record.broken(Problem::Dropped(id.clone(), life));
            }
            _ => {}
        }
        self.record.ended(&id, end);
        self.kept = connection.map(|connection| (connection, life));
    }

    /// A kept connection, also to an entry that is stopping, or a new one to an entry
    /// that takes callers.
    async fn connect(&mut self) -> Option<(Connection, usize)> {
        let wants_new = self.random.random_bool(NEW_CONNECTIONS);
        if let Some((connection, life)) = self.kept.take()
            && connection.is_sound()
            && !wants_new
        {
            return Some((connection, life));
        }
        let open = self.entries.open();
        let (address, life) = *open.choose(&mut self.random)?;
        let connection = Connection::open(address).await.ok()?;
        Some((connection, life))
    }
}

/// Sends a request and checks its answer; gives back the connection if it can be
/// used again.
async fn ask(
    mut connection: Connection,
    kind: Kind,
    id: &str,
    key: &str,
    record: &Record,
) -> (End, Option<Connection>) {
    let head = request(kind, id, key);
    let Ok(answer) = connection.exchange(&head, id.as_bytes()).await else {
        return (End::Nothing, None);
    };
    let status = answer.status.as_u16();
    if answer.text("x-woodgap-request") != Some(id) {
        record.broken(Problem::Foreign(id.to_owned(), "identity".to_owned()));
    }
    let (got, is_whole) = read(&mut connection, &answer).await;
    if status == 200
        && let Some(wrong) = check(kind, id, &answer, &got, is_whole)
    {
        record.broken(Problem::Foreign(id.to_owned(), wrong.to_owned()));
    }
    if !is_whole {
        return (End::Cut, None);
    }
    connection.rest();
    let kept = connection.is_sound().then_some(connection);
    (End::Answered(status), kept)
}

fn request(kind: Kind, id: &str, key: &str) -> bytes::BytesMut {
    let length = id.len().to_string();
    let key = format!("Bearer {key}");
    let patience = PATIENCE.to_string();
    let headers = [
        ("Host", b"album.example".as_slice()),
        ("X-Woodgap-Request", id.as_bytes()),
        ("X-Woodgap-Patience-Ms", patience.as_bytes()),
        ("Authorization", key.as_bytes()),
        ("Content-Length", length.as_bytes()),
    ];
    connection::head(&Method::POST, kind.path(), headers)
}

/// The body as far as it came, and whether that is all of it.
async fn read(connection: &mut Connection, answer: &Head) -> (Vec<u8>, bool) {
    let Ok(mut framing) = answer.framing(&Method::POST) else {
        return (Vec::new(), false);
    };
    let mut got = Vec::new();
    loop {
        match connection.piece(&mut framing).await {
            Ok(Some(bytes)) if got.len() < MOST_BYTES => got.extend_from_slice(&bytes),
            Ok(None) => return (got, true),
            Ok(Some(_)) | Err(_) => return (got, false),
        }
    }
}

/// What is wrong with an answer that says that all went well.
fn check(kind: Kind, id: &str, answer: &Head, got: &[u8], is_whole: bool) -> Option<&'static str> {
    if kind == Kind::Stream {
        let events: String = (0..EVENTS)
            .map(|number| endpoint::event(id, number))
            .collect();
        let is_right = events.as_bytes().starts_with(got);
        let is_short = is_whole && got.len() < events.len();
        return (!is_right || is_short).then_some("events");
    }
    let Some(seal) = answer.text("x-woodgap-seal") else {
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
    let (end, _) = ask(connection, kind, id, KEYS[0], record).await;
    end == End::Answered(200)
}
