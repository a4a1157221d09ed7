//! What the clients send.

use woodgap_core::relay::plan::Limits;
use woodgap_harness::crowd::Script;

/// The length of a body of which one byte never comes.
pub const ALMOST: usize = 4 * 1024 * 1024;
/// The bytes that are sent at once.
const PIECE: usize = 16 * 1024;
/// A chunk, where they are large.
const CHUNK: usize = 64 * 1024;
/// Chunks of one byte: so many in a piece, and so many pieces.
const TINY_CHUNKS: usize = 1_024;
const TINY_PIECES: usize = 200;
/// What a head without end goes on to in the end, in bytes.
const LONG_HEAD: usize = 1024 * 1024;
/// The body of one of many requests that follow one another at once, in bytes.
const SMALL: usize = 1_024;
/// How many follow one another at once.
const PIPELINED: usize = 1_000;
/// How many answers are left unread on a connection.
const UNREAD: usize = 20;

fn head(path: &str, framing: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: c\r\n{framing}\r\n\r\n"
    );
    head.into_bytes()
}

fn announced(path: &str, length: usize) -> Vec<u8> {
    head(path, &format!("Content-Length: {length}"))
}

/// All of a body at once but for its last byte.
pub fn whole(length: usize) -> Script {
    assert!(length <= Limits::default().body_bytes);
    Script {
        first: [announced("/echo/", length), vec![b'x'; length - 1]].concat(),
        ..Script::default()
    }
}

/// The same piece by piece.
pub fn in_pieces(length: usize) -> Script {
    Script {
        first: announced("/echo/", length),
        piece: vec![b'x'; PIECE],
        pieces: length / PIECE - 1,
        last: vec![b'x'; PIECE - 1],
        ..Script::default()
    }
}

/// The same in large chunks, without the last one, which is empty.
pub fn chunked(length: usize) -> Script {
    let chunk = [
        format!("{CHUNK:x}\r\n").into_bytes(),
        vec![b'x'; CHUNK],
        b"\r\n".to_vec(),
    ];
    Script {
        first: head("/echo/", "Transfer-Encoding: chunked"),
        piece: chunk.concat(),
        pieces: length / CHUNK,
        last: b"0\r\n".to_vec(),
        ..Script::default()
    }
}

/// Chunks of one byte, without the last one.
pub fn tiny_chunks() -> Script {
    Script {
        first: head("/echo/", "Transfer-Encoding: chunked"),
        piece: b"1\r\nx\r\n".repeat(TINY_CHUNKS),
        pieces: TINY_PIECES,
        last: b"0\r\n".to_vec(),
        ..Script::default()
    }
}

/// A head that goes on and on.
pub fn endless_head() -> Script {
    let line = [b"X-More: ".to_vec(), vec![b'x'; 1_014], b"\r\n".to_vec()].concat();
    Script {
        first: b"GET /echo/ HTTP/1.1\r\nHost: album.example\r\n".to_vec(),
        pieces: LONG_HEAD / line.len(),
        piece: line,
        ..Script::default()
    }
}

/// Empty lines before a request that never comes.
pub fn empty_lines() -> Script {
    Script {
        piece: b"\r\n".repeat(SMALL / 2),
        pieces: LONG_HEAD / SMALL,
        ..Script::default()
    }
}

/// One request behind the other; the first waits for its endpoint.
pub fn pipelined() -> Script {
    Script {
        first: announced("/hold/", 0),
        piece: [announced("/echo/", SMALL), vec![b'x'; SMALL]].concat(),
        pieces: PIPELINED,
        is_deaf: true,
        ..Script::default()
    }
}

/// Nothing.
pub fn silent() -> Script {
    Script::default()
}

/// A whole request of the largest size, to an endpoint that does not answer.
pub fn waiting() -> Script {
    let length = Limits::default().body_bytes;
    Script {
        first: [announced("/hold/", length), vec![b'x'; length]].concat(),
        ..Script::default()
    }
}

/// Requests for large answers, none of which is read.
pub fn unread() -> Script {
    Script {
        first: announced("/large/", 0).repeat(UNREAD),
        is_deaf: true,
        ..Script::default()
    }
}

/// What another entry says to fetch news, far longer than it needs to be.
pub fn fetches() -> Script {
    let length: u32 = 8 * 1024 * 1024;
    let form = woodgap_relay::gossip::message::FORM;
    Script {
        first: [&[form], length.to_be_bytes().as_slice()].concat(),
        piece: vec![0; PIECE],
        pieces: length as usize / PIECE - 1,
        last: vec![0; PIECE - 1],
        ..Script::default()
    }
}
