//! Opens a stream: challenge, then a hello that answers it.

use woodgap_core::name::Incarnation;

use crate::key::{MAC_BYTES, VERSION, check};
use crate::stream::{Decoder, Encoder};
use crate::{Error, Key};

/// Bytes that each side draws at random for each stream.
pub const NONCE_BYTES: usize = 16;
/// Bytes of the challenge: version and random bytes.
pub const CHALLENGE_BYTES: usize = 1 + NONCE_BYTES;
/// Bytes of the hello: version, both lives, random bytes and the code.
pub const HELLO_BYTES: usize = 1 + 2 * WORD + NONCE_BYTES + MAC_BYTES;

/// Bytes of a life in the hello.
const WORD: usize = 8;

/// The accepting side of a new stream.
#[derive(Debug)]
pub struct Acceptor {
    key: Key,
    own: Incarnation,
    nonce: [u8; NONCE_BYTES],
}

impl Acceptor {
    /// An accepting side; the random bytes must never be used twice.
    pub fn new(key: Key, own: Incarnation, nonce: [u8; NONCE_BYTES]) -> Self {
        Self { key, own, nonce }
    }

    /// The first bytes that it sends.
    pub fn challenge(&self) -> [u8; CHALLENGE_BYTES] {
        let mut bytes = [VERSION; CHALLENGE_BYTES];
        bytes[1..].copy_from_slice(&self.nonce);
        bytes
    }

    /// Checks the answer to the challenge: who sends, and what reads its frames.
    ///
    /// # Errors
    ///
    /// If the hello is not of this fleet, not for this life or not for this challenge.
    pub fn accept(self, hello: &[u8; HELLO_BYTES]) -> Result<(Incarnation, Decoder), Error> {
        if hello[0] != VERSION {
            return Err(Error::Version(hello[0]));
        }
        let (said, code) = hello.split_last_chunk::<MAC_BYTES>().ok_or(Error::Short)?;
        check(&self.key.greeting(&[&self.nonce, said]), code)?;
        let from = life(&said[1..])?;
        if life(&said[1 + WORD..])? != self.own {
            return Err(Error::Destination);
        }
        let session = self.key.session(&[&self.nonce, said]);
        Ok((from, Decoder::new(session)))
    }
}

/// The connecting side: answers a challenge with the hello, and what makes frames.
///
/// The random bytes must never be used twice.
///
/// # Errors
///
/// If the other side speaks another version.
///
/// ```
/// use woodgap_core::name::Incarnation;
/// use woodgap_wire::Key;
/// use woodgap_wire::stream::{Acceptor, connect};
///
/// let key = Key::new(&[7; 32]);
/// let (ours, theirs) = (Incarnation(5), Incarnation(9));
/// let acceptor = Acceptor::new(key.clone(), theirs, [1; 16]);
/// let (hello, mut encoder) = connect(&key, ours, theirs, &acceptor.challenge(), [2; 16]).unwrap();
/// let (from, mut decoder) = acceptor.accept(&hello).unwrap();
/// assert_eq!(from, ours);
/// decoder.push(&encoder.encode(&[]).unwrap());
/// assert_eq!(decoder.next(), Ok(Some(vec![])));
/// ```
pub fn connect(
    key: &Key,
    own: Incarnation,
    to: Incarnation,
    challenge: &[u8; CHALLENGE_BYTES],
    nonce: [u8; NONCE_BYTES],
) -> Result<([u8; HELLO_BYTES], Encoder), Error> {
    let (version, theirs) = challenge.split_first().ok_or(Error::Short)?;
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    let mut said = Vec::with_capacity(HELLO_BYTES);
    said.push(VERSION);
    said.extend(own.0.to_le_bytes());
    said.extend(to.0.to_le_bytes());
    said.extend(nonce);
    let code = key.greeting(&[theirs, &said]);
    let session = key.session(&[theirs, &said]);
    said.extend(code);
    let hello = said.try_into().map_err(|_| Error::Short)?;
    Ok((hello, Encoder::new(session)))
}

fn life(bytes: &[u8]) -> Result<Incarnation, Error> {
    let word = bytes.first_chunk::<WORD>().ok_or(Error::Short)?;
    Ok(Incarnation(u64::from_le_bytes(*word)))
}
