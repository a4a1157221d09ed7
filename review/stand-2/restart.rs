//! Answers on the list of runners are lost; some seconds after the disruption runners start again one
//! after the other, each under its `Id` and with another `Version`, and clients take up the streams
//! that this broke.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Answer, Log, ask};
use crate::runner::{Arrivals, Runner, Work};
use crate::store::Store;
use crate::system::{CONTACT_MS, Entry, Net, System};
use crate::{Verdict, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const CONFIG: &str = r#"{"Version":7,
"Routes":[{"Name":"r-draft","Host":"calls.example","PathPrefix":"/draft/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":500,"Priority":1,"Service":"engines","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":400}],
"Services":[{"Name":"engines","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacityTokens":289584,"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":6,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}"#;

const EVENTS: u32 = 30;
const WORK: Work = Work::Stream(EVENTS, Duration::from_millis(150));
/// For how long the store loses answers.
const LOSS_MS: u64 = 4_500;
/// For how long each runner is away, and the time between two of them.
const AWAY: Duration = Duration::from_millis(300);
const GAP_MS: u64 = 2_500;
const RESTARTS: usize = 3;
/// How long clients wait before they take a stream up.
const PAUSE: Duration = Duration::from_millis(400);
const STREAMS: usize = 150;
/// The time between two of them.
const STREAM_GAP: Duration = Duration::from_millis(60);
const TRIES: usize = 8;

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// One client's stream: its events as they came, each with the version that wrote it.
#[derive(Clone, Debug, Default)]
struct Stream {
    events: Vec<(u32, String)>,
    tries: usize,
    is_complete: bool,
}

impl Stream {
    /// Takes in the whole events of a text. What is inside an event is left out.
    fn take(&mut self, text: &str) {
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
        for event in whole.split("\n\n").filter(|event| !event.is_empty()) {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let number = field("id: ").and_then(|it| it.parse().ok());
            let version = field("data: ").and_then(|it| it.split(' ').next());
            if let (Some(number), Some(version)) = (number, version) {
                self.events.push((number, version.to_owned()));
            }
        }
    }

    fn is_mixed(&self) -> bool {
        let first = self.events.first().map(|(_, version)| version);
        self.events.iter().any(|(_, version)| Some(version) != first)
    }
}

fn id() -> String {
    format!("{:016x}", 0x9c41_0000_0000 + NUMBER.fetch_add(1, Ordering::SeqCst))
}

fn read(entries: &[Arc<Entry>], number: usize, log: &Log) -> Stream {
    let mut stream = Stream::default();
    let mut first = None;
    while stream.tries < TRIES {
        let entry = &entries[(number + stream.tries) % entries.len()];
        stream.tries += 1;
        let id = id();
        let mut headers = vec![
            ("Host".to_owned(), "calls.example".to_owned()),
            ("Request-Id".to_owned(), id.clone()),
            ("Model".to_owned(), "m".to_owned()),
            ("Token-Count".to_owned(), "900,180".to_owned()),
            ("Prefix-Hash".to_owned(), format!("5c1e07a{}:500,{number:x}ab:400", number % 8)),
            ("Deadline-Ms".to_owned(), "12000".to_owned()),
            ("Authorization".to_owned(), format!("Bearer {KEY}")),
        ];
        if let (Some((last, _)), Some(first)) = (stream.events.last(), &first) {
            headers.push(("Last-Event-Id".to_owned(), last.to_string()));
            headers.push(("Resumes".to_owned(), String::clone(first)));
            log.say(format!("client {number}: takes {first} up after event {last} as {id} at {}", entry.name));
        } else {
            log.say(format!("client {number}: {id} is sent to {}", entry.name));
        }
        let text = Arc::new(Mutex::new(Vec::new()));
        let parts = Arc::clone(&text);
        let answer = ask(entry.front, "POST /draft/2f", &headers, b"a prompt", Duration::from_secs(5), move |part| {
            parts.lock().unwrap().extend_from_slice(part);
        });
        let before = stream.events.len();
        if answer.status() == 200 {
            let text = String::from_utf8_lossy(&text.lock().unwrap()).into_owned();
            stream.take(&text);
            if first.is_none() && !stream.events.is_empty() {
                first = Some(id.clone());
            }
        }
        let versions: Vec<_> = stream.events[before..].iter().map(|(_, version)| version.as_str()).collect();
        log.say(format!(
            "client {number}: {id} gets status {} and {} events of {}",
            answer.status(),
            versions.len(),
            versions.first().unwrap_or(&"none")
        ));
        if matches!(&answer, Answer::Came(message) if message.status() == 200 && message.is_whole) {
            stream.is_complete = true;
            return stream;
        }
        std::thread::sleep(PAUSE);
    }
    stream
}

fn read_all(system: &System, count: usize, log: &Log) -> Vec<std::thread::JoinHandle<Stream>> {
    let clients = (0..count).map(|number| {
        let (entries, log) = (system.entries.clone(), log.clone());
        std::thread::spawn(move || {
            std::thread::sleep(STREAM_GAP * number as u32);
            read(&entries, number, &log)
        })
    });
    clients.collect()
}

pub fn play(log: &Log) -> Result<Verdict, String> {
    let net = Net::new();
    let store = Store::start(&format!("{}:8223", net.ip(1)), log);
    store.put("op", "config", CONFIG);
    let arrivals = Arrivals::default();
    let start = |number: usize, version: &str| {
        let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
        let address = format!("{}:8120", net.ip(10 + number));
        Runner::start(&format!("i-{number}"), "engines", version, zone, &address, WORK, &arrivals, log)
    };
    let runners: Vec<_> = (1..=4).map(|number| start(number, "v1")).collect();
    runners.iter().for_each(|it| it.list(&store));
    let system = System::start(&net, 3, 110, &store, log).map_err(|error| error.to_string())?;
    if !system.until_ready(Duration::from_secs(15)) {
        return Err("the entries are not ready".to_owned());
    }
    system.watch(log);
    let begin = log.now() + 4_000;
    log.sleep_until(begin);
    let warm: Vec<_> = read_all(&system, 6, log);
    log.sleep_until(begin + 1_000);
    start(5, "v1").list(&store);
    log.sleep_until(begin + 3_000);
    if has_trouble() {
        store.losses.lock().unwrap().table = Some("servers".to_owned());
        log.say("disruption: answers of the store are lost from now on");
    }
    log.sleep_until(begin + 3_200);
    start(6, "v1").list(&store);
    log.sleep_until(begin + 3_000 + LOSS_MS);
    store.losses.lock().unwrap().table = None;
    let losses = store.losses.lock().unwrap().clone();
    log.say(format!("disruption: over; {} of {} answers were lost", losses.lost, losses.answers));
    for client in warm {
        let _ = client.join();
    }

    // All machines are in touch again, and the store is stable.
    log.sleep_until(begin + 3_000 + LOSS_MS + CONTACT_MS + 500);
    let clients = read_all(&system, STREAMS, log);
    let first = begin + 3_000 + LOSS_MS + CONTACT_MS + 2_000;
    for (number, runner) in runners.iter().take(RESTARTS).enumerate() {
        log.sleep_until(first + number as u64 * GAP_MS);
        runner.end();
        std::thread::sleep(AWAY);
        start(number + 1, "v2").list(&store);
    }
    let streams: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("entries have ended: {}", ended.join(" ")));
    }
    let taken_up = streams.iter().filter(|it| it.tries > 1).count();
    let complete = streams.iter().filter(|it| it.is_complete).count();
    let mixed = streams.iter().filter(|it| it.is_mixed()).count();
    log.say(format!(
        "result: {taken_up} of {STREAMS} streams were taken up, {complete} are complete, {mixed} hold events of two software versions"
    ));
    if complete == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(if mixed > 2 { Verdict::Broken } else { Verdict::Held })
}
