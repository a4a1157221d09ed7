//! Clients that stall in the middle of a body take the places of a machine; other clients keep their
//! connections and read their answers over a slow line.

use std::collections::HashSet;
use std::ffi::c_int;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::base::{Log, read_head};
use crate::runner::{Arrivals, Runner, Work};
use crate::store::Store;
use crate::system::{Net, System};
use crate::{Verdict, has_trouble};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const CONFIG: &str = r#"{"Version":7,
"Routes":[{"Name":"r-notes","Host":"calls.example","PathPrefix":"/notes/","Kind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":500,"Priority":2,"Service":"notes","MaxAttempts":1,"Public":false,"Resumable":false}],
"Services":[{"Name":"notes","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}"#;

const WORK: Work = Work::Plain(Duration::from_millis(30));
/// Clients that stall, and how long each waits before it tries again.
const STALLED: u64 = 1_000;
const STALLED_PAUSE: Duration = Duration::from_millis(300);
/// Other clients, the bytes of their answers, and their line: so many bytes each 2 ms, 8 Mbit/s.
const OTHERS: u64 = 12;
const ANSWER_BYTES: usize = 48_000;
const LINE_BYTES: usize = 2_048;
const LINE_PAUSE: Duration = Duration::from_millis(2);
/// The receive buffer of their sockets, as on a small device.
const RECEIVE_BUFFER: c_int = 4_096;
const SECONDS: u64 = 25;
/// The rule's bound.
const MOST: usize = 3;

const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

unsafe extern "C" {
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_int, length: u32) -> c_int;
}

/// What became of the other clients' requests.
#[derive(Default)]
struct Tally {
    whole: usize,
    refused: usize,
    /// Closed, or not connected, without an answer.
    closed: usize,
    /// Requests whose answer was cut off by the machine, with whether their connection was a kept
    /// one: another request had been answered on it.
    cut: Vec<(String, bool)>,
}

fn head(id: &str, body: usize) -> String {
    format!(
        "POST /notes/2f HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nAnswer-Bytes: {ANSWER_BYTES}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {body}\r\n\r\n"
    )
}

/// Sends the head and a part of the body, and nothing more; tries again once it is closed.
fn stall(number: u64, front: SocketAddr, tries: &AtomicUsize, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        if let Ok(mut stream) = TcpStream::connect(front) {
            tries.fetch_add(1, Ordering::SeqCst);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let _ = stream.write_all(head(&format!("{number:016x}"), 9_000).as_bytes());
            let _ = stream.write_all(b"the first part of a body");
            let _ = stream.read(&mut [0; 512]);
        }
        thread::sleep(STALLED_PAUSE);
    }
}

/// Sends one request after the other, on a kept connection where there is one.
fn read_slowly(front: SocketAddr, number: &AtomicUsize, tally: &Mutex<Tally>, log: &Log, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(front) else {
            tally.lock().unwrap().closed += 1;
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let length = size_of::<c_int>() as u32;
        // SAFETY: the socket is open, and the value is as long as said.
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, length) };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(copy) = stream.try_clone() else { continue };
        let mut reader = BufReader::with_capacity(LINE_BYTES, copy);
        let mut answered = 0;
        while !is_over.load(Ordering::SeqCst) {
            let id = format!("{:016x}", 0x9c41_0000_0000 + number.fetch_add(1, Ordering::SeqCst));
            if stream.write_all(head(&id, 4).as_bytes()).is_err() || stream.write_all(b"note").is_err() {
                tally.lock().unwrap().closed += 1;
                break;
            }
            let Ok(Some(answer)) = read_head(&mut reader) else {
                tally.lock().unwrap().closed += 1;
                break;
            };
            if answer.status() != 200 {
                log.say(format!("other client: {id} gets {}", answer.status()));
                tally.lock().unwrap().refused += 1;
                break;
            }
            let length = answer.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            let mut received = 0;
            let mut bytes = [0; LINE_BYTES];
            let end = loop {
                if received >= length {
                    break None;
                }
                match reader.read(&mut bytes) {
                    Ok(0) => break Some("closed".to_owned()),
                    Ok(count) => received += count,
                    Err(error) => break Some(error.kind().to_string()),
                }
                thread::sleep(LINE_PAUSE);
            };
            match end {
                None => {
                    answered += 1;
                    log.say(format!("other client: {id} gets 200 and all of {length} bytes"));
                    tally.lock().unwrap().whole += 1;
                }
                Some(reason) => {
                    log.say(format!(
                        "other client: {id} gets 200 and {received} of {length} bytes, then: {reason}; answered before on this connection: {answered}"
                    ));
                    tally.lock().unwrap().cut.push((id, answered > 0));
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

pub fn play(log: &Log) -> Result<Verdict, String> {
    let net = Net::new();
    let store = Store::start(&format!("{}:8223", net.ip(1)), log);
    store.put("op", "config", CONFIG);
    let arrivals = Arrivals::default();
    for number in 1..=3 {
        let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
        let address = format!("{}:8120", net.ip(10 + number));
        let runner = Runner::start(&format!("i-{number}"), "notes", "v1", zone, &address, WORK, &arrivals, log);
        runner.list(&store);
    }
    let system = System::start(&net, 3, 110, &store, log).map_err(|error| error.to_string())?;
    if !system.until_ready(Duration::from_secs(15)) {
        return Err("the entries are not ready".to_owned());
    }
    system.watch(log);
    log.sleep_until(log.now() + 4_000);
    let front = system.entries[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let tries = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    if has_trouble() {
        log.say(format!("disruption: {STALLED} clients send a part of a body and stall"));
        for number in 0..STALLED {
            let (tries, is_over) = (Arc::clone(&tries), Arc::clone(&is_over));
            let stalled = thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                thread::sleep(Duration::from_millis(number));
                stall(number, front, &tries, &is_over);
            });
            stalled.map_err(|error| error.to_string())?;
        }
    }
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let number = Arc::new(AtomicUsize::new(0));
    for client in 0..OTHERS {
        let (tally, number, log, is_over) =
            (Arc::clone(&tally), Arc::clone(&number), log.clone(), Arc::clone(&is_over));
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(13 * client));
            read_slowly(front, &number, &tally, &log, &is_over);
        }));
    }
    log.sleep_until(log.now() + SECONDS * 1_000);
    is_over.store(true, Ordering::SeqCst);
    log.say(format!("stalled clients: {} tries in all", tries.load(Ordering::SeqCst)));
    for thread in threads {
        let _ = thread.join();
    }
    let ended = system.ended();
    if !ended.is_empty() {
        return Err(format!("entries have ended: {}", ended.join(" ")));
    }
    let tally = tally.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let answered: HashSet<_> = arrivals.iter().filter(|it| it.is_answered).map(|it| it.id.as_str()).collect();
    // What a runner answered in full, and the machine cut off.
    let lost: Vec<_> = tally.cut.iter().filter(|(id, _)| answered.contains(id.as_str())).collect();
    let kept = lost.iter().filter(|(_, is_kept)| *is_kept).count();
    log.say(format!(
        "result: of the other clients' requests {} were answered whole, {} refused, {} closed without an answer; {} were run and answered by their runners and cut off by the machine, {kept} of them on kept connections",
        tally.whole,
        tally.refused,
        tally.closed,
        lost.len()
    ));
    if tally.whole == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(if kept > MOST { Verdict::Broken } else { Verdict::Held })
}
