//! Gossip between entries: membership, and the versions of the data that each entry has.
//!
//! Entries query one another in short rounds over UDP. An answer carries the versions
//! that the other entry has and the time since each was last confirmed as current. The
//! receiver counts that age from the moment at which it sent the query, so network delay
//! can't make a confirmation look fresher than it is. Newer data is fetched over TCP.

pub mod exchange;
pub mod fetch;
pub mod message;

use woodgap_core::clock::Millis;

/// The time between two rounds. An entry that misses three rounds is removed from the lists
/// that callers get; these lists are kept for a second.
pub const ROUND_INTERVAL: Millis = Millis(300);
/// The time between two rounds of an entry that can't accept requests yet. It is short because
/// entries that start at the same moment may miss one another's first query.
pub const STARTUP_ROUND_INTERVAL: Millis = Millis(50);
