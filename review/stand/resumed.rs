//! All machines are killed while streams run at runners of two software versions: do the streams go
//! on that clients take up again afterwards?

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{
    Bounds, Machine, Net, Reader, answer, now_ms, open_record, record, serve, sleep, until_ready,
};
use crate::store::{Store, Write1};

const RUNNERS: usize = 4;
const HEARTBEAT_MS: u64 = 1_200;
const STREAMS: usize = 24;
const EVENTS: u64 = 48;
const EVENT_MS: u64 = 250;
const DEADLINE_MS: u64 = 15_000;
const DOWN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

fn config() -> String {
    r#"{"Version":11,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/s/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":500,"Priority":0,"Service":"app","MaxAttempts":2,"Public":false,"Resumable":true,"TargetGapMs":1000}],"Services":[{"Name":"app","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["key"],"Priority":1}]}"#.to_owned()
}

fn start_runner(index: usize, ip: &str, store: &Store) {
    let listener = TcpListener::bind(format!("{ip}:8120")).expect("a runner's address is free");
    let address = listener.local_addr().unwrap();
    let id = format!("i-{index:08x}");
    let version = ["v1", "v2"][index % 2];
    let own = id.clone();
    serve(listener, move |stream| {
        let _ = connection(&stream, &own, version);
    });
    let store = store.clone();
    std::thread::spawn(move || {
        for sequence in 0.. {
            let row = format!(
                r#"{{"Service":"app","Address":"{address}","Zone":"z-a","Version":"{version}","Slots":64,"State":"ready","ColdLeftMs":0,"Sequence":{sequence},"born":1796256000000}}"#
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

fn connection(stream: &TcpStream, own: &str, version: &str) -> std::io::Result<()> {
    let mut reader = Reader::new(stream);
    let mut out = stream;
    while let Some(request) = reader.message(false)? {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.word(1) == "/health" {
            out.write_all(&answer(200, &[("Instance-Id", own)], b""))?;
            continue;
        }
        if request
            .header("expect-instance")
            .is_some_and(|it| it != own)
        {
            out.write_all(&answer(
                421,
                &[("Request-Id", &id), ("Instance-Id", own)],
                b"",
            ))?;
            continue;
        }
        let from = request
            .header("last-event-id")
            .and_then(|it| it.parse::<u64>().ok())
            .map_or(0, |it| it + 1);
        record(&format!("{own} ({version}) runs {id} from event {from}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for event in from..EVENTS {
            let text = format!("id: {event}\ndata: {version}\n\n");
            out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep(EVENT_MS);
        }
        out.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// What a client has of a stream.
#[derive(Clone, Debug, Default)]
struct Got {
    status: String,
    last: Option<u64>,
    version: String,
}

/// Sends a request for a stream and reads events until it ends, or until `limit_ms`.
fn read_stream(machine: SocketAddr, id: &str, more: &str, left_ms: u64, limit_ms: u64) -> Got {
    let mut got = Got::default();
    let request = format!(
        "POST /s/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {left_ms}\r\nAuthorization: Bearer key\r\n{more}Content-Length: 4\r\n\r\nbody"
    );
    let Ok(mut stream) = TcpStream::connect_timeout(&machine, Duration::from_secs(1)) else {
        got.status = "no connection".to_owned();
        return got;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let _ = stream.write_all(request.as_bytes());
    let begun = now_ms();
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    while now_ms() < begun + limit_ms {
        match lines.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        }
        let text = line.trim().to_owned();
        line.clear();
        if let Some(rest) = text.strip_prefix("HTTP/1.1 ") {
            got.status = rest.split(' ').next().unwrap_or_default().to_owned();
        } else if let Some(rest) = text.strip_prefix("id: ") {
            got.last = rest.parse().ok();
        } else if let Some(rest) = text.strip_prefix("data: ") {
            got.version = rest.to_owned();
        } else if text.starts_with("{\"error\"") {
            got.status = format!("{} {text}", got.status);
            break;
        }
    }
    got
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
    for index in 0..RUNNERS {
        start_runner(index, &net.ip(), &store);
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
    sleep(6_000);
    let fronts: Vec<_> = machines.iter().map(|it| it.front).collect();
    let begun = now_ms();
    let all: Arc<Mutex<Vec<(usize, Got)>>> = Arc::default();
    // Clients of machines that live lose their connections by themselves.
    let limit = 2_500;
    let clients: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (front, all) = (fronts[index % 3], Arc::clone(&all));
            std::thread::spawn(move || {
                let got = read_stream(front, &format!("first-{index}"), "", DEADLINE_MS, limit);
                all.lock().unwrap().push((index, got));
            })
        })
        .collect();
    sleep(2_000);
    if has_trouble {
        // For comparison, `KILLED` in the environment tells how many of them.
        let killed = std::env::var("KILLED").ok().and_then(|it| it.parse().ok());
        let killed = killed.unwrap_or(machines.len());
        for machine in machines.iter_mut().take(killed) {
            machine.kill();
        }
        sleep(DOWN_MS);
        for machine in machines.iter_mut().take(killed) {
            machine.start();
        }
        if !until_ready(&machines) {
            return 2;
        }
    } else {
        sleep(DOWN_MS);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(CONTACT_MS + 500);
    record("the machines are in touch again; clients take their streams up");
    let firsts = all.lock().unwrap().clone();
    let taken: Vec<_> = firsts
        .into_iter()
        .filter(|(_, got)| got.last.is_some())
        .collect();
    let resumed: Arc<Mutex<Vec<bool>>> = Arc::default();
    let new: Arc<Mutex<Vec<bool>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, got) in taken.clone() {
        // At another machine than before.
        let (front, resumed) = (fronts[(index + 1) % 3], Arc::clone(&resumed));
        clients.push(std::thread::spawn(move || {
            let left = (begun + DEADLINE_MS).saturating_sub(now_ms());
            let last = got.last.unwrap_or_default();
            let more = format!("Last-Event-Id: {last}\r\nResumes: first-{index}\r\n");
            let mut goes_on = false;
            for round in 0..3 {
                let again =
                    read_stream(front, &format!("again-{index}-{round}"), &more, left, 1_000);
                record(&format!(
                    "first-{index} ({} to event {last}) taken up: {} {:?} {}",
                    got.version, again.status, again.last, again.version
                ));
                goes_on = again.last.is_some_and(|it| it > last) && again.version == got.version;
                if goes_on {
                    break;
                }
                sleep(400);
            }
            resumed.lock().unwrap().push(goes_on);
        }));
    }
    for index in 0..STREAMS {
        let (front, new) = (fronts[index % 3], Arc::clone(&new));
        clients.push(std::thread::spawn(move || {
            let got = read_stream(front, &format!("new-{index}"), "", 6_000, 1_500);
            record(&format!(
                "new-{index}: {} {:?} {}",
                got.status, got.last, got.version
            ));
            new.lock().unwrap().push(got.last.is_some());
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let count = |of: &Arc<Mutex<Vec<bool>>>| {
        let of = of.lock().unwrap();
        (of.iter().filter(|it| **it).count(), of.len())
    };
    let ((went_on, of_taken), (began, of_new)) = (count(&resumed), count(&new));
    record(&format!(
        "{went_on} of {of_taken} streams that were taken up went on; {began} of {of_new} new ones began"
    ));
    for machine in &machines {
        for line in machine.log_lines("unknown_version").iter().take(2) {
            record(&format!("log of {}: {line}", machine.name));
        }
    }
    if of_taken < 12 || began == 0 {
        return 2;
    }
    let share = |some: usize, all: usize| some as f64 / all as f64;
    i32::from(share(went_on, of_taken) < share(began, of_new) / 2.0)
}
