//! Decoding of response bodies by their framing.

use actix_http::header::{HeaderName, HeaderValue};
use bytes::{Buf, Bytes, BytesMut};

use crate::response::Malformed;

/// The maximum length of a line in a chunked body, in bytes. A chunk's header line holds
/// its size and optional extensions.
const MAX_LINE_BYTES: usize = 1024;
/// The maximum length of the trailer section, in bytes. Trailers are not passed on.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How a body is delimited, and how much of it is still to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, with the number of bytes that remain.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked(Chunk),
    /// The body ends when the connection is closed.
    UntilClose,
}

/// The state of the chunked decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Before a chunk's header line.
    Line,
    /// Inside a chunk, with the number of bytes that remain.
    Data(u64),
    /// Before the CRLF that ends a chunk.
    DataEnd,
    /// In the trailer section after the last chunk, with the number of bytes received of it.
    Trailer(usize),
    /// The body is complete.
    Done,
}

/// The result of decoding what the buffer holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Body data, without its framing.
    Bytes(Bytes),
    /// More input is needed.
    NeedMore,
    /// The body is complete.
    End,
}

impl Framing {
    /// The framing of a chunked body that has not been read yet.
    pub fn chunked() -> Self {
        Self::Chunked(Chunk::Line)
    }

    /// The number of body bytes that remain according to `Content-Length`; `None` for other
    /// framings.
    pub fn content_length(&self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(*length),
            Self::Chunked(_) | Self::UntilClose => None,
        }
    }

    /// Whether the body is delimited by the close of the connection.
    pub fn is_close_delimited(&self) -> bool {
        matches!(self, Self::UntilClose)
    }

    /// Decodes body data from the front of the buffer and removes it.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the chunked encoding is invalid.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Malformed> {
        match self {
            Self::Length(0) => Ok(Decoded::End),
            Self::Length(left) => Ok(take_at_most(buffer, left)),
            Self::UntilClose if buffer.is_empty() => Ok(Decoded::NeedMore),
            Self::UntilClose => Ok(Decoded::Bytes(buffer.split().freeze())),
            Self::Chunked(chunk) => chunk.take(buffer),
        }
    }
}

impl Chunk {
    fn take(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Malformed> {
        loop {
            match self {
                Self::Done => return Ok(Decoded::End),
                Self::Data(0) => *self = Self::DataEnd,
                Self::Data(left) => return Ok(take_at_most(buffer, left)),
                Self::Line => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Decoded::NeedMore);
                    };
                    *self = match chunk_length(&line)? {
                        0 => Self::Trailer(0),
                        length => Self::Data(length),
                    };
                }
                Self::DataEnd => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Decoded::NeedMore);
                    };
                    if !line.is_empty() {
                        return Err(Malformed("a chunk is longer than announced"));
                    }
                    *self = Self::Line;
                }
                Self::Trailer(received) => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Decoded::NeedMore);
                    };
                    *received += line.len();
                    if line.is_empty() {
                        *self = Self::Done;
                        continue;
                    }
                    if *received > MAX_TRAILER_BYTES {
                        return Err(Malformed("the trailer section is too long"));
                    }
                    check_field(&line)?;
                }
            }
        }
    }
}

fn take_at_most(buffer: &mut BytesMut, left: &mut u64) -> Decoded {
    if buffer.is_empty() {
        return Decoded::NeedMore;
    }
    let limit = usize::try_from(*left).unwrap_or(usize::MAX);
    let taken = buffer.len().min(limit);
    *left -= taken as u64;
    Decoded::Bytes(buffer.split_to(taken).freeze())
}

/// Removes a line from the buffer and returns it without its CRLF; `None` until the buffer
/// holds a complete line.
fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > MAX_LINE_BYTES {
            return Err(Malformed("a chunk's line is too long"));
        }
        return Ok(None);
    };
    let mut line = buffer.split_to(end);
    buffer.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(Malformed("a chunk's line ends without a carriage return"));
    }
    line.truncate(end - 1);
    Ok(Some(line.freeze()))
}

/// The length in a chunk's header line; its extensions are ignored.
fn chunk_length(line: &[u8]) -> Result<u64, Malformed> {
    let has_control_byte = line
        .iter()
        .any(|byte| byte.is_ascii_control() && *byte != b'\t');
    let digits = line.split(|byte| *byte == b';').next();
    let digits = digits.filter(|it| it.iter().all(u8::is_ascii_hexdigit));
    let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    let length = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
    let length = length.filter(|_| !has_control_byte);
    length.ok_or(Malformed("a chunk's length"))
}

/// Checks a line of the trailer section, which is of the form of a header.
fn check_field(line: &[u8]) -> Result<(), Malformed> {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().map(HeaderName::from_bytes);
    let value = parts.next().map(HeaderValue::from_bytes);
    match (name, value) {
        (Some(Ok(_)), Some(Ok(_))) => Ok(()),
        _ => Err(Malformed("a trailer can't be read")),
    }
}
