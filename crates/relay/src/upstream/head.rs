//! The head of an answer, and how its body is framed.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::{Buf, BytesMut};

use crate::upstream::{Error, Framing};

/// The most headers that an answer may have.
const MOST_HEADERS: usize = 64;
/// The largest head of an answer, in bytes: as much as callers' requests may have.
const MOST_BYTES: usize = 64 * 1024;

/// The head of an answer.
#[derive(Debug)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// All headers, also those that concern the connection.
    pub headers: HeaderMap,
    /// Whether the connection may be used again after the answer.
    pub keeps_alive: bool,
}

impl Head {
    /// A header as text; none where it is missing or not text.
    pub fn header_str(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        value.to_str().ok()
    }

    /// Takes a head off the front of the buffer, once it is there as a whole.
    /// Interim answers (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are no head.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, Error> {
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

    fn parse(buffer: &[u8]) -> Result<Option<(Self, usize)>, Error> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(buffer);
        let length = match parsed {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > MOST_BYTES => {
                return Err(Error::Malformed("the head is too large"));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("the head can't be read")),
        };
        let status = response
            .code
            .and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(Error::Malformed("the status is none"))?;
        let headers = owned(response.headers)?;
        let keeps_alive = response.version == Some(1) && !closes(&headers);
        let head = Self {
            status,
            headers,
            keeps_alive,
        };
        Ok(Some((head, length)))
    }

    /// How the body is framed, for an answer to this method.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the head contradicts itself.
    pub fn framing(&self, method: &Method) -> Result<Framing, Error> {
        let is_empty = method == Method::HEAD
            || self.status == StatusCode::NO_CONTENT
            || self.status == StatusCode::NOT_MODIFIED;
        if is_empty {
            return Ok(Framing::Length(0));
        }
        let coding = self.headers.get("transfer-encoding");
        let length = self.headers.get("content-length");
        match (coding, length) {
            (Some(_), Some(_)) => Err(Error::Malformed("two framings")),
            (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Framing::chunked())
            }
            (Some(_), None) => Err(Error::Malformed("an unknown transfer coding")),
            (None, Some(_)) => self.length(),
            (None, None) => Ok(Framing::UntilClose),
        }
    }

    fn length(&self) -> Result<Framing, Error> {
        let mut lengths = self.headers.get_all("content-length");
        let first = lengths.next();
        if lengths.any(|other| Some(other) != first) {
            return Err(Error::Malformed("two lengths"));
        }
        let length = self
            .header_str("content-length")
            .and_then(|text| text.parse().ok());
        length
            .map(Framing::Length)
            .ok_or(Error::Malformed("the length is no number"))
    }
}

fn owned(headers: &[httparse::Header<'_>]) -> Result<HeaderMap, Error> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => map.append(name, value),
            _ => return Err(Error::Malformed("a header can't be read")),
        }
    }
    Ok(map)
}

fn closes(headers: &HeaderMap) -> bool {
    let tokens = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok());
    tokens
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}
