//! A runner leaves as planned and ends while answers of it without length and chunks are on their
//! way: does what it wrote until then look whole to clients?

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::base::{Bounds, Machine, Message, Net, ask, open_record, record, sleep, until_ready};
use crate::runner::{LEAVE_MS, PIECE_MS, Runner, whole_body};
use crate::store::{Store, Write1};

const RUNNERS: usize = 4;
const HEARTBEAT_MS: u64 = 1_200;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"a.example","PathPrefix":"{prefix}","Kind":"{kind}","TimeoutMs":12000,"TargetLatencyMs":3000,"Priority":2,"Service":"app","MaxAttempts":1,"Public":false,"Resumable":false,"TargetGapMs":1000}}"#
        )
    };
    format!(
        r#"{{"Version":11,"Routes":[{},{}],"Services":[{{"Name":"app","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"t","ApiKeys":["key"],"Priority":1}}]}}"#,
        route("r-stream", "/s/", "streaming"),
        route("r-post", "/p/", "non_idempotent")
    )
}

fn row(address: SocketAddr, state: &str, sequence: u64) -> String {
    format!(
        r#"{{"Service":"app","Address":"{address}","Zone":"z-a","Version":"v1","Slots":64,"State":"{state}","ColdLeftMs":0,"Sequence":{sequence},"born":1796256000000}}"#
    )
}

fn send(machine: SocketAddr, path: &str, id: &str) -> Result<Message, String> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
    );
    ask(machine, &request, 15_000)
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
    let runs = folder.join("runs.txt");
    let log = || {
        std::fs::File::options()
            .create(true)
            .append(true)
            .open(&runs)
            .unwrap()
    };
    let runners =
        (0..RUNNERS).map(|index| Runner::start(&net.ip(), &format!("i-{index:08x}"), log()));
    let mut runners: Vec<_> = runners.collect();
    let draining = Arc::new(Mutex::new(None::<String>));
    for runner in &runners {
        let (id, address) = (runner.id.clone(), runner.address);
        let (store, draining) = (store.clone(), Arc::clone(&draining));
        std::thread::spawn(move || {
            let mut told = String::new();
            for sequence in 0.. {
                let state = if draining.lock().unwrap().as_ref() == Some(&id) {
                    "draining"
                } else {
                    "ready"
                };
                let is_told = told != state;
                told = state.to_owned();
                store.write(&Write1 {
                    table: "servers",
                    key: &id,
                    value: Some(row(address, state, sequence)),
                    is_told,
                });
                if state == "draining" {
                    // It ends before its next heartbeat but one.
                    return;
                }
                for _ in 0..HEARTBEAT_MS / 50 {
                    let state = if draining.lock().unwrap().as_ref() == Some(&id) {
                        "draining"
                    } else {
                        "ready"
                    };
                    if told != state {
                        break;
                    }
                    sleep(50);
                }
            }
        });
    }
    let ips = [net.ip(), net.ip(), net.ip()];
    let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:8229")).collect();
    let make = |(index, ip): (usize, &String)| {
        let zone = ["z-a", "z-b", "z-c"][index];
        Machine::new(
            folder,
            &format!("front-{zone}-1"),
            ip,
            zone,
            &seeds,
            store.address,
            &Bounds { duties: None },
        )
    };
    let mut machines: Vec<_> = ips.iter().enumerate().map(make).collect();
    for machine in &mut machines {
        machine.start();
    }
    if !until_ready(&machines) {
        return 2;
    }
    sleep(4_000);
    let mut clients = Vec::new();
    for index in 0..12 {
        let front = machines[index % machines.len()].front;
        let name = machines[index % machines.len()].name.clone();
        clients.push(std::thread::spawn(move || {
            let is_stream = index % 2 == 0;
            let id = format!("{}-{index}", if is_stream { "stream" } else { "post" });
            record(&format!("{name} is sent {id}"));
            let said = send(front, if is_stream { "/s/1" } else { "/p/1" }, &id);
            let whole = whole_body(is_stream, &id);
            match said {
                Ok(it) => {
                    let got = String::from_utf8_lossy(&it.body).into_owned();
                    let is_whole = got == whole;
                    record(&format!(
                        "{id} got {} with {} of {} bytes, {}: {}",
                        it.status(),
                        got.len(),
                        whole.len(),
                        if it.is_complete {
                            "ended as complete"
                        } else {
                            "broken off"
                        },
                        if is_whole {
                            "the whole body"
                        } else {
                            "not the whole body"
                        },
                    ));
                    (
                        it.status() == 200 && it.is_complete && !is_whole,
                        it.status() == 200 && is_whole,
                    )
                }
                Err(error) => {
                    record(&format!("{id} got no answer: {error}"));
                    (false, false)
                }
            }
        }));
    }
    sleep(PIECE_MS * 6 + PIECE_MS / 2);
    // The runner that is at work on the most requests leaves.
    let begun = std::fs::read_to_string(&runs).unwrap_or_default();
    let work = |id: &str| begun.lines().filter(|line| line.starts_with(id)).count();
    let busiest = runners.iter_mut().max_by_key(|it| work(&it.id)).unwrap();
    if has_trouble {
        let id = busiest.id.clone();
        record(&format!(
            "runner {id}, at work on {} requests, leaves",
            work(&id)
        ));
        // For comparison: `HOW=quiet` ends it without its having set draining, `HOW=crash` by SIGKILL.
        match std::env::var("HOW").as_deref() {
            Ok("quiet") => busiest.leave(false),
            Ok("crash") => busiest.crash(),
            _ => {
                *draining.lock().unwrap() = Some(id.clone());
                busiest.leave(true);
            }
        }
        busiest.wait();
        record(&format!("runner {id} has ended, {LEAVE_MS} ms later"));
        store.write(&Write1 {
            table: "servers",
            key: &id,
            value: None,
            is_told: true,
        });
    }
    let ends: Vec<_> = clients.into_iter().map(|it| it.join().unwrap()).collect();
    for line in std::fs::read_to_string(&runs).unwrap_or_default().lines() {
        record(&format!("runs: {line}"));
    }
    let broken = ends.iter().filter(|(is_broken, _)| *is_broken).count();
    let whole = ends.iter().filter(|(_, is_whole)| *is_whole).count();
    record(&format!(
        "answers that look complete and are not the runner's whole body: {broken}; whole answers: {whole}"
    ));
    if !has_trouble && whole < ends.len() {
        return 2;
    }
    i32::from(broken > 0)
}
