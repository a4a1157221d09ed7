//! The store comes back from a copy, and the operator takes a key away right then: is it heeded?

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::base::{
    Bounds, Machine, Net, Reader, answer, ask, now_ms, open_record, record, serve, sleep,
    until_ready,
};
use crate::store::{Store, Write1};

const RUNNERS: usize = 12;
/// How many machines there are; `MACHINES` in the environment tells another number.
const MACHINES: usize = 2;
const HEARTBEAT_MS: u64 = 1_200;
/// How soon a runner or the operator tries again while the store is away.
const RETRY_MS: u64 = 50;
const AWAY_MS: u64 = 1_300;
const COPIED_BEFORE_MS: u64 = 1_200;
const REVOKE_MS: u64 = 5_000;
const CONFIG_APPLY_MS: u64 = 2_000;

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"a.example","PathPrefix":"/a/","Kind":"idempotent","TimeoutMs":600,"TargetLatencyMs":100,"Priority":2,"Service":"app","MaxAttempts":2,"Public":false}}],"Services":[{{"Name":"app","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"t","ApiKeys":[{}],"Priority":1}}]}}"#,
        keys.join(",")
    )
}

fn row(address: SocketAddr, sequence: u64) -> String {
    format!(
        r#"{{"Service":"app","Address":"{address}","Zone":"z-a","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Sequence":{sequence},"born":1796256000000}}"#
    )
}

/// The ids of the requests that runners ran.
type Runs = Arc<Mutex<Vec<String>>>;

/// A runner: it answers at once, and writes its row every [`HEARTBEAT_MS`].
fn start_runner(index: usize, ip: &str, store: &Store, runs: &Runs) {
    let listener = TcpListener::bind(format!("{ip}:8120")).expect("a runner's address is free");
    let address = listener.local_addr().unwrap();
    let id = format!("i-{index:08x}");
    let (runs, own) = (Arc::clone(runs), id.clone());
    serve(listener, move |stream: TcpStream| {
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.message(false) {
            let expected = request.header("expect-instance").unwrap_or(&own).to_owned();
            let asked = request.header("request-id").unwrap_or_default().to_owned();
            let told = if request.word(1) == "/health" {
                answer(200, &[("Instance-Id", &own)], b"")
            } else if expected != own {
                answer(421, &[("Request-Id", &asked), ("Instance-Id", &own)], b"")
            } else {
                sleep(15);
                runs.lock().unwrap().push(asked.clone());
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
        sleep(index as u64 * HEARTBEAT_MS / RUNNERS as u64);
        for sequence in 0.. {
            let write = Write1 {
                table: "servers",
                key: &id,
                value: Some(row(address, sequence)),
                is_told: sequence == 0,
            };
            let mut was_away = false;
            while store.write(&write).is_none() {
                was_away = true;
                sleep(RETRY_MS);
            }
            if was_away {
                record(&format!(
                    "runner {id} has written its row again, the store is at version {}",
                    store.version()
                ));
            }
            sleep(HEARTBEAT_MS);
        }
    });
}

fn ask_for(machine: SocketAddr, id: &str, key: &str) -> String {
    let request = format!(
        "GET /a/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 600\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n"
    );
    ask(machine, &request, 1_500).map_or_else(|error| error, |it| it.status().to_string())
}

pub fn run(folder: &Path, to: &Path, has_trouble: bool) -> i32 {
    open_record(to);
    let mut net = Net::new();
    let store = Store::start(&net.ip());
    let write = |version: u64, keys: &[&str]| {
        let value = Some(config(version, keys));
        store.write(&Write1 {
            table: "op",
            key: "config",
            value,
            is_told: true,
        })
    };
    write(11, &["key-kept", "key-taken"]);
    let runs = Runs::default();
    for index in 0..RUNNERS {
        start_runner(index, &net.ip(), &store, &runs);
    }
    let count = std::env::var("MACHINES")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(MACHINES);
    let ips: Vec<_> = (0..count).map(|_| net.ip()).collect();
    let seeds: Vec<_> = ips.iter().take(3).map(|ip| format!("{ip}:8229")).collect();
    let make = |(index, ip): (usize, &String)| {
        let zone = ["z-a", "z-b", "z-c"][index % 3];
        Machine::new(
            folder,
            &format!("front-{zone}-{}", index / 3 + 1),
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
    sleep(6_000);
    for (index, machine) in machines.iter().enumerate() {
        for key in ["key-kept", "key-taken"] {
            let said = ask_for(machine.front, &format!("before-{index}-{key}"), key);
            record(&format!("{} is asked with {key}: {said}", machine.name));
            if said != "200" {
                return 2;
            }
        }
    }
    // The operator takes the key away; while the store is away, it tries again and again.
    if has_trouble {
        store.drill(AWAY_MS, COPIED_BEFORE_MS);
    } else {
        sleep(AWAY_MS);
    }
    let version = loop {
        match write(14, &["key-kept"]) {
            Some(version) => break version,
            None => sleep(RETRY_MS),
        }
    };
    record(&format!(
        "the store acknowledges configuration 14, without key-taken, at version {version}"
    ));
    let acked_at = now_ms();
    let mut late = Vec::new();
    let mut kept_served = 0;
    let mut round = 0;
    while now_ms() < acked_at + 25_000 {
        round += 1;
        for (index, machine) in machines.iter().enumerate() {
            let sent = now_ms();
            let id = format!("taken-{index}-{round}");
            let said = ask_for(machine.front, &id, "key-taken");
            let has_run = runs.lock().unwrap().contains(&id);
            let after = sent - acked_at;
            record(&format!(
                "{} ms after the acknowledgement {} is asked with key-taken: {said}, has run: {has_run}",
                after, machine.name
            ));
            if has_run && after > REVOKE_MS {
                late.push((machine.name.clone(), after));
            }
            if has_run && after > CONFIG_APPLY_MS && after <= REVOKE_MS {
                record("(run later than ConfigApplyMs after the acknowledgement)");
            }
            let said = ask_for(machine.front, &format!("kept-{index}-{round}"), "key-kept");
            kept_served += usize::from(said == "200");
        }
        sleep(250);
    }
    for machine in &machines {
        for line in machine
            .log_lines("a plan was learnt")
            .iter()
            .chain(&machine.log_lines("platform"))
        {
            record(&format!("log of {}: {line}", machine.name));
        }
    }
    record(&format!(
        "requests with key-kept that were served: {kept_served}"
    ));
    if kept_served == 0 {
        return 2;
    }
    record(&format!(
        "requests with key-taken that were sent over {REVOKE_MS} ms after the acknowledgement and ran: {}",
        late.len()
    ));
    i32::from(!late.is_empty())
}
