//! An endpoint that echoes, holds, or says a lot.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// The length of a large answer, in bytes.
const LARGE: usize = 1024 * 1024;

/// Starts the endpoint; it serves until the test's process ends.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(&stream));
        }
    });
    address
}

struct Request {
    path: String,
    id: String,
    length: u64,
}

/// Answers requests until the other side ends the connection.
fn serve(stream: &TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    loop {
        let request = read_head(&mut reader)?;
        let body = reader.by_ref().take(request.length);
        let length = std::io::copy(&mut { body }, &mut std::io::sink()).ok()?;
        let body = match request.path.as_str() {
            "/hold/" => return hold(reader),
            "/large/" => vec![b'x'; LARGE],
            _ => length.to_string().into_bytes(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Woodgap-Request: {}\r\nX-Woodgap-Seal: s\r\n\
             Content-Length: {}\r\n\r\n",
            request.id,
            body.len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(&body).ok()?;
    }
}

/// Stays silent until the other side ends the connection.
fn hold(mut reader: impl Read) -> Option<()> {
    let mut bytes = [0; 1_024];
    while reader.read(&mut bytes).ok()? > 0 {}
    None
}

fn read_head(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut request = Request {
        path: line.split(' ').nth(1)?.to_owned(),
        id: String::new(),
        length: 0,
    };
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            return Some(request);
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => request.length = value.parse().ok()?,
            "x-woodgap-request" => value.clone_into(&mut request.id),
            _ => {}
        }
    }
}
