//! An answer on the list of runners is lost; some seconds after the disruption a runner leaves.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Answer, Log, ask};
use crate::runner::{Arrivals, Runner, Work};
use crate::store::Store;
use crate::system::{CONTACT_MS, DRAIN_MS, Entry, Net, System};
use crate::{Verdict, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const CONFIG: &str = r#"{"Version":7,
"Routes":[{"Name":"r-notes","Host":"calls.example","PathPrefix":"/notes/","Kind":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,"Service":"notes","MaxAttempts":1,"Public":false,"Resumable":false}],
"Services":[{"Name":"notes","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}"#;

/// The work of a request.
const WORK: Work = Work::Plain(Duration::from_millis(100));
/// For how long the store loses answers.
const LOSS_MS: u64 = 4_500;
/// How much longer than `DrainMs` a runner serves that leaves.
const LINGER_MS: u64 = 1_000;
/// How long before its end the requests are sent.
const BEFORE_END_MS: u64 = 90;
const REQUESTS: usize = 30;

static NUMBER: AtomicUsize = AtomicUsize::new(0);

fn send(entry: &Entry, log: &Log) -> Answer {
    let id = format!("{:016x}", 0x9c41_0000_0000 + NUMBER.fetch_add(1, Ordering::SeqCst));
    let headers = [
        ("Host", "calls.example"),
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", "1000"),
        ("Authorization", &format!("Bearer {KEY}")),
        ("Content-Type", "text/plain"),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    log.say(format!("client: {id} is sent to {}", entry.name));
    let limit = Duration::from_millis(1_500);
    let answer = ask(entry.front, "POST /notes/2f", &headers, b"a note", limit, |_| {});
    log.say(format!("client: {id} gets {}", answer.brief()));
    answer
}

pub fn play(log: &Log) -> Result<Verdict, String> {
    let net = Net::new();
    let store = Store::start(&format!("{}:8223", net.ip(1)), log);
    store.put("op", "config", CONFIG);
    let arrivals = Arrivals::default();
    let start = |number: usize| {
        let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
        let address = format!("{}:8120", net.ip(10 + number));
        let id = format!("i-{number}");
        Runner::start(&id, "notes", "v1", zone, &address, WORK, &arrivals, log)
    };
    let runners: Vec<_> = (1..=3).map(start).collect();
    runners.iter().for_each(|it| it.list(&store));
    let system = System::start(&net, 3, 110, &store, log).map_err(|error| error.to_string())?;
    if !system.until_ready(Duration::from_secs(15)) {
        return Err("the entries are not ready".to_owned());
    }
    log.say(format!("directory: {}", system.entries[0].resolve().brief()));
    system.watch(log);
    let begin = log.now() + 5_000;

    // One request after the other, until the runner leaves.
    let is_paused = Arc::new(AtomicBool::new(false));
    let steady = {
        let (entries, log, is_paused) = (system.entries.clone(), log.clone(), Arc::clone(&is_paused));
        std::thread::spawn(move || {
            for entry in entries.iter().cycle() {
                if is_paused.load(Ordering::SeqCst) {
                    return;
                }
                send(entry, &log);
                std::thread::sleep(Duration::from_millis(150));
            }
        })
    };
    log.sleep_until(begin + 1_000);
    let fourth = start(4);
    fourth.list(&store);
    log.sleep_until(begin + 3_000);
    if has_trouble() {
        store.losses.lock().unwrap().table = Some("servers".to_owned());
        log.say("disruption: answers of the store are lost from now on");
    }
    log.sleep_until(begin + 3_200);
    let fifth = start(5);
    fifth.list(&store);
    log.sleep_until(begin + 3_000 + LOSS_MS);
    store.losses.lock().unwrap().table = None;
    let losses = store.losses.lock().unwrap().clone();
    log.say(format!("disruption: over; {} of {} answers were lost", losses.lost, losses.answers));

    // All machines are in touch again, and the store is stable.
    log.sleep_until(begin + 3_000 + LOSS_MS + CONTACT_MS + 500);
    is_paused.store(true, Ordering::SeqCst);
    let _ = steady.join();
    log.sleep_until(begin + 3_000 + LOSS_MS + CONTACT_MS + 1_500);
    let leaving = &runners[0];
    leaving.leave(&store);
    let left = log.now();
    let end = left + DRAIN_MS + LINGER_MS;
    log.sleep_until(end - BEFORE_END_MS);
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let entry = Arc::clone(&system.entries[number % system.entries.len()]);
            let (log, answers) = (log.clone(), Arc::clone(&answers));
            std::thread::spawn(move || {
                let answer = send(&entry, &log);
                answers.lock().unwrap().push(answer);
            })
        })
        .collect();
    log.sleep_until(end);
    leaving.end();
    for client in clients {
        let _ = client.join();
    }
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("entries have ended: {}", ended.join(" ")));
    }
    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|it| it.status() == 200).count();
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|it| it.runner == "i-1" && it.at > left + DRAIN_MS);
    let late: Vec<_> = late.collect();
    let cut = late.iter().filter(|it| it.has_run && !it.is_answered).count();
    log.say(format!(
        "result: {} requests reached i-1 more than DrainMs after its leaving was acknowledged, {cut} of them were running when it ended; {served} of {REQUESTS} were served",
        late.len()
    ));
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
