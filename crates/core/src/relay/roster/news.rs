//! What an entry is told of the list: whole, as changes, and by whom it can be ordered.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::roster::Endpoint;

/// For how long a row has been missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Absence {
    /// The endpoint's name.
    pub endpoint: name::Endpoint,
    /// The time since it was known to be missing.
    pub age: Millis,
}

/// How the positions of a source relate to its lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Positions {
    /// Each change has one, also the removal of a row: the list at a lower one is the earlier list,
    /// and all changes up to a known position are known.
    Complete,
    /// Removals have none: only readings in sequence can be ordered.
    Partial,
}

/// A whole list as it was read at the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The endpoints.
    pub list: Vec<Endpoint>,
    /// The position as of which they were listed.
    pub position: u64,
    /// How such positions relate to lists.
    pub positions: Positions,
    /// The revision that was known when the reading began.
    pub known: u64,
}

/// Why a list that was read is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// All that it holds is known, and perhaps later changes.
    Outdated,
    /// Another entry has told of changes meanwhile, and it can't be told which are later: the list
    /// is to be read again.
    Unordered,
}

/// One difference between two lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The endpoint is listed with this row.
    Listed(Endpoint),
    /// The endpoint is no longer listed, whichever life of it was.
    Missing(name::Endpoint),
}

impl Change {
    /// The endpoint that is no longer listed, if one is.
    pub fn missing(&self) -> Option<&name::Endpoint> {
        match self {
            Self::Listed(_) => None,
            Self::Missing(name) => Some(name),
        }
    }
}
