//! A client whose requests name a part for each token of their prompts, as `Prefix-Hash` allows.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Answer, Log, ask};
use crate::runner::{Arrivals, Runner, Work};
use crate::store::Store;
use crate::system::{Entry, Net, System};
use crate::{Verdict, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The parts of a prompt. A part takes six bytes, so that the head stays below `MaxHeaderBytes`.
const PARTS: usize = 2_600;
/// `MaxHeaderBytes` of the configuration.
const MAX_HEADER_BYTES: usize = 16_384;
/// `TimeoutMs` of the plain route, and how much later an answer counts as missing.
const TIMEOUT_MS: u64 = 1_000;
const MISSING_MS: u64 = 500;

/// The engines of a sheet, and the memory of its machines.
pub struct Site {
    pub engines: usize,
    pub tokens: u32,
    pub memory_mb: usize,
}

/// What the client does to the machines.
struct Stage {
    system: Arc<System>,
    log: Log,
    number: AtomicUsize,
    is_over: AtomicBool,
    /// What reached the runners.
    run: Arrivals,
}

fn config(site: &Site) -> String {
    format!(
        r#"{{"Version":7,
"Routes":[{{"Name":"r-chat","Host":"calls.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":1200,"Priority":2,"Service":"engines","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"TargetGapMs":1000}},
{{"Name":"r-line","Host":"calls.example","PathPrefix":"/line/","Kind":"idempotent","TimeoutMs":{TIMEOUT_MS},"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2,"Public":false,"Resumable":false}}],
"Services":[{{"Name":"engines","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacityTokens":{},"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":6,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{{"Name":"m"}}]}}}},
{{"Name":"desk","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":{MAX_HEADER_BYTES},"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Priority":1}}]}}"#,
        site.tokens
    )
}

impl Stage {
    fn id(&self) -> String {
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", 0x9c41_0000_0000 + number)
    }

    /// A request for a stream. Its prompt has as many tokens in any case.
    fn chat(&self, entry: &Entry) -> Answer {
        let id = self.id();
        let own = self.number.load(Ordering::SeqCst);
        let parts = if has_trouble() {
            let mut parts = format!("{own:x}:1");
            for part in 1..PARTS {
                let _ = write!(parts, ",{:x}:1", 256 + part);
            }
            parts
        } else {
            format!("5c1e07a2:800,91bd3f06:410,{own:x}:{}", PARTS - 1_210)
        };
        let headers = [
            ("Host", "calls.example"),
            ("Request-Id", &id),
            ("Model", "m"),
            ("Token-Count", &format!("{PARTS},12")),
            ("Prefix-Hash", &parts),
            ("Deadline-Ms", "4000"),
            ("Authorization", &format!("Bearer {KEY}")),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let bytes: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
        assert!(bytes + 40 < MAX_HEADER_BYTES, "the head stays inside the limit");
        ask(entry.front, "POST /chat/2f", &headers, b"a prompt", Duration::from_secs(5), |_| {})
    }

    /// A request for the plain service. Returns after how many ms which answer came.
    fn line(&self, entry: &Entry) -> (String, u64, Answer) {
        let id = self.id();
        let headers = [
            ("Host", "calls.example"),
            ("Request-Id", &id),
            ("Deadline-Ms", "2500"),
            ("Authorization", &format!("Bearer {KEY}")),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let sent = self.log.now();
        let limit = Duration::from_millis(2_500);
        let answer = ask(entry.front, "GET /line/2f", &headers, &[], limit, |_| {});
        (id, self.log.now() - sent, answer)
    }
}

fn start(site: &Site, log: &Log) -> Result<(Arc<Stage>, Store, Vec<Runner>), String> {
    let net = Net::new();
    let store = Store::start(&format!("{}:8223", net.ip(1)), log);
    store.put("op", "config", &config(site));
    let arrivals = Arrivals::default();
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut runners = Vec::new();
    for number in 0..site.engines + 3 {
        let address = format!("{}:8120", net.ip(10 + number));
        let (service, work) = if number < site.engines {
            ("engines", Work::Stream(2, Duration::from_millis(5)))
        } else {
            ("desk", Work::Plain(Duration::from_millis(20)))
        };
        let id = format!("i-{number}");
        let runner = Runner::start(&id, service, "v1", zones[number % 3], &address, work, &arrivals, log);
        runner.be_quiet();
        runner.list(&store);
        runners.push(runner);
    }
    let system = System::start(&net, 3, site.memory_mb, &store, log).map_err(|error| error.to_string())?;
    if !system.until_ready(Duration::from_secs(15)) {
        return Err("the entries are not ready".to_owned());
    }
    log.sleep_until(log.now() + 4_000);
    let stage = Stage {
        system: Arc::new(system),
        log: log.clone(),
        number: AtomicUsize::new(1),
        is_over: AtomicBool::new(false),
        run: arrivals,
    };
    Ok((Arc::new(stage), store, runners))
}

/// Sends so many requests to an entry, so many a second, from several connections.
fn press(stage: &Arc<Stage>, entry: usize, count: usize, per_s: usize, served: &Arc<AtomicU64>) {
    let workers = 8;
    let threads: Vec<_> = (0..workers)
        .map(|worker| {
            let (stage, served) = (Arc::clone(stage), Arc::clone(served));
            std::thread::spawn(move || {
                let entry = Arc::clone(&stage.system.entries[entry]);
                let begun = stage.log.now();
                for number in 0..count / workers {
                    if stage.is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let due = (number * workers + worker) as u64 * 1_000 / per_s as u64;
                    stage.log.sleep_until(begun + due);
                    let answer = stage.chat(&entry);
                    if answer.status() == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}

/// The machines of a sheet kill a process that goes over its memory, and start it again.
pub fn crash(log: &Log) -> Result<Verdict, String> {
    const PER_S: usize = 60;
    const COUNT: usize = 3_600;
    const ROUND: usize = 120;
    const ENDS: usize = 3;
    let site = Site { engines: 90, tokens: 289_174, memory_mb: 88 };
    let (stage, _store, _runners) = start(&site, log)?;
    let limit_kb = site.memory_mb * 1_024;
    let ends: Arc<Mutex<Vec<usize>>> = Arc::new(Mutex::new(vec![0; 3]));
    let peak = Arc::new(AtomicU64::new(0));
    let guard = {
        let (stage, ends, peak, log) = (Arc::clone(&stage), Arc::clone(&ends), Arc::clone(&peak), log.clone());
        std::thread::spawn(move || {
            let mut told = 0;
            while !stage.is_over.load(Ordering::SeqCst) {
                for (number, entry) in stage.system.entries.iter().enumerate() {
                    let Some(kb) = entry.memory_kb() else { continue };
                    peak.fetch_max(kb as u64, Ordering::SeqCst);
                    if log.now() > told + 2_000 {
                        log.say(format!("{}: {kb} KB of its own memory", entry.name));
                    }
                    if kb > limit_kb {
                        log.say(format!("platform: {} is over its memory with {kb} KB and is killed", entry.name));
                        ends.lock().unwrap()[number] += 1;
                        entry.kill();
                        std::thread::sleep(Duration::from_millis(300));
                        if let Err(error) = entry.restart() {
                            log.say(format!("{} does not start: {error}", entry.name));
                        }
                    }
                }
                if log.now() > told + 2_000 {
                    told = log.now();
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let served = Arc::new(AtomicU64::new(0));
    log.say(format!("clients: {COUNT} requests begin to each of two entries, {PER_S} a second, {PARTS} tokens each"));
    let presses: Vec<_> = (0..2)
        .map(|entry| {
            let (stage, served, ends) = (Arc::clone(&stage), Arc::clone(&served), Arc::clone(&ends));
            std::thread::spawn(move || {
                // In rounds, until the process has ended often enough.
                for _ in 0..COUNT / ROUND {
                    if ends.lock().unwrap()[entry] < ENDS {
                        let before = served.load(Ordering::SeqCst);
                        press(&stage, entry, ROUND, PER_S, &served);
                        let more = served.load(Ordering::SeqCst) - before;
                        let name = &stage.system.entries[entry].name;
                        stage.log.say(format!("clients: {ROUND} requests were sent to {name}; {more} were served by both entries meanwhile"));
                    }
                }
            })
        })
        .collect();
    for press in presses {
        let _ = press.join();
    }
    stage.is_over.store(true, Ordering::SeqCst);
    let _ = guard.join();
    let ends = ends.lock().unwrap().clone();
    let run = stage.run.lock().unwrap().iter().filter(|it| it.has_run).count();
    log.say(format!("runners: {run} requests were run"));
    log.say(format!(
        "result: processes went over their memory {ends:?} times on the three machines; peak {} KB of {limit_kb} KB; {} requests were served",
        peak.load(Ordering::SeqCst),
        served.load(Ordering::SeqCst)
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return Err("no request was served".to_owned());
    }
    let struck = ends.iter().filter(|it| **it >= ENDS).count();
    Ok(if struck >= 2 { Verdict::Broken } else { Verdict::Held })
}

/// Other clients' requests while one client goes on.
pub fn hang(log: &Log) -> Result<Verdict, String> {
    const PER_S: usize = 60;
    const SECONDS: usize = 65;
    const OTHERS: u64 = 20;
    let site = Site { engines: 12, tokens: 458_638, memory_mb: 260 };
    let (stage, _store, _runners) = start(&site, log)?;
    let results: Arc<Mutex<Vec<(u64, u16)>>> = Arc::default();
    let is_done = Arc::new(AtomicBool::new(false));
    let mut others = Vec::new();
    for number in 0..OTHERS {
        let (stage, results, is_done, log) = (Arc::clone(&stage), Arc::clone(&results), Arc::clone(&is_done), log.clone());
        others.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(number * 50));
            while !is_done.load(Ordering::SeqCst) {
                let (id, took, answer) = stage.line(&stage.system.entries[0]);
                log.say(format!("other client: {id} after {took} ms: {}", answer.brief()));
                results.lock().unwrap().push((took, answer.status()));
                std::thread::sleep(Duration::from_millis(1_000_u64.saturating_sub(took)));
            }
        }));
    }
    let silence = {
        let (stage, is_done, log) = (Arc::clone(&stage), Arc::clone(&is_done), log.clone());
        std::thread::spawn(move || {
            let (mut last, mut longest) = (log.now(), 0);
            while !is_done.load(Ordering::SeqCst) {
                let asked = log.now();
                let is_ready = stage.system.entries[0].is_ready();
                log.say(format!("platform: ready {is_ready} after {} ms", log.now() - asked));
                if is_ready {
                    longest = longest.max(log.now() - last);
                    last = log.now();
                }
                std::thread::sleep(Duration::from_millis(500));
            }
            longest.max(log.now() - last)
        })
    };
    let served = Arc::new(AtomicU64::new(0));
    log.say(format!("client: requests begin to the first entry, {PER_S} a second, {PARTS} tokens each"));
    let pressing = {
        let (stage, served) = (Arc::clone(&stage), Arc::clone(&served));
        std::thread::spawn(move || press(&stage, 0, PER_S * SECONDS, PER_S, &served))
    };
    log.sleep_until(log.now() + SECONDS as u64 * 1_000);
    stage.is_over.store(true, Ordering::SeqCst);
    let _ = pressing.join();
    let memory = stage.system.entries[0].memory_kb().unwrap_or(0);
    log.say(format!("client: they are over; {} served; the entry has {memory} KB", served.load(Ordering::SeqCst)));
    is_done.store(true, Ordering::SeqCst);
    for other in others {
        let _ = other.join();
    }
    let silence = silence.join().unwrap_or(0);
    let ended = stage.system.ended();
    if !ended.is_empty() {
        return Err(format!("entries have ended: {}", ended.join(" ")));
    }
    let results = results.lock().unwrap();
    let open = results.iter().filter(|(took, _)| *took >= TIMEOUT_MS).count();
    let missing = results.iter().filter(|(took, status)| {
        *took >= TIMEOUT_MS + MISSING_MS || (*status == 0 && *took >= TIMEOUT_MS)
    });
    let missing = missing.count();
    let good = results.iter().filter(|(_, status)| *status == 200).count();
    log.say(format!(
        "result: of {} requests of others {good} were served, {open} were unanswered at their route's TimeoutMs, {missing} of these half a second later; the entry did not say that it is ready for {silence} ms",
        results.len()
    ));
    if good == 0 {
        return Err("no request was served".to_owned());
    }
    // One late request is no hang.
    Ok(if open >= 8 && missing * 2 > open { Verdict::Broken } else { Verdict::Held })
}
