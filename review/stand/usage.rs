//! The store comes back from a copy, and all machines lose power with it: is a window of usage that
//! was reported before reported again, with other counts?

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::base::{
    Bounds, Json, Machine, Net, Reader, answer, ask, now_ms, open_record, record, serve, sleep,
    until_ready,
};
use crate::store::{Store, Write1};

const RUNNERS: usize = 4;
const HEARTBEAT_MS: u64 = 1_200;
const AWAY_MS: u64 = 1_500;
const COPIED_BEFORE_MS: u64 = 2_000;
const DOWN_MS: u64 = 2_000;
const WATCH_MS: u64 = 40_000;

fn config() -> String {
    r#"{"Version":11,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/a/","Kind":"idempotent","TimeoutMs":600,"TargetLatencyMs":100,"Priority":2,"Service":"app","MaxAttempts":2,"Public":false}],"Services":[{"Name":"app","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"ta","ApiKeys":["key-a"],"Priority":1},{"Name":"tb","ApiKeys":["key-b"],"Priority":1}]}"#.to_owned()
}

fn start_runner(index: usize, ip: &str, store: &Store) {
    let listener = TcpListener::bind(format!("{ip}:8120")).expect("a runner's address is free");
    let address = listener.local_addr().unwrap();
    let id = format!("i-{index:08x}");
    let own = id.clone();
    serve(listener, move |stream| {
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.message(false) {
            let asked = request.header("request-id").unwrap_or_default().to_owned();
            let told = if request.word(1) == "/health" {
                answer(200, &[("Instance-Id", &own)], b"")
            } else if request
                .header("expect-instance")
                .is_some_and(|it| it != own)
            {
                answer(421, &[("Request-Id", &asked), ("Instance-Id", &own)], b"")
            } else {
                sleep(15);
                answer(
                    200,
                    &[
                        ("Request-Id", &asked),
                        ("Response-Seal", "s"),
                        ("Server-Load", "1,0,6"),
                    ],
                    b"done",
                )
            };
            if (&stream).write_all(&told).is_err() {
                return;
            }
        }
    });
    let store = store.clone();
    std::thread::spawn(move || {
        for sequence in 0.. {
            let row = format!(
                r#"{{"Service":"app","Address":"{address}","Zone":"z-a","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Sequence":{sequence},"born":1796256000000}}"#
            );
            let write = Write1 {
                table: "servers",
                key: &id,
                value: Some(row),
                is_told: sequence == 0,
            };
            while store.write(&write).is_none() {
                sleep(100);
            }
            sleep(HEARTBEAT_MS);
        }
    });
}

/// The reports that the platform has accepted: all counts by window.
type Reports = Arc<Mutex<BTreeMap<u64, Vec<String>>>>;

fn start_platform(ip: &str, reports: &Reports) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:8333")).expect("the platform's address is free");
    let address = listener.local_addr().unwrap();
    let reports = Arc::clone(reports);
    serve(listener, move |stream| {
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.message(false) {
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            let holder = request
                .header("lease-holder")
                .unwrap_or_default()
                .to_owned();
            let token = request
                .header("fencing-token")
                .unwrap_or_default()
                .to_owned();
            let counts = match body.get("Counts") {
                Json::Object(fields) => {
                    let sorted: BTreeMap<_, _> = fields
                        .iter()
                        .map(|(name, count)| (name, count.number()))
                        .collect();
                    format!("{sorted:?}")
                }
                _ => "none".to_owned(),
            };
            let window = body.get("Window").number();
            record(&format!(
                "the platform accepts {} of window {window}: {counts} (holder {holder}, token {token})",
                request.word(1)
            ));
            reports
                .lock()
                .unwrap()
                .entry(window)
                .or_default()
                .push(counts);
            if (&stream).write_all(&answer(200, &[], b"")).is_err() {
                return;
            }
        }
    });
    address
}

pub fn run(folder: &Path, to: &Path, has_trouble: bool) -> i32 {
    open_record(to);
    let mut net = Net::new();
    let store = Store::start(&net.ip());
    store.write(&Write1 {
        table: "op",
        key: "config",
        value: Some(config()),
        is_told: true,
    });
    let reports = Reports::default();
    let platform = start_platform(&net.ip(), &reports);
    for index in 0..RUNNERS {
        start_runner(index, &net.ip(), &store);
    }
    let ips = [net.ip(), net.ip(), net.ip()];
    let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:8229")).collect();
    let bounds = Bounds {
        duties: Some(platform),
    };
    let make = |(index, ip): (usize, &String)| {
        let zone = ["z-a", "z-b", "z-c"][index];
        Machine::new(
            folder,
            &format!("front-{zone}-1"),
            ip,
            zone,
            &seeds,
            store.address,
            &bounds,
        )
    };
    let mut machines: Vec<_> = ips.iter().enumerate().map(make).collect();
    for machine in &mut machines {
        machine.start();
    }
    if !until_ready(&machines) {
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        let (front, is_over) = (machine.front, Arc::clone(&is_over));
        clients.push(std::thread::spawn(move || {
            let mut served = 0;
            for round in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let key = ["key-a", "key-b"][round % 2];
                let request = format!(
                    "GET /a/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c{index}-{round}\r\nDeadline-Ms: 600\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n"
                );
                served += usize::from(ask(front, &request, 1_000).is_ok_and(|it| it.status() == 200));
                sleep(100);
            }
            served
        }));
    }
    // Some windows are reported; then the trouble strikes right after one more.
    let count = || reports.lock().unwrap().len();
    let until = |wanted: usize, limit_ms: u64| {
        let begun = now_ms();
        while count() < wanted && now_ms() < begun + limit_ms {
            sleep(10);
        }
        count() >= wanted
    };
    if !until(3, 40_000) {
        record("no usage was reported");
        return 2;
    }
    let last = *reports.lock().unwrap().keys().last().unwrap();
    record(&format!(
        "window {last} is the last that was reported before the trouble"
    ));
    sleep(200);
    if has_trouble {
        let drilling = store.clone();
        let drill = std::thread::spawn(move || drilling.drill(AWAY_MS, COPIED_BEFORE_MS));
        sleep(100);
        for machine in &mut machines {
            machine.kill();
        }
        sleep(DOWN_MS);
        drill.join().unwrap();
        for machine in &mut machines {
            machine.start();
        }
        if !until_ready(&machines) {
            return 2;
        }
    }
    let before = count();
    sleep(WATCH_MS);
    is_over.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|it| it.join().unwrap()).sum();
    record(&format!(
        "requests served: {served}; windows reported after the trouble: {}",
        count() - before
    ));
    if count() == before {
        return 2;
    }
    let mut broken = 0;
    for (window, counts) in reports.lock().unwrap().iter() {
        if counts.iter().any(|it| *it != counts[0]) {
            broken += 1;
            record(&format!(
                "window {window} was reported with counts that differ: {}",
                counts.join(" / ")
            ));
        }
    }
    record(&format!(
        "windows with two reports whose counts differ: {broken}"
    ));
    i32::from(broken > 0)
}
