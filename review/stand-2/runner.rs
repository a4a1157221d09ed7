//! Runners: plain services and engines that answer with a stream of events.

use std::fmt::Write as _;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::base::{Log, Message, quoted, read_body, read_head, unix_ms};
use crate::store::Store;

/// What a runner answers with.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A body after this time.
    Plain(Duration),
    /// So many events, each after this time.
    Stream(u32, Duration),
}

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
    pub runner: String,
    pub is_deadly: bool,
    pub has_run: bool,
    pub is_answered: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

struct Shared {
    id: String,
    service: String,
    version: String,
    zone: String,
    address: SocketAddr,
    slots: usize,
    work: Work,
    born: u64,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    /// Whether its requests are left out of the record.
    is_quiet: AtomicBool,
    /// The part of prompts that crashes it, and whether it did.
    deadly: Mutex<Option<String>>,
    has_crashed: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Arrivals,
    log: Log,
}

/// One life of a runner.
#[derive(Clone)]
pub struct Runner(Arc<Shared>);

impl Runner {
    /// Starts at an address with port 0 or a port that is free.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        zone: &str,
        address: &str,
        work: Work,
        arrivals: &Arrivals,
        log: &Log,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the runner's address is free");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            slots: 16,
            work,
            born: unix_ms(),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            is_quiet: AtomicBool::new(false),
            deadly: Mutex::default(),
            has_crashed: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            arrivals: Arc::clone(arrivals),
            log: log.clone(),
        });
        let serving = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let shared = Arc::clone(&serving);
                std::thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Self(shared)
    }

    /// Leaves its requests out of the record, where they are thousands.
    pub fn be_quiet(&self) {
        self.0.is_quiet.store(true, Ordering::SeqCst);
    }

    /// From now on this part of prompts crashes it, unless it is the last one.
    pub fn crash_on(&self, part: &str) {
        *self.0.deadly.lock().unwrap() = Some(part.to_owned());
    }

    pub fn has_crashed(&self) -> bool {
        self.0.has_crashed.load(Ordering::SeqCst)
    }

    /// Lists itself in the store.
    pub fn list(&self, store: &Store) {
        let it = &self.0;
        let row = format!(
            "{{\"Service\":{},\"Address\":{},\"Zone\":{},\"Version\":{},\"Slots\":{},\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1,\"born\":{}}}",
            quoted(&it.service),
            quoted(&it.address.to_string()),
            quoted(&it.zone),
            quoted(&it.version),
            it.slots,
            it.born
        );
        store.put("servers", &it.id, &row);
        it.log.say(format!("runner {} {} is listed", it.id, it.version));
    }

    /// Takes itself off the list without `draining`, and goes on serving.
    pub fn leave(&self, store: &Store) {
        self.0.is_leaving.store(true, Ordering::SeqCst);
        store.remove("servers", &self.0.id);
        self.0.log.say(format!("runner {}: its entry is gone, acknowledged by the store", self.0.id));
    }

    /// Ends, with all that still runs.
    pub fn end(&self) {
        self.0.end();
        std::thread::sleep(Duration::from_millis(5));
        self.0.log.say(format!("runner {} {} has ended", self.0.id, self.0.version));
    }
}

impl Shared {
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // The listener sees that it has ended when it is connected to.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Whether a request holds the part that crashes this runner.
    fn is_deadly(&self, message: &Message) -> bool {
        let deadly = self.deadly.lock().unwrap();
        let Some(deadly) = deadly.as_deref() else { return false };
        let parts = message.header("prefix-hash").unwrap_or("");
        let mut parts: Vec<_> = parts.split(',').filter_map(|it| it.split(':').next()).collect();
        parts.pop();
        parts.contains(&deadly)
    }

    fn say(&self, line: String) {
        if !self.is_quiet.load(Ordering::SeqCst) {
            self.log.say(line);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut message) = read_head(&mut reader)? {
            read_body(&mut reader, &mut message, false, |_| {})?;
            if self.has_ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            self.answer(&message, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, message: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = message.header("request-id").unwrap_or("").to_owned();
        let expected = message.header("expect-instance");
        let instance = self.id.as_str();
        if expected.is_some_and(|expected| expected != instance) {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {instance}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return writer.write_all(head.as_bytes());
        }
        if message.path() == "/health" {
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n");
            return writer.write_all(head.as_bytes());
        }
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at: self.log.now(),
                id: id.clone(),
                runner: self.id.clone(),
                is_deadly: false,
                has_run: false,
                is_answered: false,
            });
            arrivals.len() - 1
        };
        self.say(format!("runner {instance} {}: {id} arrives", self.version));
        if self.is_deadly(message) {
            self.arrivals.lock().unwrap()[index].is_deadly = true;
            self.log.say(format!("runner {instance}: {id} crashes it"));
            self.end();
            self.has_crashed.store(true, Ordering::SeqCst);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let done = if running > self.slots {
            let head = format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(head.as_bytes())
        } else {
            self.arrivals.lock().unwrap()[index].has_run = true;
            self.run(message, &id, running, writer)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        if done.is_ok() && !self.has_ended.load(Ordering::SeqCst) {
            self.arrivals.lock().unwrap()[index].is_answered = true;
            self.say(format!("runner {instance} {}: {id} is answered", self.version));
        } else {
            self.say(format!("runner {instance} {}: {id} is cut off", self.version));
        }
        done
    }

    fn run(&self, message: &Message, id: &str, running: usize, writer: &mut TcpStream) -> io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}.{id}\r\nServer-Load: {running},0,{}\r\n",
            self.id, self.slots
        );
        if self.is_leaving.load(Ordering::SeqCst) {
            head.push_str("Server-Leaving: 1\r\n");
        }
        match self.work {
            Work::Plain(time) => {
                std::thread::sleep(time);
                if self.has_ended.load(Ordering::SeqCst) {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                // Clients of the stand-ins may ask for a longer answer.
                let more = message.header("answer-bytes").and_then(|it| it.parse().ok());
                let more = " ".repeat(more.unwrap_or(0));
                let body = format!("{{\"runner\":{},\"request\":{}{more}}}", quoted(&self.id), quoted(id));
                let _ = write!(head, "Content-Length: {}\r\n\r\n{body}", body.len());
                writer.write_all(head.as_bytes())
            }
            Work::Stream(events, pause) => {
                head.push_str("Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                writer.write_all(head.as_bytes())?;
                let last = message.header("last-event-id").and_then(|it| it.parse::<u32>().ok());
                for number in last.unwrap_or(0) + 1..=events {
                    std::thread::sleep(pause);
                    if self.has_ended.load(Ordering::SeqCst) {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    }
                    let event = format!("id: {number}\ndata: {} of {}\n\n", self.version, self.id);
                    let part = format!("{:x}\r\n{event}\r\n", event.len());
                    writer.write_all(part.as_bytes())?;
                }
                writer.write_all(b"0\r\n\r\n")
            }
        }
    }
}
