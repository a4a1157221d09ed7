//! What a deferred request is known by.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::deferred::Shard;
use crate::name;

/// Hexadecimal digits of an [`Id`]: 128 bits, far beyond chance.
const DIGITS: usize = 32;

/// The identity of a request within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The identity that its caller gave, or was given.
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

    /// The key of the receipt's row. Names of workspaces have no slash, so no
    /// two workspaces share one.
    ///
    /// ```
    /// use woodgap_core::deferred::Key;
    ///
    /// let key = Key::new(&"murphy".into(), "narration-17");
    /// assert_eq!(key.row(), "murphy/narration-17");
    /// assert_ne!(key.id(), Key::new(&"kelly".into(), "narration-17").id());
    /// ```
    pub fn row(&self) -> String {
        format!("{}/{}", self.workspace, self.identity)
    }

    /// A name of fixed length and plain letters, for the object store.
    pub fn id(&self) -> Id {
        Id::of([self.workspace.as_str(), &self.identity])
    }

    /// The shard of the work that the request belongs to.
    pub fn shard(&self) -> Shard {
        Shard::of(&self.id())
    }
}

/// A hash as plain letters: of a key, or of a request's body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(String);

impl Id {
    /// The hash of some parts; where one ends matters.
    pub fn of<P: AsRef<[u8]>>(parts: impl IntoIterator<Item = P>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            let part = part.as_ref();
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().to_hex()[..DIGITS].to_owned())
    }

    /// The hash as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
