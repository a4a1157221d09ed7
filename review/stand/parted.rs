//! One machine is partitioned from all runners, while clients, the store and the other machines
//! reach it: are first tries at it served?

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::base::{
    Bounds, Machine, Net, Reader, answer, ask, now_ms, open_record, record, serve, sleep,
    until_ready,
};
use crate::store::{Store, Write1};

const RUNNERS: usize = 4;
const HEARTBEAT_MS: u64 = 1_200;
const CUT_MS: u64 = 10_000;
const CONTACT_MS: u64 = 3_000;
const EVERY_MS: u64 = 100;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"a.example","PathPrefix":"{prefix}","Kind":"{kind}","TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,"Service":"app","MaxAttempts":2,"Public":false}}"#
        )
    };
    format!(
        r#"{{"Version":11,"Routes":[{},{}],"Services":[{{"Name":"app","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"t","ApiKeys":["key"],"Priority":1}}]}}"#,
        route("r-get", "/a/", "idempotent"),
        route("r-post", "/p/", "non_idempotent")
    )
}

/// Whose connections to runners hang now.
type Cut = Arc<Mutex<BTreeSet<IpAddr>>>;

fn start_runner(index: usize, ip: &str, store: &Store, cut: &Cut, runs: &Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(format!("{ip}:8120")).expect("a runner's address is free");
    let address = listener.local_addr().unwrap();
    let id = format!("i-{index:08x}");
    let (own, cut, runs) = (id.clone(), Arc::clone(cut), Arc::clone(runs));
    serve(listener, move |stream| {
        let Ok(from) = stream.peer_addr() else { return };
        let is_cut = || cut.lock().unwrap().contains(&from.ip());
        let is_reset = std::env::var("HOW").is_ok_and(|it| it == "reset");
        // What a cut machine sends does not arrive while it is cut.
        let hang = || {
            while is_cut() && !is_reset {
                sleep(20);
            }
        };
        let mut reader = Reader::new(&stream);
        loop {
            if is_cut() && is_reset {
                return;
            }
            hang();
            let Ok(Some(request)) = reader.message(false) else {
                return;
            };
            if is_cut() && is_reset {
                return;
            }
            hang();
            let asked = request.header("request-id").unwrap_or_default().to_owned();
            let told = if request.word(1) == "/health" {
                answer(200, &[("Instance-Id", &own)], b"")
            } else if request
                .header("expect-instance")
                .is_some_and(|it| it != own)
            {
                answer(421, &[("Request-Id", &asked), ("Instance-Id", &own)], b"")
            } else {
                runs.lock().unwrap().push(asked.clone());
                sleep(30);
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
            hang();
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
            store.write(&Write1 {
                table: "servers",
                key: &id,
                value: Some(row),
                is_told: sequence == 0,
            });
            sleep(HEARTBEAT_MS);
        }
    });
}

/// Whether the directory of another machine names this one to clients of its zone.
fn is_listed(directory: SocketAddr, front: SocketAddr) -> bool {
    let request = "GET /api/resolve?Name=a.example&Region=r&Zone=z-a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let told = ask(directory, request, 1_000);
    told.is_ok_and(|it| String::from_utf8_lossy(&it.body).contains(&front.to_string()))
}

struct Try {
    machine: usize,
    sent: u64,
    said: String,
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
    let (cut, runs) = (Cut::default(), Arc::new(Mutex::new(Vec::new())));
    for index in 0..RUNNERS {
        start_runner(index, &net.ip(), &store, &cut, &runs);
    }
    let ips = [net.ip(), net.ip(), net.ip()];
    let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:8229")).collect();
    let make = |(index, ip): (usize, &String)| {
        let zone = ["z-a", "z-b", "z-c"][index];
        let mut machine = Machine::new(
            folder,
            &format!("front-{zone}-1"),
            ip,
            zone,
            &seeds,
            store.address,
            &Bounds { duties: None },
        );
        machine.connect_from_own_ip();
        machine
    };
    let mut machines: Vec<_> = ips.iter().enumerate().map(make).collect();
    for machine in &mut machines {
        machine.start();
    }
    if !until_ready(&machines) {
        return 2;
    }
    sleep(4_000);
    // Clients keep an answer of the directory for a second, some for three.
    let listed_at = Arc::new(AtomicU64::new(now_ms()));
    let (directory, front) = (machines[1].directory, machines[0].front);
    let telling = Arc::clone(&listed_at);
    std::thread::spawn(move || {
        let mut was = true;
        loop {
            let is = is_listed(directory, front);
            if is {
                telling.store(now_ms(), Ordering::Relaxed);
            }
            if is != was {
                record(&format!("the directory names the first machine: {is}"));
            }
            was = is;
            sleep(250);
        }
    });
    let (tries, is_over) = (
        Arc::new(Mutex::new(Vec::<Try>::new())),
        Arc::new(AtomicBool::new(false)),
    );
    let mut senders = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        for path in ["/a/1", "/p/1"] {
            let (front, tries, is_over): (SocketAddr, _, _) =
                (machine.front, Arc::clone(&tries), Arc::clone(&is_over));
            let listed_at = Arc::clone(&listed_at);
            senders.push(std::thread::spawn(move || {
                for round in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    if index == 0 && now_ms() - listed_at.load(Ordering::Relaxed) > 3_000 {
                        sleep(EVERY_MS);
                        continue;
                    }
                    let tries = Arc::clone(&tries);
                    std::thread::spawn(move || {
                        let method = if path == "/a/1" { "GET" } else { "POST" };
                        let kind = &path[1..2];
                        let request = format!(
                            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {kind}{index}-{round}\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                        );
                        let sent = now_ms();
                        let said = ask(front, &request, 2_500).map_or_else(|error| error, |it| it.status().to_string());
                        record(&format!("{kind}{index}-{round} sent at {sent} ms: {said} after {} ms", now_ms() - sent));
                        tries.lock().unwrap().push(Try { machine: index, sent, said });
                    });
                    sleep(EVERY_MS);
                }
            }));
        }
    }
    sleep(3_000);
    let begun = now_ms();
    if has_trouble {
        record(&format!("{} is cut off from all runners", machines[0].name));
        cut.lock().unwrap().insert(ips[0].parse().unwrap());
    }
    sleep(CUT_MS);
    let ended = now_ms();
    record("the cut ends");
    cut.lock().unwrap().clear();
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    sleep(3_000);
    let tries = tries.lock().unwrap();
    let within = |it: &&Try| it.sent >= begun + CONTACT_MS && it.sent + 1_000 < ended;
    let count = |is_cut: bool, is_served: Option<bool>| {
        let of = tries
            .iter()
            .filter(within)
            .filter(|it| (it.machine == 0) == is_cut);
        of.filter(|it| is_served.is_none_or(|wanted| (it.said == "200") == wanted))
            .count()
    };
    let (cut_all, cut_served) = (count(true, None), count(true, Some(true)));
    let (rest_all, rest_served) = (count(false, None), count(false, Some(true)));
    record(&format!(
        "first tries from {CONTACT_MS} ms after the cut began: {cut_served} of {cut_all} served at the cut machine, {rest_served} of {rest_all} at the others"
    ));
    let mut seen = BTreeSet::new();
    let twice = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|it| it.starts_with('p') && !seen.insert((*it).clone()))
        .count();
    record(&format!("non_idempotent requests that ran twice: {twice}"));
    if cut_all == 0 || rest_served * 2 < rest_all {
        return 2;
    }
    // RECOVER: less than two thirds as often, and more than 10 + 1 in 50 of all first tries fail there.
    let share = |served: usize, all: usize| served as f64 / all as f64;
    let is_rarer = share(cut_served, cut_all) < share(rest_served, rest_all) * 2.0 / 3.0;
    let failed = cut_all - cut_served;
    let all = cut_all + rest_all;
    i32::from(twice > 0 || (is_rarer && failed > 10 + all / 50))
}
