//! Messages between entries: who is there, and what each knows.
//!
//! Entries ask one another in short rounds over UDP. An answer tells the versions
//! that the other entry knows and how old their confirmation is. Counted from the
//! moment at which the question was sent, that age is never too young, however
//! long the answer took. What is newer is fetched over TCP.

pub mod exchange;
pub mod fetch;
pub mod message;

use woodgap_core::clock::Millis;

/// The time between two rounds: three missed ones take an entry off the lists
/// that callers get, while these are kept for a second.
pub const ROUND_INTERVAL: Millis = Millis(300);
/// The time between two rounds of an entry that can't take requests yet: others may
/// start at the same moment and miss its first question.
pub const STARTUP_ROUND_INTERVAL: Millis = Millis(50);
