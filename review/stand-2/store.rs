//! The platform's store: rows in tables, transactions under conditions, and a feed of changes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base::{Json, Log, Message, base64, quoted, read_body, read_head};

/// The time that an answer takes, as the sheet has it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The longest time for which a question may be held.
const MAX_WAIT_MS: u64 = 30_000;

type Place = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version.
    rows: BTreeMap<Place, (String, u64)>,
    /// All changes, also removals.
    changes: Vec<(u64, Place)>,
}

/// Answers that are lost.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// While it is set, answers of the feed of this table are lost that bring changes.
    pub table: Option<String>,
    pub answers: u64,
    pub lost: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub losses: Arc<Mutex<Losses>>,
    started: Instant,
    log: Log,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: &str, log: &Log) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Self {
            rows: Arc::default(),
            losses: Arc::default(),
            started: Instant::now(),
            log: log.clone(),
            address: listener.local_addr().expect("it is bound"),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a runner does. Returns its version: it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let place = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(place.clone(), (base64(value.as_bytes()), version));
        rows.changes.push((version, place));
        changed.notify_all();
        version
    }

    /// Removes a row. It is acknowledged.
    pub fn remove(&self, table: &str, key: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let place = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.remove(&place);
        rows.changes.push((version, place));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut message)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut message, false, |_| {}).is_err() {
                return;
            }
            let (status, body, is_news) = self.answer(&message);
            std::thread::sleep(ANSWER_TIME);
            if self.is_lost(&message, is_news) {
                self.log.say(format!("store: the answer to {} is lost", message.first));
                // The connection says nothing further.
                let mut ignored = [0; 4096];
                while reader.read(&mut ignored).is_ok_and(|count| count > 0) {}
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} \r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_lost(&self, message: &Message, is_news: bool) -> bool {
        let mut losses = self.losses.lock().unwrap();
        let Some(table) = losses.table.clone() else { return false };
        losses.answers += 1;
        let is_feed = message.path() == "/api/rows-feed";
        let is_lost = is_feed && is_news && message.parameter("Table") == Some(table);
        losses.lost += u64::from(is_lost);
        is_lost
    }

    fn answer(&self, message: &Message) -> (u16, String, bool) {
        match message.path() {
            "/api/rows-tx" => {
                let (status, body) = self.transact(&message.body);
                (status, body, false)
            }
            "/api/rows-get" => (200, self.get(message), false),
            "/api/rows-parts" => (200, self.parts(message), false),
            "/api/rows-feed" => {
                let (body, is_news) = self.feed(message);
                (200, body, is_news)
            }
            _ => (404, "{}".to_owned(), false),
        }
    }

    fn now_ms(&self) -> u128 {
        1_000_000 + self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let Some(wanted) = Json::parse(&text) else { return (400, "{}".to_owned()) };
        let place = |it: &Json| -> Place {
            let text = |name: &str| it.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let writes = wanted.get("Writes").list();
        let removes = wanted.get("Remove").list();
        if writes.iter().chain(removes).any(|it| it.get("Table").text() == "servers") {
            return (403, "{}".to_owned());
        }
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let expected = wanted.get("ExpectedRevision").list();
        let holds = expected.iter().all(|it| {
            let version = rows.rows.get(&place(it)).map_or(0, |(_, version)| *version);
            Some(version) == it.get("Ver").number()
        });
        if !holds {
            let found = expected.iter().filter_map(|it| {
                let place = place(it);
                rows.rows.get(&place).map(|row| row_text(&place, Some(row), row.1))
            });
            let found: Vec<_> = found.collect();
            let version = rows.version;
            let body = format!(
                "{{\"Rows\":[{}],\"Ver\":{version},\"NowMs\":{}}}",
                found.join(","),
                self.now_ms()
            );
            return (412, body);
        }
        rows.version += 1;
        let version = rows.version;
        for write in writes {
            let value = write.get("Value").text().to_owned();
            rows.rows.insert(place(write), (value, version));
            rows.changes.push((version, place(write)));
        }
        for remove in removes {
            rows.rows.remove(&place(remove));
            rows.changes.push((version, place(remove)));
        }
        changed.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":{}}}", self.now_ms()))
    }

    fn get(&self, message: &Message) -> String {
        let parameter = |name: &str| message.parameter(name).unwrap_or_default();
        let (table, part) = (parameter("Table"), parameter("part"));
        let (from, until) = (parameter("From"), message.parameter("TargetVersion"));
        let limit = parameter("Limit").parse().unwrap_or(500).min(500);
        let (rows, _) = &*self.rows;
        let rows = rows.lock().unwrap();
        let is_wanted = |(at, _): &(&Place, &(String, u64))| {
            let is_before = until.as_ref().is_none_or(|until| until.is_empty() || at.2 < *until);
            at.0 == table && at.1 == part && at.2 >= from && is_before
        };
        let wanted: Vec<_> = rows.rows.iter().filter(is_wanted).collect();
        let texts = wanted.iter().take(limit);
        let texts: Vec<_> = texts.map(|(at, row)| row_text(at, Some(row), row.1)).collect();
        format!(
            "{{\"Rows\":[{}],\"MorePages\":{},\"Ver\":{},\"NowMs\":{}}}",
            texts.join(","),
            wanted.len() > limit,
            rows.version,
            self.now_ms()
        )
    }

    fn parts(&self, message: &Message) -> String {
        let table = message.parameter("Table").unwrap_or_default();
        let after = message.parameter("AfterRevision").unwrap_or_default();
        let (rows, _) = &*self.rows;
        let rows = rows.lock().unwrap();
        let of_table = rows.rows.keys().filter(|at| at.0 == table && at.1 > after);
        let mut parts: Vec<_> = of_table.map(|at| quoted(&at.1)).collect();
        parts.dedup();
        format!(
            "{{\"parts\":[{}],\"MorePages\":false,\"Ver\":{},\"NowMs\":{}}}",
            parts.join(","),
            rows.version,
            self.now_ms()
        )
    }

    fn feed(&self, message: &Message) -> (String, bool) {
        let table = message.parameter("Table").unwrap_or_default();
        let number = |name: &str| message.parameter(name).and_then(|it| it.parse::<u64>().ok());
        let after = number("AfterRevision").unwrap_or(0);
        let wait = number("WaitMs").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let mut news: BTreeMap<&Place, u64> = BTreeMap::new();
            for (version, place) in &rows.changes {
                if *version > after && place.0 == table {
                    news.insert(place, *version);
                }
            }
            let now = Instant::now();
            if !news.is_empty() || now >= until {
                let mut texts: Vec<_> = news.into_iter().collect();
                texts.sort_by_key(|(_, version)| *version);
                let is_news = !texts.is_empty();
                let texts = texts.into_iter();
                let texts = texts.map(|(at, version)| row_text(at, rows.rows.get(at), version));
                let texts: Vec<_> = texts.collect();
                let mut body = String::new();
                let _ = write!(
                    body,
                    "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                    texts.join(","),
                    rows.version,
                    self.now_ms()
                );
                return (body, is_news);
            }
            rows = changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }
}

fn row_text((table, part, key): &Place, row: Option<&(String, u64)>, version: u64) -> String {
    let place = format!(
        "\"Table\":{},\"part\":{},\"Key\":{}",
        quoted(table),
        quoted(part),
        quoted(key)
    );
    match row {
        Some((value, version)) => {
            format!("{{{place},\"Value\":{},\"Ver\":{version}}}", quoted(value))
        }
        None => format!("{{{place},\"Ver\":{version},\"Deleted\":true}}"),
    }
}
