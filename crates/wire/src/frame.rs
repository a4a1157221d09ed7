//! One datagram: a header, messages, and the code that covers both.

use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;

use crate::key::{MAC_BYTES, VERSION, check};
use crate::{Error, Key, message};

/// The largest datagram, in bytes: fits the smallest usual path MTU (1,280 for
/// IPv6) with the IP and UDP headers, so that none is fragmented.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Stands for "whichever life reads this", while the reader's life is not known.
pub const ANY: Incarnation = Incarnation(0);

/// Bytes before the messages: version, sender, destination, sequence.
pub const HEADER_BYTES: usize = 1 + 3 * WORD;
/// Room for messages in a datagram, in bytes.
pub const BODY_BYTES: usize = DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES;

/// Bytes of a number in the header.
const WORD: usize = 8;

/// One datagram's content.
///
/// ```
/// use woodgap_core::name::Incarnation;
/// use woodgap_wire::{Frame, Key};
///
/// let key = Key::new(&[7; 32]);
/// let frame = Frame { from: Incarnation(5), to: Incarnation(9), sequence: 1, messages: vec![] };
/// let bytes = frame.seal(&key).unwrap();
/// assert_eq!(Frame::open(&bytes, &key), Ok(frame));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The life of the entry that sent it.
    pub from: Incarnation,
    /// The life of the entry that it is meant for, or [`ANY`].
    pub to: Incarnation,
    /// Counts the frames of the sender's life; never twice the same.
    pub sequence: u64,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

impl Frame {
    /// The datagram's bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Long`] if it is above [`DATAGRAM_BYTES`].
    pub fn seal(&self, key: &Key) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        for message in &self.messages {
            body.extend(message::encode(message)?);
        }
        if body.len() > BODY_BYTES {
            return Err(Error::Long(body.len()));
        }
        Ok(seal(self.from, self.to, self.sequence, &body, key))
    }

    /// Reads a datagram; whether it was read before is the window's matter.
    ///
    /// # Errors
    ///
    /// If it is cut short, too long, not sealed by this key, or no frame.
    pub fn open(bytes: &[u8], key: &Key) -> Result<Self, Error> {
        if bytes.len() > DATAGRAM_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        let (sealed, code) = bytes.split_last_chunk::<MAC_BYTES>().ok_or(Error::Short)?;
        check(&key.datagram(sealed), code)?;
        let (version, mut rest) = sealed.split_first().ok_or(Error::Short)?;
        if *version != VERSION {
            return Err(Error::Version(*version));
        }
        let from = Incarnation(word(&mut rest)?);
        let to = Incarnation(word(&mut rest)?);
        let sequence = word(&mut rest)?;
        Ok(Self {
            from,
            to,
            sequence,
            messages: message::decode(rest)?,
        })
    }
}

/// Seals a body that is known to fit.
pub(crate) fn seal(
    from: Incarnation,
    to: Incarnation,
    sequence: u64,
    body: &[u8],
    key: &Key,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + MAC_BYTES);
    bytes.push(VERSION);
    bytes.extend(from.0.to_le_bytes());
    bytes.extend(to.0.to_le_bytes());
    bytes.extend(sequence.to_le_bytes());
    bytes.extend(body);
    let code = key.datagram(&bytes);
    bytes.extend(code);
    bytes
}

fn word(bytes: &mut &[u8]) -> Result<u64, Error> {
    let (word, rest) = bytes.split_first_chunk::<WORD>().ok_or(Error::Short)?;
    *bytes = rest;
    Ok(u64::from_le_bytes(*word))
}
