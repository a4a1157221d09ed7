//! Messages by which entries pass configuration on.

use serde::{Deserialize, Serialize};

/// A message of the configuration exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Says what the sender has just put in force.
    InForce(u64),
    /// Asks for what came after a revision; 0 asks for everything.
    Want(u64),
    /// Changes in the order of their revisions, without gap.
    Changes(Vec<Change>),
    /// A part of everything that is in force.
    Part(Part),
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// The document after it, as JSON: its open fields have no other form.
    pub document: String,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The revision of the whole.
    pub revision: u64,
    /// Counts the parts from 0.
    pub index: u32,
    /// How many parts there are.
    pub of: u32,
    /// Documents, as JSON, templates before workspaces.
    pub documents: Vec<String>,
}

/// Documents' bytes in one part: well below what one frame of a stream takes.
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
