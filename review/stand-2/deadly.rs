//! A part of prompts that crashes the runners, in requests that name several hundred parts.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Answer, Log, ask};
use crate::runner::{Arrivals, Runner, Work};
use crate::store::Store;
use crate::system::{CONTACT_MS, Entry, Net, System};
use crate::{Verdict, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const CONFIG: &str = r#"{"Version":7,
"Routes":[{"Name":"r-draft","Host":"calls.example","PathPrefix":"/draft/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":1200,"Priority":1,"Service":"engines","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"TargetGapMs":1000}],
"Services":[{"Name":"engines","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacityTokens":289584,"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":6,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}"#;

const ENGINES: usize = 9;
const WORK: Work = Work::Stream(4, Duration::from_millis(20));
/// The part that crashes runners, and how long they are away.
const DEADLY: &str = "5c1e07dead";
const AWAY: Duration = Duration::from_secs(2);
/// The parts of a long prompt, and the place of the deadly one among them. `POSITION` sets another.
const PARTS: usize = 400;
const POSITION: usize = 300;
/// Requests with it, and the time between two of them.
const REQUESTS: u64 = 36;
const GAP_MS: u64 = 900;
/// Sound requests: the time between two of them.
const SOUND_GAP: Duration = Duration::from_millis(100);
/// The crashes after which a part has to be known, and the requests with it that may follow.
const CRASHES: usize = 5;
const MOST_LATER: usize = 3;

static NUMBER: AtomicUsize = AtomicUsize::new(0);

fn send(entry: &Entry, parts: &str, tokens: usize, log: &Log, kind: &str) -> Answer {
    let id = format!("{:016x}", 0x9c41_0000_0000 + NUMBER.fetch_add(1, Ordering::SeqCst));
    let headers = [
        ("Host", "calls.example"),
        ("Request-Id", &id),
        ("Model", "m"),
        ("Token-Count", &format!("{tokens},24")),
        ("Prefix-Hash", parts),
        ("Deadline-Ms", "4000"),
        ("Authorization", &format!("Bearer {KEY}")),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    log.say(format!("client: {kind} {id} is sent to {}", entry.name));
    let body = format!("prompt {id}");
    let limit = Duration::from_secs(5);
    let answer = ask(entry.front, "POST /draft/2f", &headers, body.as_bytes(), limit, |_| {});
    log.say(format!("client: {kind} {id} gets {}", answer.brief()));
    answer
}

/// A long prompt: a part that sound prompts have too, then parts of its own with the deadly one
/// among them.
fn long_prompt(number: u64, position: usize) -> String {
    let mut parts = String::from("5c1e07a2:800");
    for part in 1..PARTS {
        if part == position {
            let _ = write!(parts, ",{DEADLY}:20");
        } else {
            let _ = write!(parts, ",{:x}:20", (number + 1) * 4_096 + part as u64);
        }
    }
    parts
}

pub fn play(log: &Log) -> Result<Verdict, String> {
    let position = std::env::var("POSITION").ok().and_then(|it| it.parse().ok());
    let position = position.unwrap_or(POSITION);
    let net = Net::new();
    let store = Store::start(&format!("{}:8223", net.ip(1)), log);
    store.put("op", "config", CONFIG);
    let arrivals = Arrivals::default();
    let start = {
        let (net, store, arrivals, log) = (net.clone(), store.clone(), Arc::clone(&arrivals), log.clone());
        move |number: usize| {
            let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
            let address = format!("{}:8120", net.ip(10 + number));
            let id = format!("i-{number}");
            let runner = Runner::start(&id, "engines", "v1", zone, &address, WORK, &arrivals, &log);
            runner.be_quiet();
            runner.crash_on(DEADLY);
            runner.list(&store);
            runner
        }
    };
    let runners: Vec<_> = (0..ENGINES).map(&start).collect();
    let system = System::start(&net, 3, 110, &store, log).map_err(|error| error.to_string())?;
    if !system.until_ready(Duration::from_secs(15)) {
        return Err("the entries are not ready".to_owned());
    }
    system.watch(log);
    let is_over = Arc::new(AtomicBool::new(false));
    // Each runner is back some seconds after a crash.
    let keepers: Vec<_> = runners
        .into_iter()
        .enumerate()
        .map(|(number, mut runner)| {
            let (start, is_over) = (start.clone(), Arc::clone(&is_over));
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    if runner.has_crashed() {
                        std::thread::sleep(AWAY);
                        runner = start(number);
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let served = Arc::new(Mutex::new((0usize, 0usize)));
    let sound = {
        let (entries, log, is_over, served) =
            (system.entries.clone(), log.clone(), Arc::clone(&is_over), Arc::clone(&served));
        std::thread::spawn(move || {
            for (number, entry) in entries.iter().cycle().enumerate() {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let (entry, log, served) = (Arc::clone(entry), log.clone(), Arc::clone(&served));
                std::thread::spawn(move || {
                    let parts = format!("5c1e07a2:800,{number:x}b:200");
                    let answer = send(&entry, &parts, 1_000, &log, "sound");
                    let is_served = matches!(&answer, Answer::Came(it) if it.status() == 200 && it.is_whole);
                    let mut served = served.lock().unwrap();
                    served.0 += usize::from(is_served);
                    served.1 += 1;
                });
                std::thread::sleep(SOUND_GAP);
            }
        })
    };
    let begin = log.now() + 5_000;
    for number in 0..REQUESTS {
        log.sleep_until(begin + number * GAP_MS);
        if has_trouble() {
            let entry = Arc::clone(&system.entries[number as usize % system.entries.len()]);
            let log = log.clone();
            std::thread::spawn(move || {
                let tokens = 800 + 20 * (PARTS - 1);
                send(&entry, &long_prompt(number, position), tokens, &log, "deadly")
            });
        }
    }
    log.sleep_until(begin + REQUESTS * GAP_MS + 1_000);
    is_over.store(true, Ordering::SeqCst);
    let _ = sound.join();
    for keeper in keepers {
        let _ = keeper.join();
    }
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("entries have ended: {}", ended.join(" ")));
    }
    let arrivals = arrivals.lock().unwrap();
    let deadly: Vec<_> = arrivals.iter().filter(|it| it.is_deadly).map(|it| it.at).collect();
    let known = deadly.get(CRASHES - 1).map(|at| at + CONTACT_MS);
    let later = deadly.iter().filter(|at| known.is_some_and(|known| **at > known)).count();
    let (sound, all) = *served.lock().unwrap();
    log.say(format!(
        "result: {} requests with the deadly part in place {position} of {PARTS} reached runners and crashed them, {later} of them later than ContactMs after the fifth crash; {sound} of {all} sound requests were served",
        deadly.len()
    ));
    if sound == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(if later > MOST_LATER { Verdict::Broken } else { Verdict::Held })
}
