//! What all cases share: HTTP, JSON, the record, the settings template, and processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    let started = STARTED.get_or_init(Instant::now);
    u64::try_from(started.elapsed().as_millis()).unwrap()
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn open_record(path: &Path) {
    now_ms();
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes a line to the record.
pub fn record(text: &str) {
    let line = format!("{:>7.3} s  {text}\n", now_ms() as f64 / 1_000.0);
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Notes a process that was started, for the script to end should this one be ended.
pub fn note_process(id: u32) {
    let Ok(path) = std::env::var("PROCESSES") else {
        return;
    };
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// A request or an answer: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads from a stream with a buffer of its own.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> Self {
        Self {
            stream: stream.try_clone().unwrap(),
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < count {
            if !self.fill()? {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..count));
        Ok(true)
    }

    /// Reads a message; `None` if the connection ended before its head was there.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
        let mut body = Vec::new();
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|it| it.parse().ok());
        let ended = if chunked {
            self.chunks(&mut body)
        } else if let Some(length) = length {
            self.take(length, &mut body)
        } else if is_answer {
            // Until the connection ends; only an orderly end is complete.
            loop {
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => break Ok(true),
                    Err(error) => break Err(error),
                }
            }
            .inspect(|_| body.append(&mut self.buffer))
        } else {
            Ok(true)
        };
        message.is_complete = ended.unwrap_or(false);
        message.body = body;
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(false);
            };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Ok(false);
            };
            if size == 0 {
                return Ok(self.line()?.is_some());
            }
            if !self.take(size, body)? || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn ask(to: SocketAddr, request: &str, limit_ms: u64) -> Result<Message, String> {
    let text = |error: io::Error| error.to_string();
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(text)?;
    stream
        .set_read_timeout(Some(Duration::from_millis(limit_ms)))
        .map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    (&stream).write_all(request.as_bytes()).map_err(text)?;
    let answer = Reader::new(&stream).message(true).map_err(text)?;
    answer.ok_or_else(|| "closed without an answer".to_owned())
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.into_bytes(), body.to_vec()].concat()
}

