//! A caller that speaks bytes, and sees whether an answer was whole.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::endpoint;

/// Ends a test that waits for what never comes.
const STUCK: Duration = Duration::from_mins(1);

/// An answer as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer's framing says that it is all there.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> String {
        endpoint::header(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// One connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(STUCK)).unwrap();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, request: &str, body: &[u8]) {
        self.stream.write_all(request.as_bytes()).unwrap();
        // An early answer may close the connection under a long body.
        let _ = self.stream.write_all(body);
    }

    fn more(&mut self) -> bool {
        let mut piece = [0; 4096];
        let count = self.stream.read(&mut piece).unwrap_or(0);
        self.buffer.extend_from_slice(&piece[..count]);
        count > 0
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.more() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            if !self.more() {
                return None;
            }
        };
        let line = self.take(end + 2)?;
        Some(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// The head of an answer; none if the connection ends first.
    pub fn head(&mut self) -> Option<Answer> {
        let first = self.line()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut head = first;
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            head = format!("{head}\r\n{line}");
        }
        Some(Answer {
            status,
            head,
            body: Vec::new(),
            is_whole: false,
        })
    }

    /// The next chunk of a chunked answer; none after the last, an error if the
    /// connection ends first.
    pub fn chunk(&mut self) -> Result<Option<Vec<u8>>, ()> {
        let line = self.line().ok_or(())?;
        let length = usize::from_str_radix(&line, 16).map_err(|_| ())?;
        let bytes = self.take(length).ok_or(())?;
        self.line().ok_or(())?;
        Ok((length > 0).then_some(bytes))
    }

    /// A whole answer, or as much of it as comes.
    pub fn answer(&mut self) -> Option<Answer> {
        let answer = self.head()?;
        Some(self.rest(answer))
    }

    /// The rest of an answer whose head has come, or as much of it as comes.
    pub fn rest(&mut self, mut answer: Answer) -> Answer {
        if answer.header("transfer-encoding") == "chunked" {
            loop {
                match self.chunk() {
                    Ok(Some(bytes)) => answer.body.extend(bytes),
                    Ok(None) => {
                        answer.is_whole = true;
                        return answer;
                    }
                    Err(()) => return answer,
                }
            }
        }
        let length = answer.header("content-length").parse().unwrap_or(0);
        if let Some(body) = self.take(length) {
            answer.body = body;
            answer.is_whole = true;
        }
        answer
    }

    /// Closes the connection.
    pub fn leave(self) {
        drop(self);
    }
}

/// The head of a request with a key and an identity.
pub fn request(method: &str, target: &str, id: &str, headers: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: {id}\r\n\
         Authorization: Bearer key-m\r\n{headers}\r\n"
    )
}

/// Sends one request without a body on a connection of its own.
pub fn get(address: SocketAddr, target: &str, id: &str, headers: &str) -> Answer {
    let mut caller = Caller::connect(address);
    caller.send(&request("GET", target, id, headers), b"");
    caller.answer().expect("an answer")
}

/// Sends one request with a body on a connection of its own.
pub fn post(address: SocketAddr, target: &str, id: &str, body: &[u8]) -> Answer {
    let mut caller = Caller::connect(address);
    let length = format!("Content-Length: {}\r\n", body.len());
    caller.send(&request("POST", target, id, &length), body);
    caller.answer().expect("an answer")
}
