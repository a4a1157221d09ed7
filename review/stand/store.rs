//! The platform's store, as PROTOCOL.md and the news page tell of it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base::{Json, Message, Reader, answer, base64, now_ms, quoted, record, serve, sleep};

/// How long a transaction takes.
const TX_MS: u64 = 8;
/// How long any answer takes.
const ANSWER_MS: u64 = 4;

type Place = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Clone)]
struct Change {
    version: u64,
    place: Place,
    value: Option<String>,
}

#[derive(Clone, Default)]
struct Content {
    version: u64,
    rows: BTreeMap<Place, Row>,
    changes: Vec<Change>,
}

struct State {
    content: Content,
    /// Copies of the last seconds, the oldest first.
    copies: Vec<(Instant, Content)>,
    era: u64,
    /// Rises whenever the store goes away: what was asked before is not answered.
    outages: u64,
    is_away: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// A change of one row.
pub struct Write1<'a> {
    pub table: &'a str,
    pub key: &'a str,
    /// `None` removes it.
    pub value: Option<String>,
    /// Whether a feed tells of it; what only counts up in a row of a runner is no change.
    pub is_told: bool,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener =
            TcpListener::bind(format!("{ip}:8223")).expect("the store's address is free");
        let address = listener.local_addr().unwrap();
        let state = State {
            content: Content::default(),
            copies: Vec::new(),
            era: 1,
            outages: 0,
            is_away: false,
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        serve(listener, move |stream| serving.connection(&stream));
        let copying = store.clone();
        std::thread::spawn(move || {
            loop {
                copying.copy();
                sleep(50);
            }
        });
        store
    }

