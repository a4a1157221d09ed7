//! The rows that hold the configuration in the table service.
//!
//! | table | key | value |
//! |---|---|---|
//! | `config` | `head` | [`Head`]: the newest revision |
//! | `config` | `template/…`, `workspace/…` | [`Change`]: the document's newest change |
//! | `config_log` | the revision, 20 digits | [`Change`] |
//! | `config_changes` | the change's identity | [`Change`] |
//!
//! One transaction writes all four, so that each can be read alone.

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_core::config::Document;
use woodgap_core::revision::message;
use woodgap_platform::table::Place;

use crate::configuration::store::Refusal;

/// The table of documents and the head.
pub const DOCUMENTS: &str = "config";
/// The table of changes by revision.
pub const LOG: &str = "config_log";
/// The table of changes by identity.
pub const CHANGES: &str = "config_changes";
/// What documents' keys begin with; templates first, since workspaces need them.
pub const DOCUMENT_PREFIXES: [&str; 2] = ["template/", "workspace/"];
/// The key of the head.
pub const HEAD: &str = "head";

/// The newest revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Counts accepted changes from 1.
    pub revision: u64,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// The change's identity.
    pub change: String,
    /// The operator.
    pub operator: String,
    /// Milliseconds since the Unix epoch.
    pub at: Millis,
    /// The version of the document, counted from 1.
    pub version: u64,
    /// The document after the change.
    pub document: Document,
}

impl Change {
    /// The change as entries pass it on to one another.
    ///
    /// # Errors
    ///
    /// If the document can't be written as JSON.
    pub fn pass_on(&self) -> Result<message::Change, Refusal> {
        let document = serde_json::to_string(&self.document)
            .map_err(|error| Refusal::Row(self.document.key(), error.to_string()))?;
        Ok(message::Change {
            revision: self.revision,
            document,
        })
    }
}

/// The place of the head.
pub fn head() -> Place {
    Place::new(DOCUMENTS, HEAD)
}

/// The place of a document.
pub fn document(key: &str) -> Place {
    Place::new(DOCUMENTS, key)
}

/// The place of a revision's change.
pub fn log(revision: u64) -> Place {
    Place::new(LOG, &log_key(revision))
}

/// The key of a revision: sorts by number.
pub fn log_key(revision: u64) -> String {
    format!("{revision:020}")
}

/// The place of a change by its identity.
pub fn change(identity: &str) -> Place {
    Place::new(CHANGES, identity)
}
