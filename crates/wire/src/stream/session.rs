//! Frames on an open stream: length, messages, code.

use woodgap_core::message::Message;

use crate::key::{MAC_BYTES, Mac, check, mac};
use crate::{Error, message};

/// The largest frame's messages, in bytes: far above any message of ours, and
/// little enough to hold for each open stream.
pub const FRAME_BYTES: usize = 256 * 1024;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Authenticates the frames of one stream in their order.
#[derive(Debug)]
struct Session {
    key: [u8; blake3::KEY_LEN],
    count: u64,
}

impl Session {
    fn code(&self, length: &[u8], body: &[u8]) -> Mac {
        mac(&self.key, &[&self.count.to_le_bytes(), length, body])
    }
}

/// Makes the frames of one stream.
#[derive(Debug)]
pub struct Encoder {
    session: Session,
}

impl Encoder {
    pub(crate) fn new(key: [u8; blake3::KEY_LEN]) -> Self {
        Self {
            session: Session { key, count: 0 },
        }
    }

    /// One frame with these messages.
    ///
    /// # Errors
    ///
    /// [`Error::Long`] if they are above [`FRAME_BYTES`] together.
    pub fn encode(&mut self, messages: &[Message]) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        for message in messages {
            body.extend(message::encode(message)?);
        }
        let long = || Error::Long(body.len());
        if body.len() > FRAME_BYTES {
            return Err(long());
        }
        let length = u32::try_from(body.len()).map_err(|_| long())?.to_le_bytes();
        let code = self.session.code(&length, &body);
        self.session.count += 1;
        let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len() + MAC_BYTES);
        frame.extend(length);
        frame.extend(body);
        frame.extend(code);
        Ok(frame)
    }
}

/// Reads the frames of one stream. After an error the stream is to be closed.
#[derive(Debug)]
pub struct Decoder {
    session: Session,
    buffer: Vec<u8>,
}

impl Decoder {
    pub(crate) fn new(key: [u8; blake3::KEY_LEN]) -> Self {
        Self {
            session: Session { key, count: 0 },
            buffer: Vec::new(),
        }
    }

    /// Takes in bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// The messages of the next frame; none while it is not there whole.
    ///
    /// # Errors
    ///
    /// If the frame is too long, not of this stream, or holds no messages.
    #[expect(
        clippy::should_implement_trait,
        reason = "an iterator's `next` can't fail, and ends"
    )]
    pub fn next(&mut self) -> Result<Option<Vec<Message>>, Error> {
        let Some((length, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let body_bytes = u32::from_le_bytes(*length) as usize;
        if body_bytes > FRAME_BYTES {
            return Err(Error::Long(body_bytes));
        }
        let Some((body, rest)) = rest.split_at_checked(body_bytes) else {
            return Ok(None);
        };
        let Some(code) = rest.first_chunk::<MAC_BYTES>() else {
            return Ok(None);
        };
        check(&self.session.code(length, body), code)?;
        let messages = message::decode(body)?;
        self.session.count += 1;
        self.buffer.drain(..LENGTH_BYTES + body_bytes + MAC_BYTES);
        Ok(Some(messages))
    }
}