    /// Keeps copies of the last ten seconds.
    fn copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        if !state.is_away {
            let content = state.content.clone();
            state.copies.push((Instant::now(), content));
            state
                .copies
                .retain(|(at, _)| at.elapsed() < Duration::from_secs(10));
        }
    }

    /// What the operator or a runner writes; `None` while the store is away.
    pub fn write(&self, change: &Write1<'_>) -> Option<u64> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let place = (
            change.table.to_owned(),
            String::new(),
            change.key.to_owned(),
        );
        let value = change.value.as_ref().map(|value| base64(value.as_bytes()));
        let version = state.content.version + 1;
        state
            .content
            .apply(version, &[(place, value)], change.is_told);
        drop(state);
        changed.notify_all();
        Some(version)
    }

    pub fn version(&self) -> u64 {
        self.state.0.lock().unwrap().content.version
    }

    /// The store is away for a moment, and comes back from a copy that was taken so long before.
    pub fn drill(&self, away_ms: u64, copied_before_ms: u64) {
        let (state, changed) = &*self.state;
        {
            let mut state = state.lock().unwrap();
            state.is_away = true;
            state.outages += 1;
            record(&format!(
                "the store is away, at version {}",
                state.content.version
            ));
        }
        changed.notify_all();
        let begun = Instant::now();
        sleep(away_ms);
        let mut state = state.lock().unwrap();
        let before = begun - Duration::from_millis(copied_before_ms);
        let copy = state
            .copies
            .iter()
            .rfind(|(at, _)| *at <= before)
            .expect("there is a copy");
        let (at, content) = (copy.0, copy.1.clone());
        state.content = content;
        state.copies.clear();
        state.era += 1;
        state.is_away = false;
        record(&format!(
            "the store is back after {away_ms} ms from a copy that is {} ms old, at version {}, era {}",
            at.elapsed().as_millis(),
            state.content.version,
            state.era
        ));
    }

    fn connection(&self, stream: &TcpStream) {
        let mut reader = Reader::new(stream);
        loop {
            let Ok(Some(request)) = reader.message(false) else {
                return;
            };
            let (outages, is_away) = {
                let state = self.state.0.lock().unwrap();
                (state.outages, state.is_away)
            };
            let answered = if is_away {
                None
            } else {
                self.answer(&request, outages)
            };
            let era = {
                let state = self.state.0.lock().unwrap();
                if state.outages == outages {
                    Some(state.era)
                } else {
                    None
                }
            };
            match (answered, era) {
                (Some((status, body)), Some(era)) => {
                    let era = era.to_string();
                    let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
                    let mut stream = stream;
                    if stream
                        .write_all(&answer(status, &headers, body.as_bytes()))
                        .is_err()
                    {
                        return;
                    }
                }
                // An answer was lost: the connection says nothing further.
                _ => {
                    while let Ok(Some(_)) = reader.message(false) {}
                    return;
                }
            }
        }
    }

    fn answer(&self, request: &Message, outages: u64) -> Option<(u16, String)> {
        sleep(ANSWER_MS);
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .map(|(name, value)| (name, unescaped(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/api/rows-get" => Some(self.get(
                &text("Table"),
                &text("part"),
                &text("From"),
                number("Limit"),
            )),
            "/api/rows-feed" => self.feed(
                &text("Table"),
                number("AfterRevision"),
                number("WaitMs"),
                outages,
            ),
            "/api/rows-tx" => Some(self.transact(&request.body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn get(&self, table: &str, part: &str, from: &str, limit: u64) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let limit = usize::try_from(limit).unwrap_or(0).clamp(1, 500);
        let rows = state.content.rows.iter();
        let mut rows =
            rows.filter(|((t, p, key), _)| t == table && p == part && key.as_str() >= from);
        let page: Vec<_> = rows
            .by_ref()
            .take(limit)
            .map(|(place, row)| told(place, Some(&row.value), row.version))
            .collect();
        let more = rows.next().is_some();
        let body = format!(
            "{{\"Rows\":[{}],\"MorePages\":{more},\"Ver\":{},\"NowMs\":{}}}",
            page.join(","),
            state.content.version,
            steady()
        );
        (200, body)
    }

    fn feed(&self, table: &str, after: u64, wait: u64, outages: u64) -> Option<(u16, String)> {
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if state.outages != outages {
                return None;
            }
            // A read from a version that it doesn't have.
            if after > state.content.version {
                return Some((410, "{}".to_owned()));
            }
            let changes = state.content.changes.iter();
            let changes: Vec<_> = changes
                .filter(|it| it.version > after && it.place.0 == table)
                .map(|it| told(&it.place, it.value.as_ref(), it.version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                    changes.join(","),
                    state.content.version,
                    steady()
                );
                return Some((200, body));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        sleep(TX_MS);
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let place = |it: &Json| {
            (
                it.get("Table").text().to_owned(),
                it.get("part").text().to_owned(),
                it.get("Key").text().to_owned(),
            )
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let expected = body.get("ExpectedRevision").list();
        let found = |state: &State, it: &Json| {
            state
                .content
                .rows
                .get(&place(it))
                .map_or(0, |row| row.version)
        };
        if expected
            .iter()
            .any(|it| found(&state, it) != it.get("Ver").number())
        {
            let rows = expected.iter().filter_map(|it| {
                let place = place(it);
                let row = state.content.rows.get(&place)?;
                Some(told(&place, Some(&row.value), row.version))
            });
            let rows: Vec<_> = rows.collect();
            return (
                412,
                format!(
                    "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                    rows.join(","),
                    state.content.version,
                    steady()
                ),
            );
        }
        let writes = body
            .get("Writes")
            .list()
            .iter()
            .map(|it| (place(it), Some(it.get("Value").text().to_owned())));
        let removed = body.get("Remove").list().iter().map(|it| (place(it), None));
        let all: Vec<_> = writes.chain(removed).collect();
        let version = state.content.version + 1;
        state.content.apply(version, &all, true);
        let body = format!("{{\"Ver\":{version},\"NowMs\":{}}}", steady());
        drop(state);
        changed.notify_all();
        (200, body)
    }
}

impl Content {
    fn apply(&mut self, version: u64, all: &[(Place, Option<String>)], is_told: bool) {
        self.version = version;
        for (place, value) in all {
            match value {
                Some(value) => {
                    self.rows.insert(
                        place.clone(),
                        Row {
                            value: value.clone(),
                            version,
                        },
                    );
                }
                None => {
                    self.rows.remove(place);
                }
            }
            if is_told {
                self.changes.push(Change {
                    version,
                    place: place.clone(),
                    value: value.clone(),
                });
            }
        }
    }
}

/// The store's steady clock.
fn steady() -> u64 {
    now_ms() + 50_000
}

fn told((table, part, key): &Place, value: Option<&String>, version: u64) -> String {
    let value = value.map_or("\"Deleted\":true".to_owned(), |value| {
        format!("\"Value\":{}", quoted(value))
    });
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},{value},\"Ver\":{version}}}",
        quoted(table),
        quoted(part),
        quoted(key)
    )
}

fn unescaped(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
