//! Identities that an entry issues: each names the one life that may run it.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use subtle::ConstantTimeEq;

use crate::clock::Millis;
use crate::name;

/// What every issued identity begins with; callers' own may not.
pub const PREFIX: &str = "wg1-";
/// How long after its issue an identity may be submitted first.
pub const LIFETIME: Millis = Millis::from_secs(600);
/// Keeps the key apart from the fleet key's other uses.
const KEY_CONTEXT: &str = "woodgap 2026-01 identities issued by an entry";
/// Hexadecimal digits of the code that authenticates an identity: 128 bits.
const MAC_DIGITS: usize = 32;

/// An identity that an entry has issued, as its text says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Issued {
    /// The only life that may run it.
    pub issuer: name::Incarnation,
    /// Counts the identities of that life.
    pub sequence: u64,
    /// When it was issued, on the issuer's clock.
    pub at: Millis,
    /// Where the issuer takes HTTP requests.
    pub address: SocketAddr,
}

impl Issued {
    /// Whether the issuer, at its own time, still takes a first submission.
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

/// The text is no identity in the issued form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no identity that an entry has issued to this workspace")]
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

/// Issues identities and tells them from invented ones; every entry of a fleet
/// can check what another has issued.
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
    /// An issuer of the fleet with this key.
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, fleet_key),
        }
    }

    /// The identity as its caller gets it: only visible ASCII, safe in a path.
    pub fn encode(&self, issued: &Issued, workspace: &name::Workspace) -> String {
        let plain = issued.to_string();
        let mac = self.mac(&plain, workspace);
        format!("{plain}-{mac}")
    }

    /// Reads an identity that some entry of the fleet issued to the workspace.
    ///
    /// # Errors
    ///
    /// [`NotIssued`] if none did.
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
