//! The claim of one request, as its row in the table service.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::verdict::Verdict;

/// What a request is known by: its identity within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The identity that the caller gave.
    pub identity: String,
}

impl Key {
    /// The identity of a workspace's request.
    pub fn new(workspace: &name::Workspace, identity: &str) -> Self {
        Self {
            workspace: workspace.clone(),
            identity: identity.to_owned(),
        }
    }

    /// The key of the claim's row. Names of workspaces have no slash, so no two
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

    /// A name of fixed length and plain letters, for the object store.
    pub fn digest(&self) -> Digest {
        Digest::of([self.workspace.as_str().as_bytes(), self.identity.as_bytes()])
    }

    /// 64 bits of the digest, the same at every entry; never 0.
    pub fn hash(&self) -> u64 {
        let digest = self.digest();
        let bits = u64::from_str_radix(&digest.0[..16], 16).unwrap_or(0);
        bits.max(1)
    }
}

/// A hash of what is asked for: equal ones are the same request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Hexadecimal digits kept: 128 bits, far beyond chance.
    const DIGITS: usize = 32;

    /// The hash of some parts; where one ends matters.
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

/// Who may run a request, and what became of it.
///
/// Only the life of the entry that wrote a claim may change or delete it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The submission that the claim is for; its incarnation is the holder.
    pub request: name::Request,
    /// Where the holder takes HTTP requests.
    pub address: SocketAddr,
    /// What is asked for.
    pub body: Digest,
    /// When it was claimed, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// How it ended, once that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

impl Claim {
    /// The life of the entry that may run the request.
    pub fn holder(&self) -> name::Incarnation {
        self.request.incarnation
    }
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum End {
    /// The whole answer came.
    Complete {
        /// Whether the object store has it.
        kept: bool,
    },
    /// There is no whole answer. Never a refusal as not run: such a claim is deleted.
    Failed {
        /// The stable code of the error.
        code: String,
        /// Whether it may have run.
        verdict: Verdict,
        /// For people.
        message: String,
    },
}
