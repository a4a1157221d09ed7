//! Shared parts of the stand-ins: JSON, base64, HTTP/1.1 over TCP, a clock and a record.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.blanks();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'t> {
    bytes: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.blanks();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.blanks();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.blanks();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Table(fields));
                    }
                }
            }
            _ => {
                let from = self.at;
                let is_part = |byte: &u8| b"+-.eE0123456789".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        (self.bytes.get(self.at) == Some(&b'"')).then(|| self.at += 1)?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let sign = char::from_u32(code).unwrap_or('?');
                            text.extend(sign.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// A text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(sign);
            }
            sign if u32::from(sign) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", u32::from(sign));
            }
            sign => quoted.push(sign),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut all = [0u8; 3];
        all[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, all[0], all[1], all[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

/// The head of a message, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its announced end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(it, _)| it.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut all = query.split('&').filter_map(|it| it.split_once('='));
        all.find(|(it, _)| *it == name).map(|(_, value)| decoded(value))
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
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

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message. Each part that arrives is handed on.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(());
            };
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                message.is_whole = true;
                return Ok(());
            }
            on_part(&part[..size]);
            message.body.extend_from_slice(&part[..size]);
        }
    }
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            on_part(&body);
            message.body = body;
            message.is_whole = true;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
        }
        None => message.is_whole = true,
    }
    Ok(())
}

/// What became of a client's try.
#[derive(Clone, Debug)]
pub enum Answer {
    /// An answer, whole or not.
    Came(Message),
    /// The connection failed or said nothing in time, for this reason.
    Failed(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Came(message) => message.status(),
            Answer::Failed(_) => 0,
        }
    }

    pub fn brief(&self) -> String {
        match self {
            Answer::Came(message) => {
                let seal = message.header("response-seal").unwrap_or("none");
                let whole = if message.is_whole { "whole" } else { "broken off" };
                let body = String::from_utf8_lossy(&message.body);
                let body: String = body.chars().take(120).collect();
                format!("{} seal={seal} {whole} {}", message.status(), body.replace('\n', "|"))
            }
            Answer::Failed(reason) => format!("no answer: {reason}"),
        }
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(
    to: SocketAddr,
    first: &str,
    headers: &[(String, String)],
    body: &[u8],
    limit: Duration,
    on_part: impl FnMut(&[u8]),
) -> Answer {
    let asked = || -> io::Result<Answer> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        let mut head = format!("{first} HTTP/1.1\r\n");
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if !body.is_empty() {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        let Some(mut message) = read_head(&mut reader)? else {
            return Ok(Answer::Failed("closed".to_owned()));
        };
        // What broke off is told by `is_whole`.
        let _ = read_body(&mut reader, &mut message, true, on_part);
        Ok(Answer::Came(message))
    };
    asked().unwrap_or_else(|error| Answer::Failed(error.kind().to_string()))
}

/// The clock and the record of a run.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Log {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn say(&self, line: impl Into<String>) {
        let at = self.started.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn sleep_until(&self, at: u64) {
        let now = self.now();
        if at > now {
            std::thread::sleep(Duration::from_millis(at - now));
        }
    }

    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>10.3} s  {line}", at as f64 / 1e6);
        }
        std::fs::write(path, text)
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
