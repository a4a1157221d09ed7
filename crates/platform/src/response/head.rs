//! Parsing of response heads, and the framing of the body that follows.
//!
//! A head that is invalid in any part is no head: nothing in it is believed, also not that its
//! request has not run.

use std::ops::Range;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::{Buf, BytesMut};

use crate::response::{Framing, Malformed};

/// The maximum number of headers in a response.
const MAX_HEADERS: usize = 64;
/// The maximum size of a response head, in bytes; the same limit as for callers' requests.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The status codes that a response can have.
const STATUSES: Range<u16> = 100..600;
/// The names of the headers that say where a body ends.
const FRAMING_HEADERS: [&str; 2] = ["content-length", "transfer-encoding"];
/// How many bytes of a framing header's name may be wrong, missing, swapped or too many for it to
/// be recognised as one that is corrupt.
const MAX_WRONG_BYTES: usize = 2;

/// The status and headers of a response.
#[derive(Debug)]
pub struct Head {
    /// The status code.
    pub status: StatusCode,
    /// All headers, including hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whether the connection may be reused after the response.
    pub keeps_alive: bool,
}

impl Head {
    /// The value of a header; `None` if it is missing or not visible ASCII.
    pub fn header_str(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        value.to_str().ok()
    }

    /// Parses a head at the front of the buffer and removes it; `None` until the buffer holds
    /// a complete head. Interim responses (1xx) are skipped.
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use woodgap_platform::response::Head;
    ///
    /// let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    /// let head = Head::take(&mut buffer)?.expect("a complete head");
    /// assert_eq!((head.status.as_u16(), &buffer[..]), (200, &b"abc"[..]));
    ///
    /// let mut corrupt = BytesMut::from("HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc");
    /// assert!(Head::take(&mut corrupt).is_err());
    /// # Ok::<(), woodgap_platform::response::Malformed>(())
    /// ```
    ///
    /// # Errors
    ///
    /// As for [`Self::parse`].
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, Malformed> {
        loop {
            let Some((head, length)) = Self::parse(buffer)? else {
                return Ok(None);
            };
            buffer.advance(length);
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
        }
    }

    /// Parses a head at the front of the bytes, also that of an interim response. Returns it with
    /// its length in bytes; `None` until the bytes hold a complete head.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the head is invalid or too large, or if its framing headers conflict, are
    /// invalid or name an unsupported transfer coding.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Self, usize)>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(buffer);
        let length = match parsed {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
                return Err(Malformed("the head is too large"));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Malformed("the head can't be read")),
        };
        if !ends_lines_in_one_way(&buffer[..length]) {
            return Err(Malformed("lines end in two ways"));
        }
        let code = response.code.filter(|code| STATUSES.contains(code));
        let status = code.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(Malformed("the status is none"))?;
        let headers = to_header_map(response.headers)?;
        let keeps_alive = response.version == Some(1) && !has_connection_close(&headers);
        let head = Self {
            status,
            headers,
            keeps_alive,
        };
        head.check(buffer[..length].split(|byte| *byte == b'\n'))?;
        Ok(Some((head, length)))
    }

    /// Checks what the head, with these lines, says of the body and of the connection after it.
    fn check<'l>(&self, mut lines: impl Iterator<Item = &'l [u8]>) -> Result<(), Malformed> {
        if self.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Malformed("another protocol, which nobody asked for"));
        }
        let announced = self.announced()?;
        let allows_body = !self.status.is_informational() && self.status != StatusCode::NO_CONTENT;
        match announced {
            Some(Framing::Length(0)) => Ok(()),
            Some(_) if !allows_body => Err(Malformed("a body where none can be")),
            None if lines.any(is_corrupt_framing_header) => {
                Err(Malformed("a framing header's name is corrupt"))
            }
            _ => Ok(()),
        }
    }

    /// The framing of the body, for a response to a request with this method.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the framing headers conflict, are invalid or name an
    /// unsupported transfer coding.
    pub fn framing(&self, method: &Method) -> Result<Framing, Malformed> {
        let has_no_body = method == Method::HEAD
            || self.status == StatusCode::NO_CONTENT
            || self.status == StatusCode::NOT_MODIFIED;
        if has_no_body {
            return Ok(Framing::Length(0));
        }
        Ok(self.announced()?.unwrap_or(Framing::UntilClose))
    }

    /// The framing that the headers announce; `None` if they announce none.
    fn announced(&self) -> Result<Option<Framing>, Malformed> {
        let mut codings = self.headers.get_all("transfer-encoding");
        let coding = codings.next();
        if codings.next().is_some() {
            return Err(Malformed("two transfer codings"));
        }
        match (coding, self.headers.contains_key("content-length")) {
            (Some(_), true) => Err(Malformed("two framings")),
            (Some(coding), false) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::chunked()))
            }
            (Some(_), false) => Err(Malformed("an unknown transfer coding")),
            (None, true) => self.length().map(Some),
            (None, false) => Ok(None),
        }
    }

    /// How the head says where the body ends, as logged.
    pub fn framing_name(&self) -> &'static str {
        if self.headers.contains_key("transfer-encoding") {
            "chunks"
        } else if self.headers.contains_key("content-length") {
            "length"
        } else {
            "close"
        }
    }

    fn length(&self) -> Result<Framing, Malformed> {
        let mut lengths = self.headers.get_all("content-length");
        let first = lengths.next();
        if lengths.any(|other| Some(other) != first) {
            return Err(Malformed("two lengths"));
        }
        // A number may have a sign where it is parsed, but not here.
        let digits = self
            .header_str("content-length")
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let length = digits.and_then(|digits| digits.parse().ok());
        length
            .map(Framing::Length)
            .ok_or(Malformed("the length is no number"))
    }
}

/// Whether all lines of a head end with CRLF, or all with LF alone, as some endpoints have it. Where
/// both occur, a line feed may be a corrupt byte.
fn ends_lines_in_one_way(head: &[u8]) -> bool {
    let line_feeds = (0..head.len()).filter(|at| head[*at] == b'\n');
    let mut has_carriage_return = line_feeds.map(|at| head[..at].ends_with(b"\r"));
    let first = has_carriage_return.next();
    has_carriage_return.all(|it| Some(it) == first)
}

fn to_header_map(headers: &[httparse::Header<'_>]) -> Result<HeaderMap, Malformed> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => map.append(name, value),
            _ => return Err(Malformed("a header can't be read")),
        }
    }
    Ok(map)
}

/// Whether the line begins almost as a framing header does.
fn is_corrupt_framing_header(line: &[u8]) -> bool {
    FRAMING_HEADERS.iter().any(|name| {
        let begin = &line[..line.len().min(name.len())];
        let begin = String::from_utf8_lossy(begin).to_ascii_lowercase();
        strsim::osa_distance(name, &begin) <= MAX_WRONG_BYTES
    })
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let tokens = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok());
    tokens
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}
