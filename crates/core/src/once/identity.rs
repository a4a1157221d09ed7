//! Request identities issued by an entry; each names the only incarnation that may run it.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use subtle::ConstantTimeEq;

use crate::clock::Millis;
use crate::name;

/// Prefix of every issued identity; identities chosen by callers may not start with it.
pub const PREFIX: &str = "wg1-";
/// How long after its issue an identity may be submitted for the first time.
pub const LIFETIME: Millis = Millis::from_secs(600);
/// Key derivation context, which separates this key from other uses of the fleet key.
const KEY_CONTEXT: &str = "woodgap 2026-01 identities issued by an entry";
/// Hexadecimal digits of the message authentication code of an identity: 128 bits.
const MAC_DIGITS: usize = 32;

/// The parsed content of an issued identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Issued {
    /// The only incarnation that may run it.
    pub issuer: name::Incarnation,
    /// Sequence number among the identities of that incarnation.
    pub sequence: u64,
    /// When it was issued, on the issuer's clock.
    pub at: Millis,
    /// Address at which the issuer accepts HTTP requests.
    pub address: SocketAddr,
}

impl Issued {
    /// Whether the issuer still accepts a first submission at `now`, on its own clock.
    pub fn fresh(&self, now: Millis) -> bool {
        now < self.at + LIFETIME
    }
}

impl fmt::Display for Issued {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            issuer,
            sequence,
            at,
            address,
        } = self;
        write!(
            formatter,
            "{PREFIX}{:016x}-{sequence:x}-{:x}-{address}",
            issuer.0, at.0
        )
    }
}

/// The text is not an identity issued to this workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the identity was not issued to this workspace")]
pub struct NotIssued;

impl FromStr for Issued {
    type Err = NotIssued;

    fn from_str(text: &str) -> Result<Self, NotIssued> {
        let mut parts = text.strip_prefix(PREFIX).ok_or(NotIssued)?.split('-');
        let mut part = || parts.next().ok_or(NotIssued);
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| NotIssued);
        let issued = Self {
            issuer: name::Incarnation(number(part()?)?),
            sequence: number(part()?)?,
            at: Millis(number(part()?)?),
            address: part()?.parse().map_err(|_| NotIssued)?,
        };
        match parts.next() {
            None => Ok(issued),
            Some(_) => Err(NotIssued),
        }
    }
}

/// Issues and verifies identities; every entry of a fleet can verify those of the others.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name::Incarnation;
/// use woodgap_core::once::{Issued, Issuer};
///
/// let issuer = Issuer::new(&[7; 32]);
/// let issued = Issued {
///     issuer: Incarnation(1),
///     sequence: 1,
///     at: Millis(5),
///     address: "127.0.0.1:8080".parse().unwrap(),
/// };
/// let text = issuer.encode(&issued, &"murphy".into());
/// assert_eq!(issuer.verify(&text, &"murphy".into()), Ok(issued));
/// assert!(issuer.verify(&text, &"kelly".into()).is_err());
/// ```
#[derive(Clone)]
pub struct Issuer {
    key: [u8; 32],
}

impl Issuer {
    /// Creates an issuer for the fleet with this key.
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, fleet_key),
        }
    }

    /// Encodes an identity as the text that the caller receives: visible ASCII only, safe in a
    /// URL path.
    pub fn encode(&self, issued: &Issued, workspace: &name::Workspace) -> String {
        let plain = issued.to_string();
        let mac = self.mac(&plain, workspace);
        format!("{plain}-{mac}")
    }

    /// Verifies and parses an identity that some entry of the fleet issued to the workspace.
    ///
    /// # Errors
    ///
    /// [`NotIssued`] if the text is not such an identity.
    pub fn verify(&self, text: &str, workspace: &name::Workspace) -> Result<Issued, NotIssued> {
        let (plain, mac) = text.rsplit_once('-').ok_or(NotIssued)?;
        let expected = self.mac(plain, workspace);
        if bool::from(expected.as_bytes().ct_eq(mac.as_bytes())) {
            plain.parse()
        } else {
            Err(NotIssued)
        }
    }

    fn mac(&self, plain: &str, workspace: &name::Workspace) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(plain.len() as u64).to_le_bytes());
        hasher.update(plain.as_bytes());
        hasher.update(workspace.as_str().as_bytes());
        hasher.finalize().to_hex()[..MAC_DIGITS].to_owned()
    }
}

impl fmt::Debug for Issuer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Issuer(hidden)")
    }
}

#[cfg(test)]
mod tests;
