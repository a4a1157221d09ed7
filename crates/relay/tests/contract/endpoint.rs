//! A scripted endpoint: it does on its connections exactly what a test says.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::net::sockopt;

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes; `{id}` stands for the identity of the request.
    Send(String),
    /// Ends the connection in the usual way.
    Close,
    /// Breaks the connection.
    Reset,
    /// Says that nothing more comes; the connection stays open for reading.
    Finish,
    /// Reads the rest of the request's body.
    ReadBody,
    /// Waits until the other side has closed.
    Hold,
    /// Waits until the test says so, by [`Endpoint::go`].
    Wait,
}

/// A request as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// First line and headers.
    pub head: String,
    /// The body, as far as it was read.
    pub body: Vec<u8>,
    /// Which connection it came on, counted from 0.
    pub connection: usize,
}

impl Seen {
    /// A header's value; empty if there is none.
    pub fn header(&self, name: &str) -> String {
        header(&self.head, name)
    }
}

/// A header's value in a head; empty if there is none.
pub fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values
        .next()
        .map_or(String::new(), |(_, value)| value.to_owned())
}

/// What the endpoint does with the requests that arrive.
type Script = Box<dyn Fn(usize, &Seen) -> Vec<Step> + Send + Sync>;

#[derive(Default)]
struct Shared {
    seen: Mutex<Vec<Seen>>,
    closed: Mutex<usize>,
    allowed: Mutex<usize>,
}

/// A scripted endpoint.
pub struct Endpoint {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Endpoint {
    /// Its streams begin and never end, so that they outlast any entry that stops.
    pub fn endless() -> Self {
        Self::always(vec![head("200 OK", EVENTS), chunk("id: 1\n\n"), Step::Wait])
    }

    /// Does the same with every request.
    pub fn always(steps: Vec<Step>) -> Self {
        Self::start(Box::new(move |_, _| steps.clone()), true)
    }

    /// Does this with the first request, and that with all others.
    pub fn first(first: Vec<Step>, others: Vec<Step>) -> Self {
        Self::start(first_and_others(first, others), true)
    }

    /// Does with each request, counted from 0, what the script says.
    pub fn numbered(script: impl Fn(usize) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::start(Box::new(move |number, _| script(number)), true)
    }

    /// Does with each request what the script says of it.
    pub fn looking(script: impl Fn(&Seen) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::start(Box::new(move |_, seen| script(seen)), true)
    }

    /// Answers without having read the body.
    pub fn early(steps: Vec<Step>) -> Self {
        Self::start(Box::new(move |_, _| steps.clone()), false)
    }

    /// As [`Self::first`], and answers without having read the bodies.
    pub fn early_first(first: Vec<Step>, others: Vec<Step>) -> Self {
        Self::start(first_and_others(first, others), false)
    }

    fn start(script: Script, reads_body: bool) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let shared = Arc::clone(&serving);
                let script = Arc::clone(&script);
                let stream = stream.unwrap();
                std::thread::spawn(move || serve(&shared, &script, stream, connection, reads_body));
            }
        });
        Self { address, shared }
    }

    /// The requests that have arrived.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().unwrap().clone()
    }

    /// How many connections the other side has closed.
    pub fn closed(&self) -> usize {
        *self.shared.closed.lock().unwrap()
    }

    /// Lets one [`Step::Wait`] go on.
    pub fn go(&self) {
        *self.shared.allowed.lock().unwrap() += 1;
    }
}

fn first_and_others(first: Vec<Step>, others: Vec<Step>) -> Script {
    Box::new(move |number, _| {
        if number == 0 {
            first.clone()
        } else {
            others.clone()
        }
    })
}

fn serve(
    shared: &Shared,
    script: &Script,
    mut stream: TcpStream,
    connection: usize,
    reads_body: bool,
) {
    while let Some(mut seen) = read(&mut stream, connection, reads_body) {
        let id = seen.header("x-woodgap-request");
        let number = {
            let mut all = shared.seen.lock().unwrap();
            all.push(seen.clone());
            all.len() - 1
        };
        for step in script(number, &seen) {
            match step {
                Step::Send(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                Step::Close => return,
                Step::Reset => {
                    let linger = Some(Duration::ZERO);
                    sockopt::set_socket_linger(&stream, linger).unwrap();
                    return;
                }
                Step::Finish => stream.shutdown(Shutdown::Write).unwrap(),
                Step::ReadBody => {
                    let length = seen.header("content-length").parse().unwrap_or(0);
                    if !read_up_to(&mut stream, &mut seen.body, length) {
                        return;
                    }
                }
                Step::Hold => {
                    while stream.read(&mut [0; 1024]).is_ok_and(|count| count > 0) {}
                    *shared.closed.lock().unwrap() += 1;
                    return;
                }
                Step::Wait => wait(shared),
            }
        }
    }
    *shared.closed.lock().unwrap() += 1;
}

fn wait(shared: &Shared) {
    loop {
        let mut allowed = shared.allowed.lock().unwrap();
        if *allowed > 0 {
            *allowed -= 1;
            return;
        }
        drop(allowed);
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn read(stream: &mut TcpStream, connection: usize, reads_body: bool) -> Option<Seen> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off(end);
    let length = header(&head, "content-length").parse().unwrap_or(0);
    if reads_body && !read_up_to(stream, &mut body, length) {
        return None;
    }
    Some(Seen {
        head,
        body,
        connection,
    })
}

/// Reads on until so many bytes of a body have come, and none of what follows; whether they have.
fn read_up_to(stream: &mut TcpStream, body: &mut Vec<u8>, length: usize) -> bool {
    let mut piece = [0; 4096];
    while body.len() < length {
        let count = piece.len().min(length - body.len());
        match stream.read(&mut piece[..count]) {
            Ok(count) if count > 0 => body.extend_from_slice(&piece[..count]),
            _ => return false,
        }
    }
    true
}

/// A whole answer with this body.
pub fn whole(body: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\nX-Woodgap-Request: {{id}}\r\nX-Woodgap-Seal: s1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// An answer that begins with this status line and these headers; all else is the
/// test's.
pub fn head(status: &str, headers: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 {status}\r\nX-Woodgap-Request: {{id}}\r\n{headers}\r\n"
    ))
}

/// The endpoint has not run the request.
pub fn declined() -> Step {
    head(
        "503 Service Unavailable",
        "X-Woodgap-Verdict: not_run\r\nContent-Length: 0\r\n",
    )
}

/// Headers of an answer that is a stream of events.
pub const EVENTS: &str =
    "X-Woodgap-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// A piece of such a stream.
pub fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// A whole answer: a body, or a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Body,
    Events,
}

impl Answer {
    /// The answer with these headers besides its own.
    pub fn steps(self, headers: &str) -> Vec<Step> {
        match self {
            Self::Body => {
                let all = format!("X-Woodgap-Seal: s\r\nContent-Length: 3\r\n{headers}");
                vec![head("200 OK", &all), Step::Send("yes".to_owned())]
            }
            Self::Events => {
                let all = format!("{EVENTS}{headers}");
                let end = Step::Send("0\r\n\r\n".to_owned());
                vec![head("200 OK", &all), chunk("id: 1\n\n"), end]
            }
        }
    }
}