/// Serves each connection on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handle(stream));
        }
    });
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        let Json::Object(fields) = self else {
            return &Json::Null;
        };
        let found = fields.iter().find(|(it, _)| it == name);
        found.map_or(&Json::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self {
            *number as u64
        } else {
            0
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self {
            list
        } else {
            &[]
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'"' => text(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(value(bytes, at)?);
                skip(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                let name = text(bytes, at)?;
                skip(bytes, at);
                *at += 1;
                fields.push((name, value(bytes, at)?));
                skip(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        _ => {
            let begin = *at;
            while bytes.get(*at).is_some_and(|it| !b",]} \r\n\t".contains(it)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[begin..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let mut buffer = [0; 4];
                        let sign = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(sign.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => out.push(byte),
        }
    }
}

/// A text in JSON.
pub fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let three = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let word = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for index in 0..4 {
            if index <= part.len() {
                let sign = (word >> (18 - 6 * index)) & 63;
                out.push(char::from(SIGNS[sign as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- settings

/// Fills the template of the deploy file as the platform does, as far as it uses the forms.
fn fill(
    template: &str,
    plain: &BTreeMap<String, String>,
    lists: &BTreeMap<String, Vec<String>>,
    flags: &[&str],
) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#").into_iter().chain(text.find("{{^")).min() {
        let end = begin + text[begin..].find("}}").unwrap();
        let name = text[begin + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let stop = end + text[end..].find(&close).unwrap();
        let inner = text[end + 2..stop].to_owned();
        let is_given = flags.contains(&name.as_str()) || plain.contains_key(&name);
        let filled = if text[begin..].starts_with("{{^") {
            if is_given || lists.contains_key(&name) {
                String::new()
            } else {
                inner
            }
        } else if let Some(list) = lists.get(&name) {
            let entry = |(index, it): (usize, &String)| {
                let comma = if index + 1 < list.len() { "," } else { "" };
                inner.replace("{{.}}", it).replace("{{,}}", comma)
            };
            list.iter().enumerate().map(entry).collect()
        } else if is_given {
            inner
        } else {
            String::new()
        };
        text.replace_range(begin..stop + close.len(), &filled);
    }
    while let Some(begin) = text.find("{{") {
        let end = begin + text[begin..].find("}}").unwrap();
        let name = text[begin + 2..end].to_owned();
        let value = plain.get(&name).cloned().unwrap_or_default();
        text.replace_range(begin..end + 2, &value);
    }
    text
}

/// The addresses of one run of a case: loopback addresses that nothing else uses.
pub struct Net {
    a: u8,
    b: u8,
    next: u8,
}

impl Net {
    pub fn new() -> Self {
        let seed = u64::from(std::process::id()) ^ (unix_ms() << 3);
        Self {
            a: 16 + (seed % 200) as u8,
            b: (seed / 200 % 250) as u8,
            next: 1,
        }
    }

    pub fn ip(&mut self) -> String {
        self.next += 1;
        format!("127.{}.{}.{}", self.a, self.b, self.next)
    }
}

pub struct Bounds {
    pub duties: Option<SocketAddr>,
}

/// One machine of the system: the program of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub starts: u32,
    ip: String,
    zone: String,
    seeds: Vec<String>,
    store: SocketAddr,
    duties: Option<SocketAddr>,
    template: String,
    connects_from_own_ip: bool,
}

const PORTS: [u16; 4] = [8227, 8220, 8224, 7340];

impl Machine {
    pub fn new(
        folder: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        seeds: &[String],
        store: SocketAddr,
        bounds: &Bounds,
    ) -> Self {
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        Self {
            name: name.to_owned(),
            front: address(PORTS[0]),
            ready: address(PORTS[1]),
            directory: address(PORTS[2]),
            settings: folder.join(format!("{name}.jsonc")),
            log: folder.join(format!("{name}.log")),
            child: None,
            starts: 0,
            ip: ip.to_owned(),
            zone: zone.to_owned(),
            seeds: seeds.to_vec(),
            store,
            duties: bounds.duties,
            template: std::fs::read_to_string("deploy/settings.jsonc")
                .expect("run from the repository's root"),
            connects_from_own_ip: false,
        }
    }

    /// On loopback all processes would connect from one address, where machines have their own.
    pub fn connect_from_own_ip(&mut self) {
        self.connects_from_own_ip = true;
    }

    /// Starts the program as the deploy file says.
    pub fn start(&mut self) {
        let ip = &self.ip;
        let mut plain: BTreeMap<String, String> = BTreeMap::new();
        for (name, value) in [
            ("Node", self.name.clone()),
            ("Zone", self.zone.clone()),
            ("Ip", ip.clone()),
            ("Listen.Front", format!("{ip}:{}", PORTS[0])),
            ("Listen.Ready", format!("{ip}:{}", PORTS[1])),
            ("Listen.Directory", format!("{ip}:{}", PORTS[2])),
            ("PortRange.0", PORTS[3].to_string()),
            ("Platform.Address", self.store.to_string()),
            ("Bounds.RevokeMs", "5000".to_owned()),
            ("Bounds.DrainMs", "2000".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.ttl_max_s", "5".to_owned()),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.BudgetSlack", "52".to_owned()),
            ("Bounds.BudgetWindowS", "10".to_owned()),
            ("Bounds.ReportWindowS", "5".to_owned()),
            ("Bounds.LeaseMs", "3000".to_owned()),
            ("Limits.MaxFds", "4100".to_owned()),
        ] {
            plain.insert(name.to_owned(), value);
        }
        let mut lists = BTreeMap::new();
        lists.insert("Seeds".to_owned(), self.seeds.clone());
        if let Some(duties) = self.duties {
            plain.insert("Cloud.Address".to_owned(), duties.to_string());
            lists.insert("Cloud.Duties".to_owned(), vec!["metering".to_owned()]);
        }
        let mut flags = vec!["Bounds.FailClosed"];
        if self.starts == 0 {
            flags.push("Bootstrap");
        }
        let mut settings = fill(&self.template, &plain, &lists, &flags);
        if self.connects_from_own_ip {
            settings =
                settings.replacen('{', &format!("{{\n  \"connect_from\": \"{}\",", self.ip), 1);
        }
        std::fs::write(&self.settings, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/woodgap-adapter")
            .env("WOODGAP_SETTINGS", &self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .stdin(Stdio::null())
            .spawn()
            .expect("target/release/woodgap-adapter can be started");
        note_process(child.id());
        self.starts += 1;
        record(&format!("{} starts (start {})", self.name, self.starts));
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        ask(self.ready, request, 1_000).is_ok_and(|it| it.status() == 200)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record(&format!("{} is killed", self.name));
        }
    }

    /// Lines of its log that hold this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all machines are ready; ends with 2 if they don't become so.
pub fn until_ready(machines: &[Machine]) -> bool {
    for _ in 0..150 {
        if machines.iter().all(Machine::is_ready) {
            return true;
        }
        sleep(100);
    }
    record("not all machines became ready");
    false
}
