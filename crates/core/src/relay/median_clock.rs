//! The time of day on which the entries agree.
//!
//! Clocks of machines jump, and an entry that started meanwhile keeps the wrong time for as long
//! as it runs. So each goes by the middle one of all readings, its own among them.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;

/// After so long another entry's reading counts for nothing.
const READING_LIFE: Millis = Millis(30_000);

/// What the others' clocks read, against the own.
#[derive(Debug, Default)]
pub struct MedianClock {
    /// By how many ms each was ahead, and when that was learnt.
    ahead: HashMap<name::Entry, (i64, Millis)>,
}

impl MedianClock {
    /// Takes in that another entry's clock reads `theirs` while the own reads `own`.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::median_clock::MedianClock;
    ///
    /// let mut readings = MedianClock::default();
    /// readings.record(&"b".into(), Millis(9_000), Millis(5_000), Millis(0));
    /// readings.record(&"c".into(), Millis(9_010), Millis(5_000), Millis(0));
    /// assert_eq!(readings.corrected(Millis(5_500), Millis(500)), Millis(9_500));
    /// ```
    pub fn record(&mut self, entry: &name::Entry, theirs: Millis, own: Millis, now: Millis) {
        let ahead = signed(theirs).saturating_sub(signed(own));
        self.ahead.insert(entry.clone(), (ahead, now));
        // Names of entries that are gone would pile up.
        self.ahead.retain(|_, (_, at)| now - *at < READING_LIFE);
    }

    /// The time of day when the own clock reads `own`.
    pub fn corrected(&self, own: Millis, now: Millis) -> Millis {
        let fresh = self.ahead.values();
        let fresh = fresh.filter(|(_, at)| now - *at < READING_LIFE);
        let mut ahead: Vec<i64> = fresh.map(|(ahead, _)| *ahead).collect();
        ahead.push(0);
        let middle = ahead.len() / 2;
        let (_, middle, _) = ahead.select_nth_unstable(middle);
        Millis(own.0.saturating_add_signed(*middle))
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
