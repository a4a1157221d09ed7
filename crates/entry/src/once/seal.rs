//! Authenticates calls between entries on the callers' port.
//!
//! The question carries a code over path, time, nonce and body in a header; each
//! frame of the answer carries one under a key of that nonce, with a count, so that
//! none can be forged, repeated or left out.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};

use bytes::{Buf, Bytes, BytesMut};
use subtle::ConstantTimeEq;
use thiserror::Error;
use woodgap_core::clock::Millis;

use crate::once::message::Frame;

/// Header of a question's seal.
pub const HEADER: &str = "x-woodgap-seal";
/// Keeps the key apart from the fleet key's other uses.
const CONTEXT: &str = "woodgap 2026-01 calls between entries over HTTP";
/// How far the clocks of two entries may be apart, and how long a nonce is remembered.
const WINDOW: Millis = Millis::from_secs(30);
/// The most nonces remembered: calls between entries are few.
const MOST_NONCES: usize = 100_000;
/// Bytes of a code: 128 bits can't be guessed.
const CODE_BYTES: usize = 16;
/// Bytes before a frame's body: its length and its code.
const FRAME_HEAD: usize = 4 + CODE_BYTES;
/// The largest frame that is taken, in bytes.
const MOST_FRAME: usize = 64 * 1024 * 1024;

/// Why a call or a frame is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Broken {
    /// The seal is missing, malformed or wrong.
    #[error("the seal does not fit")]
    Seal,
    /// The question was asked too long ago, or before.
    #[error("the question is old or repeated")]
    Old,
    /// The frame is not in the agreed form.
    #[error("the frame is malformed")]
    Form,
}

/// The key of the calls, and the nonces of late.
pub struct Sealer {
    key: [u8; 32],
    nonces: Mutex<HashMap<u128, Millis>>,
}

impl Sealer {
    /// A sealer of the fleet with this key.
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self {
            key: blake3::derive_key(CONTEXT, fleet_key),
            nonces: Mutex::default(),
        }
    }

    /// Seals a question at a time of day; returns the header and the answer's key.
    pub fn seal(&self, at: Millis, nonce: u128, body: &[u8]) -> (String, Chain) {
        let code = self.code(at, nonce, body);
        let header = format!("{:x}-{nonce:032x}-{}", at.0, hex::encode(code));
        (header, self.chain(nonce))
    }

    /// Checks a question's header, once.
    ///
    /// # Errors
    ///
    /// [`Broken`] if it is forged, old or repeated.
    pub fn open(&self, now: Millis, header: &str, body: &[u8]) -> Result<Chain, Broken> {
        let (at, nonce, code) = parse(header).ok_or(Broken::Seal)?;
        let expected = self.code(at, nonce, body);
        if !bool::from(expected.as_slice().ct_eq(&code)) {
            return Err(Broken::Seal);
        }
        if now > at + WINDOW || at > now + WINDOW || !self.is_new(now, nonce) {
            return Err(Broken::Old);
        }
        Ok(self.chain(nonce))
    }

    fn code(&self, at: Millis, nonce: u128, body: &[u8]) -> [u8; CODE_BYTES] {
        let parts = [&at.0.to_le_bytes()[..], &nonce.to_le_bytes(), body];
        code(&self.key, &parts)
    }

    fn chain(&self, nonce: u128) -> Chain {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(b"answer");
        hasher.update(&nonce.to_le_bytes());
        Chain {
            key: *hasher.finalize().as_bytes(),
            count: 0,
        }
    }

    fn is_new(&self, now: Millis, nonce: u128) -> bool {
        let mut nonces = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        if nonces.len() >= MOST_NONCES {
            // A nonce is of no use once its time is outside of the window.
            nonces.retain(|_, seen| now <= *seen + WINDOW + WINDOW);
        }
        nonces.len() < MOST_NONCES && nonces.insert(nonce, now).is_none()
    }
}

impl fmt::Debug for Sealer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Sealer(hidden)")
    }
}

fn parse(header: &str) -> Option<(Millis, u128, Vec<u8>)> {
    let mut parts = header.split('-');
    let at = u64::from_str_radix(parts.next()?, 16).ok()?;
    let nonce = u128::from_str_radix(parts.next()?, 16).ok()?;
    let code = hex::decode(parts.next()?).ok()?;
    parts.next().is_none().then_some((Millis(at), nonce, code))
}

fn code(key: &[u8; 32], parts: &[&[u8]]) -> [u8; CODE_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut code = [0; CODE_BYTES];
    hasher.finalize_xof().fill(&mut code);
    code
}

/// The frames of one answer, in their order.
pub struct Chain {
    key: [u8; 32],
    count: u64,
}

impl Chain {
    /// The bytes of the next frame.
    pub fn write(&mut self, frame: &Frame) -> Bytes {
        // Frames are plain data, which always serialises.
        let body = postcard::to_stdvec(frame).unwrap_or_default();
        let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
        let code = self.next_code(&body);
        Bytes::from([&length[..], &code, &body].concat())
    }

    /// Takes the next frame off the bytes; none while it is not all there.
    ///
    /// # Errors
    ///
    /// [`Broken`] if the bytes are not what the other entry wrote.
    pub fn read(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>, Broken> {
        if bytes.len() < FRAME_HEAD {
            return Ok(None);
        }
        let length = bytes
            .first_chunk()
            .map_or(0, |head| u32::from_le_bytes(*head)) as usize;
        if length > MOST_FRAME {
            return Err(Broken::Form);
        }
        if bytes.len() < FRAME_HEAD + length {
            return Ok(None);
        }
        let head = bytes.split_to(FRAME_HEAD);
        let body = bytes.split_to(length);
        let expected = self.next_code(&body);
        if !bool::from(expected.as_slice().ct_eq(&head.chunk()[4..])) {
            return Err(Broken::Seal);
        }
        let frame = postcard::from_bytes(&body).map_err(|_| Broken::Form)?;
        Ok(Some(frame))
    }

    fn next_code(&mut self, body: &[u8]) -> [u8; CODE_BYTES] {
        self.count += 1;
        code(&self.key, &[&self.count.to_le_bytes(), body])
    }
}

#[cfg(test)]
mod tests;
