//! Where the body of an answer ends.

use bytes::{Buf, Bytes, BytesMut};

use crate::upstream::Error;

/// The longest line that announces a chunk, in bytes: a length and an extension.
const MOST_LINE: usize = 1024;

/// How a body is framed, and how far it has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes are to come.
    Length(u64),
    /// Chunks follow.
    Chunked(Chunk),
    /// The body ends with the connection.
    UntilClose,
}

/// Where in a chunked body the reading is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Before the line that announces a chunk.
    Line,
    /// In a chunk, with so many bytes to come.
    Data(u64),
    /// Before the line end after a chunk.
    DataEnd,
    /// Among the trailers after the last chunk.
    Trailer,
    /// After the end.
    Done,
}

/// The next piece of a body, as far as the buffer holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Bytes(Bytes),
    /// More must be read first.
    More,
    /// The body is whole.
    End,
}

impl Framing {
    /// A body in chunks, at its beginning.
    pub fn chunked() -> Self {
        Self::Chunked(Chunk::Line)
    }

    /// The announced length, in bytes.
    pub fn content_length(&self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(*length),
            Self::Chunked(_) | Self::UntilClose => None,
        }
    }

    /// Whether the end of the connection is the end of the body.
    pub fn is_close_delimited(&self) -> bool {
        matches!(self, Self::UntilClose)
    }

    /// Takes the next piece off the front of the buffer.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the bytes are no chunk.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, Error> {
        match self {
            Self::Length(0) => Ok(Piece::End),
            Self::Length(left) => Ok(take_up_to(buffer, left)),
            Self::UntilClose if buffer.is_empty() => Ok(Piece::More),
            Self::UntilClose => Ok(Piece::Bytes(buffer.split().freeze())),
            Self::Chunked(chunk) => chunk.take(buffer),
        }
    }
}

impl Chunk {
    fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, Error> {
        loop {
            match self {
                Self::Done => return Ok(Piece::End),
                Self::Data(0) => *self = Self::DataEnd,
                Self::Data(left) => return Ok(take_up_to(buffer, left)),
                Self::Line => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    *self = match chunk_length(&line)? {
                        0 => Self::Trailer,
                        length => Self::Data(length),
                    };
                }
                Self::DataEnd => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    if !line.is_empty() {
                        return Err(Error::Malformed("a chunk is longer than announced"));
                    }
                    *self = Self::Line;
                }
                Self::Trailer => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    if line.is_empty() {
                        *self = Self::Done;
                    }
                }
            }
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, left: &mut u64) -> Piece {
    if buffer.is_empty() {
        return Piece::More;
    }
    let most = usize::try_from(*left).unwrap_or(usize::MAX);
    let taken = buffer.len().min(most);
    *left -= taken as u64;
    Piece::Bytes(buffer.split_to(taken).freeze())
}

/// A line without its end; none while it is not there as a whole.
fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > MOST_LINE {
            return Err(Error::Malformed("a chunk's line is too long"));
        }
        return Ok(None);
    };
    let mut line = buffer.split_to(end);
    buffer.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(Error::Malformed(
            "a chunk's line ends without a carriage return",
        ));
    }
    line.truncate(end - 1);
    Ok(Some(line.freeze()))
}

fn chunk_length(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| Error::Malformed("a chunk's length"))?;
    let is_plain = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let length = u64::from_str_radix(digits, 16).ok();
    let length = length.filter(|_| is_plain);
    length.ok_or(Error::Malformed("a chunk's length"))
}
