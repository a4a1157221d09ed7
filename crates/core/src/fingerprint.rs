//! Fingerprints that identify repeated requests independently of their identities.
//!
//! A caller that resends a request gives it a new identity, but the workspace, the method, the
//! target and the body stay the same. A hash of these is short enough to be remembered, logged
//! and sent to other entries, and does not reveal the body.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Key derivation context that separates these hashes from other uses of the same hash
/// function.
const CONTEXT: &str = "woodgap 2026-12 fingerprints of requests";
/// Length of a fingerprint in bytes. Collisions are negligible for the number of requests that
/// a fleet handles.
const LENGTH: usize = 16;

/// The parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The workspace of the caller; empty if the route is public.
    pub caller: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

/// A hash of a request that is the same at all entries and for all identities of the request.
///
/// It is keyed by the caller, so that requests of different workspaces never share a
/// fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    ///
    /// ```
    /// use woodgap_core::fingerprint::{Fingerprint, Request};
    ///
    /// let request = Request {
    ///     caller: "murphy",
    ///     method: "POST",
    ///     host: "album.example",
    ///     target: "/captions/",
    ///     body: b"a body",
    /// };
    /// assert_eq!(Fingerprint::of(&request), Fingerprint::of(&request.clone()));
    /// let other = Request { caller: "oneill", ..request };
    /// assert_ne!(Fingerprint::of(&request), Fingerprint::of(&other));
    /// ```
    pub fn of(request: &Request<'_>) -> Self {
        let key = blake3::derive_key(CONTEXT, request.caller.as_bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        for part in [request.method, request.host, request.target] {
            // The length prefix makes the boundaries between the parts unambiguous.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(request.body);
        let mut bytes = [0; LENGTH];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// The first eight bytes, as a uniformly distributed number.
    pub fn key(self) -> u64 {
        let first = self.0.first_chunk().copied().unwrap_or_default();
        u64::from_le_bytes(first)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
