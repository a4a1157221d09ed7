//! The order in which entries tell each other of endpoints, where a message holds only some.

use std::collections::HashMap;

use crate::clock::Millis;

/// What is known of an endpoint and told to other entries.
pub(super) trait Tellable {
    /// When another entry was last told; zero if not since the last change.
    fn told_at(&self) -> Millis;

    /// Records that another entry is told.
    fn set_told_at(&mut self, now: Millis);
}

/// Selects at most `max` records to tell another entry at `now`: changes first, then what was told
/// the longest time ago.
pub(super) fn next_to_tell<R: Tellable>(
    records: &mut HashMap<u32, R>,
    max: usize,
    now: Millis,
) -> impl Iterator<Item = (u32, &R)> {
    let mut records: Vec<_> = records.iter_mut().collect();
    records.sort_unstable_by_key(|(key, record)| (record.told_at(), **key));
    records.truncate(max);
    records.into_iter().map(move |(key, record)| {
        record.set_told_at(now);
        (*key, &*record)
    })
}
