//! A wall clock that the entries agree on.
//!
//! System clocks jump, and an entry that starts while its clock is wrong keeps the wrong time for
//! as long as it runs. So each entry uses the median of all entries' clocks, its own included.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;

/// How long another entry's clock reading is used.
const READING_TTL: Millis = Millis(30_000);

/// The offsets of the other entries' clocks from the local one.
#[derive(Debug, Default)]
pub struct MedianClock {
    /// By how many ms each clock was ahead, and when it was read.
    offsets: HashMap<name::Entry, (i64, Millis)>,
}

impl MedianClock {
    /// Records that another entry's clock reads `remote` while the local one reads `local`.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::true_time::MedianClock;
    ///
    /// let mut clock = MedianClock::default();
    /// clock.record(&"b".into(), Millis(9_000), Millis(5_000), Millis(0));
    /// clock.record(&"c".into(), Millis(9_010), Millis(5_000), Millis(0));
    /// assert_eq!(clock.corrected(Millis(5_500), Millis(500)), Millis(9_500));
    /// ```
    pub fn record(&mut self, entry: &name::Entry, remote: Millis, local: Millis, now: Millis) {
        let offset = signed(remote).saturating_sub(signed(local));
        self.offsets.insert(entry.clone(), (offset, now));
        // Entries that have left would otherwise accumulate.
        self.offsets.retain(|_, (_, at)| now - *at < READING_TTL);
    }

    /// The agreed wall-clock time when the local clock reads `local`.
    pub fn corrected(&self, local: Millis, now: Millis) -> Millis {
        let fresh = self.offsets.values();
        let fresh = fresh.filter(|(_, at)| now - *at < READING_TTL);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(0);
        let median = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(median);
        Millis(local.0.saturating_add_signed(*median))
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
