//! The fleet's key and the authentication codes made with it.

use std::fmt;

use subtle::ConstantTimeEq;

use crate::Error;

/// Bytes of an authentication code: 128 bits can't be guessed within a fleet's life.
pub const MAC_BYTES: usize = 16;

/// The version of the protocol, the first byte of every datagram and stream.
pub const VERSION: u8 = 1;

const DATAGRAM_CONTEXT: &str = "woodgap 2025 datagram authentication";
const STREAM_CONTEXT: &str = "woodgap 2025 stream authentication";

/// An authentication code.
pub(crate) type Mac = [u8; MAC_BYTES];

/// The keys made from the fleet's key, one per use; the debug form hides them.
#[derive(Clone)]
pub struct Key {
    datagram: [u8; blake3::KEY_LEN],
    stream: [u8; blake3::KEY_LEN],
}

impl Key {
    /// The keys of a fleet.
    ///
    /// ```
    /// let key = woodgap_wire::Key::new(&[7; 32]);
    /// assert_eq!(format!("{key:?}"), "Key(hidden)");
    /// ```
    pub fn new(fleet: &[u8; 32]) -> Self {
        Self {
            datagram: blake3::derive_key(DATAGRAM_CONTEXT, fleet),
            stream: blake3::derive_key(STREAM_CONTEXT, fleet),
        }
    }

    /// The code of a datagram.
    pub(crate) fn datagram(&self, bytes: &[u8]) -> Mac {
        mac(&self.datagram, &[bytes])
    }

    /// The code of a stream's greeting.
    pub(crate) fn greeting(&self, parts: &[&[u8]]) -> Mac {
        mac(&self.stream, parts)
    }

    /// The key of one stream, from both sides' random bytes.
    pub(crate) fn session(&self, parts: &[&[u8]]) -> [u8; blake3::KEY_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.stream);
        hasher.update(b"session");
        for part in parts {
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(hidden)")
    }
}

/// The code of parts whose lengths the reader knows.
pub(crate) fn mac(key: &[u8; blake3::KEY_LEN], parts: &[&[u8]]) -> Mac {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut code = Mac::default();
    hasher.finalize_xof().fill(&mut code);
    code
}

/// Compares codes without telling by the time taken where they differ.
pub(crate) fn check(expected: &Mac, found: &[u8]) -> Result<(), Error> {
    if bool::from(expected.as_slice().ct_eq(found)) {
        Ok(())
    } else {
        Err(Error::Mac)
    }
}
