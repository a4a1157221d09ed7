//! How often an entry reads the platform, so that a large fleet leaves it room.

use woodgap_core::clock::Millis;

/// Added to the period by each entry: the fleet then reads log and list forty
/// times a second each, a few percent of the two thousand reads that the
/// platform takes. What one entry reads, the others hear of from it.
const PERIOD_PER_ENTRY: Millis = Millis(25);
/// Parts of a period by which two reads may lie closer or farther apart, so that
/// entries which were held up together don't go on together.
const JITTER: f64 = 0.1;

/// When the platform is read.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The period of the settings, which is the shortest.
    pub poll: Millis,
    /// The longest: a read must end before the last one no longer confirms the
    /// configuration, in case that no other entry does.
    pub longest: Millis,
}

impl Pace {
    /// The wait before the next read, in a fleet of this many entries; `chance`
    /// is drawn evenly from 0 to 1.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_entry::configuration::Pace;
    ///
    /// let pace = Pace { poll: Millis(1_000), longest: Millis(9_000) };
    /// assert_eq!(pace.wait(7, 0.5), Millis(1_000));
    /// assert_eq!(pace.wait(200, 0.5), Millis(5_000));
    /// ```
    pub fn wait(&self, entries: u64, chance: f64) -> Millis {
        let stretched = Millis(PERIOD_PER_ENTRY.0.saturating_mul(entries)).min(self.longest);
        let period = self.poll.max(stretched).0 as f64;
        let shift = 1.0 + JITTER * (2.0 * chance - 1.0);
        // Positive, and far below 2^52.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait = (period * shift) as u64;
        Millis(wait)
    }
}

#[cfg(test)]
mod tests;
