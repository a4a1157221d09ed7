//! Messages that distribute the configuration between entries.

use serde::{Deserialize, Serialize};

/// A message of the configuration exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces the revision that the sender has just put in force.
    InForce(u64),
    /// Requests the changes after a revision; 0 requests a full snapshot.
    Want(u64),
    /// Changes in the order of their revisions, without gaps.
    Changes(Vec<Change>),
    /// A part of a snapshot of the configuration in force.
    Part(Part),
}

/// A change of one document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change created.
    pub revision: u64,
    /// The document after the change, as JSON, since its open fields have no other form.
    pub document: String,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The revision of the snapshot.
    pub revision: u64,
    /// Index of the part, starting at 0.
    pub index: u32,
    /// Number of parts.
    pub of: u32,
    /// Documents, as JSON, templates before workspaces.
    pub documents: Vec<String>,
}

/// Maximum size of the documents in one part, in bytes: well below the limit of a stream frame.
const MAX_PART_BYTES: usize = 32 * 1024;

/// Splits a snapshot into parts.
///
/// ```
/// use woodgap_core::revision::message::parts;
///
/// let documents = vec!["x".repeat(30_000); 3];
/// let parts = parts(7, documents);
/// assert_eq!(parts.len(), 3);
/// assert_eq!(parts[2].index, 2);
/// ```
pub fn parts(revision: u64, documents: impl IntoIterator<Item = String>) -> Vec<Part> {
    let mut groups: Vec<Vec<String>> = vec![Vec::new()];
    let mut bytes = 0;
    for document in documents {
        if bytes + document.len() > MAX_PART_BYTES && bytes > 0 {
            groups.push(Vec::new());
            bytes = 0;
        }
        bytes += document.len();
        if let Some(group) = groups.last_mut() {
            group.push(document);
        }
    }
    let of = u32::try_from(groups.len()).unwrap_or(u32::MAX);
    let part = |(index, documents)| Part {
        revision,
        index,
        of,
        documents,
    };
    (0..of).zip(groups).map(part).collect()
}
