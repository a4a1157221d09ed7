//! What tells that two requests are the same, whatever identities they carry.
//!
//! A caller that sends a request again gives it a new identity. Who calls, what for, and the
//! body stay as they were; a hash of these is short enough to be remembered, logged and told to
//! other entries, and does not give the body away.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Keeps the hashes apart from the other uses of the same function.
const CONTEXT: &str = "woodgap 2026-12 fingerprints of requests";
/// Length in bytes: no two of any number of requests that a fleet sees share one.
const LENGTH: usize = 16;

/// What makes a request the one that it is.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The workspace of its caller; empty where the route is public.
    pub caller: &'a str,
    /// Its method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Its whole body.
    pub body: &'a [u8],
}

/// A hash of a request, the same in all entries and under all its identities.
///
/// It is keyed by the caller, so that nobody's requests stand for those of another workspace.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// The fingerprint of a request.
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
            // The length keeps the end of one part from being the beginning of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(request.body);
        let mut bytes = [0; LENGTH];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
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
