//! The claim of a request, as stored in its row of the table service.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::verdict::Verdict;

/// Key of a request: its identity within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The identity that the caller gave.
    pub identity: String,
}

impl Key {
    /// Creates the key of a workspace's request.
    pub fn new(workspace: &name::Workspace, identity: &str) -> Self {
        Self {
            workspace: workspace.clone(),
            identity: identity.to_owned(),
        }
    }

    /// Returns the key of the claim's row. Workspace names contain no slash, so no two
    /// workspaces share a row.
    ///
    /// ```
    /// use woodgap_core::once::Key;
    ///
    /// let key = Key::new(&"murphy".into(), "caption-17");
    /// assert_eq!(key.row(), "murphy/caption-17");
    /// ```
    pub fn row(&self) -> String {
        format!("{}/{}", self.workspace, self.identity)
    }

    /// Returns a name of fixed length in hexadecimal digits, for the object store.
    pub fn digest(&self) -> Digest {
        Digest::of([self.workspace.as_str().as_bytes(), self.identity.as_bytes()])
    }

    /// Returns 64 bits of the digest, the same on every entry; never 0.
    pub fn hash(&self) -> u64 {
        let digest = self.digest();
        let bits = u64::from_str_radix(&digest.0[..16], 16).unwrap_or(0);
        bits.max(1)
    }
}

/// A hash of the content of a request: equal hashes mean the same request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Number of hexadecimal digits kept: 128 bits, which makes an accidental collision
    /// negligible.
    const DIGITS: usize = 32;

    /// Hashes some parts; the boundaries between them are part of the hash.
    ///
    /// ```
    /// use woodgap_core::once::Digest;
    ///
    /// assert_ne!(Digest::of(["ab", "c"]), Digest::of(["a", "bc"]));
    /// ```
    pub fn of<P: AsRef<[u8]>>(parts: impl IntoIterator<Item = P>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            let part = part.as_ref();
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().to_hex()[..Self::DIGITS].to_owned())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Which incarnation may run a request, and how the request ended.
///
/// Only the incarnation that wrote a claim may change or delete it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The submission that owns the claim; its incarnation is the holder.
    pub request: name::Request,
    /// Address at which the holder accepts HTTP requests.
    pub address: SocketAddr,
    /// Hash of the request's content.
    pub body: Digest,
    /// When it was claimed, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// How the request ended, once known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

impl Claim {
    /// Returns the incarnation that may run the request.
    pub fn holder(&self) -> name::Incarnation {
        self.request.incarnation
    }
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum End {
    /// The complete answer was received.
    Complete {
        /// Whether the answer is in the object store.
        kept: bool,
    },
    /// There is no complete answer. Never a refusal as not run: such a claim is deleted.
    Failed {
        /// The stable error code.
        code: String,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Human-readable message.
        message: String,
    },
}
